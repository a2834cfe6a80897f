import assert from "node:assert/strict";
import { test } from "node:test";
import { type Pause, type StallRule, StallSimulation } from "../../tests/support/stallSimulation.js";
import { createSeededRandom } from "../decision/index.js";
import { decideOverlap, decideStall, type Stall, UpstreamLiveness } from "./index.js";

const ENGINES = 8;
const STREAMS_PER_ENGINE = 6;
const SEEDS = 20;
const PAUSE_FROM_MILLISECONDS = 1_000;

/** Pauses of sound engines; with the gap between two events, the longest is below what makes a caller leave. */
const PAUSES_MILLISECONDS = [500, 1_000, 1_300, 1_600, 1_800];

/** Times to the first event of an engine; the longer one is that of a long prompt. */
const FIRST_EVENTS_MILLISECONDS = [200, 600];

const STALL: Stall = {
    quietMilliseconds: 1_200,
    limitMilliseconds: 1_200,
    isBusy: false,
    alternative: () => "alive",
};

interface Case {
    readonly rule: StallRule;
    readonly pausedEngines: number;
    readonly pauseMilliseconds: number;
    readonly isExclusive: boolean;
    readonly firstEventMilliseconds: number;
    readonly trickles?: boolean;
}

/** Returns the streams that are lost where some of the engines pause at the same moment, summed over seeds. */
function countLost(
    { firstEventMilliseconds, isExclusive, pauseMilliseconds, pausedEngines, rule, trickles = false }: Case,
): number {
    const pause: Pause = {
        fromMilliseconds: PAUSE_FROM_MILLISECONDS,
        toMilliseconds: PAUSE_FROM_MILLISECONDS + pauseMilliseconds,
    };
    const pauses = new Map(
        Array.from({ length: ENGINES }, (_, index) => [`engine-${index}`, index < pausedEngines ? [pause] : []]),
    );
    let lost = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        const engines = { pauses, isExclusive, firstEventMilliseconds, trickles };
        lost += new StallSimulation(engines, rule, createSeededRandom(seed)).run(STREAMS_PER_ENGINE);
    }
    return lost;
}

test("a stalled request is sent to another upstream only once one was heard a moment ago", () => {
    assert.deepEqual(decideStall(STALL), { type: "hedge" });
    assert.equal(decideStall({ ...STALL, alternative: () => "unproven" }).type, "probe");
    assert.equal(decideStall({ ...STALL, alternative: () => "none" }).type, "wait");
    assert.equal(decideStall({ ...STALL, isBusy: true }).type, "wait");
});

test("other upstreams are probed shortly before a request counts as stalled, and not looked for earlier", () => {
    const early = { ...STALL, quietMilliseconds: 1_110 };
    assert.deepEqual(decideStall({ ...early, alternative: () => "unproven" }), { type: "probe", milliseconds: 90 });
    assert.deepEqual(decideStall(early), { type: "wait", milliseconds: 90 });
    const alternative = () => assert.fail("evaluated");
    assert.deepEqual(decideStall({ ...STALL, quietMilliseconds: 200, alternative }), {
        type: "wait",
        milliseconds: 900,
    });
});

test("an attempt is given up only for an upstream that answered, and only while its own answer stands still", () => {
    assert.equal(decideOverlap({ hasStallEnded: false, isHedgeAnswering: true }), "cancel-stalled");
    assert.equal(decideOverlap({ hasStallEnded: false, isHedgeAnswering: false }), "cancel-hedge");
    assert.equal(decideOverlap({ hasStallEnded: true, isHedgeAnswering: true }), "cancel-hedge");
});

test("an upstream that was never heard, or not for a while, is not known to answer", () => {
    const liveness = new UpstreamLiveness();
    assert.equal(liveness.isAnswering("engine-1", 0), false);
    liveness.recordProbeAnswered("engine-1", 1_000);
    assert.deepEqual([1_399, 1_400].map(now => liveness.isAnswering("engine-1", now)), [true, false]);
    liveness.recordProbeAnswered("engine-1", 2_000);
    liveness.forget("engine-1");
    assert.equal(liveness.isAnswering("engine-1", 2_000), false);
});

