/**
 * Many hosts before engines that a part of a prompt crashes, beside crashes of other kinds.
 *
 * `SEEDS=1000 npx tsx --test src/crashes/crashFleet.test.ts` is the long run by hand, without the time limit of a file;
 * larger fleets get fewer seeds.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
    CrashFleet,
    type CrashFleetOptions,
    type CrashFleetResult,
    type FleetFault,
    type Poison,
} from "../../tests/support/crashFleet.js";
import { createSeededRandom, type RandomSource } from "../decision/index.js";

const DEFAULT_SEEDS = 16;
const SEEDS = Number(process.env["SEEDS"] ?? DEFAULT_SEEDS);
const FROM_MILLISECONDS = 6_000;
const DURATION_MILLISECONDS = 25_000;
const LOSSES = [0, 0.1, 0.2];

/** The rule's requests that may still be sent after its time. */
const MAXIMUM_SENT_LATE = 3;

/** The rule's crashes. */
const MAXIMUM_CRASHES = 5;

const SHARES = [0.01, 0.03, 0.1];

const SMALL_SIZES = [
    { hostCount: 3, engineCount: 8, requestsPerSecond: 64 },
    { hostCount: 9, engineCount: 9, requestsPerSecond: 72 },
];

const LARGE_SIZE = { hostCount: 100, engineCount: 300, requestsPerSecond: 600 };

function createPoison(share: number, changes: Partial<Poison> = {}): Poison {
    return {
        type: "part",
        fromMilliseconds: FROM_MILLISECONDS,
        toMilliseconds: DURATION_MILLISECONDS,
        share,
        ...changes,
    };
}

function shareOf(seed: number): number {
    return SHARES[seed % SHARES.length] ?? 0;
}

function quantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Plays a fleet for each seed, checks the rule and that nothing sound was convicted, and prints the distributions. */
function play(
    context: TestContext,
    seeds: number,
    createOptions: (seed: number) => Omit<CrashFleetOptions, "seed" | "loss" | "durationMilliseconds">,
    firstSeed = 1,
): CrashFleetResult[] {
    const results: CrashFleetResult[] = [];
    for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
        const options = { durationMilliseconds: DURATION_MILLISECONDS, ...createOptions(seed) };
        const result = new CrashFleet({ ...options, seed, loss: LOSSES[seed % LOSSES.length] ?? 0 }).run();
        for (const { sentLate } of result.poisons) {
            assert.ok(sentLate <= MAXIMUM_SENT_LATE, `seed ${seed}: ${sentLate} requests were sent too late`);
        }
        assert.deepEqual(result.convictedParts, [], `seed ${seed}: sound parts were convicted`);
        results.push(result);
    }
    context.diagnostic(summarize(results));
    return results;
}

function summarize(results: readonly CrashFleetResult[]): string {
    const crashes = results.flatMap(({ poisons }) => poisons.map(poison => poison.crashes)).sort((a, b) => a - b);
    const holds = results.flatMap(({ holdMilliseconds }) => holdMilliseconds).sort((a, b) => a - b);
    const total = (read: (result: CrashFleetResult) => number): number =>
        results.reduce((sum, result) => sum + read(result), 0);
    const sound = total(result => result.sound);
    const share = (count: number): string => `${(100 * count / sound).toFixed(3)} %`;
    return [
        `engines ${quantile(crashes, 0.5)}, 95 % ${quantile(crashes, 0.95)}, most ${crashes.at(-1) ?? 0}`,
        `more than three ${crashes.filter(count => count > 3).length} of ${crashes.length}`,
        `sound requests held ${share(total(result => result.soundHeld))}`,
        `for ${quantile(holds, 0.5).toFixed(0)} ms, 95 % ${quantile(holds, 0.95).toFixed(0)} ms`,
        `in vain ${share(total(result => result.soundHeldTooLong))}`,
        `refused ${share(total(result => result.soundRefused))}`,
        `sound single requests convicted ${total(result => result.convictedRequests.length)}`,
    ].join("; ");
}

/** Chooses disturbances of all kinds, at random times. */
function chooseFaults(random: RandomSource): { readonly atMilliseconds: number; readonly fault: FleetFault; }[] {
    const faults: FleetFault[] = [
        { type: "crash", engines: 1, spanMilliseconds: 1 },
        { type: "crash", engines: 1, spanMilliseconds: 1, isForGood: true },
        { type: "crash", engines: 4, spanMilliseconds: 100 },
        { type: "crash", engines: 3, spanMilliseconds: 8_000 },
        { type: "rolling", gapMilliseconds: 1_500 },
        { type: "resets", share: 0.05, durationMilliseconds: 10_000 },
        { type: "restart", hosts: 1 },
    ];
    return faults.filter(() => random() < 0.4).map(fault => ({
        atMilliseconds: 3_000 + random() * (DURATION_MILLISECONDS - 8_000),
        fault,
    }));
}

