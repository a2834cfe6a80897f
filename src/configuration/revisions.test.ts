import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok } from "ts-results-es";
import { Fleet } from "../../measurements/fleet.js";
import { type FleetFault, injectFault } from "../../measurements/fleetFaults.js";
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { createConfigurationDecision } from "./index.js";

const SEED = 20261203;
const HOSTS = 7;
const WARM_UP_MILLISECONDS = 5000;
const IN_FORCE_WITHIN_MILLISECONDS = 5000;
const ISOLATION_DETECTED_WITHIN_MILLISECONDS = 15_000;

function createFleet(seed: number): Fleet {
    const fleet = new Fleet({ seed, hosts: HOSTS, zones: 3 });
    fleet.apply("text");
    fleet.run(WARM_UP_MILLISECONDS);
    return fleet;
}

function assertRevisionsNeverDecrease(fleet: Fleet): void {
    for (const host of fleet.hosts.values()) {
        const revisions = host.activated.map(record => record.revision);
        const sorted = [...new Set(revisions)].sort((left, right) => left - right);
        assert.deepEqual(revisions, sorted, host.identity.host);
    }
}

function assertLatestInForceEverywhere(fleet: Fleet): void {
    for (const host of fleet.running()) {
        assert.equal(host.configuration.record()?.revision, fleet.record?.revision, host.identity.host);
    }
}

function advertisedHosts(fleet: Fleet): string[] {
    return fleet.running()
        .filter(host => host.configuration.heartbeatState(fleet.nowMilliseconds).advertise)
        .map(host => host.identity.host);
}

const hostIndex = fastCheck.nat(HOSTS - 1);
const faults: fastCheck.Arbitrary<FleetFault> = fastCheck.oneof(
    fastCheck.record({ type: fastCheck.constantFrom("kill", "restart", "restart", "isolate"), host: hostIndex }),
    fastCheck.record({ type: fastCheck.constant("pause"), host: hostIndex, milliseconds: fastCheck.nat(12_000) }),
    fastCheck.record({ type: fastCheck.constant("cut-one-way"), host: hostIndex, to: hostIndex }),
    fastCheck.record({ type: fastCheck.constant("split"), size: fastCheck.integer({ min: 1, max: HOSTS - 1 }) }),
    fastCheck.record({ type: fastCheck.constant("lose"), share: fastCheck.constantFrom(0.1, 0.4) }),
    fastCheck.record({ type: fastCheck.constantFrom("outage", "outage-over", "heal") }),
    fastCheck.record({ type: fastCheck.constant("apply") }),
    fastCheck.record({ type: fastCheck.constant("apply") }),
);
const faultSequences = fastCheck.array(fastCheck.record({ fault: faults, thenMilliseconds: fastCheck.nat(6000) }), {
    minLength: 1,
    maxLength: 16,
});

test("under any faults no process activates a lower revision; within 5 s of their end the latest is in force", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), faultSequences, (seed, steps) => {
            const fleet = createFleet(seed);
            for (const { fault, thenMilliseconds } of steps) {
                injectFault(fleet, fault);
                fleet.run(thenMilliseconds);
                assertRevisionsNeverDecrease(fleet);
            }
            fleet.storeOutage = false;
            fleet.network.heal();
            fleet.running().forEach(host => host.pausedUntilMilliseconds = Math.min(host.pausedUntilMilliseconds, 0));
            fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
            assertLatestInForceEverywhere(fleet);
            assertRevisionsNeverDecrease(fleet);
        }),
        { seed: SEED, numRuns: 80 },
    );
});

test("hosts restarted in an outage get the latest revision from peers, and all stay advertised for ten minutes", () => {
    const fleet = createFleet(SEED);
    fleet.storeOutage = true;
    fleet.run(30_000);
    fleet.start("host-001");
    fleet.start("host-004");
    fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
    assertLatestInForceEverywhere(fleet);
    for (let minute = 0; minute < 10; minute += 1) {
        fleet.run(60_000);
        assert.equal(advertisedHosts(fleet).length, HOSTS);
    }
});

