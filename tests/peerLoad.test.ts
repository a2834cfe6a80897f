/**
 * A host that gets a hundred times the usual messages of its peers goes on to act on its callers' connections.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";
import {
    createBusyAggregate,
    createBusyDigest,
    MessageRepeater,
    type RepeatedMessage,
} from "./support/busyMessages.js";
import { createEntrySettings, startEntryProgram, waitUntilProgramReady } from "./support/entryProgram.js";
import {
    callAuxiliaryServer,
    type CallerAnswer,
    callHost,
    engineSettings,
    HOST_NAME,
    until,
} from "./support/entrySite.js";
import { RecordingService } from "./support/recordingService.js";
import { measureRunDelays } from "./support/runDelays.js";

/** How many times the usual rate each message is sent. */
const LOAD_FACTOR = 100;

const CELL_PEERS = 10;
const OTHER_CELLS = 5;

/** Digests of a host a second, as in a cell of 11 hosts. */
const DIGESTS_PER_SECOND = 1.9;

/** Aggregates of another cell a second that its representative sends to that of this one. */
const AGGREGATES_PER_SECOND = 1.9;

/** Closes, deadlines and cancellations are acted on within this time. */
const REACTION_MILLISECONDS = 500;

const TIMEOUT_MILLISECONDS = 1_000;

const CALLERS = 100;
const CALLER_INTERVAL_MILLISECONDS = 30;

/** Callers that leave do so before their request can be answered, or almost at once. */
const LEAVING_AFTER_MILLISECONDS = [300, 5];

/** Callers that wait for an adapter, beside. */
const WAITING_CALLER_INTERVAL_MILLISECONDS = 10;

const LOAD_BEFORE_CALLERS_MILLISECONDS = 1_000;

/** The engines and models of which the digests of the cell tell. */
const ENGINES = Array.from({ length: 11 }, (_, index) => `i-0${index}f48a9c01`);
const MODELS = Array.from({ length: 12 }, (_, index) => `model-${index}a7f3`);

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "r",
        host: HOST_NAME,
        pathPrefix: "/a/",
        kind: "idempotent",
        timeoutMs: TIMEOUT_MILLISECONDS,
        targetLatencyMs: 200,
        priority: 0,
        service: "plain",
        maxAttempts: 1,
    }, {
        name: "llm",
        host: HOST_NAME,
        pathPrefix: "/llm/",
        kind: "stream",
        timeoutMs: 6_000,
        targetLatencyMs: 200,
        priority: 0,
        service: "llm",
        maxAttempts: 1,
    }],
    services: [
        { name: "plain", healthPath: "/healthz", maxConnections: 400 },
        {
            name: "llm",
            healthPath: "/healthz",
            maxConnections: 400,
            engine: engineSettings(4, Object.fromEntries(MODELS.map(model => [model, 40]))),
        },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

function usualMessages(): RepeatedMessage[] {
    const peers = Array.from({ length: CELL_PEERS }, (_, index) => `front-${index}`);
    const digests = peers.map(host => ({ message: createBusyDigest(host, 0), perSecond: DIGESTS_PER_SECOND }));
    const aggregates = Array.from({ length: OTHER_CELLS }, (_, index) => ({
        message: createBusyAggregate(index + 1, CELL_PEERS),
        perSecond: AGGREGATES_PER_SECOND,
    }));
    return [...digests, ...aggregates];
}

/** A host under load, and the service that its callers' requests go to. */
interface LoadedHost {
    readonly service: RecordingService;
    readonly processId: number;
    readonly call: (path: string, disconnectAfterMilliseconds?: number) => Promise<CallerAnswer>;
    readonly callWithModel: (path: string, model: string) => Promise<CallerAnswer>;
    /** Returns how many hosts it names to callers, itself included. */
    readonly countNamedHosts: () => Promise<number>;
}

/** Starts the bundled program as a process, and sends it the messages of its peers at a multiple of their usual rate. */
async function startLoadedHost(context: TestContext, hasEngines: boolean): Promise<LoadedHost> {
    const store = await PlatformStoreStandIn.start();
    const service = await RecordingService.start();
    store.put("servers/i-1", {
        service: "plain",
        address: service.address,
        zone: "zone-a",
        version: "v1",
        slots: 400,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 40,
        born: 1_700_000_000_000,
        models: [],
    });
    if (hasEngines) {
        putEngines(store, service.address);
    }
    store.put("op/config", CONFIGURATION);
    const settings = await createEntrySettings(store.address);
    const bundle = await bundleProgram();
    const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundle.launcher]);
    context.after(async () => {
        await program.close();
        bundle.close();
        service.close();
        await store.close();
    });
    await waitUntilProgramReady(settings);
    const messages = usualMessages().map(each => ({ ...each, perSecond: each.perSecond * LOAD_FACTOR }));
    const repeater = await MessageRepeater.start(messages, settings.gossip);
    context.after(() => repeater.close());
    const host = { settings: { callers: { address: "127.0.0.1", port: settings.callers } } };
    const directory = { address: "127.0.0.1", port: settings.directory };
    assert.ok(program.child.pid !== undefined);
    return {
        service,
        processId: program.child.pid,
        call: (path, disconnectAfterMilliseconds) =>
            callHost(host, {
                path,
                ...disconnectAfterMilliseconds === undefined ? {} : { disconnectAfterMilliseconds },
            }),
        callWithModel: (path, model) =>
            callHost(host, { path, method: "POST", headers: { "Flamingospread-Model": model } }),
        countNamedHosts: async () => {
            const { body } = await callAuxiliaryServer(directory, "/resolve?zone=zone-a");
            return (JSON.parse(body) as { readonly addresses: readonly string[]; }).addresses.length;
        },
    };
}