for (const size of SMALL_SIZES) {
    const hosts = `${size.hostCount} hosts`;

    test(`${hosts}: a deadly part costs few engines, and no sound part is refused for it`, context => {
        const results = play(context, SEEDS, seed => ({ ...size, poisons: [createPoison(shareOf(seed))] }));
        for (const [index, { poisons }] of results.entries()) {
            assert.ok(
                (poisons[0]?.crashes ?? 0) <= MAXIMUM_CRASHES,
                `seed ${index + 1}: ${poisons[0]?.crashes} engines`,
            );
        }
    });

    test(`${hosts}: beside crashes of all other kinds the rule holds, and no sound part is convicted`, context => {
        play(context, SEEDS, seed => ({
            ...size,
            poisons: [createPoison(shareOf(seed))],
            faults: chooseFaults(createSeededRandom(seed + 1_000_000)),
        }));
    });

    test(`${hosts}: crashes of other kinds alone convict no part`, context => {
        play(context, SEEDS, seed => ({
            ...size,
            poisons: [],
            faults: chooseFaults(createSeededRandom(seed + 2_000_000)),
        }));
    });

    test(`${hosts}: two deadly parts at once, one with a companion, are told apart`, context => {
        play(context, SEEDS, seed => ({
            ...size,
            poisons: [createPoison(shareOf(seed), { hasCompanion: true }), createPoison(shareOf(seed + 1))],
        }));
    });

    test(`${hosts}: one request that crashes each engine is refused by itself`, context => {
        play(context, SEEDS, seed => ({ ...size, poisons: [createPoison(shareOf(seed), { type: "request" })] }));
    });
}

test("100 hosts in cells: a deadly part is refused within the rule's time", context => {
    play(context, Math.ceil(SEEDS / 16), seed => ({ ...LARGE_SIZE, poisons: [createPoison(shareOf(seed))] }));
});

test("100 hosts of which two halves do not hear each other for a time: each half refuses the part within the rule", context => {
    play(context, Math.ceil(SEEDS / 16), seed => ({
        ...LARGE_SIZE,
        durationMilliseconds: 18_000,
        poisons: [createPoison(shareOf(seed))],
        faults: [{ atMilliseconds: 4_000, fault: { type: "cut", durationMilliseconds: 10_000, isInHalves: true } }],
    }));
});

test("a deadly part that comes back after half an hour costs nothing, also where hosts restarted meanwhile", context => {
    const results = play(context, Math.ceil(SEEDS / 16), () => ({
        hostCount: 9,
        engineCount: 9,
        requestsPerSecond: 6,
        durationMilliseconds: 1_820_000,
        poisons: [createPoison(0.3, { toMilliseconds: 60_000, againMilliseconds: [1_800_000, 1_820_000] })],
        faults: [{ atMilliseconds: 900_000, fault: { type: "restart", hosts: 4 } }],
    }));
    for (const { poisons } of results) {
        const late = poisons.flatMap(({ crashTimes }) => crashTimes).filter(time => time > 100_000);
        assert.deepEqual(late, []);
    }
});

for (const firstSeed of [385, 987]) {
    test(`3 hosts: two deadly parts at once with seed ${firstSeed} convict no sound part`, context => {
        play(context, 1, seed => ({
            hostCount: 3,
            engineCount: 8,
            requestsPerSecond: 64,
            poisons: [createPoison(shareOf(seed), { hasCompanion: true }), createPoison(shareOf(seed + 1))],
        }), firstSeed);
    });
}

for (const firstSeed of [624, 675, 875]) {
    test(`9 hosts: crashes of other kinds alone with seed ${firstSeed} convict no part`, context => {
        play(context, 1, seed => ({
            hostCount: 9,
            engineCount: 9,
            requestsPerSecond: 72,
            poisons: [],
            faults: chooseFaults(createSeededRandom(seed + 2_000_000)),
        }), firstSeed);
    });
}

for (const firstSeed of [85, 198]) {
    test(`3 hosts: beside crashes of other kinds with seed ${firstSeed}, no sound part is convicted`, context => {
        play(context, 1, seed => ({
            hostCount: 3,
            engineCount: 8,
            requestsPerSecond: 64,
            poisons: [createPoison(shareOf(seed))],
            faults: chooseFaults(createSeededRandom(seed + 1_000_000)),
        }), firstSeed);
    });
}
