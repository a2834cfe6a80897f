import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostsRun } from "../../measurements/policy/hostsRun.js";
import { type Arrival } from "../../measurements/policy/runTypes.js";
import { createArrival, runSmall } from "../../tests/support/requestRuns.js";
import { createSeededRandom } from "../decision/index.js";

const SEED = 20261203;
const HOSTS = 3;
const FIRST_TOKEN_TARGET_MILLISECONDS = 600;

interface Demand {
    readonly fromMilliseconds: number;
    readonly toMilliseconds: number;
    readonly perSecond: number;
    readonly class: "urgent" | "patient";
}

function createArrivals(demands: readonly Demand[]): Arrival[] {
    const random = createSeededRandom(SEED);
    const arrivals: Arrival[] = [];
    for (const demand of demands) {
        for (let at = demand.fromMilliseconds; at < demand.toMilliseconds; at += 2_000 * random() / demand.perSecond) {
            const identifier = `${demand.class}-${arrivals.length}`;
            arrivals.push(createArrival(identifier, arrivals.length % HOSTS, at, { class: demand.class }));
        }
    }
    return arrivals;
}

function listRecords(run: HostsRun, requestClass: "urgent" | "patient") {
    return [...run.records.values()].filter(record => record.arrival.request.class === requestClass);
}

function assertAnsweredOnce(run: HostsRun): void {
    for (const record of run.records.values()) {
        const { identifier } = record.arrival.request;
        assert.equal(record.answers, 1, `${identifier} has ${record.answers} answers`);
        assert.ok(
            record.refusal?.ran !== "not-run" || !record.taken,
            `${identifier} was started but refused as not run`,
        );
    }
}

test("an outage of half of a pool causes no retry storm, and refusals come within the first-token target", () => {
    const run = runSmall({
        seed: SEED,
        hosts: HOSTS,
        engines: 4,
        network: { crashNoticeLoss: 0.5, engineRestartMilliseconds: 30_000 },
        arrivals: createArrivals([{ fromMilliseconds: 1_000, toMilliseconds: 60_000, perSecond: 20, class: "urgent" }]),
        endMilliseconds: 130_000,
        prepare: prepared => {
            for (const engine of ["engine-0", "engine-1"]) {
                prepared.events.schedule(20_000, () => prepared.crashEngine(engine));
            }
        },
    });
    assertAnsweredOnce(run);
    const records = listRecords(run, "urgent");
    const attempts = records.reduce((sum, record) => sum + record.attempts, 0);
    assert.ok(attempts / records.length < 1.1, `${attempts} attempts for ${records.length} requests`);
    for (const record of records.filter(each => each.refusal !== undefined && !each.taken)) {
        const waited = (record.refusedAtMilliseconds ?? Number.POSITIVE_INFINITY) - record.arrival.atMilliseconds;
        assert.ok(waited <= FIRST_TOKEN_TARGET_MILLISECONDS + 50, `refused after ${waited} ms`);
        assert.ok((record.refusal?.retryAfterMilliseconds ?? 0) > 0);
    }
});

test("at tenfold demand urgent requests are served or refused within target, and patient ones answered later", () => {
    const run = runSmall({
        seed: SEED,
        hosts: HOSTS,
        engines: 2,
        arrivals: createArrivals([
            { fromMilliseconds: 1_000, toMilliseconds: 90_000, perSecond: 6, class: "urgent" },
            { fromMilliseconds: 20_000, toMilliseconds: 80_000, perSecond: 54, class: "urgent" },
            { fromMilliseconds: 1_000, toMilliseconds: 90_000, perSecond: 1, class: "patient" },
        ]),
        endMilliseconds: 240_000,
    });
    assertAnsweredOnce(run);
    const urgent = listRecords(run, "urgent");
    const served = urgent.filter(record => record.refusal === undefined);
    const late = served.filter(record =>
        (record.firstTokenAtMilliseconds ?? Number.POSITIVE_INFINITY) - record.arrival.atMilliseconds
            > FIRST_TOKEN_TARGET_MILLISECONDS
    );
    assert.ok(served.length > 500, `${served.length} served`);
    assert.ok(late.length < served.length * 0.05, `${late.length} of ${served.length} served late`);
    for (const record of urgent.filter(each => each.refusal !== undefined)) {
        const waited = (record.refusedAtMilliseconds ?? Number.POSITIVE_INFINITY) - record.arrival.atMilliseconds;
        assert.ok(waited <= FIRST_TOKEN_TARGET_MILLISECONDS + 50, `refused after ${waited} ms`);
        assert.ok((record.refusal?.retryAfterMilliseconds ?? 0) > 0);
    }
    assert.deepEqual(listRecords(run, "patient").filter(record => record.refusal !== undefined), []);
});

test("patient requests finish in time although urgent demand always fills every engine", () => {
    const patientMilliseconds = 40_000;
    const run = runSmall({
        seed: SEED,
        hosts: HOSTS,
        engines: 2,
        patientMilliseconds,
        arrivals: createArrivals([
            { fromMilliseconds: 1_000, toMilliseconds: 100_000, perSecond: 60, class: "urgent" },
            { fromMilliseconds: 10_000, toMilliseconds: 40_000, perSecond: 1, class: "patient" },
        ]),
        endMilliseconds: 100_000,
    });
    for (const record of listRecords(run, "patient")) {
        const waited = (record.finishedAtMilliseconds ?? Number.POSITIVE_INFINITY) - record.arrival.atMilliseconds;
        assert.ok(waited <= patientMilliseconds, `${record.arrival.request.identifier} took ${waited} ms`);
    }
});

test("a leaving engine receives no new requests once hosts know that it leaves, and finishes those it has", () => {
    const leavesAt = 10_000;
    const reportDelayMilliseconds = 550 + 500 + 2;
    const lateDispatches: number[] = [];
    const run = runSmall({
        seed: SEED,
        hosts: HOSTS,
        engines: 3,
        arrivals: createArrivals([
            { fromMilliseconds: 1_000, toMilliseconds: 30_000, perSecond: 15, class: "urgent" },
            { fromMilliseconds: 1_000, toMilliseconds: 30_000, perSecond: 3, class: "patient" },
        ]),
        endMilliseconds: 60_000,
        prepare: prepared => {
            prepared.events.schedule(leavesAt, () => prepared.leaveEngine("engine-1"));
        },
        onEffect: (_, effect, now) => {
            if (
                effect.type === "dispatch" && effect.engine === "engine-1" && now > leavesAt + reportDelayMilliseconds
            ) {
                lateDispatches.push(now);
            }
        },
    });
    assertAnsweredOnce(run);
    assert.deepEqual(lateDispatches, []);
    assert.ok([...run.records.values()].every(record => !record.taken || record.finishedAtMilliseconds !== undefined));
});
