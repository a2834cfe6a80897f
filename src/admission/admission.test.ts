import assert from "node:assert/strict";
import { test } from "node:test";
import {
    playQueue,
    type QueueModelOptions,
    type QueueOutcome,
    type RequestClass,
    type Served,
} from "../../tests/support/queueModel.js";
import { type RandomSource } from "../decision/index.js";
import { Admission } from "./admission.js";
import { DispatchRates } from "./dispatchRates.js";
import { compareQueueRanks, queueRank } from "./queueRank.js";
import { retryDelay } from "./retryDelay.js";

const SEEDS = [1, 2, 3, 4];
const MEAN_MILLISECONDS = 1_200;

function exponential(random: RandomSource): number {
    return -Math.log(1 - random()) * MEAN_MILLISECONDS;
}

/** A Pareto distribution with infinite variance, cut off at 20 times its mean. */
function heavyTailed(random: RandomSource): number {
    return Math.min(20 * MEAN_MILLISECONDS, MEAN_MILLISECONDS / 3 * (1 - random()) ** (-1 / 1.5));
}

function createClasses(burstFactor: number): RequestClass[] {
    const usual = { perSecond: 7, burstFactor };
    const patient = { priority: 3, targetMilliseconds: 8_000, limitMilliseconds: 20_000 };
    return [
        { ...usual, name: "urgent", priority: 0, targetMilliseconds: 252, limitMilliseconds: 4_000, account: "a" },
        { ...usual, name: "chat", priority: 1, targetMilliseconds: 900, limitMilliseconds: 8_000, account: "b" },
        { ...usual, ...patient, name: "patient", perSecond: 5, account: "c" },
        { ...patient, name: "loud", perSecond: 1, burstFactor: 5 * burstFactor, account: "loud" },
    ];
}

function createLoad(overrides: Partial<QueueModelOptions> = {}): Omit<QueueModelOptions, "seed" | "decision"> {
    return {
        classes: createClasses(5),
        hosts: 60,
        engines: 4,
        slots: 12,
        serviceMilliseconds: exponential,
        firstEventMilliseconds: 60,
        burst: { fromMilliseconds: 15_000, untilMilliseconds: 20_000 },
        durationMilliseconds: 30_000,
        impatientShare: 0.2,
        isOverFairShare: account => account === "loud",
        ...overrides,
    };
}

/** Sums the outcomes of a class over seeds; `all` for all classes. */
function sum(outcomes: readonly QueueOutcome[], name: string): Served {
    const parts = outcomes.flatMap(outcome => name === "all" ? Object.values(outcome) : outcome[name] ?? []);
    const total = (field: Exclude<keyof Served, "waits">): number => parts.reduce((all, part) => all + part[field], 0);
    return {
        callers: total("callers"),
        served: total("served"),
        withinTarget: total("withinTarget"),
        refusals: total("refusals"),
        early: total("early"),
        earlySent: total("earlySent"),
        heldMilliseconds: total("heldMilliseconds"),
        waits: parts.flatMap(({ waits }) => waits),
    };
}

function play(load: Omit<QueueModelOptions, "seed" | "decision">, decision: "old" | "new"): readonly QueueOutcome[] {
    return SEEDS.map(seed => playQueue({ ...load, seed, decision }));
}

function servedShare(outcomes: readonly QueueOutcome[], name: string): number {
    const { callers, served } = sum(outcomes, name);
    return served / callers;
}

function withinShare(outcomes: readonly QueueOutcome[], name: string): number {
    const { callers, withinTarget } = sum(outcomes, name);
    return withinTarget / callers;
}

