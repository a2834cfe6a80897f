import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { type Candidate, chooseUpstream, PrefillBacklog, UpstreamHealth, UpstreamLoads } from "./index.js";

function candidate(id: string, overrides: Partial<Candidate> = {}): Candidate {
    return {
        id,
        slots: 64,
        batches: false,
        requests: 0,
        prefillBacklogTokens: 0,
        acceptsPrompt: true,
        sameZone: true,
        avoided: false,
        hasCachedPrompt: false,
        ...overrides,
    };
}

const random = createSeededRandom(5);

test("the least loaded upstream is chosen, the own zone only where loads are close", () => {
    const near = candidate("near", { requests: 4 });
    const far = candidate("far", { sameZone: false });
    assert.deepEqual(chooseUpstream([near, far], random), { type: "send", upstream: "near" });
    const busyNear = candidate("near", { requests: 30 });
    assert.deepEqual(chooseUpstream([busyNear, far], random), { type: "send", upstream: "far" });
});

test("an upstream that fails often is chosen only where nothing else has room", () => {
    const sick = candidate("sick", { avoided: true });
    assert.deepEqual(chooseUpstream([sick, candidate("busy", { requests: 60 })], random), {
        type: "send",
        upstream: "busy",
    });
    assert.deepEqual(chooseUpstream([sick], random), { type: "send", upstream: "sick" });
});

test("upstreams with as many waiting as they take get nothing more", () => {
    assert.deepEqual(chooseUpstream([candidate("a", { requests: 80 })], random), { type: "all-full" });
    assert.equal(chooseUpstream([candidate("a", { requests: 66 })], random).type, "send");
    assert.equal(chooseUpstream([candidate("a", { requests: 64, batches: true })], random).type, "all-full");
    assert.equal(chooseUpstream([candidate("a", { requests: 63, batches: true })], random).type, "send");
    assert.deepEqual(chooseUpstream([], random), { type: "none" });
});

test("an engine that still reads prompts is passed over, and where all do the request waits for a moment", () => {
    const reading = candidate("reading", { batches: true, acceptsPrompt: false });
    const busy = candidate("busy", { batches: true, requests: 50 });
    assert.deepEqual(chooseUpstream([reading, busy], random), { type: "send", upstream: "busy" });
    assert.deepEqual(chooseUpstream([reading], random), { type: "reading" });
    const full = candidate("full", { batches: true, requests: 64 });
    assert.deepEqual(chooseUpstream([reading, full], random), { type: "reading" });
    const sick = candidate("sick", { batches: true, avoided: true });
    assert.deepEqual(chooseUpstream([reading, sick], random), { type: "reading" }, "a healthy one is worth the moment");
});

test("hosts that tell each other what they send do not all choose the engine that was free at its last report", () => {
    const hosts = Array.from({ length: 7 }, () => ({
        loads: new UpstreamLoads(),
        backlog: new PrefillBacklog(random),
    }));
    const engines = ["one", "two", "three"];
    const sent = new Map(engines.map(engine => [engine, 0]));
    for (const { loads } of hosts) {
        engines.forEach((engine, index) => loads.report(engine, { running: index * 2, waiting: 0, slots: 64 }, 0));
    }
    for (let request = 0; request < 21; request += 1) {
        const own = hosts[request % hosts.length];
        const candidates = engines.map(id =>
            candidate(id, {
                requests: own?.loads.estimate(id, 10) ?? 0,
                prefillBacklogTokens: own?.backlog.backlogTokens(id, 10) ?? 0,
            })
        );
        const choice = chooseUpstream(candidates, random);
        assert.ok(choice.type === "send");
        sent.set(choice.upstream, (sent.get(choice.upstream) ?? 0) + 1);
        own?.loads.started(choice.upstream);
        own?.backlog.recordSent(choice.upstream, 700, 10);
        for (const { backlog, loads } of hosts.filter(host => host !== own)) {
            loads.startedByPeer(choice.upstream);
            backlog.recordSentByPeer(choice.upstream, 700, 10);
        }
    }
    assert.ok(Math.max(...sent.values()) <= 9, `requests by engine: ${JSON.stringify([...sent])}`);
});

test("a report and what was sent since give the load; an old report gives way to what peers have in flight", () => {
    const loads = new UpstreamLoads();
    loads.started("one");
    loads.report("one", { running: 10, waiting: 2, slots: 64 }, 100);
    loads.started("one");
    loads.startedByPeer("one");
    assert.equal(loads.estimate("one", 150), 14);
    loads.recordPeerRequests("entry-2", { one: 5 }, 900);
    assert.equal(loads.estimate("one", 1_000), 7);
    assert.equal(loads.estimate("one", 5_000), 2);
});

test("an upstream that cannot be reached is left alone for a moment, and one that fails often until that has aged", () => {
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
