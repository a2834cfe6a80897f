/**
 * Decides when this process acquires, renews and releases a duty.
 *
 * To acquire a duty, a process creates `held/<duty>`, bound to a platform lease, and then increments the epoch in
 * `lease/<duty>`. It measures the lease from before it sent the call that granted or renewed it, so that for the holder
 * the lease ends earlier than on the platform.
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
/** Fraction of the lease by which the holder stops early, for clocks that run at different rates. */
const EXPIRY_MARGIN_FRACTION = 0.1;

/** Options of the decision on one duty. */
export interface DutyLeaseDecisionOptions {
    readonly duty: string;
    readonly host: string;
    readonly incarnation: string;
    readonly random: RandomSource;
    /** Time to live of the platform lease. Default: 9000. */
    readonly leaseMilliseconds?: number;
    /** Interval at which the highest-ranked candidate polls for a current holder. Default: 2000. */
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
    /** The call whose answer the present phase requires. */
    #pendingCall: { readonly call: number; readonly sentAtMilliseconds: number; } | undefined;
    /** When the next poll, renewal or retry is due. */
    #nextActionAtMilliseconds = 0;
    #nowMilliseconds = 0;
    #effects: DutyLeaseEffect[] = [];

    constructor(options: DutyLeaseDecisionOptions) {
        this.#options = options;
        this.#leaseMilliseconds = options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
        const pollMilliseconds = options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
        this.#candidacy = new Candidacy({ ...options, pollMilliseconds });
    }

    handle(message: DutyLeaseMessage, nowMilliseconds: number): readonly DutyLeaseEffect[] {
        this.#nowMilliseconds = nowMilliseconds;
        this.#effects = [];
        this.#expire();
        match(message)
            .with({ type: "hosts" }, ({ hosts }) => this.#updateRank(hosts))
            .with({ type: "answered" }, ({ call, answer }) => this.#handleAnswer(call, answer))
            .with({ type: "leave" }, () => this.#leave())
            .with({ type: "tick" }, () => undefined)
            .exhaustive();
        this.#startDueCall();
        return this.#effects;
    }

    #updateRank(hosts: readonly string[]): void {
        if (this.#candidacy.updateRank(hosts)) {
            this.#nextActionAtMilliseconds = Math.min(
                this.#nextActionAtMilliseconds,
                this.#nowMilliseconds + this.#candidacy.pollDelayMilliseconds(),
            );
        }
    }

    /** Releases a lease that has expired for this process; on the platform it expires later. */
    #expire(): void {
        const lease = leaseOf(this.#phase);
        if (lease !== undefined && this.#nowMilliseconds >= lease.expiresAtMilliseconds) {
            this.#release();
        }
    }

    /** Sends the call that is due, unless one is pending. */
    #startDueCall(): void {
        if (this.#pendingCall !== undefined || this.#nowMilliseconds < this.#nextActionAtMilliseconds) {
            return;
        }
        match(this.#phase)
            .with({ type: "idle" }, () => this.#checkHeld())
            .with({ type: "holding" }, ({ lease }) => this.#renewOrRelease(lease))
            .with({ type: "creating" }, ({ lease }) => this.#callCreateHeld(lease))
            .with({ type: "swapping" }, ({ base }) => this.#callSwapRecord(base))
            .with({ type: "checking" }, { type: "reading" }, { type: "granting" }, { type: "left" }, () => undefined)
            .exhaustive();
    }

    #checkHeld(): void {
        if (this.#candidacy.isCandidate) {
            this.#phase = { type: "checking" };
            this.#call({ type: "read-held" });
        }
    }

    /** Renews the lease, or releases it for the candidates where this host is no longer one of them. */
    #renewOrRelease(lease: PlatformLease): void {
        if (this.#candidacy.isCandidate) {
            this.#call({ type: "renew-lease", lease: lease.lease });
            return;
        }
        this.#release();
    }

    #handleAnswer(call: number, answer: LeaseAnswer): void {
        if (this.#pendingCall?.call !== call) {
            this.#revokeUnusedLease(answer);
            return;
        }
        const { sentAtMilliseconds } = this.#pendingCall;
        this.#pendingCall = undefined;
        match(this.#phase)
            .with({ type: "checking" }, () => this.#handleHeldRead(answer))
            .with({ type: "reading" }, () => this.#handleRecordRead(answer))
            .with({ type: "granting" }, ({ base }) => this.#handleGrant(answer, base, sentAtMilliseconds))
            .with({ type: "creating" }, ({ base, lease }) => this.#handleHeldCreated(answer, base, lease))
            .with({ type: "swapping" }, ({ base, lease }) => this.#handleRecordSwapped(answer, base, lease))
            .with({ type: "holding" }, phase => this.#handleRenewal(answer, phase, sentAtMilliseconds))
            .with({ type: "idle" }, { type: "left" }, () => undefined)
            .exhaustive();
    }

    /** Revokes a lease whose grant is no longer awaited, as where this host has left in the meantime. */
    #revokeUnusedLease(answer: LeaseAnswer): void {
        if (answer.type === "granted") {
            this.#send({ type: "revoke-lease", lease: answer.lease });
        }
    }

    /** Reads the record of a duty without a holder; revokes a lease that this incarnation left in `held/<duty>`. */
    #handleHeldRead(answer: LeaseAnswer): void {
        if (answer.type !== "held") {
            this.#returnToIdle();
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
        this.#returnToIdle();
    }

    #handleRecordRead(answer: LeaseAnswer): void {
        if (answer.type !== "record") {
            this.#returnToIdle();
            return;
        }
        this.#phase = { type: "granting", base: { epoch: answer.record?.epoch ?? 0, revision: answer.revision } };
        this.#call({ type: "grant-lease", timeToLiveMilliseconds: this.#leaseMilliseconds });
    }

    #handleGrant(answer: LeaseAnswer, base: RecordBase, sentAtMilliseconds: number): void {
        if (answer.type !== "granted") {
            this.#returnToIdle();
            return;
        }
        const lease = {
            lease: answer.lease,
            expiresAtMilliseconds: sentAtMilliseconds + this.#usableMilliseconds(this.#leaseMilliseconds),
        };
        this.#phase = { type: "creating", base, lease };
        this.#nextActionAtMilliseconds = this.#nowMilliseconds;
    }

    #handleHeldCreated(answer: LeaseAnswer, base: RecordBase, lease: PlatformLease): void {
        const isOwnEarlierWrite = answer.type === "conflict" && answer.held?.lease === lease.lease;
        if (answer.type === "written" || isOwnEarlierWrite) {
            this.#phase = { type: "swapping", base, lease };
            this.#nextActionAtMilliseconds = this.#nowMilliseconds;
            return;
        }
        this.#retryOrRelease(answer);
    }

    #handleRecordSwapped(answer: LeaseAnswer, base: RecordBase, lease: PlatformLease): void {
        const epoch = base.epoch + 1;
        const isOwnEarlierWrite = answer.type === "conflict"
            && answer.record?.incarnation === this.#options.incarnation
            && answer.record.epoch === epoch;
        if (answer.type !== "written" && !isOwnEarlierWrite) {
            this.#retryOrRelease(answer);
            return;
        }
        this.#phase = { type: "holding", epoch, lease };
        this.#nextActionAtMilliseconds = this.#renewalDueAtMilliseconds(lease);
        this.#effects.push({ type: "acquired", epoch, expiresAtMilliseconds: lease.expiresAtMilliseconds });
    }

    /**
     * Retries a write without an answer; releases the lease after any other answer. An equal write is safe to retry:
     * whichever of the two arrives second conflicts with the first.
     */
    #retryOrRelease(answer: LeaseAnswer): void {
        if (answer.type === "unknown") {
            this.#nextActionAtMilliseconds = this.#nowMilliseconds
                + this.#candidacy.jitter(this.#leaseMilliseconds / RETRIES_PER_LEASE);
            return;
        }
        this.#release();
    }

    #handleRenewal(answer: LeaseAnswer, phase: HoldingPhase, sentAtMilliseconds: number): void {
        if (answer.type === "rejected") {
            this.#release();
            return;
        }
        if (answer.type !== "renewed") {
            this.#nextActionAtMilliseconds = this.#nowMilliseconds
                + this.#candidacy.jitter(this.#leaseMilliseconds / RETRIES_PER_LEASE);
            return;
        }
        const grantedMilliseconds = Math.min(answer.timeToLiveMilliseconds, this.#leaseMilliseconds);
        const expiresAtMilliseconds = Math.max(
            phase.lease.expiresAtMilliseconds,
            sentAtMilliseconds + this.#usableMilliseconds(grantedMilliseconds),
        );
        const lease = { ...phase.lease, expiresAtMilliseconds };
        this.#phase = { ...phase, lease };
        this.#nextActionAtMilliseconds = this.#renewalDueAtMilliseconds(lease);
        this.#effects.push({ type: "renewed", expiresAtMilliseconds });
    }

    #leave(): void {
        if (this.#phase.type !== "left") {
            this.#release();
            this.#pendingCall = undefined;
            this.#phase = { type: "left" };
        }
    }

    /** Reports the loss of a held duty, revokes its lease and returns to the idle phase. */
    #release(): void {
        const phase = this.#phase;
        if (phase.type === "holding") {
            this.#effects.push({ type: "lost", epoch: phase.epoch });
        }
        const lease = leaseOf(phase);
        if (lease !== undefined) {
            this.#send({ type: "revoke-lease", lease: lease.lease });
        }
        this.#returnToIdle();
    }

    #returnToIdle(): void {
        this.#pendingCall = undefined;
        this.#phase = { type: "idle" };
        this.#nextActionAtMilliseconds = this.#nowMilliseconds + this.#candidacy.pollDelayMilliseconds();
    }

