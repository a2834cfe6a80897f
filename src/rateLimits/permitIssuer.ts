/**
 * Issues the permits to one upstream to all hosts.
 *
 * @module
 */
import { type PermitRequest, type WaitingGroup } from "../generated/gossip.js";
import { PermitBucket } from "./permitBucket.js";
import { mergeGroups, removeMostUrgent } from "./waitingGroups.js";

/** Interval at which a waiting host repeats its request, since datagrams may be lost. */
const MINIMUM_RESEND_MILLISECONDS = 200;

/** Interval per host that asks; its growth bounds how many requests an issuer receives a second. */
const RESEND_MILLISECONDS_PER_HOST = 40;

/** Hosts that asked within this time count for the interval. */
const ASKING_MILLISECONDS = 10_000;

/** A request for permits is dropped unless it is repeated within this many intervals. */
const INTERVALS_BEFORE_DROP = 3;

/** Permits that a host has not acknowledged within this time are taken for lost. */
const ACKNOWLEDGEMENT_MILLISECONDS = 400;

/** A lower sequence number after this time is that of a restarted process, which counts anew. */
const MAXIMUM_DELAY_MILLISECONDS = 1_000;

/** An answer to a host; `request` is the sequence number of the host's last request. */
export interface IssuedPermits {
    readonly host: string;
    readonly sequence: number;
    readonly request: number;
    readonly permits: number;
}

interface SentPermits {
    readonly sequence: number;
    readonly permits: number;
    readonly atMilliseconds: number;
}

interface WaitingHost {
    readonly host: string;
    readonly request: number;
    readonly receivedAtMilliseconds: number;
    waiting: readonly WaitingGroup[];
    spare: boolean;
    /** Granted, and not yet sent. */
    newPermits: number;
    unacknowledged: readonly SentPermits[];
}

/**
 * Grants permits at a rate: first to the most urgent requests, among these to those that have waited longest, and where
 * none waits, to hosts that can use a spare one.
 *
 * @example
 * ```ts
 * const issuer = new PermitIssuer(now);
 * issuer.receive(request, now);
 * const answers = issuer.issue(4.1, now);
 * ```
 */
export class PermitIssuer {
    readonly #bucket: PermitBucket;
    readonly #hosts = new Map<string, WaitingHost>();
    /** When each host last asked. */
    readonly #askedAt = new Map<string, number>();
    /** Hosts whose last request has not been answered. */
    readonly #unanswered = new Set<string>();
    #sequence = 0;

    /** @param nowMilliseconds The time from which permits accumulate. */
    constructor(nowMilliseconds: number) {
        this.#bucket = new PermitBucket(nowMilliseconds);
    }

    /** Returns whether any host waits for permits, or for an answer. */
    get isActive(): boolean {
        return this.#hosts.size > 0;
    }

