/**
 * Measures what a host spends on the messages of its peers, by type, while it is young and callers wait.
 *
 * Each run starts the bundled program anew, as the build does, as the fourth host of a cell of 11 in a fleet of 6 cells
 * with 63 engines, and sends it what its peers say in traffic. Run with
 * `npx tsx measurements/peerMessages.ts [runs] [folder for processor profiles]`.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { type EngineMemory, type HostDigest } from "../src/generated/gossip.js";
import { CellAggregates, type GossipMessage } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { type BundledProgram, bundleProgram, NODE_OPTIONS } from "../tests/support/bundledProgram.js";
import { type RepeatedMessages, VariedMessageSender } from "../tests/support/busyMessages.js";
import { createDigest } from "../tests/support/digests.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "../tests/support/entryProgram.js";
import { callAuxiliaryServer, callHost, engineSettings, HOST_NAME } from "../tests/support/entrySite.js";
import { RecordingService } from "../tests/support/recordingService.js";

const DEFAULT_RUNS = 5;
const MEASURED_MILLISECONDS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Of `/proc/<id>/stat`. */
const MILLISECONDS_PER_TICK = 10;

const CELL_PEERS = 10;
const OTHER_CELLS = 5;
const HOSTS_PER_CELL = 11;
const ENGINES = 63;
const MODELS = 40;
const WAITING_CALLERS = 12;

/** Messages a second that a host receives, as the hosts of a day with trouble logged them. */
const DIGESTS_PER_SECOND = 45;
const SUMMARIES_PER_SECOND = 20;
const NEWS_PER_SECOND = 22;
const CHANGES_PER_SECOND = 14;

/** Hosts of the cell that forward each change. */
const WATCHERS = 3;

const MODEL_NAMES = Array.from({ length: MODELS }, (_, index) => `model-${index}a7f3`);
const BORN = 1_777_820_567_195;

