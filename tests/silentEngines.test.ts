/**
 * A sound engine may fall silent for a second or two and go on: no answer of it may be cut off or replaced for that.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, beforeEach, test } from "node:test";
import { type Behaviour, type PlatformUpstreamStandIn, type ReceivedRequest } from "../standins/platform/upstream.js";
import {
    callHost,
    engineSettings,
    EntrySite,
    type HostOptions,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { allEventIds, eventIds, holdAnswer, type TimedAnswer } from "./support/heldAnswer.js";

const STREAMS = 40;
const EVENTS = 8;
const SILENT_MILLISECONDS = 1_500;
const HANGING_MILLISECONDS = 6_000;

/** Streams whose prompts one engine prefills within half a second. */
const LONG_PROMPTS = 8;

/** Interval of prompts of which three engines can prefill only a part. */
const PROMPT_INTERVAL_MILLISECONDS = 8;

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

/** Target latency of the reads; an answer that takes longer than some of these is late, but owed. */
const TARGET_MILLISECONDS = 200;

/** Slots of an engine on which forty streams are a light load. */
const MANY_SLOTS = 100;

const SILENT_STREAM = {
    type: "stream",
    events: EVENTS,
    gapMilliseconds: 200,
    silentAfter: 2,
    silentMilliseconds: SILENT_MILLISECONDS,
} as const satisfies Behaviour;

/** How the engines other than the silent one answer. */
interface OtherEngines {
    readonly slots: number;
    readonly behave: (request: ReceivedRequest) => Behaviour;
    /** How the last of them answers, where it differs. */
    readonly behaveLast?: (request: ReceivedRequest) => Behaviour;
}

/** Runs its streams, but so slowly that its slots stay in use for several seconds. */
const FEW_SLOTS: OtherEngines = {
    slots: 3,
    behave: () => ({ type: "stream", events: EVENTS, gapMilliseconds: 700 }),
};

/** Has slots according to its announcement, but is filled by other hosts. */
const FULL: OtherEngines = { slots: MANY_SLOTS, behave: () => ({ type: "not-run", status: 503 }) };

/** One turns streams away, the other runs them. */
const ONE_FULL: OtherEngines = {
    ...FULL,
    behaveLast: () => ({ type: "stream", events: EVENTS, gapMilliseconds: 200 }),
};

/** Answers prompts, and runs streams, at once. */
const PROMPT_ENGINES: OtherEngines = {
    slots: MANY_SLOTS,
    behave: ({ path }) =>
        path.startsWith("/streams/") ? { type: "stream", events: EVENTS, gapMilliseconds: 50 } : { type: "answer" },
};

let site: EntrySite | undefined;

async function closeSite(): Promise<void> {
    for (const { host, lines } of site?.hosts ?? []) {
        if (!lines.some(({ message }) => message === "stopped")) {
            await host.close();
        }
    }
    await site?.close();
    site = undefined;
}

beforeEach(closeSite);
after(closeSite);

/** Starts a site with one engine, which is the only one until `addOtherEngines`. */
async function startSite(service: "plain" | "llm", behaviour: Behaviour, options: HostOptions = {}) {
    const started = await EntrySite.start();
    site = started;
    started.configure([
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000, service },
        { pathPrefix: "/reads/", kind: "idempotent", timeoutMs: 4_000, targetLatencyMs: TARGET_MILLISECONDS, service },
    ], engineSettings(4, { quotes: 0 }));
    const engine = await started.addUpstream({
        id: "i-silent",
        behave: ({ path }) => path === "/reads/prompt" ? { type: "answer" } : behaviour,
        slots: MANY_SLOTS,
        models: { quotes: [] },
    }, service);
    const host = await started.addHost("entry-1", options);
    await waitUntilReady(host);
    return { started, engine, host };
}

async function addOtherEngines(
    started: EntrySite,
    host: SiteHost,
    service: "plain" | "llm",
    { behave, behaveLast = behave, slots }: OtherEngines,
) {
    const ids = ["i-other-1", "i-other-2"];
    for (const id of ids) {
        const isLast = id === ids.at(-1);
        await started.addUpstream({ id, behave: isLast ? behaveLast : behave, slots, models: { quotes: [] } }, service);
    }
    await until(() =>
        ids.every(id =>
            host.lines.some(({ fields, message }) => message === "upstream joined" && fields["upstream"] === id)
        )
    );
}

/** Begins forty streams at the engine, and returns their answers once other engines were added. */
async function runStreams(
    others: OtherEngines,
    service: "plain" | "llm",
    options: HostOptions,
    behaviour: Behaviour = SILENT_STREAM,
): Promise<readonly TimedAnswer[]> {
    const { engine, host, started } = await startSite(service, behaviour, options);
    const answers = Array.from(
        { length: STREAMS },
        (_, index) => holdAnswer(host, { path: `/streams/${index}`, method: "POST" }),
    );
    await until(() => engine.received.length === STREAMS);
    await addOtherEngines(started, host, service, others);
    return Promise.all(answers.map(({ ended }) => ended));
}

