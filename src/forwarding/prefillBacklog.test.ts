import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { PrefillBacklog } from "./index.js";

/** An engine as the sites' pages describe it: prompts are read in pieces, one piece beside each token of all streams. */
const ENGINE = { stepMilliseconds: 5.5, pieceTokens: 2_048, tokensPerEvent: 5 };
const READ_TOKENS_PER_MILLISECOND = 38;
/** As drafts on the sites: of 715 tokens the engine has 172 from earlier prompts. */
const PROMPT = { promptTokens: 715, readTokens: 543 };
const HOSTS = 9;
const PROMPTS_PER_HOST = 5;
const TARGET_GAP_MILLISECONDS = 150;
const GOSSIP_MILLISECONDS = 2;
const LOOK_AGAIN_MILLISECONDS = 10;
const EVENTS = 11;

interface Stream {
    unread: number;
    tokens: number;
    eventAt: number | undefined;
    longestGap: number;
    firstEventAt: number | undefined;
}

interface Host {
    readonly backlog: PrefillBacklog;
    waiting: number;
}

/** Runs the engine until all streams have ended; `arrivals` gives how many prompts arrive by a step's begin. */
function runEngine(
    arrivals: (now: number) => number,
    readTokensPerMillisecond = READ_TOKENS_PER_MILLISECOND,
): Stream[] {
    const streams: Stream[] = [];
    const all = HOSTS * PROMPTS_PER_HOST;
    let now = 0;
    while (streams.length < all || streams.some(({ tokens }) => tokens < EVENTS * ENGINE.tokensPerEvent)) {
        for (let arrived = arrivals(now); arrived > 0; arrived -= 1) {
            const unread = PROMPT.readTokens;
            streams.push({ unread, tokens: 0, eventAt: undefined, longestGap: 0, firstEventAt: undefined });
        }
        let piece = ENGINE.pieceTokens;
        for (const stream of streams) {
            const read = Math.min(piece, stream.unread);
            stream.unread -= read;
            piece -= read;
        }
        now += ENGINE.stepMilliseconds + (ENGINE.pieceTokens - piece) / readTokensPerMillisecond;
        streams.filter(({ unread }) => unread === 0).forEach(stream => advance(stream, now));
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

/** Hosts whose requests wait for a model that comes at `begin`, as they send them and tell each other. */
function paced(hosts: readonly Host[], begin = 0): (now: number) => number {
    for (const host of hosts) {
        host.waiting = PROMPTS_PER_HOST;
    }
    const told: { readonly atMilliseconds: number; readonly sender: number; }[] = [];
    let next = 0;
    return now => {
        let arrived = 0;
        for (; next <= now; next += 1) {
            while (told[0] !== undefined && told[0].atMilliseconds <= next) {
                const sender = told.shift()?.sender;
                const listeners = hosts.filter((_host, index) => index !== sender);
                listeners.forEach(({ backlog }) =>
                    backlog.recordSentByPeer("engine", PROMPT.promptTokens, begin + next)
                );
            }
            for (const [sender, host] of next % LOOK_AGAIN_MILLISECONDS === 0 ? hosts.entries() : []) {
                const prompt = { promptTokens: PROMPT.promptTokens, hostCount: HOSTS, waits: true };
                while (host.waiting > 0 && host.backlog.accepts("engine", prompt, begin + next)) {
                    host.backlog.recordSent("engine", PROMPT.promptTokens, begin + next);
                    host.waiting -= 1;
                    arrived += 1;
                    told.push({ atMilliseconds: next + GOSSIP_MILLISECONDS, sender });
                }
            }
        }
        return arrived;
    };
}

function pausesTooLong({ longestGap }: Stream): boolean {
    return longestGap > TARGET_GAP_MILLISECONDS;
}

function lastBegin(streams: readonly Stream[]): number {
    return Math.max(...streams.map(({ firstEventAt }) => firstEventAt ?? 0));
}

test("requests that waited for the same model pause no stream for longer than callers accept", () => {
    const together = runEngine(now => now === 0 ? HOSTS * PROMPTS_PER_HOST : 0);
    assert.ok(together.filter(pausesTooLong).length > 20, "sent together they pause more than 20 of 45");
    for (let seed = 1; seed <= 20; seed += 1) {
        const spread = runEngine(paced(createHosts(seed)));
        const longest = Math.max(...spread.map(({ longestGap }) => longestGap));
        assert.ok(longest <= TARGET_GAP_MILLISECONDS, `${Math.round(longest)} ms, seed ${seed}`);
        const later = lastBegin(spread) / lastBegin(together);
        assert.ok(later < 2.5, `the last one begins ${later.toFixed(2)} times as late, seed ${seed}`);
    }
});

/** Gives the share of streams that pause too long, and the bound, once hosts have seen an engine for a while. */
function settle(readTokensPerMillisecond: number): { readonly paused: number; readonly boundTokens: number; } {
    const hosts = createHosts(7);
    let paused = 0;
    for (let round = 0; round < 600; round += 1) {
        const begin = round * 10_000;
        const streams = runEngine(paced(hosts, begin), readTokensPerMillisecond);
        paused += round < 500 ? 0 : streams.filter(pausesTooLong).length;
        for (const [index, { firstEventAt, longestGap }] of streams.entries()) {
            const stream = {
                startedAtMilliseconds: begin + (firstEventAt ?? 0),
                longestPauseMilliseconds: longestGap,
                acceptedPauseMilliseconds: TARGET_GAP_MILLISECONDS,
            };
            hosts[index % HOSTS]?.backlog.recordStreamPart("engine", stream, begin + 5_000 + index);
        }
    }
    const boundTokens = hosts.reduce((sum, { backlog }) => sum + backlog.boundTokens, 0) / HOSTS;
    return { paused: paused / (100 * HOSTS * PROMPTS_PER_HOST), boundTokens };
}

test("the bound follows engines that read faster or more slowly, and one stream in ten pauses too long at most", () => {
    const fast = settle(READ_TOKENS_PER_MILLISECOND * 2);
    const slow = settle(READ_TOKENS_PER_MILLISECOND / 2);
    const seen = JSON.stringify({ fast, slow });
    assert.ok(fast.boundTokens > 4_000 && fast.paused < 0.1, seen);
    assert.ok(slow.boundTokens < 2_000 && slow.paused < 0.1, seen);
});

test("a stream that paused beside few unread prompts, or for far too long, tells nothing of the bound", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    const stream = { startedAtMilliseconds: 0, longestPauseMilliseconds: 300, acceptedPauseMilliseconds: 150 };
    backlog.recordSent("engine", 700, 10);
    backlog.recordStreamPart("engine", stream, 500);
    assert.equal(backlog.boundTokens, 2_600);
    backlog.recordSent("engine", 1_400, 510);
    backlog.recordStreamPart("engine", { ...stream, longestPauseMilliseconds: 900 }, 600);
    assert.equal(backlog.boundTokens, 2_600);
    backlog.recordStreamPart("engine", stream, 700);
    assert.equal(backlog.boundTokens, 2_340);
    backlog.recordStreamPart("engine", stream, 800);
    assert.equal(backlog.boundTokens, 2_340, "the same pause");
});

test("a prompt that finds the engine idle is sent at once, however long, and the next one once it is nearly read", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    assert.ok(backlog.accepts("engine", { promptTokens: 9_000, hostCount: 9, waits: false }, 0));
    backlog.recordSent("engine", 9_000, 0);
    const next = { promptTokens: 300, hostCount: 9, waits: false };
    assert.ok(!backlog.accepts("engine", next, 50));
    assert.ok(backlog.accepts("engine", next, 200));
});

test("hosts that see room at the same moment send no more than fills it, on average, and each as often as its share", () => {
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

test("a host that is alone fills the room, and looks again only once that is read", () => {
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

test("what peers have sent counts as what this host has sent", () => {
    const backlog = new PrefillBacklog(() => 0.5);
    for (let prompt = 0; prompt < 4; prompt += 1) {
        backlog.recordSentByPeer("engine", 700, 0);
    }
    assert.ok(!backlog.accepts("engine", { promptTokens: 700, hostCount: 7, waits: false }, 0));
    assert.ok(backlog.accepts("engine", { promptTokens: 700, hostCount: 7, waits: false }, 50));
});