for (
    const [distribution, serviceMilliseconds] of [["exponential", exponential], ["heavy-tailed", heavyTailed]] as const
) {
    test(`the most urgent requests are served less often than patient ones: 60 hosts, a burst of 5 times for 5 s, ${distribution} service`, () => {
        const load = createLoad({ serviceMilliseconds });
        const [old, present] = [play(load, "old"), play(load, "new")];
        assert.ok(servedShare(old, "urgent") < servedShare(old, "patient"), "the load shows the fault");
        assert.ok(servedShare(present, "urgent") > 0.97, `served ${servedShare(present, "urgent")}`);
        assert.ok(withinShare(present, "urgent") > withinShare(old, "urgent") + 0.1);
        assert.ok(
            withinShare(present, "all") > withinShare(old, "all") - 0.01,
            "others pay more than urgent ones gain",
        );
        assert.ok(sum(present, "all").refusals < sum(old, "all").refusals, "more attempts are refused");
    });
}

test("the most urgent requests gain nothing where few hosts have long queues: 6 hosts, a burst of 5 times for 5 s", () => {
    const load = createLoad({ hosts: 6 });
    const [old, present] = [play(load, "old"), play(load, "new")];
    assert.ok(withinShare(present, "urgent") > withinShare(old, "urgent") + 0.05);
    assert.ok(withinShare(present, "all") > withinShare(old, "all") - 0.02);
});

test("an account that sends 5 times its usual displaces others of its priority: a burst of 3 times for 8 s", () => {
    const burst = { fromMilliseconds: 15_000, untilMilliseconds: 23_000 };
    const present = play(createLoad({ classes: createClasses(3), burst, hosts: 12 }), "new");
    assert.ok(withinShare(present, "patient") > withinShare(present, "loud") + 0.1);
});

test("a class or account is served less than a quarter as often as all: a burst of 5 times for 12 s", () => {
    for (const hosts of [6, 60]) {
        const burst = { fromMilliseconds: 5_000, untilMilliseconds: 17_000 };
        const present = play(createLoad({ hosts, burst, durationMilliseconds: 17_000 }), "new");
        for (const { name } of createClasses(5)) {
            assert.ok(servedShare(present, name) > servedShare(present, "all") / 4, `${name} at ${hosts} hosts`);
        }
    }
});

test("requests are refused early that would have been sent: 6 hosts, a burst of 5 times for 10 s", () => {
    const burst = { fromMilliseconds: 5_000, untilMilliseconds: 15_000 };
    const load = createLoad({ hosts: 6, burst, durationMilliseconds: 20_000 });
    const observed = sum(play({ ...load, refusesEarly: false }, "new"), "all");
    assert.ok(observed.early > 100);
    assert.ok(observed.earlySent < 0.1 * observed.early, `${observed.earlySent} of ${observed.early}`);
    const [old, present] = [sum(play(load, "old"), "chat"), sum(play(load, "new"), "chat")];
    const held = ({ heldMilliseconds, refusals }: Served): number => heldMilliseconds / refusals;
    assert.ok(held(present) < 0.8 * held(old), `refused requests were held ${held(present)} of ${held(old)} ms`);
});

const FACTS = {
    service: "chat",
    priority: 1,
    account: undefined,
    arrivedAtMilliseconds: 0,
    targetLatencyMilliseconds: 900,
};

const TIMES = { facts: FACTS, takesAnySlotAtEnd: false };

test("a request is refused early on too little knowledge, or with nothing in front of it", () => {
    const rates = new DispatchRates();
    const admission = new Admission({ isInForce: () => true });
    const times = { ...TIMES, remainingWaitMilliseconds: 500, remainingMilliseconds: 5_000 };
    const refusal = (inFront: number) => {
        const estimate = rates.estimate("chat", inFront, 9_000);
        return admission.decideRefusal({ ...times, estimate });
    };
    for (let index = 0; index < 40; index += 1) {
        rates.recordBegun("chat", 0);
    }
    assert.equal(refusal(30), undefined, "none was dispatched");
    for (let index = 1; index <= 3; index += 1) {
        rates.recordEnded("chat", "sent", 3_000 * index);
    }
    assert.equal(refusal(30), undefined, "three were dispatched");
    for (let index = 0; index < 20; index += 1) {
        rates.recordEnded("chat", "sent", 9_000);
    }
    assert.equal(refusal(30), "expected-wait");
    assert.equal(refusal(0), undefined, "nothing is in front");
});

