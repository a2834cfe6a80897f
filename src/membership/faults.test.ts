import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet, type FleetHost } from "../../measurements/fleet.js";
import { type FleetFault, injectFault } from "../../measurements/fleetFaults.js";

const SEED = 20261203;
const HOSTS = 7;
const WARM_UP_MILLISECONDS = 5000;
const CONVERGED_WITHIN_MILLISECONDS = 12_000;
const LONGEST_LEAVE_MILLISECONDS = 6000;

function createFleet(seed: number): Fleet {
    const fleet = new Fleet({ seed, hosts: HOSTS, zones: 3 });
    fleet.apply("text");
    fleet.run(WARM_UP_MILLISECONDS);
    return fleet;
}

function names(list: readonly { readonly host: string; readonly incarnation: string; }[]): string[] {
    return list.map(({ host, incarnation }) => `${host}/${incarnation}`).sort();
}

function assertComplete(fleet: Fleet, host: FleetHost): void {
    const others = fleet.running().filter(other => other !== host && !other.left);
    assert.deepEqual(names(host.membership.livePeers()), names(others.map(other => other.identity)));
}

function assertNoLeavingHostAdvertised(fleet: Fleet): void {
    for (const host of fleet.running()) {
        const advertised = names(host.membership.rankAddresses({ zone: "zone-0" }));
        assert.deepEqual(advertised.filter(name => host.knownLeaving.has(name)), []);
    }
}

const position = fastCheck.nat(HOSTS - 1);
const faults: fastCheck.Arbitrary<FleetFault> = fastCheck.oneof(
    fastCheck.record({
        type: fastCheck.constantFrom("kill", "restart", "restart", "leave", "isolate"),
        host: position,
    }),
    fastCheck.record({ type: fastCheck.constant("pause"), host: position, milliseconds: fastCheck.nat(12_000) }),
    fastCheck.record({ type: fastCheck.constant("cut-one-way"), host: position, to: position }),
    fastCheck.record({ type: fastCheck.constant("split"), size: fastCheck.integer({ min: 1, max: HOSTS - 1 }) }),
    fastCheck.record({ type: fastCheck.constant("lose"), share: fastCheck.constantFrom(0.1, 0.4) }),
    fastCheck.record({ type: fastCheck.constant("heal") }),
);
const story = fastCheck.array(fastCheck.record({ fault: faults, thenMilliseconds: fastCheck.nat(8000) }), {
    minLength: 1,
    maxLength: 12,
});

test("after any faults, every host lists exactly the others that run, and never one known to leave", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), story, (seed, steps) => {
            const fleet = createFleet(seed);
            for (const { fault, thenMilliseconds } of steps) {
                injectFault(fleet, fault);
                for (let passed = 0; passed < thenMilliseconds; passed += 500) {
                    fleet.run(500);
                    assertNoLeavingHostAdvertised(fleet);
                }
            }
            fleet.network.heal();
            fleet.run(LONGEST_LEAVE_MILLISECONDS + CONVERGED_WITHIN_MILLISECONDS);
            fleet.running().forEach(host => assertComplete(fleet, host));
        }),
        { seed: SEED, numRuns: 60 },
    );
});

test("a cut in one direction between any two hosts makes no host drop another", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), position, position, (seed, from, to) => {
            const fleet = createFleet(seed);
            injectFault(fleet, { type: "cut-one-way", host: from, to });
            for (let second = 0; second < 20; second += 1) {
                fleet.run(1000);
                fleet.running().forEach(host => assertComplete(fleet, host));
            }
        }),
        { seed: SEED, numRuns: 20 },
    );
});

test("a killed host is dropped by all within 5 s, and its restart is seen by all within 2 s", () => {
    const fleet = createFleet(SEED);
    fleet.kill("host-003");
    fleet.run(5000);
    fleet.running().forEach(host => assertComplete(fleet, host));
    fleet.start("host-003");
    fleet.run(2000);
    fleet.running().filter(host => host.identity.host !== "host-003").forEach(host => assertComplete(fleet, host));
});

test("a notice to leave takes a host off every list within 2 s, also where its own links are half cut", () => {
    const fleet = createFleet(SEED);
    ["host-002", "host-003", "host-004"].forEach(to => fleet.network.cut("host-001", to));
    fleet.leave("host-001", LONGEST_LEAVE_MILLISECONDS);
    fleet.run(2000);
    for (const host of fleet.running()) {
        const advertised = host.membership.rankAddresses({}).map(identity => identity.host);
        assert.ok(!advertised.includes("host-001"), host.identity.host);
    }
});