test("only an isolated host stops advertising itself, and it is advertised again with the latest revision", () => {
    for (const storeOutage of [false, true]) {
        const fleet = createFleet(SEED);
        fleet.storeOutage = storeOutage;
        injectFault(fleet, { type: "isolate", host: 2 });
        fleet.run(ISOLATION_DETECTED_WITHIN_MILLISECONDS);
        assert.deepEqual(advertisedHosts(fleet).length, HOSTS - 1);
        assert.ok(!advertisedHosts(fleet).includes("host-002"));
        fleet.run(600_000);
        assert.equal(advertisedHosts(fleet).length, HOSTS - 1);
        fleet.storeOutage = false;
        fleet.apply("newer");
        fleet.network.heal();
        fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
        assertLatestInForceEverywhere(fleet);
        assert.equal(advertisedHosts(fleet).length, HOSTS);
    }
});

test("when most hosts die during an outage, the others stay advertised if the host list is readable", () => {
    const fleet = createFleet(SEED);
    fleet.storeOutage = true;
    ["host-000", "host-001", "host-002", "host-003"].forEach(host => fleet.kill(host));
    fleet.run(120_000);
    assert.equal(advertisedHosts(fleet).length, 3);
});

test("a region partitioned from the others and the store stays advertised, and later gets the latest revision", () => {
    const fleet = new Fleet({ seed: SEED, hosts: 9, zones: 3, regions: 3 });
    fleet.apply("first");
    fleet.run(WARM_UP_MILLISECONDS);
    const region = fleet.running().filter(host => host.identity.region === "region-1").map(host => host.identity.host);
    fleet.network.partition([region, [...fleet.hosts.keys()].filter(host => !region.includes(host))]);
    region.forEach(host => fleet.network.cutFromPlatform(host));
    fleet.apply("second");
    fleet.run(300_000);
    assert.equal(advertisedHosts(fleet).length, 9);
    assert.equal(fleet.get(region[0] ?? "").configuration.record()?.revision, 1);
    fleet.network.heal();
    fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
    assertLatestInForceEverywhere(fleet);
    assertRevisionsNeverDecrease(fleet);
});

test("a change is in force on 390 hosts within 16 s despite packet loss and restarts", () => {
    const fleet = new Fleet({ seed: SEED, hosts: 390, zones: 9, regions: 3 });
    fleet.apply("first");
    fleet.run(16_000);
    assertLatestInForceEverywhere(fleet);
    fleet.network.lossShare = 0.05;
    fleet.start("host-017");
    fleet.start("host-230");
    fleet.apply("second");
    fleet.run(16_000);
    assertLatestInForceEverywhere(fleet);
});

function record(revision: number, text = "text"): ConfigurationRecord {
    return { revision, changeIdentifier: `c${revision}`, text, appliedAtMilliseconds: 0, operator: "tester" };
}

test("a lower revision in the store and an invalid configuration do not replace the revision in force", () => {
    const problem = { fileName: "f", line: 1, column: 1, path: "", message: "broken", allowed: "another" };
    const decision = createConfigurationDecision({
        host: "a",
        random: () => 0,
        parse: text => text === "broken" ? new Err([problem]) : new Ok({} as Deployment),
    });
    decision.handle({ type: "store-answered", record: record(5) }, 0);
    for (const answer of [record(4), undefined, record(4)]) {
        decision.handle({ type: "store-answered", record: answer }, 1);
    }
    decision.handle({ type: "peer-answered", host: "b", record: record(3) }, 2);
    const effects = decision.handle({ type: "store-answered", record: record(6, "broken") }, 3);
    assert.deepEqual(effects.map(effect => effect.type), ["reject-record"]);
    assert.equal(decision.record()?.revision, 5);
});
