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
/** A lease's whole time, then a poll by the next candidates and a few calls. */
const TAKEOVER_MILLISECONDS = LEASE_MILLISECONDS + 6 * POLL_MILLISECONDS;

interface Process {
    readonly name: string;
    /** How fast this process's clock runs. */
    readonly rate: number;
    decision: Decision<DutyLeaseMessage, DutyLeaseEffect>;
    incarnation: number;
    alive: boolean;
    pausedUntil: number;
    belief: { readonly epoch: number; expiresAt: number; } | undefined;
}

/** Hosts' decisions, a key-value service and the calls between them under one seeded clock. */
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
            belief: undefined,
        }));
        this.processes.forEach(process => this.#tick(process));
    }

    chance(probability: number): boolean {
        return this.#random() < probability;
    }

    believers(): Process[] {
        return this.processes.filter(process =>
            process.alive && process.belief !== undefined && this.#localTime(process) < process.belief.expiresAt
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
            assert.ok(this.believers().length <= 1, "two processes hold the duty at once");
        }
        this.now = until;
    }

    injectFault(): void {
        const process = this.processes[Math.floor(this.#random() * this.processes.length)];
        assert.ok(process !== undefined);
        const kind = Math.floor(this.#random() * 4);
        const duration = this.#random() * 3 * LEASE_MILLISECONDS;
        if (kind === 0) {
            process.pausedUntil = this.now + duration;
        }
        else if (kind === 1) {
            this.#outageUntil = this.now + duration;
        }
        else if (kind === 2) {
            process.alive = false;
            process.belief = undefined;
        }
        else {
            this.restart(process);
        }
    }

    restart(process: Process): void {
        process.incarnation += 1;
        process.alive = true;
        process.pausedUntil = 0;
        process.belief = undefined;
        process.decision = this.#createDecision(process.name, process.incarnation);
    }

    deliver(process: Process, message: DutyLeaseMessage): void {
        const { incarnation } = process;
        if (process.pausedUntil > this.now) {
            this.#at(process.pausedUntil, () => {
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

    #at(at: number, run: () => void): void {
        this.#events.push({ at, run });
    }

    #tick(process: Process): void {
        this.deliver(process, {
            type: "hosts",
            hosts: this.processes.filter(({ alive }) => alive).map(({ name }) => name),
        });
        this.deliver(process, { type: "tick" });
        this.#at(Math.max(process.pausedUntil, this.now) + TICK_MILLISECONDS, () => this.#tick(process));
    }

    #perform(process: Process, effect: DutyLeaseEffect): void {
        if (effect.type === "call") {
            this.#call(process, effect.call, effect.request);
            return;
        }
        if (effect.type === "acquired") {
            assert.ok(effect.epoch > (this.epochs.at(-1) ?? 0), "an epoch that does not rise");
            this.epochs.push(effect.epoch);
            process.belief = { epoch: effect.epoch, expiresAt: effect.expiresAtMilliseconds };
            return;
        }
        assert.ok(process.belief !== undefined);
        process.belief = effect.type === "lost"
            ? undefined
            : { ...process.belief, expiresAt: effect.expiresAtMilliseconds };
    }

    /** Requests and answers are lost, late by milliseconds or by seconds; each call is answered once. */
    #call(process: Process, call: number, request: LeaseCall): void {
        this.calls += 1;
        const { incarnation } = process;
        let answered = false;
        const answer = (given: LeaseAnswer) => {
            if (!answered && process.incarnation === incarnation) {
                answered = true;
                this.deliver(process, { type: "answered", call, answer: given });
            }
        };
        this.#at(this.now + CALL_TIMEOUT_MILLISECONDS, () => answer({ type: "unknown" }));
        if (this.#isLost()) {
            return;
        }
        this.#at(this.now + this.#latency(), () => {
            const given = this.#apply(request);
            if (!this.#isLost()) {
                this.#at(this.now + this.#latency(), () => answer(given));
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

function runQuiet(seed: number, hosts: number, milliseconds: number): Simulation {
    const simulation = new Simulation(seed, hosts, false);
    simulation.run(milliseconds);
    return simulation;
}

test("never two holders at once, epochs rise, and a holder stands soon after the last fault", () => {
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
            // The longest outage, pause or late call has ended by then.
            simulation.run(simulation.now + 3 * LEASE_MILLISECONDS + TAKEOVER_MILLISECONDS);
            assert.equal(simulation.believers().length, 1);
        }),
        { seed: PROPERTY_SEED, numRuns: 400 },
    );
});

test("a dead holder is followed within a lease and a few polls, a leaving one within a few polls", () => {
    for (let seed = 0; seed < 20; seed += 1) {
        const simulation = runQuiet(seed, 5, 20_000);
        const [first] = simulation.believers();
        assert.ok(first !== undefined);
        first.alive = false;
        simulation.run(simulation.now + TAKEOVER_MILLISECONDS);
        const [second] = simulation.believers();
        assert.ok(second !== undefined && second !== first);
        simulation.deliver(second, { type: "leave" });
        assert.equal(simulation.believers().length, 0);
        simulation.run(simulation.now + 6 * POLL_MILLISECONDS);
        assert.equal(simulation.believers().length, 1);
        assert.notEqual(simulation.believers()[0], second);
    }
});

test("a holder that was paused past its lease reports the loss before anything else", () => {
    const simulation = runQuiet(1, 3, 20_000);
    const [holder] = simulation.believers();
    assert.ok(holder !== undefined);
    const woken = (simulation.now + 2 * LEASE_MILLISECONDS) * holder.rate;
    const effects = holder.decision.handle({ type: "answered", call: 0, answer: { type: "unknown" } }, woken);
    assert.equal(effects[0]?.type, "lost");
});

test("a holder that is no candidate any more hands the duty to one", () => {
    const simulation = runQuiet(5, 3, 20_000);
    const [holder] = simulation.believers();
    assert.ok(holder !== undefined);
    const others = Array.from({ length: 60 }, (_, index) => `new-host-${index}`);
    const effects = holder.decision.handle({ type: "hosts", hosts: others }, simulation.now * holder.rate);
    assert.deepEqual(effects.filter(({ type }) => type === "lost"), [], "the lease is kept until its renewal is due");
    const due = simulation.now * holder.rate + LEASE_MILLISECONDS / 3;
    assert.equal(holder.decision.handle({ type: "tick" }, due)[0]?.type, "lost");
});

test("a holder's time counts from before the calls that granted and renewed its lease", () => {
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

test("calls on the key-value service do not grow with the number of hosts", () => {
    const settled = 60_000;
    const observed = 600_000;
    const callsOf = (hosts: number) => {
        const simulation = runQuiet(3, hosts, settled);
        const before = simulation.calls;
        simulation.run(settled + observed);
        return simulation.calls - before;
    };
    const few = callsOf(5);
    const many = callsOf(40);
    assert.ok(Math.abs(many - few) < 0.1 * few, `${few} calls with 5 hosts, ${many} with 40`);
    const renewals = 3 * observed / LEASE_MILLISECONDS;
    const polls = (1 + 1 / 2 + 1 / 3 + 1 / 4) * observed / POLL_MILLISECONDS;
    assert.ok(many <= 1.1 * (renewals + polls), `${many} calls where ${renewals + polls} are planned`);
});

test("the duty passes through a real client from a host that leaves to the next, with a higher epoch", async () => {
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