    /** Interval at which a waiting host is to repeat its request. */
    get resendMilliseconds(): number {
        return Math.max(MINIMUM_RESEND_MILLISECONDS, this.#askedAt.size * RESEND_MILLISECONDS_PER_HOST);
    }

    /** Returns the waiting requests of all hosts. */
    waiting(): WaitingGroup[] {
        return mergeGroups([...this.#hosts.values()].flatMap(({ waiting }) => waiting));
    }

    /** Receives a host's request, unless it was overtaken by a later one. */
    receive(request: PermitRequest, nowMilliseconds: number): void {
        const known = this.#hosts.get(request.host);
        const wasRecentlyHeard = known !== undefined
            && nowMilliseconds - known.receivedAtMilliseconds < MAXIMUM_DELAY_MILLISECONDS;
        if (wasRecentlyHeard && request.sequence < known.request) {
            return;
        }
        const unacknowledged = (known?.unacknowledged ?? []).filter(({ atMilliseconds, sequence }) =>
            sequence > request.lastGrant && nowMilliseconds - atMilliseconds < ACKNOWLEDGEMENT_MILLISECONDS
        );
        const onTheWay = unacknowledged.reduce((total, { permits }) => total + permits, 0);
        this.#hosts.set(request.host, {
            host: request.host,
            request: request.sequence,
            receivedAtMilliseconds: nowMilliseconds,
            waiting: removeMostUrgent(mergeGroups(request.waiting), onTheWay),
            spare: request.spare && onTheWay === 0,
            newPermits: 0,
            unacknowledged,
        });
        this.#unanswered.add(request.host);
        this.#askedAt.set(request.host, nowMilliseconds);
    }

    /** Grants the permits that have accumulated; returns an answer to each host that has not got one, or gets permits. */
    issue(permitsPerSecond: number, nowMilliseconds: number): IssuedPermits[] {
        this.#dropSilentHosts(nowMilliseconds);
        this.#bucket.refill(permitsPerSecond, nowMilliseconds);
        let next = this.#nextHost(nowMilliseconds);
        while (next !== undefined && this.#bucket.tryTake()) {
            this.#grantOne(next);
            next = this.#nextHost(nowMilliseconds);
        }
        return this.#answer(nowMilliseconds);
    }

    #grantOne(host: WaitingHost): void {
        host.newPermits += 1;
        if (host.waiting.length === 0) {
            host.spare = false;
        }
        host.waiting = removeMostUrgent(host.waiting, 1);
    }

    #answer(nowMilliseconds: number): IssuedPermits[] {
        const answered = [...this.#hosts.values()].filter(({ host, newPermits }) =>
            newPermits > 0 || this.#unanswered.has(host)
        );
        this.#unanswered.clear();
        return answered.map(host => {
            this.#sequence += 1;
            const { newPermits: permits } = host;
            const sent = { sequence: this.#sequence, permits, atMilliseconds: nowMilliseconds };
            host.unacknowledged = permits > 0 ? [...host.unacknowledged, sent] : host.unacknowledged;
            host.newPermits = 0;
            return { host: host.host, sequence: sent.sequence, request: host.request, permits };
        });
    }

    #nextHost(nowMilliseconds: number): WaitingHost | undefined {
        let best: { readonly host: WaitingHost; readonly rank: readonly [number, number]; } | undefined;
        for (const host of this.#hosts.values()) {
            const rank = rankOf(host, nowMilliseconds);
            const isBetter = best === undefined || rank[0] < best.rank[0]
                || (rank[0] === best.rank[0] && rank[1] < best.rank[1]);
            best = isBetter && Number.isFinite(rank[0]) ? { host, rank } : best;
        }
        return best?.host;
    }

    #dropSilentHosts(nowMilliseconds: number): void {
        for (const [host, atMilliseconds] of this.#askedAt) {
            if (nowMilliseconds - atMilliseconds > ASKING_MILLISECONDS) {
                this.#askedAt.delete(host);
            }
        }
        const lifetimeMilliseconds = this.resendMilliseconds * INTERVALS_BEFORE_DROP;
        for (const [name, host] of this.#hosts) {
            const isSilent = nowMilliseconds - host.receivedAtMilliseconds > lifetimeMilliseconds;
            const isSatisfied = host.waiting.length === 0 && !host.spare && !this.#unanswered.has(name)
                && nowMilliseconds - host.receivedAtMilliseconds > ACKNOWLEDGEMENT_MILLISECONDS;
            if (isSilent || isSatisfied) {
                this.#hosts.delete(name);
            }
        }
    }
}

/** Returns a host's rank among those that wait: its most urgent priority, then the earliest arrival there. */
function rankOf({ receivedAtMilliseconds, spare, waiting }: WaitingHost, nowMilliseconds: number): [number, number] {
    const [group] = waiting;
    if (group !== undefined) {
        return [group.priority, receivedAtMilliseconds - group.waitedMilliseconds];
    }
    return spare ? [Number.MAX_SAFE_INTEGER, receivedAtMilliseconds] : [Number.POSITIVE_INFINITY, nowMilliseconds];
}
