import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet, type FleetHost } from "../../measurements/fleet.js";
import { type FleetFault, injectFault } from "../../measurements/fleetFaults.js";

const SEED = 20261203;
const HOST_COUNT = 7;
const WARM_UP_MILLISECONDS = 5000;
const CONVERGENCE_MILLISECONDS = 12_000;
const MAXIMUM_LEAVE_MILLISECONDS = 6000;

function createFleet(seed: number): Fleet {
    const fleet = new Fleet({ seed, hosts: HOST_COUNT, zones: 3 });
    fleet.apply("text");
    fleet.run(WARM_UP_MILLISECONDS);
    return fleet;
}

function incarnationNames(identities: readonly { readonly host: string; readonly incarnation: string; }[]): string[] {
    return identities.map(({ host, incarnation }) => `${host}/${incarnation}`).sort();
}

function assertComplete(fleet: Fleet, host: FleetHost): void {
    const others = fleet.running().filter(other => other !== host && !other.hasBegunLeaving);
    assert.deepEqual(
        incarnationNames(host.membership.livePeers()),
        incarnationNames(others.map(other => other.identity)),
    );
}

function assertNoLeavingHostAdvertised(fleet: Fleet): void {
    for (const host of fleet.running()) {
        const advertised = incarnationNames(host.membership.rankAddresses({ zone: "zone-0" }));
        assert.deepEqual(advertised.filter(name => host.knownLeaving.has(name)), []);
    }
}

const hostIndex = fastCheck.nat(HOST_COUNT - 1);
const faultArbitrary: fastCheck.Arbitrary<FleetFault> = fastCheck.oneof(
    fastCheck.record({
        type: fastCheck.constantFrom("kill", "restart", "restart", "leave", "isolate"),
        host: hostIndex,
    }),
    fastCheck.record({ type: fastCheck.constant("pause"), host: hostIndex, milliseconds: fastCheck.nat(12_000) }),
    fastCheck.record({ type: fastCheck.constant("cut-one-way"), host: hostIndex, to: hostIndex }),
    fastCheck.record({ type: fastCheck.constant("split"), size: fastCheck.integer({ min: 1, max: HOST_COUNT - 1 }) }),
    fastCheck.record({ type: fastCheck.constant("lose"), share: fastCheck.constantFrom(0.1, 0.4) }),
    fastCheck.record({ type: fastCheck.constant("heal") }),
);
const faultSequence = fastCheck.array(
    fastCheck.record({ fault: faultArbitrary, thenMilliseconds: fastCheck.nat(8000) }),
    {
        minLength: 1,
        maxLength: 12,
    },
);

test("after any faults each host lists exactly the other running hosts; none ever advertises one it knows is leaving", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), faultSequence, (seed, steps) => {
            const fleet = createFleet(seed);
            for (const { fault, thenMilliseconds } of steps) {
                injectFault(fleet, fault);
                for (let passed = 0; passed < thenMilliseconds; passed += 500) {
                    fleet.run(500);
                    assertNoLeavingHostAdvertised(fleet);
                }
            }
            fleet.network.heal();
            fleet.run(MAXIMUM_LEAVE_MILLISECONDS + CONVERGENCE_MILLISECONDS);
            fleet.running().forEach(host => assertComplete(fleet, host));
        }),
        { seed: SEED, numRuns: 60 },
    );
});

test("a partition in one direction between two hosts makes no host drop another", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), hostIndex, hostIndex, (seed, from, to) => {
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

test("all hosts drop a killed host within 5 s, and list its new incarnation within 2 s of the restart", () => {
    const fleet = createFleet(SEED);
    fleet.kill("host-003");
    fleet.run(5000);
    fleet.running().forEach(host => assertComplete(fleet, host));
    fleet.start("host-003");
    fleet.run(2000);
    fleet.running().filter(host => host.identity.host !== "host-003").forEach(host => assertComplete(fleet, host));
});

test("no host advertises a leaving host after 2 s, even if half of its outgoing links are cut", () => {
    const fleet = createFleet(SEED);
    ["host-002", "host-003", "host-004"].forEach(to => fleet.network.cut("host-001", to));
    fleet.leave("host-001", MAXIMUM_LEAVE_MILLISECONDS);
    fleet.run(2000);
    for (const host of fleet.running()) {
        const advertised = host.membership.rankAddresses({}).map(identity => identity.host);
        assert.ok(!advertised.includes("host-001"), host.identity.host);
    }
});

test("a host that resumes after a pause of 10 s does not drop the others", () => {
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

test("all hosts choose the same poller for an engine, from its zone while that has a host", () => {
    const fleet = createFleet(SEED);
    const pollers = () => new Set(fleet.running().map(host => host.membership.pollerOf("engine-1", "zone-1")));
    assert.equal(pollers().size, 1);
    assert.equal(fleet.get([...pollers()][0] ?? "").identity.zone, "zone-1");
    ["host-001", "host-004"].forEach(host => fleet.kill(host));
    fleet.run(6000);
    assert.equal(pollers().size, 1);
});

test("in a fleet around the full-mesh limit, two lost hosts make no host drop a live one", () => {
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

test("390 hosts that start at once list their zones within 15 s, then send at most 12 digests per second each", () => {
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

test("with 120 hosts, lost hosts, a restarted host and a partitioned zone are detected by every host", () => {
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
    const partitionedPeers = fleet.get(zone[0] ?? "").membership.livePeers();
    assert.deepEqual(partitionedPeers.map(({ host }) => host), zone.slice(1).sort());
    fleet.network.heal();
    fleet.run(60_000);
    fleet.running().forEach(host => assertComplete(fleet, host));
});
