import assert from "node:assert/strict";
import { test } from "node:test";
import { possibleTakers } from "./candidates.js";
import { EngineDuties, OutageWitnesses } from "./index.js";

const BOUNDS = { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 };
const HOSTS = Array.from({ length: 40 }, (_, index) => `host-${index}`);
const ENGINES = ["engine"];

function createFleet(hosts: readonly string[], serviceAnswers: boolean): Parameters<OutageWitnesses["recordFleet"]>[0] {
    return { serviceAnswers, cellHosts: [], possibleTakers: hosts, engineCount: ENGINES.length };
}

test("during an outage a holder needs the consent of a host that is no longer heard of, but not of one that leaves", () => {
    const witnesses = new OutageWitnesses("one");
    witnesses.recordFleet(createFleet(["gone", "three", "two"], true));
    witnesses.recordFleet(createFleet(["late", "three", "two"], false));
    assert.deepEqual(witnesses.hosts().sort(), ["gone", "late", "three", "two"]);
    witnesses.recordLeaving("two", true);
    assert.deepEqual(witnesses.hosts().sort(), ["gone", "late", "three"]);
    witnesses.recordFleet(createFleet(["three", "two"], true));
    assert.deepEqual(witnesses.hosts().sort(), ["three", "two"]);
});

test("a host that holders do not ask for consent takes over only what a holder gave up, though all others are gone", () => {
    const takers = possibleTakers(HOSTS, ENGINES.length);
    for (const host of HOSTS) {
        const duties = new EngineDuties(host, BOUNDS);
        HOSTS.forEach(other => duties.setSession(other, `s-${other}`, 0));
        duties.recordRenewal(`s-${host}`, { steadyMilliseconds: 0, timeOfDayMilliseconds: 0 });
        const holder = { host: "cut-off", session: "s", settled: true };
        duties.setHolder("engine", { ...holder, released: false, revision: 7 }, 0);
        HOSTS.filter(other => other !== host).forEach(other => duties.setSession(other, undefined, 1_000));
        duties.dueAcquisitions(ENGINES, 1_000);
        assert.equal(duties.dueAcquisitions(ENGINES, 20_000).length, takers.includes(host) ? 1 : 0, host);
        duties.setHolder("engine", { ...holder, released: true, revision: 8 }, 20_000);
        duties.dueAcquisitions(ENGINES, 20_000);
        assert.equal(duties.dueAcquisitions(ENGINES, 40_000).length, 1, host);
    }
});

test("holders of two cells need the consent of every host that may take over, also where they know further hosts", () => {
    const takers = possibleTakers(HOSTS, ENGINES.length);
    const witnesses = new OutageWitnesses("one");
    const further = Array.from({ length: 7 }, (_, index) => `further-${index}`);
    witnesses.recordFleet(createFleet([...HOSTS, ...further], true));
    assert.deepEqual(takers.filter(host => !witnesses.hosts().includes(host)), []);
});
