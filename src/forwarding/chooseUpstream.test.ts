import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { type Candidate, chooseUpstream, PrefillBacklog, UpstreamHealth, UpstreamLoads } from "./index.js";

function candidate(id: string, overrides: Partial<Candidate> = {}): Candidate {
    return {
        id,
        slots: 64,
        batches: false,
        mayQueue: false,
        requests: 0,
        prefillBacklogTokens: 0,
        hasFreeConnection: true,
        acceptsPrompt: true,
        sameZone: true,
        avoided: false,
        hasCachedPrompt: false,
        slowdown: 1,
        hostRank: undefined,
        longPromptTokens: 0,
        hasLongPrompt: false,
        memoryShare: 0,
        ...overrides,
    };
}

const random = createSeededRandom(5);

test("chooses the least loaded upstream, and prefers the own zone only where loads are close", () => {
    const near = candidate("near", { requests: 4 });
    const far = candidate("far", { sameZone: false });
    assert.deepEqual(chooseUpstream([near, far], random), { type: "send", upstream: "near" });
    const busyNear = candidate("near", { requests: 30 });
    assert.deepEqual(chooseUpstream([busyNear, far], random), { type: "send", upstream: "far" });
});

test("chooses an upstream that fails often only where no other has room", () => {
    const failing = candidate("sick", { avoided: true });
    assert.deepEqual(chooseUpstream([failing, candidate("busy", { requests: 60 })], random), {
        type: "send",
        upstream: "busy",
    });
    assert.deepEqual(chooseUpstream([failing], random), { type: "send", upstream: "sick" });
});

test("sends no request to upstreams that have their maximum number of requests", () => {
    assert.deepEqual(chooseUpstream([candidate("a", { requests: 80 })], random), { type: "all-full" });
    assert.equal(chooseUpstream([candidate("a", { requests: 66 })], random).type, "send");
    assert.equal(chooseUpstream([candidate("a", { requests: 64, batches: true })], random).type, "all-full");
    assert.equal(chooseUpstream([candidate("a", { requests: 63, batches: true })], random).type, "send");
    assert.deepEqual(chooseUpstream([], random), { type: "none" });
});

test("sends no request to an upstream to which all connections are in use while another has a free one", () => {
    const used = candidate("used", { hasFreeConnection: false });
    assert.deepEqual(chooseUpstream([used, candidate("busy", { requests: 60 })], random), {
        type: "send",
        upstream: "busy",
    });
    assert.deepEqual(chooseUpstream([used], random), { type: "all-full" });
});

test("skips engines that are still prefilling prompts, and delays the request where all healthy engines are", () => {
    const prefilling = candidate("reading", { batches: true, acceptsPrompt: false });
    const busy = candidate("busy", { batches: true, requests: 50 });
    assert.deepEqual(chooseUpstream([prefilling, busy], random), { type: "send", upstream: "busy" });
    assert.deepEqual(chooseUpstream([prefilling], random), { type: "reading" });
    const full = candidate("full", { batches: true, requests: 64 });
    assert.deepEqual(chooseUpstream([prefilling, full], random), { type: "reading" });
    const failing = candidate("sick", { batches: true, avoided: true });
    assert.deepEqual(
        chooseUpstream([prefilling, failing], random),
        { type: "reading" },
        "waits for the healthy engine rather than using the failing one",
    );
});

test("hosts that publish the requests they send do not all choose the engine with the lowest reported load", () => {
    const hosts = Array.from({ length: 7 }, () => ({
        loads: new UpstreamLoads(),
        backlog: new PrefillBacklog(random),
    }));
    const engines = ["one", "two", "three"];
    const sent = new Map(engines.map(engine => [engine, 0]));
    for (const { loads } of hosts) {
        engines.forEach((engine, index) =>
            loads.recordReport(engine, { running: index * 2, waiting: 0, slots: 64 }, 0)
        );
    }
    for (let request = 0; request < 21; request += 1) {
        const sender = hosts[request % hosts.length];
        const candidates = engines.map(id =>
            candidate(id, {
                requests: sender?.loads.estimate(id, 10) ?? 0,
                prefillBacklogTokens: sender?.backlog.backlogTokens(id, 10) ?? 0,
            })
        );
        const choice = chooseUpstream(candidates, random);
        assert.ok(choice.type === "send");
        sent.set(choice.upstream, (sent.get(choice.upstream) ?? 0) + 1);
        sender?.loads.recordStarted(choice.upstream);
        sender?.backlog.recordSent(choice.upstream, 700, 10);
        for (const { backlog, loads } of hosts.filter(host => host !== sender)) {
            loads.recordStartedByPeer(choice.upstream);
            backlog.recordSentByPeer(choice.upstream, 700, 10);
        }
    }
    assert.ok(Math.max(...sent.values()) <= 9, `requests by engine: ${JSON.stringify([...sent])}`);
});

