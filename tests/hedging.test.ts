/**
 * Which upstream a stalled request to a model goes on at, and for how long two of them have it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { type HeldAnswer, holdAnswer, type TimedAnswer } from "./support/heldAnswer.js";

const EVENTS = 20;
const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: 150 } as const satisfies Behaviour;
const HEADERS = { "Flamingospread-Model": "quotes" };
const ENGINE = engineSettings(4, { quotes: 0 });
const SLOTS = 100;
const PROMPT_TOKENS = 1_300;

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

/** Two engines may have a request of a model for this long. */
const MAXIMUM_OVERLAP_MILLISECONDS = 400;

/** An engine that hangs is left, and the streams end elsewhere, within this time. */
const ENDED_MILLISECONDS = 6_000;

let site: EntrySite;

beforeEach(async () => {
    site = await EntrySite.start();
});

afterEach(async () => {
    for (const { host } of site.hosts) {
        await host.close();
    }
    await site.close();
});

function configure(targetLatencyMs = 200, parts: Readonly<Record<string, unknown>> = {}): void {
    const common = { service: "llm", maxAttempts: 3 };
    site.configure(
        [
            {
                ...common,
                pathPrefix: "/streams/",
                kind: "stream",
                resumable: true,
                targetGapMs: 150,
                timeoutMs: 15_000,
            },
            { ...common, pathPrefix: "/reads/", kind: "idempotent", timeoutMs: 4_000, targetLatencyMs },
        ],
        ENGINE,
        parts,
    );
}

function addEngine(id: string, behaviour: Behaviour, zone = "zone-a"): Promise<PlatformUpstreamStandIn> {
    return site.addUpstream({ id, behave: () => behaviour, slots: SLOTS, models: { quotes: [] } }, "llm", { zone });
}

async function startHost(): Promise<SiteHost> {
    const host = await site.addHost("entry-1", { bounds: { retryExtra: 600 } });
    await waitUntilReady(host);
    return host;
}

function joined(host: SiteHost, id: string): Promise<void> {
    return until(() =>
        host.lines.some(({ fields, message }) => message === "upstream joined" && fields["upstream"] === id)
    );
}

async function beginStreams(host: SiteHost, count: number, name: string): Promise<readonly HeldAnswer[]> {
    const answers = Array.from(
        { length: count },
        (_, index) => holdAnswer(host, { path: `/streams/${name}-${index}`, method: "POST", headers: HEADERS }),
    );
    await until(() => answers.every(({ readBytes }) => readBytes() > 0));
    return answers;
}

function assertWhole(answers: readonly TimedAnswer[]): void {
    const gaps = answers.map(({ longestGapMilliseconds }) => Math.round(longestGapMilliseconds));
    const whole = answers.filter(({ isComplete, longestGapMilliseconds }) =>
        isComplete && longestGapMilliseconds < CALLER_GAP_LIMIT_MILLISECONDS
    );
    assert.equal(whole.length, answers.length, `gaps of ${gaps.join(", ")} ms`);
}

/** Fails unless all streams end whole soon; engines that hang are resumed then, so that the site can close. */
async function assertEndWhole(streams: readonly HeldAnswer[], hanging: readonly PlatformUpstreamStandIn[]) {
    const ended = Promise.all(streams.map(stream => stream.ended));
    const answers = await Promise.race([ended, delay(ENDED_MILLISECONDS)]);
    hanging.forEach(engine => engine.resume());
    await ended;
    assert.ok(answers !== undefined, "streams stayed at engines that hang");
    assertWhole(answers);
}

test("a stream is not given up for what its hedge's engine sent before the hedge was sent", async () => {
    configure();
    const first = await addEngine("i-first", STREAM);
    const host = await startHost();
    const streams = await beginStreams(host, 6, "first");
    const second = await addEngine("i-second", STREAM);
    await joined(host, "i-second");
    await beginStreams(host, 6, "second");
    first.pause(1_700);
    await delay(1_080);
    second.pause(1_700);
    assertWhole(await Promise.all(streams.map(({ ended }) => ended)));
});

