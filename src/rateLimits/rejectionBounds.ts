/**
 * Keeps the requests that an upstream rejects, over all hosts, within the number that it tolerates.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type LimitObservation, type NamedLimits } from "./namedLimits.js";
import { type SlotLeases } from "./slotLeases.js";

/** Slots that a host had in use in this time are taken to be free for it again. */
const USED_SLOTS_MILLISECONDS = 2_000;

/** After a rejection an upstream is taken to be nearly full for this long. */
const REJECTED_LATELY_MILLISECONDS = 3_000;

/** Share of an upstream's slots from which it is taken to be nearly full. */
const NEARLY_FULL_SHARE = 0.5;

/** Part of the tolerated rejections that hosts risk together; the rest is for hosts whose views of the fleet differ. */
const RISKED_SHARE = 0.8;

const MILLISECONDS_PER_SECOND = 1_000;

/** An upstream, and its requests as far as this host knows. */
export interface UpstreamUse {
    readonly id: string;
    readonly service: string;
    readonly slots: number;
    /** Requests of this host that are in flight there. */
    readonly ownRequests: number;
    /** Estimated requests of all hosts there. */
    readonly requests: number;
}

/** Options of {@linkcode RejectionBounds}. */
export interface RejectionBoundsOptions {
    readonly host: string;
    /** The rejections a second that upstreams named as tolerated. */
    readonly tolerances: NamedLimits;
    /** Returns the hosts that send requests; the same array while they are the same. */
    readonly sendingHosts: () => readonly string[];
    /** Returns the upstreams of a service, in an order that all hosts share. */
    readonly upstreamsOf: (service: string) => readonly Pick<UpstreamUse, "id" | "slots">[];
    /** Returns the slots that are leased for one request each, where no host's share is a whole one; by default, none. */
    readonly leases?: () => SlotLeases;
}

/** Requests of this host at an upstream that tolerates few rejections. */
interface OwnUse {
    /** The most requests in flight, in the present period and in the one before. */
    used: number;
    usedBefore: number;
    periodEndsAtMilliseconds: number;
    /** When requests were sent that the upstream may reject, or were rejected. */
    risksAtMilliseconds: number[];
    rejectedAtMilliseconds: number;
}

interface HostShare {
    readonly sendingHosts: readonly string[];
    readonly slots: number;
    readonly share: number;
}

function wasRejectedLately({ rejectedAtMilliseconds }: OwnUse, nowMilliseconds: number): boolean {
    return nowMilliseconds - rejectedAtMilliseconds < REJECTED_LATELY_MILLISECONDS;
}

/** Returns how many risks all hosts together take at an upstream in a second. */
function countRisks(tolerance: number): number {
    return Math.max(1, Math.floor(tolerance * RISKED_SHARE));
}

/** Returns how many of an upstream's slots fall to a host where the service's slots go to the hosts in turn. */
function countSlots(
    { hostCount, offset, rank, slots }: Readonly<Record<"rank" | "offset" | "slots" | "hostCount", number>>,
): number {
    const first = (rank + hostCount - offset % hostCount) % hostCount;
    return first < slots ? Math.floor((slots - 1 - first) / hostCount) + 1 : 0;
}

/**
 * Bounds what this host sends to an upstream that tolerates few rejections. While the upstream is nearly full, a host
 * keeps to its share of the slots, which go to the hosts in turn, and to the slots that it used a short time ago.
 * It takes one more only as a risk, of which all hosts together take no more than the upstream tolerates. A
 * rejection counts as a risk, and the slots then in use are those known to be free.
 *
 * Where a service has fewer slots than there are hosts, no share is a whole slot. Each request then needs a slot that
 * is leased for it, see {@linkcode SlotLeases}.
 *
 * @example
 * ```ts
 * const bounds = new RejectionBounds({ host, tolerances, sendingHosts, upstreamsOf });
 * const use = { id, service, slots, ownRequests, requests };
 * if (bounds.accepts(use, now)) {
 *     bounds.recordSent(use, now);
 * }
 * ```
 */
export class RejectionBounds {
    readonly #options: RejectionBoundsOptions;
    readonly #ownUses = new Map<string, OwnUse>();
    readonly #shares = new Map<string, HostShare>();

    constructor(options: RejectionBoundsOptions) {
        this.#options = options;
    }