/** The cell's hosts; the measured host, `entry-1`, comes after the three that watch the service. */
const PEERS = Array.from({ length: CELL_PEERS }, (_, index) => `${index < WATCHERS ? "core" : "front"}-${index}`);

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "llm",
        host: HOST_NAME,
        pathPrefix: "/llm/",
        kind: "stream",
        timeoutMs: 20_000,
        targetLatencyMs: 10_000,
        priority: 0,
        service: "llm",
        maxAttempts: 1,
    }],
    services: [{
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 400,
        engine: engineSettings(4, Object.fromEntries(MODEL_NAMES.map(model => [model, 40]))),
    }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

function engineName(index: number): string {
    return `i-${index}f48a9c01`;
}

function modelsOf(index: number): string[] {
    return [0, 1].map(offset => MODEL_NAMES[(index + offset) % MODELS] ?? "");
}

/** Returns the announcement of an engine, for the first ones with another number of models each time. */
function announcementOf(index: number, round: number, address: string): object {
    return {
        service: "llm",
        address: address.replace("127.0.0.1", `127.0.1.${index + 1}`),
        zone: "zone-a",
        version: "v1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 40 + round,
        born: BORN,
        models: modelsOf(index).slice(0, 1 + round % 2).map(name => ({ name, adapters: [] })),
    };
}

/** Returns the memory of an engine after some orders; every second order loads another adapter. */
function memoryOf(index: number, round: number): EngineMemory {
    return {
        engine: engineName(index),
        startedAtMilliseconds: BORN,
        orderCount: 10 + round,
        models: modelsOf(index).map(name => ({
            name,
            adapters: [0, 1, 2].map(adapter => `a${(adapter + Math.floor(round / 2)) % 4}`),
        })),
    };
}

function enginesOf(hostIndex: number): number[] {
    return Array.from({ length: ENGINES }, (_, index) => index).filter(index => index % CELL_PEERS === hostIndex);
}

/** Returns a host's digest, of about 1.7 KB; the engines that it holds change rarely. */
function digestOf(hostIndex: number, round: number, base: Partial<HostDigest>): HostDigest {
    const host = base.host ?? PEERS[hostIndex] ?? "";
    const inFlight = Object.fromEntries(
        Array.from({ length: 12 }, (_, index) => [engineName((hostIndex + index * 5) % ENGINES), 1 + round % 4]),
    );
    const adaptersInUse = Object.fromEntries(
        Object.keys(inFlight).slice(0, 4).map(engine => [engine, [`${MODEL_NAMES[0] ?? ""}/a1`]]),
    );
    return createDigest(host, {
        zone: "zone-a",
        sequence: round + 1,
        configurationVersion: 1,
        inFlight,
        adaptersInUse,
        engines: enginesOf(hostIndex).slice(0, 3).map(index => memoryOf(index, Math.floor(round / 10))),
        hearsUpstreams: true,
        build: "measured",
        crashes: {
            suspects: [],
            sound: [0, 1, 2].map(index => ({ attribute: `6f1e0a92c${index}`, ageMilliseconds: 200 + round })),
            convictions: [],
            trials: [],
        },
        ...base,
    });
}

/** Returns the aggregate of one other cell, or of all others, of about 6 KB. */
function summaryOf(cell: number, scope: "cell" | "rest", round: number): GossipMessage {
    const demand = Object.fromEntries(MODEL_NAMES.map((model, index) => [model, 0.1234 * (index + round)]));
    const aggregates = new CellAggregates();
    const cells = scope === "cell" ? [cell] : Array.from({ length: OTHER_CELLS }, (_, index) => index + 1);
    for (const each of cells) {
        const partDemand = { demand, adapterDemand: demand, readingDemand: {} };
        const digests = Array.from(
            { length: HOSTS_PER_CELL },
            (_, index) => digestOf(index, round, { host: `far-${each}-${index}`, zone: `zone-${each}`, ...partDemand }),
        );
        const [own = digestOf(0, round, {}), ...others] = digests;
        others.forEach(digest => aggregates.recordDigest(digest, 0));
        const sender = { host: own.host, cell: own.host, crashes: own.crashes };
        const summary = aggregates.aggregateOfCell(sender, own, 0);
        if (scope === "cell") {
            return summary;
        }
        aggregates.recordAggregate(summary, 0);
    }
    const sender = { host: PEERS[0] ?? "", cell: PEERS[0] ?? "" };
    return aggregates.aggregateOfOtherCells(sender, 0) ?? digestOf(0, round, {});
}

/** Writes a few announcements each time and returns the changes as a watcher forwards them. */
class ForwardedChanges {
    readonly #store: PlatformStoreStandIn;
    readonly #address: string;
    #forwarded: number;
    #latest: GossipMessage | undefined;

    constructor(store: PlatformStoreStandIn, address: string) {
        this.#store = store;
        this.#address = address;
        this.#forwarded = store.revision;
    }

    next(round: number): GossipMessage {
        if (round % WATCHERS !== 0 && this.#latest !== undefined) {
            return this.#latest;
        }
        const changes = Array.from({ length: 8 }, (_, index) => {
            const engine = (round + index) % ENGINES;
            const value = announcementOf(engine, round, this.#address);
            const key = `servers/${engineName(engine)}`;
            this.#store.put(key, value);
            return { key, revision: this.#store.revision, value: JSON.stringify(value) };
        });
        const afterRevision = this.#forwarded;
        this.#forwarded = this.#store.revision;
        const host = PEERS[0] ?? "";
        this.#latest = { type: "changes", host, afterRevision, revision: this.#forwarded, changes };
        return this.#latest;
    }

    get revision(): number {
        return this.#forwarded;
    }
}

/** Registers the fleet's hosts, the engines and their holders. */
function fillStore(store: PlatformStoreStandIn, address: string, gossipOf: (host: string) => string): void {
    const register = (host: string, zone: string): void => {
        const addresses = { callers: gossipOf(host), gossip: gossipOf(host), state: gossipOf(host) };
        store.put(`hosts/${host}`, { host, session: `s-${host}`, zone, addresses });
    };
    PEERS.forEach(host => register(host, "zone-a"));
    for (let cell = 1; cell <= OTHER_CELLS; cell += 1) {
        for (let index = 0; index < HOSTS_PER_CELL; index += 1) {
            register(`far-${cell}-${index}`, `zone-${cell}`);
        }
    }
    for (let index = 0; index < ENGINES; index += 1) {
        const host = PEERS[index % CELL_PEERS] ?? "";
        store.put(`servers/${engineName(index)}`, announcementOf(index, 1, address));
        store.put(`holders/${engineName(index)}`, { host, session: `s-${host}`, released: false, settled: true });
    }
    store.put("op/config", CONFIGURATION);
}

function trafficOf(changes: ForwardedChanges, gossipOf: (host: string) => string): RepeatedMessages[] {
    const digests = PEERS.map((host, index) => {
        const addresses = { callers: gossipOf(host), gossip: gossipOf(host), state: gossipOf(host) };
        const feeds = index < WATCHERS;
        return {
            perSecond: DIGESTS_PER_SECOND / CELL_PEERS,
            next: (round: number) =>
                digestOf(index, round, { host, feeds, storeRevision: changes.revision, addresses }),
        };
    });
    return [
        ...digests,
        { perSecond: SUMMARIES_PER_SECOND / 2, next: round => summaryOf(1 + round % OTHER_CELLS, "cell", round) },
        { perSecond: SUMMARIES_PER_SECOND / 2, next: round => summaryOf(1, "rest", round) },
        { perSecond: CHANGES_PER_SECOND, next: round => changes.next(round) },
        {
            perSecond: NEWS_PER_SECOND,
            next: round => ({ type: "news", host: PEERS[0] ?? "", engine: memoryOf(round % ENGINES, 10 + round) }),
        },
    ];
}

/** Returns the processor time that a process has used. */
function readProcessorMilliseconds(processId: number): number {
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK;
}

type Figures = ReadonlyMap<string, number>;

/** Returns the counts and the time spent that a host's metrics tell of the messages, by type and part. */
async function readFigures(port: number, processId: number): Promise<Figures> {
    const { body } = await callAuxiliaryServer({ address: "127.0.0.1", port }, "/metrics");
    const figures = new Map([["process", readProcessorMilliseconds(processId)]]);
    for (const [, subject = "", value] of body.matchAll(/spent_seconds_total\{subject="([^"]+)"\} (\S+)/g)) {
        figures.set(subject, Number(value) * MILLISECONDS_PER_SECOND);
    }
    for (const [, type = "", value] of body.matchAll(/received_datagrams_total\{type="([^"]+)"\} (\S+)/g)) {
        figures.set(`count-${type}`, Number(value));
    }
    return figures;
}

function difference(after: Figures, before: Figures): Figures {
    return new Map([...after].map(([name, value]) => [name, value - (before.get(name) ?? 0)]));
}

interface Site {
    readonly store: PlatformStoreStandIn;
    readonly service: RecordingService;
    readonly settings: EntryProgramSettings;
    readonly program: EntryProgram;
    readonly sender: VariedMessageSender;
}

function keepCallersWaiting({ settings }: Site): void {
    const host = { settings: { callers: { address: "127.0.0.1", port: settings.callers } } };
    for (let index = 0; index < WAITING_CALLERS; index += 1) {
        const model = MODEL_NAMES[index % MODELS] ?? "";
        const headers = { "Flamingospread-Model": `${model}/a${10 + index % 20}` };
        void callHost(host, { path: `/llm/${index}`, method: "POST", headers }).catch(() => undefined);
    }
}

async function measureRun(bundle: BundledProgram, profileFolder: string | undefined): Promise<Figures> {
    const store = await PlatformStoreStandIn.start();
    const service = await RecordingService.start();
    const settings = await createEntrySettings(store.address);
    const [metricsPort = 0] = await findFreePorts(1);
    const sender = await VariedMessageSender.open(PEERS.length, settings.gossip);
    const gossipOf = (host: string): string => sender.addressOf(Math.max(0, PEERS.indexOf(host)));
    fillStore(store, service.address, gossipOf);
    const profiling = profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, ...profiling, bundle.launcher], {
        FLAMINGOSPREAD_METRICS_PORT: String(metricsPort),
    });
    const processId = program.child.pid ?? 0;
    try {
        await waitUntilProgramReady(settings);
        sender.start(trafficOf(new ForwardedChanges(store, service.address), gossipOf));
        keepCallersWaiting({ store, service, settings, program, sender });
        const before = await readFigures(metricsPort, processId);
        await delay(MEASURED_MILLISECONDS);
        return difference(await readFigures(metricsPort, processId), before);
    }
    finally {
        if (profileFolder !== undefined) {
            program.child.kill("SIGTERM");
            await program.ended;
        }
        await program.close();
        sender.close();
        service.close();
        await store.close();
    }
}

function median(values: readonly number[]): number {
    return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

function printFigures(runs: readonly Figures[]): void {
    const of = (name: string): string => median(runs.map(run => run.get(name) ?? 0)).toFixed(0);
    const each = (type: string, part: string): string =>
        median(runs.map(run => (run.get(`datagrams-${part}-${type}`) ?? 0) / (run.get(`count-${type}`) ?? 1)))
            .toFixed(3);
    console.log("| type | number | decode, ms each | apply, ms each |\n|---|---|---|---|");
    for (const type of ["digest", "summary", "changes", "news"]) {
        console.log(`| ${type} | ${of(`count-${type}`)} | ${each(type, "decoded")} | ${each(type, "applied")} |`);
    }
    console.log(
        `processor time ${of("process")} ms, of it reading ${of("datagrams-read")} (medians of ${runs.length})`,
    );
}

const runCount = Number(process.argv[2] ?? DEFAULT_RUNS);
const bundle = await bundleProgram();
try {
    spawnSync(process.execPath, [...NODE_OPTIONS, bundle.launcher, "prepare"]);
    const runs: Figures[] = [];
    for (let run = 0; run < runCount; run += 1) {
        runs.push(await measureRun(bundle, process.argv[3]));
    }
    printFigures(runs);
}
finally {
    bundle.close();
}
