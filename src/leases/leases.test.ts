import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { startKeyValueStandIn } from "../../standins/keyValue.js";
import { createSeededRandom, type Decision } from "../decision/index.js";
import { createKeyValueClient } from "../platform/index.js";
import {
    createDutyLease,
    createDutyLeaseDecision,
    type DutyLeaseEffect,
    type DutyLeaseMessage,
    type LeaseAnswer,
    type LeaseCall,
} from "./index.js";

const PROPERTY_SEED = 20261203;
const DUTY = "residency/pool";
const LEASE_MILLISECONDS = 9000;
const POLL_MILLISECONDS = 2000;
const TICK_MILLISECONDS = 200;
const CALL_TIMEOUT_MILLISECONDS = 2000;
/** The full lease time, then the poll of another candidate and a few calls. */
const TAKEOVER_MILLISECONDS = LEASE_MILLISECONDS + 6 * POLL_MILLISECONDS;

interface Process {
    readonly name: string;
    /** Rate of this process's clock relative to the simulated time. */
    readonly rate: number;
    decision: Decision<DutyLeaseMessage, DutyLeaseEffect>;
    incarnation: number;
    alive: boolean;
    pausedUntil: number;
    heldLease: { readonly epoch: number; expiresAt: number; } | undefined;
}

/** Simulates hosts' decisions, a key-value service and the calls between them, with seeded random faults. */
class Simulation {
    now = 0;
    calls = 0;
    faulty: boolean;
    readonly epochs: number[] = [];
    readonly processes: Process[];
    readonly #random;
    readonly #events: { at: number; run: () => void; }[] = [];
    readonly #keys = new Map<string, { value: unknown; revision: number; lease: string | undefined; }>();
    readonly #leases = new Map<string, number>();
    #counter = 0;
    #outageUntil = 0;

    constructor(seed: number, hosts: number, faulty: boolean) {
        this.faulty = faulty;
        this.#random = createSeededRandom(seed);
        this.processes = Array.from({ length: hosts }, (_, index) => ({
            name: `host-${index}`,
            rate: 0.97 + 0.06 * this.#random(),
            decision: this.#createDecision(`host-${index}`, 0),
            incarnation: 0,
            alive: true,
            pausedUntil: 0,
            heldLease: undefined,
        }));
        this.processes.forEach(process => this.#tick(process));
    }

    chance(probability: number): boolean {
        return this.#random() < probability;
    }

    holders(): Process[] {
        return this.processes.filter(process =>
            process.alive && process.heldLease !== undefined && this.#localTime(process) < process.heldLease.expiresAt
        );
    }

    run(until: number): void {
        for (;;) {
            this.#events.sort((left, right) => right.at - left.at);
            const event = this.#events.at(-1);
            if (event === undefined || event.at > until) {
                break;
            }
            this.#events.pop();
            this.now = event.at;
            event.run();
            assert.ok(this.holders().length <= 1, "two processes hold the duty at the same time");
        }
        this.now = until;
    }

    injectFault(): void {
        const process = this.processes[Math.floor(this.#random() * this.processes.length)];
        assert.ok(process !== undefined);
        const faultKind = Math.floor(this.#random() * 4);
        const duration = this.#random() * 3 * LEASE_MILLISECONDS;
        if (faultKind === 0) {
            process.pausedUntil = this.now + duration;
        }
        else if (faultKind === 1) {
            this.#outageUntil = this.now + duration;
        }
        else if (faultKind === 2) {
            process.alive = false;
            process.heldLease = undefined;
        }
        else {
            this.restart(process);
        }
    }

    restart(process: Process): void {
        process.incarnation += 1;
        process.alive = true;
        process.pausedUntil = 0;
        process.heldLease = undefined;
        process.decision = this.#createDecision(process.name, process.incarnation);
    }

    deliver(process: Process, message: DutyLeaseMessage): void {
        const { incarnation } = process;
        if (process.pausedUntil > this.now) {
            this.#schedule(process.pausedUntil, () => {
                if (process.incarnation === incarnation) {
                    this.deliver(process, message);
                }
            });
            return;
        }
        if (process.alive) {
            process.decision.handle(message, this.#localTime(process)).forEach(effect =>
                this.#perform(process, effect)
            );
        }
    }

    #createDecision(host: string, incarnation: number): Decision<DutyLeaseMessage, DutyLeaseEffect> {
        return createDutyLeaseDecision({
            duty: DUTY,
            host,
            incarnation: `${host}/${incarnation}`,
            random: this.#random,
            leaseMilliseconds: LEASE_MILLISECONDS,
            pollMilliseconds: POLL_MILLISECONDS,
        });
    }

    #localTime(process: Process): number {
        return this.now * process.rate;
    }

