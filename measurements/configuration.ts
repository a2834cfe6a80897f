/**
 * Measures how long a change takes to be in force on every host, and what membership costs a host, by size.
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

interface Measured {
    readonly hosts: number;
    readonly zones: number;
    readonly spreadMilliseconds: readonly number[];
    readonly digestsPerSecond: { readonly mean: number; readonly most: number; };
    readonly bytesPerSecond: { readonly mean: number; readonly most: number; };
    readonly processorMicrosecondsPerSecond: number;
    readonly storeReadsPerSecond: number;
}

function zonesFor(hosts: number): number {
    return hosts <= 12 ? 3 : Math.max(3, Math.round(hosts / HOSTS_PER_ZONE_AT_FULL_SIZE));
}

/** Applies one change while hosts restart, and gives the time until every running host has it in force. */
function measureChange(fleet: Fleet, number: number): number {
    const names = [...fleet.hosts.keys()];
    for (let restart = 0; restart < RESTARTS_PER_CHANGE; restart += 1) {
        fleet.start(names[Math.floor(fleet.random() * names.length)] ?? "");
    }
    const appliedAt = fleet.nowMilliseconds;
    fleet.apply(`text ${number}`);
    let spread = Infinity;
    while (fleet.nowMilliseconds < appliedAt + CHANGE_INTERVAL_MILLISECONDS) {
        fleet.run(STEP_MILLISECONDS);
        const everywhere = fleet.running().every(host =>
            host.configuration.record()?.revision === fleet.record?.revision
        );
        if (everywhere) {
            spread = Math.min(spread, fleet.nowMilliseconds - appliedAt);
        }
    }
    return spread;
}

function measure(hosts: number): Measured {
    const traffic = new Map<string, Traffic>();
    let counting = false;
    const zones = zonesFor(hosts);
    const fleet = new Fleet({
        seed: SEED,
        hosts,
        zones,
        regions: Math.min(3, zones),
        onHeartbeat: (from, { status, known, progress }) => {
            if (!counting) {
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
    counting = true;
    fleet.run(SETTLE_MILLISECONDS);
    counting = false;
    const seconds = SETTLE_MILLISECONDS / 1000;
    const storeReadsPerSecond = (fleet.storeReads - readsBefore) / 2 / seconds;
    fleet.network.lossShare = LOSS_SHARE;
    const spreadMilliseconds = Array.from({ length: CHANGES }, (_, index) => measureChange(fleet, index + 1));
    const digests = [...traffic.values()].map(entry => entry.digests / seconds);
    const bytes = [...traffic.values()].map(entry => entry.bytes / seconds);
    return {
        hosts,
        zones,
        spreadMilliseconds,
        digestsPerSecond: { mean: mean(digests), most: Math.max(...digests) },
        bytesPerSecond: { mean: mean(bytes), most: Math.max(...bytes) },
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

const given = process.argv.slice(2).map(Number);
const sizes = given.length > 0 ? given : SIZES;
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
        (Math.max(...measured.spreadMilliseconds) / 1000).toFixed(1),
        (mean(measured.spreadMilliseconds) / 1000).toFixed(1),
        measured.digestsPerSecond.mean.toFixed(1),
        measured.digestsPerSecond.most.toFixed(1),
        Math.round(measured.bytesPerSecond.mean),
        Math.round(measured.bytesPerSecond.most),
        Math.round(measured.processorMicrosecondsPerSecond),
        measured.storeReadsPerSecond.toFixed(1),
    ]);
}
