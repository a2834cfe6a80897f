import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { createMembershipDecision } from "./index.js";

function createIdentity(host: string, zone: string, incarnation = "2026-1"): HostIdentity {
    return { host, incarnation, zone, region: "r", callersUrl: `http://${host}`, peersUrl: `ws://${host}` };
}

function createStatus(identity: HostIdentity, heartbeat: number, leaving = false) {
    return { identity, heartbeat, leaving, configurationRevision: 0, storeConfirmedMillisecondsAgo: -1 };
}

function createMembership(host = "a") {
    return createMembershipDecision({ identity: createIdentity(host, "z1"), random: createSeededRandom(1) });
}

test("addresses omit leaving hosts and rank near ones first; a host is lost after 3 s without a heartbeat", () => {
    const membership = createMembership();
    membership.handle({ type: "heartbeat-received", status: createStatus(createIdentity("b", "z2"), 1), known: [] }, 0);
    membership.handle({ type: "heartbeat-received", status: createStatus(createIdentity("c", "z1"), 1), known: [] }, 0);
    assert.deepEqual(membership.rankAddresses({ zone: "z2" }).map(found => found.host)[0], "b");
    const leaving = {
        type: "heartbeat-received",
        status: createStatus(createIdentity("b", "z2"), 2, true),
        known: [],
    } as const;
    assert.deepEqual(membership.handle(leaving, 10), [{ type: "peer-leaving", identity: createIdentity("b", "z2") }]);
    assert.deepEqual(membership.rankAddresses({ zone: "z2" }).map(found => found.host).sort(), ["a", "c"]);
    for (let now = 0; now <= 3000; now += 1000) {
        membership.handle({ type: "tick" }, now);
    }
    assert.equal(membership.livePeers().length, 1);
    membership.handle({ type: "tick" }, 4000);
    assert.deepEqual(membership.livePeers(), []);
});

test("a new incarnation replaces the previous one, whose late heartbeat is ignored", () => {
    const membership = createMembership();
    const previous = createIdentity("b", "z2", "2026-1");
    const successor = createIdentity("b", "z2", "2026-2");
    membership.handle({ type: "heartbeat-received", status: createStatus(previous, 50), known: [] }, 0);
    const effects = membership.handle({ type: "heartbeat-received", status: createStatus(successor, 1), known: [] }, 1);
    assert.deepEqual(effects, [{ type: "peer-down", identity: previous }, { type: "peer-up", identity: successor }]);
    assert.deepEqual(
        membership.handle({ type: "heartbeat-received", status: createStatus(previous, 60), known: [] }, 2),
        [],
    );
    assert.deepEqual(membership.livePeers(), [successor]);
});

test("a host publishes a loss that it detects in its own zone, but not one that it detects in another zone", () => {
    const membership = createMembership();
    const peers = Array.from({ length: 20 }, (_, index) => createIdentity(`p${index}`, index % 2 === 0 ? "z1" : "z2"));
    const publishedLosses = new Set<string>();
    for (let second = 0; second <= 120; second += 1) {
        const sendingPeers = second === 0 ? peers : peers.slice(2);
        for (const peer of sendingPeers) {
            const heartbeat = {
                type: "heartbeat-received",
                status: createStatus(peer, second + 1),
                known: [],
            } as const;
            membership.handle(heartbeat, second * 1000);
        }
        for (const effect of membership.handle({ type: "tick" }, second * 1000)) {
            const known = effect.type === "send-heartbeat" ? effect.known : [];
            known.filter(status => status.lost === true).forEach(status => publishedLosses.add(status.identity.host));
        }
    }
    assert.deepEqual(membership.livePeers().length, 18);
    assert.deepEqual([...publishedLosses], ["p0"]);
});