    /** Returns the rejections a second that an upstream tolerates of all hosts; `undefined` where it named none. */
    tolerance({ id, service }: Pick<UpstreamUse, "id" | "service">): number | undefined {
        const { tolerances, upstreamsOf } = this.#options;
        if (tolerances.countInForce() === 0) {
            return undefined;
        }
        const own = tolerances.latest(id);
        const observations: readonly (LimitObservation | undefined)[] = own === undefined
            ? upstreamsOf(service).map(upstream => tolerances.inForce(upstream.id))
            : [own];
        const named = observations.flatMap(observation => observation?.requestsPerSecond ?? []);
        return named.length === 0 ? undefined : Math.min(...named);
    }

    /** Returns whether an upstream may be sent another request of this host now. */
    accepts(use: UpstreamUse, nowMilliseconds: number): boolean {
        const tolerance = this.tolerance(use);
        if (tolerance === undefined) {
            return true;
        }
        const leases = this.#leasesFor(use);
        if (leases !== undefined) {
            return leases.isFree(use.id, nowMilliseconds);
        }
        const own = this.#ownUse(use, nowMilliseconds);
        if (!this.#isNearlyFull(use, own, nowMilliseconds)) {
            return true;
        }
        const share = Math.max(1, this.#shareOf(use));
        if (use.ownRequests >= share) {
            return false;
        }
        return !this.#isRisk(use, own, nowMilliseconds)
            || this.#mayRisk(own, this.#risksPerSecond(use.id, tolerance), nowMilliseconds);
    }

    /** Returns whether an upstream's slots are leased for one request each. */
    isLeased(upstream: Pick<UpstreamUse, "id" | "service">): boolean {
        return this.tolerance(upstream) !== undefined && this.#leasesFor(upstream) !== undefined;
    }

    /** Returns whether a slot of an upstream is leased for a request that is not sent yet. */
    hasLeasedSlot(upstream: Pick<UpstreamUse, "id" | "service">, nowMilliseconds: number): boolean {
        return this.isLeased(upstream) && this.#options.leases?.().isFree(upstream.id, nowMilliseconds) === true;
    }

    /**
     * Asks for a slot for a request that none of its upstreams accepts, where slots are leased.
     *
     * @param uses The upstreams that could run the request.
     * @param sinceMilliseconds Since when the request has waited; of all hosts, the first one gets the next slot.
     * @param nowMilliseconds The time.
     */
    requestSlot(uses: readonly UpstreamUse[], sinceMilliseconds: number, nowMilliseconds: number): void {
        const leased = uses.filter(use => this.isLeased(use));
        if (leased.length > 0) {
            const free = ({ requests, slots }: UpstreamUse): number => slots - requests;
            const ranked = leased.toSorted((left, right) => free(right) - free(left)).map(({ id }) => id);
            this.#options.leases?.().request(ranked, sinceMilliseconds, nowMilliseconds);
        }
    }

    /** Records that a request is sent; `ownRequests` and `requests` are those before it. */
    recordSent(use: UpstreamUse, nowMilliseconds: number): void {
        this.#options.leases?.().recordSent(use.id, nowMilliseconds);
        if (this.tolerance(use) === undefined) {
            return;
        }
        const own = this.#ownUse(use, nowMilliseconds);
        if (this.#isNearlyFull(use, own, nowMilliseconds) && this.#isRisk(use, own, nowMilliseconds)) {
            own.risksAtMilliseconds.push(nowMilliseconds);
        }
        own.used = Math.max(own.used, use.ownRequests + 1);
    }

    /** Records that an upstream rejected a request; `ownRequests` are this host's others in flight there. */
    recordRejected(use: UpstreamUse, nowMilliseconds: number): void {
        const tolerance = this.tolerance(use);
        if (tolerance === undefined) {
            return;
        }
        const heldBackMilliseconds = use.slots * MILLISECONDS_PER_SECOND / countRisks(tolerance);
        this.#leasesFor(use)?.recordRejected(use.id, heldBackMilliseconds, nowMilliseconds);
        const own = this.#ownUse(use, nowMilliseconds);
        own.used = use.ownRequests;
        own.usedBefore = use.ownRequests;
        own.rejectedAtMilliseconds = nowMilliseconds;
        own.risksAtMilliseconds.push(nowMilliseconds);
    }

    /** Records that a request at an upstream has ended; it no longer counts as in flight. */
    recordEnded(upstream: string, nowMilliseconds: number): void {
        this.#options.leases?.().recordEnded(upstream, nowMilliseconds);
    }

    /** Drops what is known of an upstream. */
    forget(upstream: string): void {
        this.#options.leases?.().forget(upstream);
        this.#ownUses.delete(upstream);
        this.#shares.delete(upstream);
    }

    /** Returns whether an upstream may lack a free slot for each host. */
    #isNearlyFull(use: UpstreamUse, own: OwnUse, nowMilliseconds: number): boolean {
        const { requests, slots } = use;
        return requests >= slots * NEARLY_FULL_SHARE
            || slots - requests <= this.#options.sendingHosts().length
            || wasRejectedLately(own, nowMilliseconds);
    }

