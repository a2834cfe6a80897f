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
const ISOLATION_NOTICED_WITHIN_MILLISECONDS = 15_000;

function createFleet(seed: number): Fleet {
    const fleet = new Fleet({ seed, hosts: HOSTS, zones: 3 });
    fleet.apply("text");
    fleet.run(WARM_UP_MILLISECONDS);
    return fleet;
}

function assertNeverBack(fleet: Fleet): void {
    for (const host of fleet.hosts.values()) {
        const revisions = host.activated.map(record => record.revision);
        const sorted = [...new Set(revisions)].sort((left, right) => left - right);
        assert.deepEqual(revisions, sorted, host.identity.host);
    }
}

function assertInForceEverywhere(fleet: Fleet): void {
    for (const host of fleet.running()) {
        assert.equal(host.configuration.record()?.revision, fleet.record?.revision, host.identity.host);
    }
}

function advertised(fleet: Fleet): string[] {
    return fleet.running()
        .filter(host => host.configuration.state(fleet.nowMilliseconds).advertise)
        .map(host => host.identity.host);
}

const position = fastCheck.nat(HOSTS - 1);
const faults: fastCheck.Arbitrary<FleetFault> = fastCheck.oneof(
    fastCheck.record({ type: fastCheck.constantFrom("kill", "restart", "restart", "isolate"), host: position }),
    fastCheck.record({ type: fastCheck.constant("pause"), host: position, milliseconds: fastCheck.nat(12_000) }),
    fastCheck.record({ type: fastCheck.constant("cut-one-way"), host: position, to: position }),
    fastCheck.record({ type: fastCheck.constant("split"), size: fastCheck.integer({ min: 1, max: HOSTS - 1 }) }),
    fastCheck.record({ type: fastCheck.constant("lose"), share: fastCheck.constantFrom(0.1, 0.4) }),
    fastCheck.record({ type: fastCheck.constantFrom("outage", "outage-over", "heal") }),
    fastCheck.record({ type: fastCheck.constant("apply") }),
    fastCheck.record({ type: fastCheck.constant("apply") }),
);
const story = fastCheck.array(fastCheck.record({ fault: faults, thenMilliseconds: fastCheck.nat(6000) }), {
    minLength: 1,
    maxLength: 16,
});

test("under any faults no process goes back a revision, and once they end the latest is in force within 5 s", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(), story, (seed, steps) => {
            const fleet = createFleet(seed);
            for (const { fault, thenMilliseconds } of steps) {
                injectFault(fleet, fault);
                fleet.run(thenMilliseconds);
                assertNeverBack(fleet);
            }
            fleet.storeOutage = false;
            fleet.network.heal();
            fleet.running().forEach(host => host.pausedUntilMilliseconds = Math.min(host.pausedUntilMilliseconds, 0));
            fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
            assertInForceEverywhere(fleet);
            assertNeverBack(fleet);
        }),
        { seed: SEED, numRuns: 80 },
    );
});

test("hosts restarted during an outage take the latest revision from peers, and all serve on for ten minutes", () => {
    const fleet = createFleet(SEED);
    fleet.storeOutage = true;
    fleet.run(30_000);
    fleet.start("host-001");
    fleet.start("host-004");
    fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
    assertInForceEverywhere(fleet);
    for (let minute = 0; minute < 10; minute += 1) {
        fleet.run(60_000);
        assert.equal(advertised(fleet).length, HOSTS);
    }
});

test("a host cut off alone stops advertising itself, the others go on, and it returns with the latest revision", () => {
    for (const storeOutage of [false, true]) {
        const fleet = createFleet(SEED);
        fleet.storeOutage = storeOutage;
        injectFault(fleet, { type: "isolate", host: 2 });
        fleet.run(ISOLATION_NOTICED_WITHIN_MILLISECONDS);
        assert.deepEqual(advertised(fleet).length, HOSTS - 1);
        assert.ok(!advertised(fleet).includes("host-002"));
        fleet.run(600_000);
        assert.equal(advertised(fleet).length, HOSTS - 1);
        fleet.storeOutage = false;
        fleet.apply("newer");
        fleet.network.heal();
        fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
        assertInForceEverywhere(fleet);
        assert.equal(advertised(fleet).length, HOSTS);
    }
});

test("when most hosts die during an outage, the rest serve on while the list of hosts can be read", () => {
    const fleet = createFleet(SEED);
    fleet.storeOutage = true;
    ["host-000", "host-001", "host-002", "host-003"].forEach(host => fleet.kill(host));
    fleet.run(120_000);
    assert.equal(advertised(fleet).length, 3);
});

test("a region without the others and the store serves on, and takes the latest revision when it is back", () => {
    const fleet = new Fleet({ seed: SEED, hosts: 9, zones: 3, regions: 3 });
    fleet.apply("first");
    fleet.run(WARM_UP_MILLISECONDS);
    const region = fleet.running().filter(host => host.identity.region === "region-1").map(host => host.identity.host);
    fleet.network.partition([region, [...fleet.hosts.keys()].filter(host => !region.includes(host))]);
    region.forEach(host => fleet.network.cutFromPlatform(host));
    fleet.apply("second");
    fleet.run(300_000);
    assert.equal(advertised(fleet).length, 9);
    assert.equal(fleet.get(region[0] ?? "").configuration.record()?.revision, 1);
    fleet.network.heal();
    fleet.run(IN_FORCE_WITHIN_MILLISECONDS);
    assertInForceEverywhere(fleet);
    assertNeverBack(fleet);
});

test("a change is in force on 390 hosts within 16 s, with loss and restarts under way", () => {
    const fleet = new Fleet({ seed: SEED, hosts: 390, zones: 9, regions: 3 });
    fleet.apply("first");
    fleet.run(16_000);
    assertInForceEverywhere(fleet);
    fleet.network.lossShare = 0.05;
    fleet.start("host-017");
    fleet.start("host-230");
    fleet.apply("second");
    fleet.run(16_000);
    assertInForceEverywhere(fleet);
});

function record(revision: number, text = "text"): ConfigurationRecord {
    return { revision, changeIdentifier: `c${revision}`, text, appliedAtMilliseconds: 0, operator: "tester" };
}

test("a store that went back and a text that cannot be read change nothing in force", () => {
    const problem = { fileName: "f", line: 1, column: 1, path: "", message: "broken", allowed: "another" };
    const configuration = createConfigurationDecision({
        host: "a",
        random: () => 0,
        parse: text => text === "broken" ? new Err([problem]) : new Ok({} as Deployment),
    });
    configuration.handle({ type: "store-answered", record: record(5) }, 0);
    for (const answer of [record(4), undefined, record(4)]) {
        configuration.handle({ type: "store-answered", record: answer }, 1);
    }
    configuration.handle({ type: "peer-answered", host: "b", record: record(3) }, 2);
    const effects = configuration.handle({ type: "store-answered", record: record(6, "broken") }, 3);
    assert.deepEqual(effects.map(effect => effect.type), ["reject-record"]);
    assert.equal(configuration.record()?.revision, 5);
});