    #callCreateHeld(lease: PlatformLease): void {
        const held: HeldRecord = {
            holder: this.#options.host,
            incarnation: this.#options.incarnation,
            lease: lease.lease,
        };
        this.#call({ type: "create-held", held });
    }

    #callSwapRecord(base: RecordBase): void {
        const record: LeaseRecord = {
            duty: this.#options.duty,
            holder: this.#options.host,
            incarnation: this.#options.incarnation,
            epoch: base.epoch + 1,
        };
        this.#call({ type: "swap-record", record, expectedRevision: base.revision });
    }

    /** Sends a call whose answer the present phase requires. */
    #call(request: LeaseCall): void {
        this.#pendingCall = { call: this.#send(request), sentAtMilliseconds: this.#nowMilliseconds };
    }

    #send(request: LeaseCall): number {
        const call = this.#nextCall;
        this.#nextCall += 1;
        this.#effects.push({ type: "call", call, request });
        return call;
    }

    /** Returns when a lease is due for renewal, measured from the call that granted or last renewed it. */
    #renewalDueAtMilliseconds(lease: PlatformLease): number {
        const sentAtMilliseconds = lease.expiresAtMilliseconds - this.#usableMilliseconds(this.#leaseMilliseconds);
        return sentAtMilliseconds + this.#leaseMilliseconds / RENEWALS_PER_LEASE;
    }

    /** Returns the part of a lease in which this process relies on it. */
    #usableMilliseconds(timeToLiveMilliseconds: number): number {
        return timeToLiveMilliseconds * (1 - EXPIRY_MARGIN_FRACTION);
    }
}
