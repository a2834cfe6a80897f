/**
 * Decides when this process holds a duty.
 *
 * A duty is held by whoever created `held/<duty>`, bound to a platform lease, and then raised the epoch in
 * `lease/<duty>`. The holder counts its time from before it sent the call that granted or renewed the lease, so its
 * own view ends before the platform's.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type HeldRecord, type LeaseRecord } from "../generated/platform.js";
import { Candidacy } from "./_candidacy.js";
import { type HoldingPhase, leaseOf, type Phase, type PlatformLease, type RecordBase } from "./_phases.js";
import { type DutyLeaseEffect, type DutyLeaseMessage, type LeaseAnswer, type LeaseCall } from "./messages.js";

const DEFAULT_LEASE_MILLISECONDS = 9000;
const DEFAULT_POLL_MILLISECONDS = 2000;
const RENEWALS_PER_LEASE = 3;
const RETRIES_PER_LEASE = 12;
/** Part of the lease kept back for clocks of a different rate. */
const MARGIN_PART = 0.1;

/** Options of the decision on one duty. */
export interface DutyLeaseDecisionOptions {
    readonly duty: string;
    readonly host: string;
    readonly incarnation: string;
    readonly random: RandomSource;
    /** Time to live of the platform lease. Default: 9000. */
    readonly leaseMilliseconds?: number;
    /** Time between two readings by the highest-ranked candidate. Default: 2000. */
    readonly pollMilliseconds?: number;
}

/**
 * Creates the decision on one duty.
 *
 * @param options The duty, this process and its random source.
 *
 * @example
 * ```ts
 * const decision = createDutyLeaseDecision({ duty: "residency/bag-llm", host, incarnation, random });
 * const effects = decision.handle({ type: "tick" }, nowMilliseconds);
 * ```
 */
export function createDutyLeaseDecision(
    options: DutyLeaseDecisionOptions,
): Decision<DutyLeaseMessage, DutyLeaseEffect> {
    return new DutyLeaseDecision(options);
}

class DutyLeaseDecision implements Decision<DutyLeaseMessage, DutyLeaseEffect> {
    readonly #options: DutyLeaseDecisionOptions;
    readonly #leaseMilliseconds: number;
    readonly #candidacy: Candidacy;
    #phase: Phase = { type: "idle" };
    #nextCall = 1;
    /** The call whose answer the phase waits for. */
    #pending: { readonly call: number; readonly sentAt: number; } | undefined;
    /** When the next reading, renewal or repeat is due. */
    #dueAt = 0;
    #now = 0;
    #effects: DutyLeaseEffect[] = [];

    constructor(options: DutyLeaseDecisionOptions) {
        this.#options = options;
        this.#leaseMilliseconds = options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
        const pollMilliseconds = options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
        this.#candidacy = new Candidacy({ ...options, pollMilliseconds });
    }

