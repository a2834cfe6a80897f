/**
 * Measures what a young host spends at its start, at rest and on the requests of its first seconds.
 *
 * Each run starts the bundled program anew, as the build does, as one of 66 hosts before 112 engines. The host starts, is
 * at rest beside its peers' messages, serves requests, and serves requests beside the messages of busy peers. Run with
 * `npx tsx measurements/hostCost.ts [runs] [folder for processor profiles]`.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../standins/freePorts.js";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { type BundledProgram, bundleProgram, NODE_OPTIONS } from "../tests/support/bundledProgram.js";
import { VariedMessageSender } from "../tests/support/busyMessages.js";
import {
    createEntrySettings,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "../tests/support/entryProgram.js";
import { callAuxiliaryServer, callHost, engineSettings, HOST_NAME } from "../tests/support/entrySite.js";
import {
    engineName,
    fillStore,
    ForwardedChanges,
    MODEL_NAMES,
    modelsOf,
    PEERS,
    readProcessorMilliseconds,
    type SiteEngines,
    trafficOf,
} from "./_peerSite.js";

const DEFAULT_RUNS = 3;
const PHASE_MILLISECONDS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
const ENGINES = 112;
const REQUESTS_PER_SECOND = 9;

/** Every third caller asks for the addresses of hosts first. */
const REQUESTS_PER_LOOK_UP = 3;

/** Every tenth request names an adapter that no engine holds, and waits until it is refused. */
const REQUESTS_PER_WAITING = 10;
const UNHELD_ADAPTERS = 30;
const ADAPTERS = ["a0", "a1", "a2", "a3"];

const FEWEST_EVENTS = 17;
const MORE_EVENTS = 27;
const EVENT_GAP_MILLISECONDS = 25;
const FIRST_TOKEN_MILLISECONDS = 80;
const EVENT_PADDING_BYTES = 120;