test("estimates load from a recent report and the requests sent since, otherwise from requests in flight", () => {
    const loads = new UpstreamLoads();
    loads.recordStarted("one");
    loads.recordReport("one", { running: 10, waiting: 2, slots: 64 }, 100);
    loads.recordStarted("one");
    loads.recordStartedByPeer("one");
    assert.equal(loads.estimate("one", 150), 14);
    loads.recordPeerRequests("entry-2", { one: 5 }, 900);
    assert.equal(loads.estimate("one", 1_000), 7);
    assert.equal(loads.estimate("one", 5_000), 2);
});

test("avoids an unreachable upstream briefly, and one that fails often until its failures have aged", () => {
    const health = new UpstreamHealth();
    health.recordUnreachable("one", 0);
    assert.ok(health.isUnreachable("one", 100));
    assert.ok(!health.isUnreachable("one", 600));
    for (let at = 0; at < 5; at += 1) {
        health.recordFailure("two", at);
    }
    assert.ok(health.isAvoided("two", 10));
    assert.ok(!health.isAvoided("two", 10_000));
    health.recordFailure("three", 0);
    Array.from({ length: 9 }, () => health.recordSuccess("three", 0));
    assert.ok(!health.isAvoided("three", 10));
});

test("a stream that goes on is not refused at a full engine, which others leave the next slots to", () => {
    const full = candidate("full", { batches: true, slots: 64, requests: 64 });
    assert.equal(chooseUpstream([full], () => 0).type, "all-full");
    assert.equal(chooseUpstream([{ ...full, mayQueue: true }], () => 0).type, "send");
    assert.equal(chooseUpstream([{ ...full, mayQueue: true, requests: 80 }], () => 0).type, "all-full");
});

/** The choice before upstreams reported speeds. */
function chooseByLoad(candidates: readonly Candidate[], source: () => number): string | undefined {
    const withRoom = candidates.filter(({ batches, hasFreeConnection, mayQueue, requests, slots }) =>
        hasFreeConnection && requests < slots * (batches ? mayQueue ? 1.25 : 1 : 1.15)
    );
    const healthy = withRoom.filter(({ avoided }) => !avoided);
    const accepting = (healthy.length > 0 ? healthy : withRoom).filter(({ acceptsPrompt }) => acceptsPrompt);
    const costs = accepting.map(each =>
        each.requests / each.slots + each.prefillBacklogTokens / 6_000 + (each.sameZone ? 0 : 0.12)
        - (each.hasCachedPrompt ? 0.05 : 0) + source() * 0.03
    );
    return accepting[costs.indexOf(Math.min(...costs))]?.id;
}

test("without reported speeds the choice is the one by load, whatever the candidates", () => {
    const draw = createSeededRandom(11);
    const pick = <T>(values: readonly T[]) => values[Math.floor(draw() * values.length)] as T;
    for (let round = 0; round < 5_000; round += 1) {
        const slots = pick([6, 12, 64]);
        const batches = draw() < 0.5;
        const candidates = Array.from({ length: Math.floor(draw() * 12) }, (_, index) =>
            candidate(`u-${index}`, {
                slots,
                batches,
                requests: Math.floor(draw() * slots * 1.3),
                prefillBacklogTokens: draw() * 4_000,
                hasFreeConnection: draw() < 0.9,
                acceptsPrompt: draw() < 0.8,
                sameZone: draw() < 0.4,
                avoided: draw() < 0.2,
                hasCachedPrompt: draw() < 0.3,
                hasLongPrompt: draw() < 0.3,
            }));
        const choice = chooseUpstream(candidates, createSeededRandom(round));
        const expected = chooseByLoad(candidates, createSeededRandom(round));
        assert.equal(choice.type === "send" ? choice.upstream : undefined, expected, `round ${round}`);
    }
});