test("an engine that answers is found although a nearer one is silent", async () => {
    configure();
    const hanging = await addEngine("i-hanging", STREAM);
    const host = await startHost();
    const streams = await beginStreams(host, 3, "hanging");
    const nearer = await addEngine("i-nearer", STREAM);
    await addEngine("i-sound", STREAM, "zone-b");
    await joined(host, "i-nearer");
    await joined(host, "i-sound");
    hanging.pause();
    nearer.pause();
    await assertEndWhole(streams, [hanging, nearer]);
});

test("an engine that hangs is left where its service has no health path", async () => {
    const service = { name: "llm", maxConnections: 100, protocol: "h1", tls: false, engine: ENGINE };
    configure(200, { services: [service] });
    const hanging = await addEngine("i-hanging", STREAM);
    const host = await startHost();
    const streams = await beginStreams(host, 3, "hanging");
    await addEngine("i-sound", { ...STREAM, firstTokenMilliseconds: 350 });
    await joined(host, "i-sound");
    hanging.pause();
    await assertEndWhole(streams, [hanging]);
});

test("stalled streams do not move to an engine that has more prompts to read than it can in time", async () => {
    configure();
    const paused = await addEngine("i-paused", STREAM);
    const host = await startHost();
    const headers = { ...HEADERS, "Flamingospread-Token-Count": `${PROMPT_TOKENS},80` };
    const streams = Array.from(
        { length: 30 },
        (_, index) => holdAnswer(host, { path: `/streams/${index}`, method: "POST", headers }),
    );
    await until(() => streams.every(({ readBytes }) => readBytes() > 0));
    await addEngine("i-other", { ...STREAM, firstTokenMilliseconds: 300 });
    await joined(host, "i-other");
    paused.pause(1_600);
    assertWhole(await Promise.all(streams.map(({ ended }) => ended)));
    const hedges = host.lines.filter(({ fields, message }) =>
        message === "request sent" && fields["upstream"] === "i-other"
    );
    const tooLong = hedges.filter(({ fields: { boundTokens, unreadTokens } }) =>
        Number(unreadTokens) > Math.max(Number(boundTokens), PROMPT_TOKENS)
    );
    assert.equal(tooLong.length, 0, `${tooLong.length} of ${hedges.length} hedges`);
});

test("no more than two engines have a request to a model, and none beside another for over 400 ms", async () => {
    configure(60);
    const ids = ["i-1", "i-2", "i-3"];
    const engines = await Promise.all(ids.map(id => addEngine(id, { type: "silent" })));
    const host = await startHost();
    await Promise.all(ids.map(id => joined(host, id)));
    const answer = holdAnswer(host, { path: "/reads/1", headers: HEADERS });
    const overlaps = await measureOverlaps(engines);
    assert.ok(overlaps.length > 0, "no hedge");
    assert.ok(Math.max(...overlaps) <= MAXIMUM_OVERLAP_MILLISECONDS, `overlaps of ${overlaps.join(", ")} ms`);
    await answer.ended;
});

/** Returns for how long each two of the engines had the one request that they are sent, within two seconds. */
async function measureOverlaps(engines: readonly PlatformUpstreamStandIn[]): Promise<readonly number[]> {
    const spans = new Map<PlatformUpstreamStandIn, { from: number; to: number; }>();
    const endsAt = performance.now() + 2_000;
    while (performance.now() < endsAt) {
        for (const engine of engines) {
            const now = performance.now();
            const span = spans.get(engine) ?? { from: now, to: Number.POSITIVE_INFINITY };
            if (engine.received.length > 0) {
                spans.set(engine, span);
            }
            if (engine.abandoned.length > 0) {
                span.to = Math.min(span.to, now);
            }
        }
        await delay(2);
    }
    const sorted = [...spans.values()].sort((left, right) => left.from - right.from);
    return sorted.flatMap((earlier, index) =>
        sorted.slice(index + 1).map(later => Math.max(0, Math.round(Math.min(earlier.to, endsAt) - later.from)))
    );
}