/** Announces engines with models and without the adapters that callers wait for. */
function putEngines(store: PlatformStoreStandIn, address: string): void {
    ENGINES.forEach((engine, index) =>
        store.put(`servers/${engine}`, {
            service: "llm",
            address: address.replace("127.0.0.1", `127.0.1.${index + 1}`),
            zone: "zone-a",
            version: "v1",
            slots: 8,
            state: "ready",
            coldRemainingMs: 0,
            sequence: 40,
            born: 1_777_820_567_195,
            models: [MODELS[index], MODELS[index + 1]],
        })
    );
}

/** Keeps callers waiting for adapters that no engine holds, until the test ends. */
function keepCallersWaiting(context: TestContext, { callWithModel }: Pick<LoadedHost, "callWithModel">): void {
    let count = 0;
    const timer = setInterval(() => {
        count += 1;
        const model = MODELS[count % MODELS.length] ?? "";
        void callWithModel(`/llm/${count}`, `${model}/a${4 + count % 36}`);
    }, WAITING_CALLER_INTERVAL_MILLISECONDS);
    context.after(() => clearInterval(timer));
}

function leavingPath(index: number): string {
    return `/a/leaving-${index}`;
}

async function assertActsInTime(context: TestContext, host: LoadedHost): Promise<void> {
    const { call, countNamedHosts, processId, service } = host;
    await until(async () => (await countNamedHosts()) === CELL_PEERS + 1);
    await delay(LOAD_BEFORE_CALLERS_MILLISECONDS);
    const runDelays = [processId, process.pid].map(id => measureRunDelays(id));
    context.after(() => runDelays.forEach(each => each.close()));
    /** Returns a duration without the time in which the host or its callers had no processor. */
    const ownTime = (fromMilliseconds: number, toMilliseconds: number): number =>
        runDelays.reduce(
            (milliseconds, each) => milliseconds - each.between(fromMilliseconds, toMilliseconds),
            toMilliseconds - fromMilliseconds,
        );
    const leftAt: Promise<number>[] = [];
    const answers: Promise<{ readonly sentAt: number; readonly answeredAt: number; }>[] = [];
    for (let index = 0; index < CALLERS; index += 1) {
        const afterMilliseconds = LEAVING_AFTER_MILLISECONDS[index % LEAVING_AFTER_MILLISECONDS.length] ?? 0;
        leftAt.push(call(leavingPath(index), afterMilliseconds).then(() => performance.now()));
        const sentAt = performance.now();
        answers.push(call(`/a/waiting-${index}`).then(() => ({ sentAt, answeredAt: performance.now() })));
        await delay(CALLER_INTERVAL_MILLISECONDS);
    }
    const namedHosts = await countNamedHosts();
    const answered = await Promise.all(answers);
    const left = await Promise.all(leftAt);
    await delay(REACTION_MILLISECONDS * 2);
    const worked = left.map((atMilliseconds, index) => {
        const recorded = service.requests.get(leavingPath(index));
        return recorded === undefined
            ? 0
            : ownTime(atMilliseconds, recorded.cancelledAtMilliseconds ?? performance.now());
    });
    const sentOn = left.map((atMilliseconds, index) => {
        const { arrivedAtMilliseconds = 0 } = service.requests.get(leavingPath(index)) ?? {};
        return arrivedAtMilliseconds > atMilliseconds ? ownTime(atMilliseconds, arrivedAtMilliseconds) : 0;
    });
    const late = answered.map(({ answeredAt, sentAt }) => ownTime(sentAt, answeredAt) - TIMEOUT_MILLISECONDS);
    const lateByClock = answered.map(({ answeredAt, sentAt }) => answeredAt - sentAt - TIMEOUT_MILLISECONDS);
    const isTooLong = (milliseconds: number): boolean => milliseconds > REACTION_MILLISECONDS;
    const figures = {
        cancelledLate: worked.filter(isTooLong).length,
        sentOnLate: sentOn.filter(isTooLong).length,
        answeredLate: late.filter(isTooLong).length,
        latestAnswer: Math.round(Math.max(...late)),
        latestAnswerByClock: Math.round(Math.max(...lateByClock)),
        latestCancellation: Math.round(Math.max(...worked)),
        sentOnOfWaiting: [...service.requests.keys()].filter(path => path.startsWith("/a/waiting-")).length,
        namedHosts,
    };
    context.diagnostic(JSON.stringify(figures));
    assert.deepEqual(
        { cancelledLate: figures.cancelledLate, sentOnLate: figures.sentOnLate, answeredLate: figures.answeredLate },
        { cancelledLate: 0, sentOnLate: 0, answeredLate: 0 },
    );
    assert.equal(figures.sentOnOfWaiting, CALLERS, "requests were not sent on");
    assert.equal(namedHosts, CELL_PEERS + 1, "a peer whose messages wait is taken for one that is silent");
}

test("a host that gets a hundred times the usual messages acts on closes and deadlines within 0.5 s", async context => {
    await assertActsInTime(context, await startLoadedHost(context, false));
});

test("messages that may concern many waiting callers do not hold up the closes and deadlines of others", async context => {
    const host = await startLoadedHost(context, true);
    keepCallersWaiting(context, host);
    await assertActsInTime(context, host);
});
