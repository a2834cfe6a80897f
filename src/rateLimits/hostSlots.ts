/**
 * The slots of one upstream that are leased to this host.
 *
 * @module
 */
import { type SlotGrant, type SlotRequest } from "../generated/gossip.js";

/** A granted slot that no request uses is given back after this time. */
const UNUSED_MILLISECONDS = 50;

/** Interval at which this host repeats what it holds, well within the time for which the issuer takes it as held. */
const REPEAT_MILLISECONDS = 200;

/** A request for a slot without an answer is repeated after this time. */
const RETRY_MILLISECONDS = 75;

/** An issuer that has left this many requests unanswered is unresponsive. */
const UNRESPONSIVE_REQUESTS = 10;

/** A slot is wanted for this long after a request last asked for one. */
const WANTED_MILLISECONDS = 700;

/** A grant that answers an older request is ignored: the issuer may soon take it for lost. */
const MAXIMUM_GRANT_AGE_MILLISECONDS = 400;

/** A request that is rejected had a granted slot where one was used within this time. */
const USED_LATELY_MILLISECONDS = 2_000;

/** The fields of a request for slots that this decision fills in. */
export type WantedSlots = Pick<SlotRequest, "sequence" | "lastGrant" | "held" | "waitedMilliseconds">;

interface WantedSlot {
    sinceMilliseconds: number;
    askedAtMilliseconds: number;
    /** True once the issuer has answered that none is free. */
    isQueued: boolean;
}

interface SentRequest {
    readonly sequence: number;
    readonly atMilliseconds: number;
}

/**
 * Tracks the slots that this host holds at an upstream, and determines what to tell their issuer.
 *
 * @example
 * ```ts
 * const slots = new HostSlots();
 * slots.want(arrivedAtMilliseconds, now);
 * const wanted = slots.nextRequest(inFlight, now);
 * slots.receive(grant, now);
 * slots.isFree(now); // true
 * ```
 */
export class HostSlots {
    /** When each granted slot that no request uses is given back. */
    #unused: number[] = [];
    /** Until when each slot is held back whose request was rejected. */
    #rejected: number[] = [];
    /** When a granted slot was last used. */
    #lastUsedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #wanted: WantedSlot | undefined;
    #isChanged = false;
    #sequence = 0;
    #lastGrant = 0;
    /** The latest request that the issuer has answered. */
    #lastAnswered = 0;
    #sent: SentRequest[] = [];
    #unansweredRequests = 0;

    /** Returns whether a slot is granted that no request uses. */
    isFree(nowMilliseconds: number): boolean {
        return this.#unused.some(until => until > nowMilliseconds);
    }

    /** Returns whether a slot is wanted, and the issuer has not answered yet. */
    get awaitsAnswer(): boolean {
        return this.#wanted?.isQueued === false;
    }

    /** Returns whether a slot is wanted. */
    get isWanted(): boolean {
        return this.#wanted !== undefined;
    }

    /** Returns whether the issuer has left requests of this host unanswered. */
    get isIssuerUnresponsive(): boolean {
        return this.#unansweredRequests >= UNRESPONSIVE_REQUESTS;
    }

    /** Returns whether the issuer must hear of this host again. */
    isActive(inFlight: number): boolean {
        return this.#countHeld(inFlight) > 0 || this.isWanted || this.#isChanged;
    }

    /** Wants one more slot, for a request that has waited since a time. */
    want(sinceMilliseconds: number, nowMilliseconds: number): void {
        if (this.#wanted === undefined) {
            this.#wanted = { sinceMilliseconds, askedAtMilliseconds: nowMilliseconds, isQueued: false };
            this.#isChanged = true;
            return;
        }
        this.#wanted.sinceMilliseconds = Math.min(sinceMilliseconds, this.#wanted.sinceMilliseconds);
        this.#wanted.askedAtMilliseconds = nowMilliseconds;
    }

    /** No longer wants a slot: requests are sent without one. */
    stopWanting(): void {
        this.#wanted = undefined;
    }