    #schedule(at: number, run: () => void): void {
        this.#events.push({ at, run });
    }

    #tick(process: Process): void {
        this.deliver(process, {
            type: "hosts",
            hosts: this.processes.filter(({ alive }) => alive).map(({ name }) => name),
        });
        this.deliver(process, { type: "tick" });
        this.#schedule(Math.max(process.pausedUntil, this.now) + TICK_MILLISECONDS, () => this.#tick(process));
    }

    #perform(process: Process, effect: DutyLeaseEffect): void {
        if (effect.type === "call") {
            this.#call(process, effect.call, effect.request);
            return;
        }
        if (effect.type === "acquired") {
            assert.ok(effect.epoch > (this.epochs.at(-1) ?? 0), "the epoch did not increase");
            this.epochs.push(effect.epoch);
            process.heldLease = { epoch: effect.epoch, expiresAt: effect.expiresAtMilliseconds };
            return;
        }
        assert.ok(process.heldLease !== undefined);
        process.heldLease = effect.type === "lost"
            ? undefined
            : { ...process.heldLease, expiresAt: effect.expiresAtMilliseconds };
    }

    /** Requests and answers may be lost, or delayed by milliseconds to seconds; each call is answered once. */
    #call(process: Process, call: number, request: LeaseCall): void {
        this.calls += 1;
        const { incarnation } = process;
        let answered = false;
        const deliverAnswer = (answer: LeaseAnswer) => {
            if (!answered && process.incarnation === incarnation) {
                answered = true;
                this.deliver(process, { type: "answered", call, answer });
            }
        };
        this.#schedule(this.now + CALL_TIMEOUT_MILLISECONDS, () => deliverAnswer({ type: "unknown" }));
        if (this.#isLost()) {
            return;
        }
        this.#schedule(this.now + this.#latency(), () => {
            const answer = this.#apply(request);
            if (!this.#isLost()) {
                this.#schedule(this.now + this.#latency(), () => deliverAnswer(answer));
            }
        });
    }

    #isLost(): boolean {
        return this.now < this.#outageUntil || (this.faulty && this.chance(0.05));
    }

    #latency(): number {
        if (this.faulty && this.chance(0.3)) {
            return this.#random() * (this.chance(0.3) ? 2 * LEASE_MILLISECONDS : CALL_TIMEOUT_MILLISECONDS);
        }
        return 1 + this.#random() * 10;
    }

    #apply(request: LeaseCall): LeaseAnswer {
        this.#expireLeases();
        switch (request.type) {
            case "read-held":
                return { type: "held", held: this.#keys.get("held")?.value as never };
            case "read-record": {
                const found = this.#keys.get("record");
                return { type: "record", record: found?.value as never, revision: found?.revision ?? 0 };
            }
            case "grant-lease":
                this.#counter += 1;
                this.#leases.set(String(this.#counter), this.now + request.timeToLiveMilliseconds);
                return { type: "granted", lease: String(this.#counter) };
            case "create-held":
                return this.#swap("held", 0, request.held, request.held.lease);
            case "swap-record":
                return this.#swap("record", request.expectedRevision, request.record, undefined);
            case "renew-lease":
                if (!this.#leases.has(request.lease)) {
                    return { type: "rejected" };
                }
                this.#leases.set(request.lease, this.now + LEASE_MILLISECONDS);
                return { type: "renewed", timeToLiveMilliseconds: LEASE_MILLISECONDS };
            case "revoke-lease":
                this.#endLease(request.lease);
                return { type: "written" };
        }
    }

    #swap(key: "held" | "record", expected: number, value: unknown, lease: string | undefined): LeaseAnswer {
        if (lease !== undefined && !this.#leases.has(lease)) {
            return { type: "rejected" };
        }
        const found = this.#keys.get(key);
        if ((found?.revision ?? 0) !== expected) {
            return { type: "conflict", [key]: found?.value };
        }
        this.#counter += 1;
        this.#keys.set(key, { value, revision: this.#counter, lease });
        return { type: "written" };
    }

    #expireLeases(): void {
        const ended = [...this.#leases].filter(([, expiresAt]) => expiresAt <= this.now);
        ended.forEach(([lease]) => this.#endLease(lease));
    }

    #endLease(lease: string): void {
        this.#leases.delete(lease);
        if (this.#keys.get("held")?.lease === lease) {
            this.#keys.delete("held");
        }
    }
}