test("an upstream that answers probes while its requests stand still is reachable, and does not answer", () => {
    const liveness = new UpstreamLiveness();
    const request = liveness.begin("engine-1", 1_000);
    request.recordHeard(1_100);
    liveness.recordProbeAnswered("engine-1", 1_300);
    assert.deepEqual([1_399, 1_400].map(now => liveness.isAnswering("engine-1", now)), [true, false]);
    assert.equal(liveness.isReachable("engine-1", 1_400), true);
    request.end();
    assert.equal(liveness.isAnswering("engine-1", 1_400), true);
});

test("an upstream whose requests have not begun their answers yet is judged by probes for a while", () => {
    const liveness = new UpstreamLiveness();
    liveness.begin("engine-1", 0);
    assert.deepEqual([1_199, 1_200].map(now => liveness.isStalled("engine-1", now)), [false, true]);
});

test("what an upstream answered before a point in time is no response since then", () => {
    const liveness = new UpstreamLiveness();
    liveness.recordProbeAnswered("engine-1", 1_000);
    assert.deepEqual([999, 1_000].map(since => liveness.hasRespondedSince("engine-1", since)), [true, false]);
});

test("an upstream answers while most of its requests go on, and does not while a few of them do", () => {
    const liveness = new UpstreamLiveness();
    const requests = Array.from({ length: 4 }, () => liveness.begin("engine-1", 0));
    requests.forEach(request => request.recordHeard(100));
    const isAnswering = (): boolean => liveness.isAnswering("engine-1", 1_000);
    [800, 990].forEach(at => requests[0]?.recordHeard(at));
    assert.equal(isAnswering(), false);
    [975, 980, 990].forEach(at => requests[1]?.recordHeard(at));
    assert.equal(isAnswering(), false, "parts of one event");
    [700, 900].forEach(at => requests[2]?.recordHeard(at));
    assert.equal(isAnswering(), true);
});

for (const isExclusive of [true, false]) {
    const kind = isExclusive ? "model engines" : "plain services";
    for (const firstEventMilliseconds of FIRST_EVENTS_MILLISECONDS) {
        const common = { isExclusive, firstEventMilliseconds };
        const title = `${kind}, first event after ${firstEventMilliseconds} ms`;

        test(`no stream is lost to a pause of one, most or all engines that callers wait out: ${title}`, () => {
            for (const pauseMilliseconds of PAUSES_MILLISECONDS) {
                for (const pausedEngines of [1, 5, ENGINES]) {
                    const lost = countLost({ ...common, rule: "evidence", pausedEngines, pauseMilliseconds });
                    assert.equal(lost, 0, `${lost} lost, ${pausedEngines} paused for ${pauseMilliseconds} ms`);
                }
            }
        });

        test(`every stream of engines that hang is saved while others answer: ${title}`, () => {
            for (const pausedEngines of [1, 5]) {
                const hang = { pausedEngines, pauseMilliseconds: Number.POSITIVE_INFINITY };
                assert.equal(countLost({ ...common, ...hang, rule: "evidence" }), 0);
            }
        });
    }
}

test("no stream is moved to its loss while engines send a little in a pause", () => {
    const common = { isExclusive: true, firstEventMilliseconds: 600, trickles: true, pausedEngines: ENGINES } as const;
    const lost = countLost({ ...common, pauseMilliseconds: 1_600, rule: "evidence" });
    assert.equal(lost, countLost({ ...common, pauseMilliseconds: 1_600, rule: "stay" }));
    assert.ok(lost < countLost({ ...common, pauseMilliseconds: 1_600, rule: "timer" }));
});

test("no more streams are lost to engines that hang and send a little than by a timer", () => {
    const hang = { isExclusive: true, firstEventMilliseconds: 600, trickles: true } as const;
    for (const pausedEngines of [1, 5]) {
        const options = { ...hang, pausedEngines, pauseMilliseconds: Number.POSITIVE_INFINITY };
        assert.ok(countLost({ ...options, rule: "evidence" }) <= countLost({ ...options, rule: "timer" }));
    }
});

test("a rule that moves streams without evidence loses those whose second engine pauses too", () => {
    const pause = { pausedEngines: ENGINES, pauseMilliseconds: 1_600, isExclusive: true, firstEventMilliseconds: 600 };
    assert.equal(countLost({ ...pause, rule: "stay" }), 0);
    assert.ok(countLost({ ...pause, rule: "timer" }) > 0);
});
