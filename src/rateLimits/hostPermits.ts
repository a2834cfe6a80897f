/**
 * The permits of this host to one upstream, and its requests that wait for some.
 *
 * @module
 */
import { type PermitGrant, type PermitRequest, type WaitingGroup } from "../generated/gossip.js";
import { countUpTo, groupWaiting, isBefore, removeMostUrgent, type WaitingRequest } from "./waitingGroups.js";

/** An unused permit expires after this time, so that permits of several hosts do not accumulate. */
const PERMIT_LIFETIME_MILLISECONDS = 500;

/** Part of the interval of repeated requests for permits within which no other one is sent, but news gathered. */
const GATHER_SHARE = 1 / 8;

/** The end of a wait is sent after this time, so that permits are not granted in vain. */
const END_GATHER_MILLISECONDS = 25;

/** Interval at which a request for permits is repeated until the issuer has named one. */
const DEFAULT_RESEND_MILLISECONDS = 200;

/** A request for permits without an answer is repeated after this time. */
const RETRY_MILLISECONDS = 200;

/** An issuer's count of waiting requests is used for this long. */
const QUEUE_LIFETIME_MILLISECONDS = 1_000;

/** Grants that answer an older request are ignored: this host was suspended, or they were delayed. */
const MAXIMUM_GRANT_AGE_MILLISECONDS = 1_000;

/** An issuer that has not answered for this time, and this many requests, is unresponsive. */
const UNRESPONSIVE_MILLISECONDS = 600;
const UNRESPONSIVE_REQUESTS = 3;

/** Period over which the permits of this host are counted. */
const SHARE_WINDOW_MILLISECONDS = 4_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** What the issuer told of its waiting requests. */
interface IssuerQueue {
    readonly atMilliseconds: number;
    /** When this host sent the request that the issuer answered: requests that waited then are counted. */
    readonly askedAtMilliseconds: number;
    readonly permitsPerSecond: number;
    readonly waiting: readonly WaitingGroup[];
}

/** When a request is expected to get a permit. */
export interface PermitExpectation {
    /** Time until then. */
    readonly milliseconds: number;
    /** True where the issuer has counted the request, so that no other host's requests can come before it unseen. */
    readonly isCounted: boolean;
}

/** The fields of a request for permits that this decision fills in. */
export type WantedPermits = Pick<PermitRequest, "sequence" | "lastGrant" | "waiting" | "spare">;

interface SentRequest {
    readonly sequence: number;
    readonly atMilliseconds: number;
}

/**
 * Tracks waiting requests and permits, and determines when to ask the issuer for more.
 *
 * @example
 * ```ts
 * const permits = new HostPermits();
 * const request = { id: "9c41d07b", priority: 1, sinceMilliseconds: now };
 * permits.add(request);
 * const wanted = permits.nextRequest(now);
 * permits.receive(grant, now);
 * permits.tryUse(request, now); // true
 * ```
 */
export class HostPermits {
    readonly #waiting = new Map<string, WaitingRequest>();
    /** When each unused permit expires. */
    #permits: number[] = [];
    /** When permits were received, within the window of `permitsPerSecond`. */
    #receivedAt: number[] = [];
    #sequence = 0;
    #lastGrant = 0;
    #sent: SentRequest[] = [];
    /** Number of requests since the issuer's last answer, and the time of the first of them. */
    #unansweredRequests = 0;
    #unansweredSinceMilliseconds = Number.POSITIVE_INFINITY;
    #resendMilliseconds = DEFAULT_RESEND_MILLISECONDS;
    #queue: IssuerQueue | undefined;
    #isChanged = false;
    #hasEndedWait = false;
    #spareRequestedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #wantsSpare = false;

    /** Returns whether requests wait, or a change has not been sent to the issuer. */
    get isActive(): boolean {
        return this.#waiting.size > 0 || this.#isChanged || this.#hasEndedWait || this.#wantsSpare;
    }

    /** Adds a waiting request. */
    add(request: WaitingRequest): void {
        if (!this.#waiting.has(request.id)) {
            this.#waiting.set(request.id, request);
            this.#isChanged = true;
        }
    }

    /** Removes a request that no longer waits: it was sent, with or without a permit of this upstream, or it ended. */
    remove(request: string): void {
        this.#hasEndedWait = this.#waiting.delete(request) || this.#hasEndedWait;
    }

    /**
     * Requests a permit for a later request, unless one is at hand or was requested a short time ago.
     *
     * @param intervalMilliseconds Minimum interval of such requests.
     * @param nowMilliseconds The time.
     */
    requestSpare(intervalMilliseconds: number, nowMilliseconds: number): void {
        const isDue = nowMilliseconds - this.#spareRequestedAtMilliseconds >= intervalMilliseconds;
        if (isDue && this.#countAtHand(nowMilliseconds) === 0) {
            this.#spareRequestedAtMilliseconds = nowMilliseconds;
            this.#wantsSpare = true;
        }
    }

    /** Returns whether more permits are at hand than requests wait that come before a request. */
    hasPermitFor(request: WaitingRequest, nowMilliseconds: number): boolean {
        const atHand = this.#countAtHand(nowMilliseconds);
        return atHand > 0 && atHand > this.#countBefore(request);
    }

    /** Uses a permit for a request; returns false where none is at hand for it. */
    tryUse(request: WaitingRequest, nowMilliseconds: number): boolean {
        return this.hasPermitFor(request, nowMilliseconds) && this.#permits.shift() !== undefined;
    }

