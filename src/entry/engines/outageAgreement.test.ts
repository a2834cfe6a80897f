import assert from "node:assert/strict";
import { test } from "node:test";
import { findConflicts, type FleetTrouble, NO_TROUBLE, OutageFleet } from "../../../tests/support/outageFleet.js";
import { type RandomSource } from "../../decision/index.js";

const ENGINES = ["engine-1", "engine-2", "engine-3", "engine-4", "engine-5"];
const ZONES = ["zone-a", "zone-b", "zone-c"];
const FLEET_SIZES = [6, 13, 14, 20, 26, 40];

const START_MILLISECONDS = 8_000;
const TROUBLES = 3;
const SEEDS = 60;

/** Time for which a host is known to the others before it may be the one that the service answers in a cut. */
const KNOWN_MILLISECONDS = 4_000;

const MINIMUM_TROUBLE_MILLISECONDS = 2_000;
const TROUBLE_MILLISECONDS = 8_000;
const PAUSE_MILLISECONDS = 5_000;

function pick<Value>(random: RandomSource, values: readonly Value[]): Value | undefined {
    return values[Math.floor(random() * values.length)];
}

/** Returns the hosts of a cut: a zone, or any hosts; the anchor is never one of them. */
function pickCut(random: RandomSource, hosts: ReturnType<OutageFleet["hosts"]>, anchor: string): ReadonlySet<string> {
    const zone = pick(random, ZONES);
    const share = random();
    const isOfZone = random() < 0.4;
    const cut = hosts.filter(host => isOfZone ? host.zone === zone : random() < share).map(({ name }) => name);
    return new Set(cut.filter(name => name !== anchor));
}

function createTrouble(random: RandomSource, cut: ReadonlySet<string>): FleetTrouble {
    const storeAnswers = (host: string): boolean => !cut.has(host);
    const passes = pick<FleetTrouble["passes"]>(random, [
        (from, to) => cut.has(from) === cut.has(to),
        (from, to) => cut.has(from) === cut.has(to),
        from => !cut.has(from),
        (from, to) => cut.has(from) || !cut.has(to),
        () => true,
    ]);
    return { passes: passes ?? NO_TROUBLE.passes, storeAnswers };
}

/** Plays cuts, one after the other, while hosts join, leave and start again. */
function play(seed: number, rule: "cell" | "fleet"): OutageFleet {
    const fleet = new OutageFleet({
        seed,
        zones: ZONES.slice(0, 2 + seed % 2),
        hostCount: FLEET_SIZES[seed % FLEET_SIZES.length] ?? 0,
        engines: ENGINES,
        lostShare: 0.05,
        lateShare: 0.03,
        lostAnswerShare: 0.05,
        rule,
    });
    const { random } = fleet;
    fleet.run(START_MILLISECONDS);
    for (let trouble = 0; trouble < TROUBLES; trouble += 1) {
        const known = fleet.hosts().filter(({ startedAtMilliseconds }) =>
            fleet.now - startedAtMilliseconds >= KNOWN_MILLISECONDS
        );
        const anchor = pick(random, known)?.name ?? "";
        const cut = pickCut(random, fleet.hosts(), anchor);
        fleet.trouble = random() < 0.2
            ? { ...NO_TROUBLE, storeAnswers: () => false }
            : createTrouble(random, cut);
        if (random() < 0.7) {
            fleet.revoke([...cut]);
        }
        const end = fleet.now + MINIMUM_TROUBLE_MILLISECONDS + random() * TROUBLE_MILLISECONDS;
        while (fleet.now < end) {
            fleet.run(1_000);
            disturb(fleet, anchor);
        }
        fleet.trouble = NO_TROUBLE;
        fleet.run(random() * PAUSE_MILLISECONDS);
    }
    return fleet;
}

/** Lets a host join, leave or start again now and then. */
function disturb(fleet: OutageFleet, anchor: string): void {
    const { random } = fleet;
    const others = fleet.hosts().map(({ name }) => name).filter(name => name !== anchor);
    const action = random();
    if (action < 0.1) {
        fleet.startHost(`joined-${fleet.now}`);
    }
    else if (action < 0.2 && others.length > 2) {
        fleet.leave(pick(random, others) ?? "");
    }
    else if (action < 0.3) {
        fleet.startHost(pick(random, others) ?? anchor);
    }
}

test("no two hosts order an engine while cuts along and across cells hold hosts away from the key-value service", () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        assert.deepEqual(findConflicts(play(seed, "fleet").orders).slice(0, 3), [], `seed ${seed}`);
    }
});

test("the simulated cuts find two holders of one engine where the consent of the own cell is enough", () => {
    const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
    assert.ok(seeds.some(seed => findConflicts(play(seed, "cell").orders).length > 0));
});

test("holders of 14 hosts in two cells send orders throughout an outage of the key-value service of 8 s", () => {
    for (let seed = 1; seed <= 20; seed += 1) {
        const fleet = new OutageFleet({
            seed,
            zones: ZONES.slice(0, 2),
            hostCount: 14,
            engines: ENGINES,
            lostShare: 0.01,
            lateShare: 0,
            lostAnswerShare: 0,
        });
        fleet.run(START_MILLISECONDS);
        const from = fleet.now;
        fleet.trouble = { ...NO_TROUBLE, storeAnswers: () => false };
        fleet.run(8_000);
        for (const engine of ENGINES) {
            const last = fleet.orders.get(engine)?.at(-1)?.atMilliseconds ?? 0;
            assert.ok(last >= from + 7_900, `seed ${seed}: last order to ${engine} after ${last - from} ms`);
        }
    }
});
