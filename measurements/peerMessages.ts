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
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../standins/freePorts.js";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { type BundledProgram, bundleProgram, NODE_OPTIONS } from "../tests/support/bundledProgram.js";
import { VariedMessageSender } from "../tests/support/busyMessages.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "../tests/support/entryProgram.js";
import { callHost, engineSettings, HOST_NAME } from "../tests/support/entrySite.js";
import { RecordingService } from "../tests/support/recordingService.js";
import {
    difference,
    type Figures,
    fillStore,
    ForwardedChanges,
    MODEL_NAMES,
    PEERS,
    readFigures,
    type SiteEngines,
    trafficOf,
} from "./_peerSite.js";

const DEFAULT_RUNS = 5;
const MEASURED_MILLISECONDS = 6_000;

const ENGINES = 63;
const MODELS = MODEL_NAMES.length;
const WAITING_CALLERS = 12;

/** As the hosts of a day with trouble logged them. */
const MESSAGES_PER_SECOND = { digests: 45, summaries: 20, news: 22, changes: 14 };

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
    const engines: SiteEngines = {
        count: ENGINES,
        addressOf: index => service.address.replace("127.0.0.1", `127.0.1.${index + 1}`),
    };
    fillStore(store, engines, CONFIGURATION, gossipOf);
    const profiling = profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, ...profiling, bundle.launcher], {
        FLAMINGOSPREAD_METRICS_PORT: String(metricsPort),
    });
    const processId = program.child.pid ?? 0;
    try {
        await waitUntilProgramReady(settings);
        sender.start(trafficOf(engines, new ForwardedChanges(store, engines), MESSAGES_PER_SECOND, gossipOf));
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