function runWithoutFaults(seed: number, hosts: number, milliseconds: number): Simulation {
    const simulation = new Simulation(seed, hosts, false);
    simulation.run(milliseconds);
    return simulation;
}

test("under random faults, never two holders at a time, rising epochs, and a holder soon after the last fault", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer(), seed => {
            const simulation = new Simulation(seed, 4, true);
            for (let step = 1; step <= 40; step += 1) {
                simulation.run(simulation.now + 4000);
                if (simulation.chance(0.5)) {
                    simulation.injectFault();
                }
            }
            simulation.faulty = false;
            simulation.processes.filter(({ alive }) => !alive).forEach(process => simulation.restart(process));
            // By then, the longest possible outage, pause or delayed call is over.
            simulation.run(simulation.now + 3 * LEASE_MILLISECONDS + TAKEOVER_MILLISECONDS);
            assert.equal(simulation.holders().length, 1);
        }),
        { seed: PROPERTY_SEED, numRuns: 400 },
    );
});

test("a failed holder is replaced within a lease and a few polls, a leaving one within a few polls", () => {
    for (let seed = 0; seed < 20; seed += 1) {
        const simulation = runWithoutFaults(seed, 5, 20_000);
        const [first] = simulation.holders();
        assert.ok(first !== undefined);
        first.alive = false;
        simulation.run(simulation.now + TAKEOVER_MILLISECONDS);
        const [second] = simulation.holders();
        assert.ok(second !== undefined && second !== first);
        simulation.deliver(second, { type: "leave" });
        assert.equal(simulation.holders().length, 0);
        simulation.run(simulation.now + 6 * POLL_MILLISECONDS);
        assert.equal(simulation.holders().length, 1);
        assert.notEqual(simulation.holders()[0], second);
    }
});

test("the first effect of a holder that was paused beyond its lease is the loss of the duty", () => {
    const simulation = runWithoutFaults(1, 3, 20_000);
    const [holder] = simulation.holders();
    assert.ok(holder !== undefined);
    const resumedAt = (simulation.now + 2 * LEASE_MILLISECONDS) * holder.rate;
    const effects = holder.decision.handle({ type: "answered", call: 0, answer: { type: "unknown" } }, resumedAt);
    assert.equal(effects[0]?.type, "lost");
});

test("a holder that is no longer a candidate releases the duty when its renewal is due", () => {
    const simulation = runWithoutFaults(5, 3, 20_000);
    const [holder] = simulation.holders();
    assert.ok(holder !== undefined);
    const others = Array.from({ length: 60 }, (_, index) => `new-host-${index}`);
    const effects = holder.decision.handle({ type: "hosts", hosts: others }, simulation.now * holder.rate);
    assert.deepEqual(effects.filter(({ type }) => type === "lost"), [], "the duty is held until the renewal is due");
    const due = simulation.now * holder.rate + LEASE_MILLISECONDS / 3;
    assert.equal(holder.decision.handle({ type: "tick" }, due)[0]?.type, "lost");
});