    handle(message: DutyLeaseMessage, nowMilliseconds: number): readonly DutyLeaseEffect[] {
        this.#now = nowMilliseconds;
        this.#effects = [];
        this.#expire();
        match(message)
            .with({ type: "hosts" }, ({ hosts }) => this.#rankAmong(hosts))
            .with({ type: "answered" }, ({ call, answer }) => this.#takeAnswer(call, answer))
            .with({ type: "leave" }, () => this.#leave())
            .with({ type: "tick" }, () => undefined)
            .exhaustive();
        this.#proceed();
        return this.#effects;
    }

    #rankAmong(hosts: readonly string[]): void {
        if (this.#candidacy.rankAmong(hosts)) {
            this.#dueAt = Math.min(this.#dueAt, this.#now + this.#candidacy.pollDelay());
        }
    }

    /** Ends the own view of a lease before the platform ends it. */
    #expire(): void {
        const lease = leaseOf(this.#phase);
        if (lease !== undefined && this.#now >= lease.expiresAt) {
            this.#giveUp();
        }
    }

    /** Starts what is due, unless an answer is awaited. */
    #proceed(): void {
        if (this.#pending !== undefined || this.#now < this.#dueAt) {
            return;
        }
        match(this.#phase)
            .with({ type: "idle" }, () => this.#check())
            .with({ type: "holding" }, ({ lease }) => this.#renew(lease))
            .with({ type: "creating" }, ({ lease }) => this.#callCreateHeld(lease))
            .with({ type: "swapping" }, ({ base }) => this.#callSwap(base))
            .with({ type: "checking" }, { type: "reading" }, { type: "granting" }, { type: "left" }, () => undefined)
            .exhaustive();
    }

    #check(): void {
        if (this.#candidacy.standing) {
            this.#phase = { type: "checking" };
            this.#call({ type: "read-held" });
        }
    }

    /** Renews, or hands the duty to the candidates where this host is none of them any more. */
    #renew(lease: PlatformLease): void {
        if (this.#candidacy.standing) {
            this.#call({ type: "renew-lease", lease: lease.lease });
            return;
        }
        this.#giveUp();
    }

    #takeAnswer(call: number, answer: LeaseAnswer): void {
        if (this.#pending?.call !== call) {
            this.#revokeStray(answer);
            return;
        }
        const { sentAt } = this.#pending;
        this.#pending = undefined;
        match(this.#phase)
            .with({ type: "checking" }, () => this.#takeHeld(answer))
            .with({ type: "reading" }, () => this.#takeRecord(answer))
            .with({ type: "granting" }, ({ base }) => this.#takeGrant(answer, base, sentAt))
            .with({ type: "creating" }, ({ base, lease }) => this.#takeCreated(answer, base, lease))
            .with({ type: "swapping" }, ({ base, lease }) => this.#takeSwapped(answer, base, lease))
            .with({ type: "holding" }, phase => this.#takeRenewal(answer, phase, sentAt))
            .with({ type: "idle" }, { type: "left" }, () => undefined)
            .exhaustive();
    }

    /** Ends a lease that was granted to nobody's use, as when this host began to leave meanwhile. */
    #revokeStray(answer: LeaseAnswer): void {
        if (answer.type === "granted") {
            this.#send({ type: "revoke-lease", lease: answer.lease });
        }
    }

    #takeHeld(answer: LeaseAnswer): void {
        if (answer.type !== "held") {
            this.#rest();
            return;
        }
        if (answer.held === undefined) {
            this.#phase = { type: "reading" };
            this.#call({ type: "read-record" });
            return;
        }
        if (answer.held.incarnation === this.#options.incarnation) {
            this.#send({ type: "revoke-lease", lease: answer.held.lease });
        }
        this.#rest();
    }

    #takeRecord(answer: LeaseAnswer): void {
        if (answer.type !== "record") {
            this.#rest();
            return;
        }
        this.#phase = { type: "granting", base: { epoch: answer.record?.epoch ?? 0, revision: answer.revision } };
        this.#call({ type: "grant-lease", timeToLiveMilliseconds: this.#leaseMilliseconds });
    }

    #takeGrant(answer: LeaseAnswer, base: RecordBase, sentAt: number): void {
        if (answer.type !== "granted") {
            this.#rest();
            return;
        }
        const lease = { lease: answer.lease, expiresAt: sentAt + this.#usable(this.#leaseMilliseconds) };
        this.#phase = { type: "creating", base, lease };
        this.#dueAt = this.#now;
    }

    #takeCreated(answer: LeaseAnswer, base: RecordBase, lease: PlatformLease): void {
        const ownEarlierWrite = answer.type === "conflict" && answer.held?.lease === lease.lease;
        if (answer.type === "written" || ownEarlierWrite) {
            this.#phase = { type: "swapping", base, lease };
            this.#dueAt = this.#now;
            return;
        }
        this.#repeatOrGiveUp(answer);
    }

    #takeSwapped(answer: LeaseAnswer, base: RecordBase, lease: PlatformLease): void {
        const epoch = base.epoch + 1;
        const ownEarlierWrite = answer.type === "conflict"
            && answer.record?.incarnation === this.#options.incarnation
            && answer.record.epoch === epoch;
        if (answer.type !== "written" && !ownEarlierWrite) {
            this.#repeatOrGiveUp(answer);
            return;
        }
        this.#phase = { type: "holding", epoch, lease };
        this.#dueAt = this.#renewalDue(lease);
        this.#effects.push({ type: "acquired", epoch, expiresAtMilliseconds: lease.expiresAt });
    }

    /** An equal write is safe to repeat: whichever of the two comes first, the other conflicts with it. */
    #repeatOrGiveUp(answer: LeaseAnswer): void {
        if (answer.type === "unknown") {
            this.#dueAt = this.#now + this.#candidacy.jitter(this.#leaseMilliseconds / RETRIES_PER_LEASE);
            return;
        }
        this.#giveUp();
    }

    #takeRenewal(answer: LeaseAnswer, phase: HoldingPhase, sentAt: number): void {
        if (answer.type === "rejected") {
            this.#giveUp();
            return;
        }
        if (answer.type !== "renewed") {
            this.#dueAt = this.#now + this.#candidacy.jitter(this.#leaseMilliseconds / RETRIES_PER_LEASE);
            return;
        }
        const granted = Math.min(answer.timeToLiveMilliseconds, this.#leaseMilliseconds);
        const expiresAt = Math.max(phase.lease.expiresAt, sentAt + this.#usable(granted));
        const lease = { ...phase.lease, expiresAt };
        this.#phase = { ...phase, lease };
        this.#dueAt = this.#renewalDue(lease);
        this.#effects.push({ type: "renewed", expiresAtMilliseconds: expiresAt });
    }

    #leave(): void {
        if (this.#phase.type !== "left") {
            this.#giveUp();
            this.#pending = undefined;
            this.#phase = { type: "left" };
        }
    }

    /** Ends what was held or begun, and rests. */
    #giveUp(): void {
        const phase = this.#phase;
        if (phase.type === "holding") {
            this.#effects.push({ type: "lost", epoch: phase.epoch });
        }
        const lease = leaseOf(phase);
        if (lease !== undefined) {
            this.#send({ type: "revoke-lease", lease: lease.lease });
        }
        this.#rest();
    }

    #rest(): void {
        this.#pending = undefined;
        this.#phase = { type: "idle" };
        this.#dueAt = this.#now + this.#candidacy.pollDelay();
    }

    #callCreateHeld(lease: PlatformLease): void {
        const held: HeldRecord = {
            holder: this.#options.host,
            incarnation: this.#options.incarnation,
            lease: lease.lease,
        };
        this.#call({ type: "create-held", held });
    }

    #callSwap(base: RecordBase): void {
        const record: LeaseRecord = {
            duty: this.#options.duty,
            holder: this.#options.host,
            incarnation: this.#options.incarnation,
            epoch: base.epoch + 1,
        };
        this.#call({ type: "swap-record", record, expectedRevision: base.revision });
    }

    /** Sends a call whose answer the phase waits for. */
    #call(request: LeaseCall): void {
        this.#pending = { call: this.#send(request), sentAt: this.#now };
    }

    #send(request: LeaseCall): number {
        const call = this.#nextCall;
        this.#nextCall += 1;
        this.#effects.push({ type: "call", call, request });
        return call;
    }

    /** Gives when a lease is to be renewed, counted from the call that granted or last renewed it. */
    #renewalDue(lease: PlatformLease): number {
        const sentAt = lease.expiresAt - this.#usable(this.#leaseMilliseconds);
        return sentAt + this.#leaseMilliseconds / RENEWALS_PER_LEASE;
    }

    #usable(timeToLiveMilliseconds: number): number {
        return timeToLiveMilliseconds * (1 - MARGIN_PART);
    }
}
