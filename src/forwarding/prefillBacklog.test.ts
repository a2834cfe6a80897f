import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PrefillBacklog } from "./index.js";

/** Engine of the site's description: each step prefills one piece of the prompts beside one token of every stream. */
const ENGINE = { stepMilliseconds: 5.5, pieceTokens: 2_048, tokensPerEvent: 5 };
const PREFILL_TOKENS_PER_MILLISECOND = 38;
/** Draft request of the sites: of its 715 tokens the engine has cached 172 from earlier prompts. */
const PROMPT = { promptTokens: 715, prefillTokens: 543 };
const HOSTS = 9;
const PROMPTS_PER_HOST = 5;
const TARGET_GAP_MILLISECONDS = 150;
const GOSSIP_DELAY_MILLISECONDS = 2;
const RETRY_INTERVAL_MILLISECONDS = 10;
const EVENTS = 11;

interface Stream {
    remainingPromptTokens: number;
    tokens: number;
    eventAt: number | undefined;
    longestGap: number;
    firstEventAt: number | undefined;
}

interface Host {
    readonly backlog: PrefillBacklog;
    waiting: number;
}

/** Simulates the engine until all streams have ended; `arrivals` returns how many prompts arrive by a step's start. */
function simulateEngine(
    arrivals: (now: number) => number,
    prefillTokensPerMillisecond = PREFILL_TOKENS_PER_MILLISECOND,
): Stream[] {
    const streams: Stream[] = [];
    const streamCount = HOSTS * PROMPTS_PER_HOST;
    let now = 0;
    while (streams.length < streamCount || streams.some(({ tokens }) => tokens < EVENTS * ENGINE.tokensPerEvent)) {
        for (let arrived = arrivals(now); arrived > 0; arrived -= 1) {
            const remainingPromptTokens = PROMPT.prefillTokens;
            streams.push({
                remainingPromptTokens,
                tokens: 0,
                eventAt: undefined,
                longestGap: 0,
                firstEventAt: undefined,
            });
        }
        let piece = ENGINE.pieceTokens;
        for (const stream of streams) {
            const prefilled = Math.min(piece, stream.remainingPromptTokens);
            stream.remainingPromptTokens -= prefilled;
            piece -= prefilled;
        }
        now += ENGINE.stepMilliseconds + (ENGINE.pieceTokens - piece) / prefillTokensPerMillisecond;
        streams.filter(({ remainingPromptTokens }) => remainingPromptTokens === 0).forEach(stream =>
            advance(stream, now)
        );
    }
    return streams;
}

function advance(stream: Stream, now: number): void {
    stream.tokens += 1;
    if (stream.tokens % ENGINE.tokensPerEvent === 1 && stream.tokens <= EVENTS * ENGINE.tokensPerEvent) {
        stream.longestGap = Math.max(stream.longestGap, now - (stream.eventAt ?? now));
        stream.firstEventAt ??= now;
        stream.eventAt = now;
    }
}

function createHosts(seed: number): Host[] {
    const random = createSeededRandom(seed);
    return Array.from({ length: HOSTS }, () => ({ backlog: new PrefillBacklog(random), waiting: 0 }));
}

/**
 * Returns the arrivals from hosts whose requests wait for a model that is loaded at `begin`. The hosts report each sent
 * prompt to each other.
 */
function pacedArrivals(hosts: readonly Host[], begin = 0): (now: number) => number {
    for (const host of hosts) {
        host.waiting = PROMPTS_PER_HOST;
    }
    const pendingReports: { readonly atMilliseconds: number; readonly sender: number; }[] = [];
    let time = 0;
    return now => {
        let arrived = 0;
        for (; time <= now; time += 1) {
            while (pendingReports[0] !== undefined && pendingReports[0].atMilliseconds <= time) {
                const sender = pendingReports.shift()?.sender;
                const receivers = hosts.filter((_host, index) => index !== sender);
                receivers.forEach(({ backlog }) =>
                    backlog.recordSentByPeer("engine", PROMPT.promptTokens, begin + time)
                );
            }
            for (const [sender, host] of time % RETRY_INTERVAL_MILLISECONDS === 0 ? hosts.entries() : []) {
                const prompt = { promptTokens: PROMPT.promptTokens, hostCount: HOSTS, waits: true };
                while (host.waiting > 0 && host.backlog.accepts("engine", prompt, begin + time)) {
                    host.backlog.recordSent("engine", PROMPT.promptTokens, begin + time);
                    host.waiting -= 1;
                    arrived += 1;
                    pendingReports.push({ atMilliseconds: time + GOSSIP_DELAY_MILLISECONDS, sender });
                }
            }
        }
        return arrived;
    };
}

function exceedsTargetGap({ longestGap }: Stream): boolean {
    return longestGap > TARGET_GAP_MILLISECONDS;
}

function latestFirstEventAt(streams: readonly Stream[]): number {
    return Math.max(...streams.map(({ firstEventAt }) => firstEventAt ?? 0));
}