    /** Returns the request for permits that is due; `undefined` where none is. */
    nextRequest(nowMilliseconds: number): WantedPermits | undefined {
        const sinceLast = nowMilliseconds - (this.#sent.at(-1)?.atMilliseconds ?? Number.NEGATIVE_INFINITY);
        const groups = groupWaiting(this.#waiting.values(), nowMilliseconds);
        const waiting = removeMostUrgent(groups, this.#countAtHand(nowMilliseconds));
        const hasNews = (this.#isChanged || this.#wantsSpare) && sinceLast >= this.#resendMilliseconds * GATHER_SHARE;
        const hasEnd = this.#hasEndedWait && sinceLast >= END_GATHER_MILLISECONDS;
        const resendMilliseconds = this.#unansweredRequests > 0 ? RETRY_MILLISECONDS : this.#resendMilliseconds;
        const isRepeated = waiting.length > 0 && sinceLast >= resendMilliseconds;
        if (!hasNews && !hasEnd && !isRepeated) {
            return undefined;
        }
        const spare = this.#wantsSpare;
        this.#isChanged = false;
        this.#hasEndedWait = false;
        this.#wantsSpare = false;
        this.#sequence += 1;
        this.#unansweredSinceMilliseconds = this.#unansweredRequests === 0
            ? nowMilliseconds
            : this.#unansweredSinceMilliseconds;
        this.#unansweredRequests += 1;
        this.#recordSent(nowMilliseconds);
        return { sequence: this.#sequence, lastGrant: this.#lastGrant, waiting, spare };
    }

    /** Receives a grant; returns the number of permits taken from it. */
    receive(grant: PermitGrant, nowMilliseconds: number): number {
        const answered = this.#sent.find(({ sequence }) => sequence === grant.request);
        if (answered === undefined) {
            return 0;
        }
        this.#lastGrant = grant.sequence;
        this.#unansweredRequests = 0;
        this.#resendMilliseconds = grant.resendMilliseconds;
        const { permitsPerSecond, waiting } = grant;
        const askedAtMilliseconds = answered.atMilliseconds;
        this.#queue = { atMilliseconds: nowMilliseconds, askedAtMilliseconds, permitsPerSecond, waiting };
        for (let index = 0; index < grant.permits; index += 1) {
            this.#permits.push(nowMilliseconds + PERMIT_LIFETIME_MILLISECONDS);
            this.#receivedAt.push(nowMilliseconds);
        }
        return grant.permits;
    }

    /** Forgets what an issuer told, since another host is the issuer now. */
    resetIssuer(): void {
        this.#lastGrant = 0;
        this.#sent = [];
        this.#unansweredRequests = 0;
        this.#resendMilliseconds = DEFAULT_RESEND_MILLISECONDS;
        this.#queue = undefined;
        this.#isChanged ||= this.#waiting.size > 0;
    }

    /** Returns whether the issuer has left requests of this host unanswered. */
    isIssuerUnresponsive(nowMilliseconds: number): boolean {
        return this.#unansweredRequests >= UNRESPONSIVE_REQUESTS
            && nowMilliseconds - this.#unansweredSinceMilliseconds > UNRESPONSIVE_MILLISECONDS;
    }

    /**
     * Returns when a request would get a permit, as far as the issuer has told; `undefined` where it has not told
     * recently.
     */
    expect(request: WaitingRequest, nowMilliseconds: number): PermitExpectation | undefined {
        const queue = this.#queue;
        if (queue === undefined || nowMilliseconds - queue.atMilliseconds > QUEUE_LIFETIME_MILLISECONDS) {
            return undefined;
        }
        const isCounted = this.#isCounted(request, queue);
        const uncounted = [...this.#waiting.values()].filter(other =>
            other.id !== request.id && other.priority <= request.priority && !this.#isCounted(other, queue)
        );
        const upToRequest = countUpTo(queue.waiting, request.priority) + uncounted.length + (isCounted ? 0 : 1);
        const passedMilliseconds = nowMilliseconds - queue.atMilliseconds;
        const waitMilliseconds = upToRequest * MILLISECONDS_PER_SECOND / queue.permitsPerSecond - passedMilliseconds;
        return Number.isFinite(waitMilliseconds)
            ? { milliseconds: Math.max(0, waitMilliseconds), isCounted }
            : undefined;
    }

    /** Permits that this host received a second, over the last seconds. */
    permitsPerSecond(nowMilliseconds: number): number {
        this.#receivedAt = this.#receivedAt.filter(at => nowMilliseconds - at < SHARE_WINDOW_MILLISECONDS);
        return this.#receivedAt.length * MILLISECONDS_PER_SECOND / SHARE_WINDOW_MILLISECONDS;
    }

    #isCounted({ id }: WaitingRequest, { askedAtMilliseconds }: IssuerQueue): boolean {
        const waiting = this.#waiting.get(id);
        return waiting !== undefined && waiting.sinceMilliseconds <= askedAtMilliseconds;
    }

    #countAtHand(nowMilliseconds: number): number {
        this.#permits = this.#permits.filter(expiresAt => expiresAt > nowMilliseconds);
        return this.#permits.length;
    }

    #countBefore(request: WaitingRequest): number {
        let count = 0;
        for (const other of this.#waiting.values()) {
            count += other.id !== request.id && isBefore(other, request) ? 1 : 0;
        }
        return count;
    }

    #recordSent(nowMilliseconds: number): void {
        const maximumAge = MAXIMUM_GRANT_AGE_MILLISECONDS + this.#resendMilliseconds;
        const recent = this.#sent.filter(({ atMilliseconds }) => nowMilliseconds - atMilliseconds < maximumAge);
        this.#sent = [...recent, { sequence: this.#sequence, atMilliseconds: nowMilliseconds }];
    }
}