test("a host that wakes from a pause of 10 s does not drop the others", () => {
    for (let seed = SEED; seed < SEED + 10; seed += 1) {
        const fleet = createFleet(seed);
        fleet.pause("host-002", 10_000);
        fleet.run(10_000);
        for (let step = 0; step < 10; step += 1) {
            fleet.run(100);
            assertComplete(fleet, fleet.get("host-002"));
        }
    }
});

test("every engine has one poller, in its zone while a host is there", () => {
    const fleet = createFleet(SEED);
    const pollers = () => new Set(fleet.running().map(host => host.membership.pollerOf("engine-1", "zone-1")));
    assert.equal(pollers().size, 1);
    assert.equal(fleet.get([...pollers()][0] ?? "").identity.zone, "zone-1");
    ["host-001", "host-004"].forEach(host => fleet.kill(host));
    fleet.run(6000);
    assert.equal(pollers().size, 1);
});

test("around the size at which heartbeats stop going to all, a loss makes no host drop one that lives", () => {
    for (let seed = SEED; seed < SEED + 10; seed += 1) {
        const fleet = new Fleet({ seed, hosts: 14, zones: 3 });
        fleet.run(20_000);
        fleet.kill("host-003");
        fleet.kill("host-008");
        for (let second = 0; second < 60; second += 1) {
            fleet.run(1000);
            for (const host of fleet.running()) {
                const live = new Set(host.membership.livePeers().map(peer => peer.host));
                const missing = fleet.running().map(other => other.identity.host)
                    .filter(name => name !== host.identity.host && !live.has(name));
                assert.deepEqual(missing, [], `${host.identity.host} in second ${second}, seed ${seed}`);
            }
        }
        fleet.running().forEach(host => assertComplete(fleet, host));
    }
});

test("390 hosts that start at once know their zones within 15 s, and none sends over 12 digests a second", () => {
    const sent = new Map<string, number>();
    let counting = false;
    const fleet = new Fleet({
        seed: SEED,
        hosts: 390,
        zones: 9,
        regions: 3,
        onHeartbeat: from => sent.set(from, (sent.get(from) ?? 0) + (counting ? 1 : 0)),
    });
    fleet.run(15_000);
    for (const host of fleet.running()) {
        const zone = fleet.running().filter(other => other.identity.zone === host.identity.zone);
        const { liveInZone } = host.membership.presence(fleet.nowMilliseconds);
        assert.deepEqual([...liveInZone].sort(), zone.map(other => other.identity.host).sort());
    }
    counting = true;
    fleet.run(5000);
    assert.ok(Math.max(...sent.values()) <= 5 * 12, `${Math.max(...sent.values())} digests in 5 s`);
});

test("among 120 hosts a loss, a replaced host and a zone's cut are known everywhere", () => {
    const sent = new Map<string, number>();
    const fleet = new Fleet({
        seed: SEED,
        hosts: 120,
        zones: 6,
        regions: 2,
        onHeartbeat: from => sent.set(from, (sent.get(from) ?? 0) + 1),
    });
    fleet.run(40_000);
    fleet.running().forEach(host => assertComplete(fleet, host));
    sent.clear();
    fleet.run(5000);
    assert.ok(Math.max(...sent.values()) <= 5 * 4, `${Math.max(...sent.values())} digests in 5 s`);
    ["host-007", "host-051"].forEach(host => fleet.kill(host));
    fleet.start("host-100");
    fleet.run(25_000);
    fleet.running().forEach(host => assertComplete(fleet, host));
    const zone = fleet.running().filter(host => host.identity.zone === "zone-2").map(host => host.identity.host);
    fleet.network.partition([zone, [...fleet.hosts.keys()].filter(host => !zone.includes(host))]);
    fleet.run(100_000);
    const cutOff = fleet.get(zone[0] ?? "").membership.livePeers();
    assert.deepEqual(cutOff.map(({ host }) => host), zone.slice(1).sort());
    fleet.network.heal();
    fleet.run(60_000);
    fleet.running().forEach(host => assertComplete(fleet, host));
});
