import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { createMembershipDecision } from "./index.js";

function identity(host: string, zone: string, incarnation = "2026-1"): HostIdentity {
    return { host, incarnation, zone, region: "r", callersUrl: `http://${host}`, peersUrl: `ws://${host}` };
}

function status(who: HostIdentity, heartbeat: number, leaving = false) {
    return { identity: who, heartbeat, leaving, configurationRevision: 0, storeConfirmedMillisecondsAgo: -1 };
}

function create(host = "a") {
    return createMembershipDecision({ identity: identity(host, "z1"), random: createSeededRandom(1) });
}

test("a leaving host is not ranked, near hosts come first, and silence of 3 s makes a host lost", () => {
    const membership = create();
    membership.handle({ type: "heartbeat-received", status: status(identity("b", "z2"), 1), known: [] }, 0);
    membership.handle({ type: "heartbeat-received", status: status(identity("c", "z1"), 1), known: [] }, 0);
    assert.deepEqual(membership.rankAddresses({ zone: "z2" }).map(found => found.host)[0], "b");
    const leaving = { type: "heartbeat-received", status: status(identity("b", "z2"), 2, true), known: [] } as const;
    assert.deepEqual(membership.handle(leaving, 10), [{ type: "peer-leaving", identity: identity("b", "z2") }]);
    assert.deepEqual(membership.rankAddresses({ zone: "z2" }).map(found => found.host).sort(), ["a", "c"]);
    for (let now = 0; now <= 3000; now += 1000) {
        membership.handle({ type: "tick" }, now);
    }
    assert.equal(membership.livePeers().length, 1);
    membership.handle({ type: "tick" }, 4000);
    assert.deepEqual(membership.livePeers(), []);
});

test("a new incarnation replaces the old one, and the old one's late heartbeat changes nothing", () => {
    const membership = create();
    const before = identity("b", "z2", "2026-1");
    const after = identity("b", "z2", "2026-2");
    membership.handle({ type: "heartbeat-received", status: status(before, 50), known: [] }, 0);
    const effects = membership.handle({ type: "heartbeat-received", status: status(after, 1), known: [] }, 1);
    assert.deepEqual(effects, [{ type: "peer-down", identity: before }, { type: "peer-up", identity: after }]);
    assert.deepEqual(
        membership.handle({ type: "heartbeat-received", status: status(before, 60), known: [] }, 2),
        [],
    );
    assert.deepEqual(membership.livePeers(), [after]);
});

test("a host tells others of a loss in its own zone, and of none that it only suspects in another zone", () => {
    const membership = create();
    const peers = Array.from({ length: 20 }, (_, index) => identity(`p${index}`, index % 2 === 0 ? "z1" : "z2"));
    const lost = new Set<string>();
    for (let second = 0; second <= 120; second += 1) {
        const heard = second === 0 ? peers : peers.slice(2);
        for (const peer of heard) {
            const heartbeat = { type: "heartbeat-received", status: status(peer, second + 1), known: [] } as const;
            membership.handle(heartbeat, second * 1000);
        }
        for (const effect of membership.handle({ type: "tick" }, second * 1000)) {
            const known = effect.type === "send-heartbeat" ? effect.known : [];
            known.filter(told => told.lost === true).forEach(told => lost.add(told.identity.host));
        }
    }
    assert.deepEqual(membership.livePeers().length, 18);
    assert.deepEqual([...lost], ["p0"]);
});