test("requests that waited for the same model cause no stream gap longer than callers accept", () => {
    const simultaneous = simulateEngine(now => now === 0 ? HOSTS * PROMPTS_PER_HOST : 0);
    assert.ok(
        simultaneous.filter(exceedsTargetGap).length > 20,
        "sent simultaneously, they cause excessive gaps in more than 20 of 45 streams",
    );
    for (let seed = 1; seed <= 20; seed += 1) {
        const paced = simulateEngine(pacedArrivals(createHosts(seed)));
        const longest = Math.max(...paced.map(({ longestGap }) => longestGap));
        assert.ok(longest <= TARGET_GAP_MILLISECONDS, `${Math.round(longest)} ms, seed ${seed}`);
        const latenessFactor = latestFirstEventAt(paced) / latestFirstEventAt(simultaneous);
        assert.ok(
            latenessFactor < 2.5,
            `the last first event is ${latenessFactor.toFixed(2)} times as late, seed ${seed}`,
        );
    }
});

/** Returns the share of streams with excessive gaps, and the mean limit, once hosts have adapted it to an engine. */
function measureAfterAdaptation(
    prefillTokensPerMillisecond: number,
): { readonly longGapShare: number; readonly limitTokens: number; } {
    const hosts = createHosts(7);
    let longGapCount = 0;
    for (let round = 0; round < 600; round += 1) {
        const begin = round * 10_000;
        const streams = simulateEngine(pacedArrivals(hosts, begin), prefillTokensPerMillisecond);
        longGapCount += round < 500 ? 0 : streams.filter(exceedsTargetGap).length;
        for (const [index, { firstEventAt, longestGap }] of streams.entries()) {
            const stream = {
                startedAtMilliseconds: begin + (firstEventAt ?? 0),
                longestGapMilliseconds: longestGap,
                acceptedGapMilliseconds: TARGET_GAP_MILLISECONDS,
            };
            hosts[index % HOSTS]?.backlog.recordStreamPart("engine", stream, begin + 5_000 + index);
        }
    }
    const limitTokens = hosts.reduce((sum, { backlog }) => sum + backlog.limitTokens, 0) / HOSTS;
    return { longGapShare: longGapCount / (100 * HOSTS * PROMPTS_PER_HOST), limitTokens };
}

test("the limit adapts to engines' throughput, and fewer than one stream in ten has excessive gaps", () => {
    const fast = measureAfterAdaptation(PREFILL_TOKENS_PER_MILLISECOND * 2);
    const slow = measureAfterAdaptation(PREFILL_TOKENS_PER_MILLISECOND / 2);
    const seen = JSON.stringify({ fast, slow });
    assert.ok(fast.limitTokens > 4_000 && fast.longGapShare < 0.1, seen);
    assert.ok(slow.limitTokens < 2_000 && slow.longGapShare < 0.1, seen);
});

test("a gap beside a small prefill backlog, or one far longer than accepted, does not change the limit", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    const stream = { startedAtMilliseconds: 0, longestGapMilliseconds: 300, acceptedGapMilliseconds: 150 };
    backlog.recordSent("engine", 700, 10);
    backlog.recordStreamPart("engine", stream, 500);
    assert.equal(backlog.limitTokens, 2_600);
    backlog.recordSent("engine", 1_400, 510);
    backlog.recordStreamPart("engine", { ...stream, longestGapMilliseconds: 900 }, 600);
    assert.equal(backlog.limitTokens, 2_600);
    backlog.recordStreamPart("engine", stream, 700);
    assert.equal(backlog.limitTokens, 2_340);
    backlog.recordStreamPart("engine", stream, 800);
    assert.equal(backlog.limitTokens, 2_340, "the same gap lowers the limit once");
});

test("accepts a prompt of any length on an idle engine, and the next one when the first is nearly prefilled", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    assert.ok(backlog.accepts("engine", { promptTokens: 9_000, hostCount: 9, waits: false }, 0));
    backlog.recordSent("engine", 9_000, 0);
    const next = { promptTokens: 300, hostCount: 9, waits: false };
    assert.ok(!backlog.accepts("engine", next, 50));
    assert.ok(backlog.accepts("engine", next, 200));
});

test("hosts that see room at the same moment fill it on average, each in proportion to its share", () => {
    const random = createSeededRandom(3);
    const sent: number[] = [];
    for (let moment = 0; moment < 400; moment += 1) {
        const hosts = Array.from({ length: 9 }, () => new PrefillBacklog(random));
        const prompt = { promptTokens: 715, hostCount: 9, waits: true };
        sent.push(hosts.filter(backlog => backlog.accepts("engine", prompt, 0)).length);
    }
    const mean = sent.reduce((sum, count) => sum + count, 0) / sent.length * 715;
    assert.ok(mean > 2_400 && mean < 2_800, `${Math.round(mean)} tokens at once`);
});

test("a single host fills the room, and sends again only once part of the backlog is prefilled", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    const prompt = { promptTokens: 700, hostCount: 1, waits: true };
    let count = 0;
    while (backlog.accepts("engine", prompt, 0)) {
        backlog.recordSent("engine", prompt.promptTokens, 0);
        count += 1;
    }
    assert.equal(count, 3);
    assert.ok(!backlog.accepts("engine", prompt, 5));
    assert.ok(backlog.accepts("engine", prompt, 30));
});

test("prompts sent by peers count like those that this host sent", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    for (let prompt = 0; prompt < 4; prompt += 1) {
        backlog.recordSentByPeer("engine", 700, 0);
    }
    assert.ok(!backlog.accepts("engine", { promptTokens: 700, hostCount: 7, waits: false }, 0));
    assert.ok(backlog.accepts("engine", { promptTokens: 700, hostCount: 7, waits: false }, 50));
});