const MESSAGES_AT_REST = { digests: 25, summaries: 5, news: 0, changes: 0 };
const MESSAGES_IN_TRAFFIC = { digests: 45, summaries: 20, news: 22, changes: 14 };

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "llm",
        host: HOST_NAME,
        pathPrefix: "/llm/",
        kind: "stream",
        timeoutMs: 15_000,
        targetLatencyMs: 1_000,
        targetGapMs: 150,
        priority: 0,
        service: "llm",
        maxAttempts: 2,
    }],
    services: [{
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 400,
        engine: engineSettings(8, Object.fromEntries(MODEL_NAMES.map(model => [model, 40]))),
    }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** Counts of the answers that callers received. */
interface Answers {
    served: number;
    refused: number;
    events: number;
}

/** Processor time of one run, and the answers of its phases. */
interface RunFigures {
    readonly start: number;
    readonly rest: number;
    readonly requests: number;
    readonly both: number;
    readonly alone: Answers;
    readonly beside: Answers;
}

function startEngines(): Promise<PlatformUpstreamStandIn[]> {
    return Promise.all(Array.from({ length: ENGINES }, (_, index) =>
        PlatformUpstreamStandIn.start({
            id: engineName(index),
            slots: 8,
            models: Object.fromEntries(modelsOf(index).map(model => [model, ADAPTERS])),
            behave: ({ id }) => ({
                type: "stream",
                events: FEWEST_EVENTS + Number(id.split("-").at(-1)) % MORE_EVENTS,
                gapMilliseconds: EVENT_GAP_MILLISECONDS,
                firstTokenMilliseconds: FIRST_TOKEN_MILLISECONDS,
                paddingBytes: EVENT_PADDING_BYTES,
            }),
        })));
}

/** Sends requests at a steady rate, as callers on connections of their own do. */
class Callers {
    readonly #settings: EntryProgramSettings;
    readonly #open = new Set<Promise<void>>();
    #count = 0;

    constructor(settings: EntryProgramSettings) {
        this.#settings = settings;
    }

    /** Sends for one phase, and returns the answers that have come once all have. */
    async send(milliseconds: number): Promise<Answers> {
        const answers = { served: 0, refused: 0, events: 0 };
        const startedAt = performance.now();
        for (let sent = 0; performance.now() - startedAt < milliseconds; sent += 1) {
            const call = this.#call(answers).finally(() => this.#open.delete(call));
            this.#open.add(call);
            await delay(startedAt + (sent + 1) * MILLISECONDS_PER_SECOND / REQUESTS_PER_SECOND - performance.now());
        }
        await Promise.all(this.#open);
        return answers;
    }

    async #call(answers: Answers): Promise<void> {
        this.#count += 1;
        const number = this.#count;
        if (number % REQUESTS_PER_LOOK_UP === 0) {
            const { directory } = this.#settings;
            await callAuxiliaryServer({ address: "127.0.0.1", port: directory }, `/resolve?host=${HOST_NAME}`);
        }
        const { body, status } = await callHost(
            { settings: { callers: { address: "127.0.0.1", port: this.#settings.callers } } },
            {
                path: `/llm/${number}`,
                method: "POST",
                id: `measured-${number}`,
                body: "x".repeat(200),
                headers: { "Flamingospread-Model": this.#modelOf(number), "Flamingospread-Token-Count": "120,40" },
            },
        );
        answers[status === 200 ? "served" : "refused"] += 1;
        answers.events += status === 200 ? body.split("\n\n").length - 1 : 0;
    }

    #modelOf(number: number): string {
        const model = MODEL_NAMES[number * 7 % MODEL_NAMES.length] ?? "";
        if (number % REQUESTS_PER_WAITING === 0) {
            return `${model}/b${number % UNHELD_ADAPTERS}`;
        }
        return model;
    }
}

async function measureRun(bundle: BundledProgram, profileFolder: string | undefined): Promise<RunFigures> {
    const store = await PlatformStoreStandIn.start();
    const upstreams = await startEngines();
    const engines: SiteEngines = { count: ENGINES, addressOf: index => upstreams[index]?.address ?? "" };
    const settings = await createEntrySettings(store.address);
    const [metricsPort = 0] = await findFreePorts(1);
    const rest = await VariedMessageSender.open(PEERS.length, settings.gossip);
    const gossipOf = (host: string): string => rest.addressOf(Math.max(0, PEERS.indexOf(host)));
    fillStore(store, engines, CONFIGURATION, gossipOf);
    const profiling = profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, ...profiling, bundle.launcher], {
        FLAMINGOSPREAD_METRICS_PORT: String(metricsPort),
    });
    const spent = (): number => readProcessorMilliseconds(program.child.pid ?? 0);
    const changes = new ForwardedChanges(store, engines);
    try {
        await waitUntilProgramReady(settings);
        const start = spent();
        rest.start(trafficOf(engines, changes, MESSAGES_AT_REST, gossipOf));
        await delay(PHASE_MILLISECONDS);
        const afterRest = spent();
        rest.stop();
        const callers = new Callers(settings);
        const alone = await callers.send(PHASE_MILLISECONDS);
        const afterAlone = spent();
        rest.start(trafficOf(engines, changes, MESSAGES_IN_TRAFFIC, gossipOf));
        const beside = await callers.send(PHASE_MILLISECONDS);
        const both = spent() - afterAlone;
        return { start, rest: afterRest - start, requests: afterAlone - afterRest, both, alone, beside };
    }
    finally {
        if (profileFolder !== undefined) {
            program.child.kill("SIGTERM");
            await program.ended;
        }
        await program.close();
        rest.close();
        await Promise.all([...upstreams, store].map(each => each.close()));
    }
}

function printRun({ alone, beside, both, requests, rest, start }: RunFigures): void {
    const count = ({ refused, served }: Answers): number => refused + served;
    const each = (spentMilliseconds: number, answers: Answers): string =>
        `${spentMilliseconds} | ${count(answers)} (${answers.refused} refused) | ${answers.events} | ${
            (spentMilliseconds / count(answers)).toFixed(1)
        }`;
    console.log(`| ${start} | ${rest} | ${each(requests, alone)} | ${each(both, beside)} |`);
}

const runCount = Number(process.argv[2] ?? DEFAULT_RUNS);
const bundle = await bundleProgram();
try {
    spawnSync(process.execPath, [...NODE_OPTIONS, bundle.launcher, "prepare"]);
    console.log(
        "| start, ms | at rest, ms | requests alone, ms | number | events | ms each | beside messages, ms |"
            + " number | events | ms each |\n|---|---|---|---|---|---|---|---|---|---|",
    );
    for (let run = 0; run < runCount; run += 1) {
        printRun(await measureRun(bundle, process.argv[3]));
    }
}
finally {
    bundle.close();
}