function assertWhole(answers: readonly TimedAnswer[]): void {
    const cutOff = answers.filter(({ isComplete }) => !isComplete);
    assert.equal(cutOff.length, 0, `${cutOff.length} of ${answers.length} streams were cut off`);
    for (const { body, longestGapMilliseconds, status } of answers) {
        assert.deepEqual([status, eventIds(body)], [200, allEventIds(EVENTS)]);
        assert.ok(
            longestGapMilliseconds < CALLER_GAP_LIMIT_MILLISECONDS,
            `a gap of ${Math.round(longestGapMilliseconds)} ms`,
        );
    }
}

test("no stream of an engine that is silent for 1.5 s is cut off where the other engines have few free slots", async () => {
    assertWhole(await runStreams(FEW_SLOTS, "plain", { bounds: { retryExtra: 600 } }));
});

test("no stream of an engine that is silent for 1.5 s is cut off where the retry budget is nearly spent", async () => {
    assertWhole(await runStreams(FULL, "plain", { bounds: { retryExtra: 6, retryRatio: 0.01 } }));
});

test("no stream of an engine that is silent for 1.5 s is cut off where the other engines reject it as full", async () => {
    assertWhole(await runStreams(FULL, "plain", { bounds: { retryExtra: 600 } }));
});

test("streams of an engine that hangs move to one that accepts them before callers leave, although another rejects them", async () => {
    const hanging: Behaviour = { ...SILENT_STREAM, silentMilliseconds: HANGING_MILLISECONDS };
    assertWhole(await runStreams(ONE_FULL, "plain", { bounds: { retryExtra: 600 } }, hanging));
});

test("a stream of an engine that hangs moves although its timer fires a moment before the silence is long enough", async () => {
    const hanging: Behaviour = { ...SILENT_STREAM, silentMilliseconds: HANGING_MILLISECONDS };
    const options = { bounds: { retryExtra: 600 }, clockRate: 0.999 };
    assertWhole(await runStreams(ONE_FULL, "plain", options, hanging));
});

test("no stream of a silent engine is cut off where the prefill backlog of the other engines accepts no prompt", async () => {
    const { engine, host, started } = await startSite("llm", SILENT_STREAM, { bounds: { retryExtra: 600 } });
    const headers = { "Flamingospread-Model": "quotes", "Flamingospread-Token-Count": "1300,80" };
    const answers = Array.from(
        { length: LONG_PROMPTS },
        (_, index) => holdAnswer(host, { path: `/streams/${index}`, method: "POST", headers }),
    );
    await until(() => engine.received.length === LONG_PROMPTS);
    await addOtherEngines(started, host, "llm", PROMPT_ENGINES);
    const stopPrompts = sendPrompts(host);
    const ended = await Promise.all(answers.map(answer => answer.ended));
    await stopPrompts();
    assertWhole(ended);
});

/** Sends prompts until stopped, more than engines can prefill, so that they have a large backlog and little load. */
function sendPrompts(host: SiteHost): () => Promise<unknown> {
    const headers = { "Flamingospread-Model": "quotes", "Flamingospread-Token-Count": "1000,10" };
    const calls: Promise<unknown>[] = [];
    const timer = setInterval(() => {
        calls.push(callHost(host, { path: "/reads/prompt", method: "POST", headers }));
    }, PROMPT_INTERVAL_MILLISECONDS);
    return () => {
        clearInterval(timer);
        return Promise.all(calls);
    };
}

/** Sends reads to an engine that answers each after a silence, while other engines reject them as full. */
async function runReads(
    options: HostOptions,
): Promise<{ readonly statuses: readonly unknown[]; readonly engine: PlatformUpstreamStandIn; }> {
    const { engine, host, started } = await startSite(
        "plain",
        { type: "answer", afterMilliseconds: SILENT_MILLISECONDS },
        options,
    );
    const answers = Array.from({ length: STREAMS }, (_, index) => callHost(host, { path: `/reads/${index}` }));
    await until(() => engine.received.length === STREAMS);
    await addOtherEngines(started, host, "plain", FULL);
    return { statuses: (await Promise.all(answers)).map(({ status }) => status), engine };
}

test("a read at a sound engine that answers after several target latencies gets that answer where others are full", async () => {
    const { engine, statuses } = await runReads({ bounds: { retryExtra: 600 } });
    assert.deepEqual(statuses.filter(status => status !== 200), []);
    assert.deepEqual(engine.abandoned, [], "answers were given up at a sound engine");
});

test("a read at a sound engine that answers after several target latencies gets it where the retry budget is spent", async () => {
    const { engine, statuses } = await runReads({ bounds: { retryExtra: 6, retryRatio: 0.01 } });
    assert.deepEqual(statuses.filter(status => status !== 200), []);
    assert.deepEqual(engine.abandoned, [], "answers were given up at a sound engine");
});
