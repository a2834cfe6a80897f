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

test("the last slots of an upstream, or its only one, are given to requests that leave some free", () => {
    const type = (requests: number, slots: number): string =>
        chooseUpstream([candidate("a", { batches: true, requests, slots, slotsLeftFree: 2 })], random).type;
    assert.deepEqual([type(9, 12), type(10, 12)], ["send", "all-full"]);
    assert.deepEqual([type(4, 6), type(5, 6)], ["send", "all-full"], "at most a quarter of the slots");
    assert.deepEqual([type(0, 1), type(1, 1)], ["send", "all-full"]);
});