    /** Returns the leases of an upstream's slots where hosts' shares are below one slot; `undefined` elsewhere. */
    #leasesFor({ service }: Pick<UpstreamUse, "service">): SlotLeases | undefined {
        const { leases, sendingHosts, upstreamsOf } = this.#options;
        const total = upstreamsOf(service).reduce((sum, { slots }) => sum + slots, 0);
        return total < sendingHosts().length ? leases?.() : undefined;
    }

    /** Returns whether a request needs a further slot than this host has used lately, or one beyond its share. */
    #isRisk(use: UpstreamUse, own: OwnUse, nowMilliseconds: number): boolean {
        const first = wasRejectedLately(own, nowMilliseconds) ? 0 : 1;
        return use.ownRequests >= Math.min(Math.max(first, own.used, own.usedBefore), this.#shareOf(use));
    }

    #mayRisk({ risksAtMilliseconds }: OwnUse, risksPerSecond: number, nowMilliseconds: number): boolean {
        const counted = risksAtMilliseconds.filter(at => nowMilliseconds - at < MILLISECONDS_PER_SECOND);
        return counted.length < risksPerSecond;
    }

    /** Returns the risks that this host may take in a second. */
    #risksPerSecond(upstream: string, tolerance: number): number {
        const { host, sendingHosts } = this.#options;
        const risks = countRisks(tolerance);
        const perHost = Math.floor(risks / sendingHosts().length);
        const takesOne = rankByRendezvous(upstream, sendingHosts()).slice(0, risks).includes(host);
        return perHost === 0 && takesOne ? 1 : perHost;
    }

    #ownUse({ id, ownRequests }: UpstreamUse, nowMilliseconds: number): OwnUse {
        const own = this.#ownUses.get(id) ?? {
            used: ownRequests,
            usedBefore: 0,
            periodEndsAtMilliseconds: nowMilliseconds + USED_SLOTS_MILLISECONDS / 2,
            risksAtMilliseconds: [],
            rejectedAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        this.#ownUses.set(id, own);
        if (nowMilliseconds >= own.periodEndsAtMilliseconds) {
            const isNext = nowMilliseconds < own.periodEndsAtMilliseconds + USED_SLOTS_MILLISECONDS / 2;
            own.usedBefore = isNext ? own.used : ownRequests;
            own.used = ownRequests;
            own.periodEndsAtMilliseconds = nowMilliseconds + USED_SLOTS_MILLISECONDS / 2;
            own.risksAtMilliseconds = own.risksAtMilliseconds.filter(at =>
                nowMilliseconds - at < MILLISECONDS_PER_SECOND
            );
        }
        return own;
    }

    /** Returns this host's share of an upstream's slots, computed once for each view of the fleet. */
    #shareOf({ id, service, slots }: UpstreamUse): number {
        const sendingHosts = this.#options.sendingHosts();
        const known = this.#shares.get(id);
        if (known?.sendingHosts === sendingHosts && known.slots === slots) {
            return known.share;
        }
        const upstreams = this.#options.upstreamsOf(service);
        const before = upstreams.slice(0, Math.max(0, upstreams.findIndex(upstream => upstream.id === id)));
        const offset = before.reduce((total, upstream) => total + upstream.slots, 0);
        const rank = rankByRendezvous(service, sendingHosts).indexOf(this.#options.host);
        const share = rank === -1 ? 0 : countSlots({ rank, offset, slots, hostCount: sendingHosts.length });
        this.#shares.set(id, { sendingHosts, slots, share });
        return share;
    }
}