test("slow upstreams get fewer requests, and the zone is left only where it is slower than the other costs", () => {
    const slow = candidate("slow", { slots: 12, requests: 4, slowdown: 1.6, hostRank: 0.5 });
    const fast = candidate("fast", { slots: 12, requests: 6, slowdown: 0.6, hostRank: 0.5 });
    assert.deepEqual(chooseUpstream([slow, fast], random), { type: "send", upstream: "fast" });
    const far = candidate("far", { slots: 12, requests: 4, sameZone: false, hostRank: 0.5 });
    const near = candidate("near", { slots: 12, requests: 7, slowdown: 1.1, hostRank: 0.5 });
    assert.deepEqual(chooseUpstream([near, far], random), { type: "send", upstream: "near" });
    assert.deepEqual(chooseUpstream([{ ...near, slowdown: 2.5 }, far], random), { type: "send", upstream: "far" });
});

test("long prompts go where long ones are being prefilled, and short ones do not wait behind them", () => {
    const reading = candidate("reading", { slots: 12, batches: true, requests: 3, longPromptTokens: 1_800 });
    const other = candidate("other", { slots: 12, batches: true, requests: 3 });
    const choose = (hasLongPrompt: boolean) =>
        chooseUpstream([reading, other].map(each => ({ ...each, hasLongPrompt })), random);
    assert.deepEqual(choose(true), { type: "send", upstream: "reading" });
    assert.deepEqual(choose(false), { type: "send", upstream: "other" });
});

test("no request exceeds an engine's memory while another engine has room, even one that is prefilling", () => {
    const empty = candidate("empty", { batches: true, memoryShare: 1.01 });
    const busy = candidate("busy", { batches: true, requests: 60 });
    assert.deepEqual(chooseUpstream([empty, busy], random), { type: "send", upstream: "busy" });
    assert.deepEqual(chooseUpstream([empty, { ...busy, acceptsPrompt: false }], random), { type: "reading" });
    assert.deepEqual(chooseUpstream([empty], random), { type: "send", upstream: "empty" });
});

test("the last slots of an upstream, or its only one, are given to requests that leave some free", () => {
    const type = (requests: number, slots: number): string =>
        chooseUpstream([candidate("a", { batches: true, requests, slots, slotsLeftFree: 2 })], random).type;
    assert.deepEqual([type(9, 12), type(10, 12)], ["send", "all-full"]);
    assert.deepEqual([type(4, 6), type(5, 6)], ["send", "all-full"], "at most a quarter of the slots");
    assert.deepEqual([type(0, 1), type(1, 1)], ["send", "all-full"]);
});

test("a steady estimate counts what peers sent since their digests, until the digest or the peer's silence", () => {
    const loads = new UpstreamLoads();
    loads.recordPeerRequests("peer", { one: 2 }, 0);
    loads.recordStartedByPeer("one", "peer");
    loads.recordStartedByPeer("one", "peer");
    assert.equal(loads.estimate("one", 500), 2);
    assert.equal(loads.steadyEstimate("one", 500), 4);
    loads.recordPeerRequests("peer", { one: 3 }, 540);
    assert.equal(loads.steadyEstimate("one", 600), 3, "the digest holds them");
    loads.recordStartedByPeer("one", "peer");
    loads.recordPeerRequests("other", {}, 2_600);
    assert.equal(loads.steadyEstimate("one", 2_700), 0, "the peer is silent");
});

test("a steady estimate follows the other cells slowly, so that hosts do not rush to where there was room", () => {
    const loads = new UpstreamLoads();
    loads.recordOtherCells({ one: 10 }, 0);
    assert.equal(loads.steadyEstimate("one", 100), 10);
    loads.recordOtherCells({ two: 10 }, 500);
    assert.equal(loads.estimate("one", 600), 0);
    assert.equal(Math.round(loads.steadyEstimate("one", 600) * 10), 85);
    assert.equal(Math.round(loads.steadyEstimate("two", 600) * 10), 15);
    assert.equal(loads.steadyEstimate("one", 3_000), 0, "other cells that are not heard any more count for nothing");
    loads.recordReport("one", { running: 3, waiting: 0, slots: 12 }, 600);
    assert.equal(loads.steadyEstimate("one", 700), 3, "the engine's own report comes first");
});