    /** Records that a request is sent, which uses a granted slot where there is one. */
    recordSent(nowMilliseconds: number): void {
        if (this.#unused.shift() !== undefined) {
            this.#lastUsedAtMilliseconds = nowMilliseconds;
        }
    }

    /** Records that the request in a slot has ended. */
    recordEnded(): void {
        this.#isChanged = true;
    }

    /**
     * Records that the upstream rejected a request, whose slot somebody uses who has not leased it: it is held back for a
     * time. A request that was sent before slots were leased had none.
     */
    recordRejected(heldBackMilliseconds: number, nowMilliseconds: number): void {
        if (nowMilliseconds - this.#lastUsedAtMilliseconds < USED_LATELY_MILLISECONDS) {
            this.#rejected.push(nowMilliseconds + heldBackMilliseconds);
        }
    }

    /** Returns the request for slots that is due; `undefined` where none is. */
    nextRequest(inFlight: number, nowMilliseconds: number): WantedSlots | undefined {
        this.#expire(nowMilliseconds);
        const sinceLast = nowMilliseconds - (this.#sent.at(-1)?.atMilliseconds ?? Number.NEGATIVE_INFINITY);
        const held = this.#countHeld(inFlight);
        const isRepeated = (held > 0 || this.isWanted) && sinceLast >= REPEAT_MILLISECONDS;
        const isRetried = this.awaitsAnswer && sinceLast >= RETRY_MILLISECONDS;
        if (!this.#isChanged && !isRepeated && !isRetried) {
            return undefined;
        }
        this.#isChanged = false;
        this.#sequence += 1;
        this.#unansweredRequests += this.awaitsAnswer ? 1 : 0;
        const recent = this.#sent.filter(({ atMilliseconds }) =>
            nowMilliseconds - atMilliseconds < MAXIMUM_GRANT_AGE_MILLISECONDS
        );
        this.#sent = [...recent, { sequence: this.#sequence, atMilliseconds: nowMilliseconds }];
        const wanted = { sequence: this.#sequence, lastGrant: this.#lastGrant, held };
        return this.#wanted === undefined
            ? wanted
            : { ...wanted, waitedMilliseconds: Math.max(0, nowMilliseconds - this.#wanted.sinceMilliseconds) };
    }

    /** Receives an issuer's answer; returns false where it is too old to be used. */
    receive({ request, sequence, slots }: SlotGrant, nowMilliseconds: number): boolean {
        const isRecent = this.#sent.some(sent =>
            sent.sequence === request && nowMilliseconds - sent.atMilliseconds < MAXIMUM_GRANT_AGE_MILLISECONDS
        );
        this.#unansweredRequests = 0;
        if (!isRecent) {
            return false;
        }
        if (request >= this.#lastAnswered) {
            this.#lastAnswered = request;
            this.#lastGrant = sequence;
        }
        if (slots > 0) {
            this.#wanted = undefined;
            this.#unused.push(...Array.from({ length: slots }, () => nowMilliseconds + UNUSED_MILLISECONDS));
        }
        else if (this.#wanted !== undefined) {
            this.#wanted.isQueued = true;
        }
        return true;
    }

    /** Forgets what an issuer told, since another host is the issuer now, and hears what this host holds. */
    resetIssuer(): void {
        this.#lastGrant = 0;
        this.#sent = [];
        this.#unansweredRequests = 0;
        this.#isChanged = true;
        if (this.#wanted !== undefined) {
            this.#wanted.isQueued = false;
        }
    }

    #countHeld(inFlight: number): number {
        return inFlight + this.#unused.length + this.#rejected.length;
    }

    #expire(nowMilliseconds: number): void {
        const unused = this.#unused.filter(until => until > nowMilliseconds);
        const rejected = this.#rejected.filter(until => until > nowMilliseconds);
        this.#isChanged ||= unused.length < this.#unused.length || rejected.length < this.#rejected.length;
        this.#unused = unused;
        this.#rejected = rejected;
        if (this.#wanted !== undefined && nowMilliseconds - this.#wanted.askedAtMilliseconds >= WANTED_MILLISECONDS) {
            this.#wanted = undefined;
            this.#isChanged = true;
        }
    }
}