test("a lease expires for its holder within the lease time after the grant or renewal was sent", () => {
    const decision = createDutyLeaseDecision({ duty: DUTY, host: "host-1", incarnation: "1", random: () => 0.5 });
    const answers: Record<LeaseCall["type"], LeaseAnswer> = {
        "read-held": { type: "held", held: undefined },
        "read-record": { type: "record", record: undefined, revision: 0 },
        "grant-lease": { type: "granted", lease: "7" },
        "create-held": { type: "written" },
        "swap-record": { type: "written" },
        "renew-lease": { type: "renewed", timeToLiveMilliseconds: LEASE_MILLISECONDS },
        "revoke-lease": { type: "written" },
    };
    let now = 0;
    let sentAt = 0;
    let effects = decision.handle({ type: "tick" }, now);
    for (let step = 0; step < 20; step += 1) {
        const call = effects.find(effect => effect.type === "call");
        if (call?.request.type === "grant-lease" || call?.request.type === "renew-lease") {
            sentAt = now;
        }
        now += 1500;
        effects = call === undefined
            ? decision.handle({ type: "tick" }, now)
            : decision.handle({ type: "answered", call: call.call, answer: answers[call.request.type] }, now);
        for (const effect of effects) {
            if (effect.type === "acquired" || effect.type === "renewed") {
                assert.ok(effect.expiresAtMilliseconds < sentAt + LEASE_MILLISECONDS);
            }
            assert.notEqual(effect.type, "lost");
        }
    }
    assert.ok(sentAt > 0);
});

test("the number of calls on the key-value service does not grow with the number of hosts", () => {
    const startMilliseconds = 60_000;
    const observedMilliseconds = 600_000;
    const countCalls = (hosts: number) => {
        const simulation = runWithoutFaults(3, hosts, startMilliseconds);
        const callsAtStart = simulation.calls;
        simulation.run(startMilliseconds + observedMilliseconds);
        return simulation.calls - callsAtStart;
    };
    const callsOfFewHosts = countCalls(5);
    const callsOfManyHosts = countCalls(40);
    assert.ok(
        Math.abs(callsOfManyHosts - callsOfFewHosts) < 0.1 * callsOfFewHosts,
        `${callsOfFewHosts} calls with 5 hosts, ${callsOfManyHosts} with 40`,
    );
    const renewals = 3 * observedMilliseconds / LEASE_MILLISECONDS;
    const polls = (1 + 1 / 2 + 1 / 3 + 1 / 4) * observedMilliseconds / POLL_MILLISECONDS;
    assert.ok(callsOfManyHosts <= 1.1 * (renewals + polls), `${callsOfManyHosts} calls, expected ${renewals + polls}`);
});

test("with a real client, another host acquires the duty of a leaving host, under a higher epoch", async () => {
    const standIn = await startKeyValueStandIn();
    const keyValue = createKeyValueClient({ urls: [standIn.url] });
    const epochs: [string, number][] = [];
    const create = (host: string) =>
        createDutyLease({
            duty: DUTY,
            host,
            incarnation: `${host}/1`,
            keyValue,
            leaseMilliseconds: 2000,
            pollMilliseconds: 50,
            tickMilliseconds: 10,
            onAcquired: epoch => epochs.push([host, epoch]),
            onRenewed: () => undefined,
            onLost: () => undefined,
        });
    const first = create("host-1");
    while (epochs.length < 1) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    const second = create("host-2");
    await first.leave();
    while (epochs.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.deepEqual(epochs, [["host-1", 1], ["host-2", 2]]);
    await second.leave();
    assert.deepEqual(Object.keys(standIn.state().values), [`lease/${DUTY}`]);
    await keyValue.close();
    await standIn.close();
});
