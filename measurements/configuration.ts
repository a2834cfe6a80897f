/**
 * Measures how long a configuration change takes to be in force on every host, and the costs of membership for one host,
 * by fleet size.
 *
 * Run with `npm run build && node dist/measurements/configuration.js [hosts ...]`.
 *
 * @module
 */
import { Fleet } from "./fleet.js";

const SIZES = [7, 9, 12, 48, 130, 390];
const HOSTS_PER_ZONE_AT_FULL_SIZE = 43;
const SEED = 20261203;
const SETTLE_MILLISECONDS = 30_000;
const CHANGES = 6;
const CHANGE_INTERVAL_MILLISECONDS = 16_000;
const STEP_MILLISECONDS = 100;
const LOSS_SHARE = 0.02;
const RESTARTS_PER_CHANGE = 3;

interface Traffic {
    digests: number;
    bytes: number;
}

interface SizeMeasurement {
    readonly hosts: number;
    readonly zones: number;
    readonly propagationMilliseconds: readonly number[];
    readonly digestsPerSecond: { readonly mean: number; readonly maximum: number; };
    readonly bytesPerSecond: { readonly mean: number; readonly maximum: number; };
    readonly processorMicrosecondsPerSecond: number;
    readonly storeReadsPerSecond: number;
}

function zonesFor(hosts: number): number {
    return hosts <= 12 ? 3 : Math.max(3, Math.round(hosts / HOSTS_PER_ZONE_AT_FULL_SIZE));
}

/** Applies one change while hosts restart; returns the time until it is in force on every running host. */
function measureChange(fleet: Fleet, number: number): number {
    const names = [...fleet.hosts.keys()];
    for (let restart = 0; restart < RESTARTS_PER_CHANGE; restart += 1) {
        fleet.start(names[Math.floor(fleet.random() * names.length)] ?? "");
    }
    const appliedAt = fleet.nowMilliseconds;
    fleet.apply(`text ${number}`);
    let propagationMilliseconds = Infinity;
    while (fleet.nowMilliseconds < appliedAt + CHANGE_INTERVAL_MILLISECONDS) {
        fleet.run(STEP_MILLISECONDS);
        const isInForceEverywhere = fleet.running().every(host =>
            host.configuration.record()?.revision === fleet.record?.revision
        );
        if (isInForceEverywhere) {
            propagationMilliseconds = Math.min(propagationMilliseconds, fleet.nowMilliseconds - appliedAt);
        }
    }
    return propagationMilliseconds;
}

function measure(hosts: number): SizeMeasurement {
    const traffic = new Map<string, Traffic>();
    let countsTraffic = false;
    const zones = zonesFor(hosts);
    const fleet = new Fleet({
        seed: SEED,
        hosts,
        zones,
        regions: Math.min(3, zones),
        onHeartbeat: (from, { status, known, progress }) => {
            if (!countsTraffic) {
                return;
            }
            const entry = traffic.get(from) ?? { digests: 0, bytes: 0 };
            entry.digests += 1;
            entry.bytes += JSON.stringify({ status, known, progress }).length;
            traffic.set(from, entry);
        },
    });
    fleet.apply("text 0");
    fleet.run(SETTLE_MILLISECONDS);
    const readsBefore = fleet.storeReads;
    const processorBefore = process.cpuUsage();
    fleet.run(SETTLE_MILLISECONDS);
    const processor = process.cpuUsage(processorBefore);
    countsTraffic = true;
    fleet.run(SETTLE_MILLISECONDS);
    countsTraffic = false;
    const seconds = SETTLE_MILLISECONDS / 1000;
    const storeReadsPerSecond = (fleet.storeReads - readsBefore) / 2 / seconds;
    fleet.network.lossShare = LOSS_SHARE;
    const propagationMilliseconds = Array.from({ length: CHANGES }, (_, index) => measureChange(fleet, index + 1));
    const digests = [...traffic.values()].map(entry => entry.digests / seconds);
    const bytes = [...traffic.values()].map(entry => entry.bytes / seconds);
    return {
        hosts,
        zones,
        propagationMilliseconds,
        digestsPerSecond: { mean: mean(digests), maximum: Math.max(...digests) },
        bytesPerSecond: { mean: mean(bytes), maximum: Math.max(...bytes) },
        processorMicrosecondsPerSecond: (processor.user + processor.system) / seconds / hosts,
        storeReadsPerSecond,
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function printRow(cells: readonly (string | number)[]): void {
    console.log(`| ${cells.join(" | ")} |`);
}

const requestedSizes = process.argv.slice(2).map(Number);
const sizes = requestedSizes.length > 0 ? requestedSizes : SIZES;
console.log(
    `Seed ${SEED}; ${CHANGES} changes, each with ${RESTARTS_PER_CHANGE} restarts and ${LOSS_SHARE * 100} % loss.`,
);
printRow([
    "hosts",
    "zones",
    "in force everywhere, worst (s)",
    "mean (s)",
    "digests/s a host",
    "most",
    "bytes/s sent a host",
    "most",
    "processor µs/s a host",
    "store reads/s",
]);
printRow(Array.from({ length: 10 }, () => "---:"));
for (const hosts of sizes) {
    const measured = measure(hosts);
    printRow([
        measured.hosts,
        measured.zones,
        (Math.max(...measured.propagationMilliseconds) / 1000).toFixed(1),
        (mean(measured.propagationMilliseconds) / 1000).toFixed(1),
        measured.digestsPerSecond.mean.toFixed(1),
        measured.digestsPerSecond.maximum.toFixed(1),
        Math.round(measured.bytesPerSecond.mean),
        Math.round(measured.bytesPerSecond.maximum),
        Math.round(measured.processorMicrosecondsPerSecond),
        measured.storeReadsPerSecond.toFixed(1),
    ]);
}