test("times in which nothing waits make the rate of dispatches too low", () => {
    const rates = new DispatchRates();
    for (let round = 0; round < 20; round += 1) {
        rates.recordBegun("chat", round * 1_000);
        rates.recordEnded("chat", "sent", round * 1_000 + 50);
    }
    const { perSecond } = rates.estimate("chat", 0, 19_050) ?? { perSecond: 0 };
    assert.ok(Math.abs(perSecond - 20) < 1, `${perSecond}`);
});

test("a request waits that gets no first event in the time that it has left", () => {
    const admission = new Admission({ isInForce: () => true });
    const times = { ...TIMES, estimate: undefined, remainingWaitMilliseconds: 50 };
    assert.equal(admission.decideRefusal({ ...times, remainingMilliseconds: 60 }), undefined, "times are not known");
    for (let index = 0; index < 40; index += 1) {
        admission.firstEvents.record("chat", 100);
    }
    assert.equal(admission.decideRefusal({ ...times, remainingMilliseconds: 60 }), "too-little-time");
    assert.equal(admission.decideRefusal({ ...times, remainingMilliseconds: 160 }), undefined);
});

test("refused callers come back at the same moment, patient ones first, or after a third of their time", () => {
    const input = { expectedMilliseconds: 900, remainingMilliseconds: 20_000, waitedShare: 0 };
    const delays = (priority: number, waitedShare = 0): number[] =>
        [0, 0.5, 0.999].map(spread => retryDelay({ ...input, priority, waitedShare, spread }));
    const [urgent, patient, waited] = [delays(0), delays(3), delays(3, 1)];
    assert.deepEqual(urgent, waited);
    assert.equal(new Set(urgent).size, 3);
    urgent.forEach((delay, index) => assert.ok(delay < (patient[index] ?? 0)));
    const late = { ...input, expectedMilliseconds: 60_000, remainingMilliseconds: 3_000, priority: 9, spread: 0.999 };
    assert.ok(retryDelay(late) <= 1_000);
});

test("waiting requests go in another order than priority, half their wait, fair share, time left, arrival", () => {
    const usual = {
        priority: 1,
        arrivedAtMilliseconds: 0,
        targetLatencyMilliseconds: 2_000,
        firstEventMilliseconds: 100,
        waitsSinceMilliseconds: 900,
        maximumWaitMilliseconds: 1_000,
        isOverFairShare: false,
        permitSinceMilliseconds: undefined,
        isResumed: false,
    };
    const inOrder = [
        { ...usual, priority: 0, isOverFairShare: true },
        { ...usual, isResumed: true },
        { ...usual, waitsSinceMilliseconds: 400, isOverFairShare: true },
        { ...usual, targetLatencyMilliseconds: 1_500 },
        usual,
        { ...usual, targetLatencyMilliseconds: 500 },
        { ...usual, targetLatencyMilliseconds: 500, arrivedAtMilliseconds: 10 },
        { ...usual, isOverFairShare: true },
        { ...usual, targetLatencyMilliseconds: 500, isOverFairShare: true },
        { ...usual, priority: 2 },
    ].map(input => queueRank(input, 1_000));
    assert.deepEqual(inOrder.toReversed().sort(compareQueueRanks), inOrder);
});

test("services without the switch are ordered or held back by what is measured", () => {
    const admission = new Admission({ isInForce: () => false, isOverFairShare: () => true });
    for (let index = 0; index < 50; index += 1) {
        admission.recordOutcome({ ...FACTS, priority: index % 2 }, index % 2 === 0, 0);
    }
    const sorted = [1, 0].map(priority => ({
        rank: [priority, 0, 0] as const,
        request: { waitKey: "chat", queueFacts: { ...FACTS, priority }, passPosition: undefined },
    }));
    assert.equal(admission.arrange(sorted, 0), sorted);
    assert.equal(sorted[0]?.request.passPosition, undefined);
    assert.equal(admission.slotsLeftFree({ ...FACTS, account: "loud" }, false, 0), 0);
});
