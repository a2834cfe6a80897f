/**
 * The platform's list of hosts as last read; it lags behind the hosts' actual states.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { type MembershipMessage } from "./messages.js";

const MAXIMUM_LISTING_AGE_MILLISECONDS = 60_000;

/** One reading of the platform's list. */
export type HostListing = Extract<MembershipMessage, { type: "host-list"; }>;
type ListedHost = HostListing["live"][number];

/**
 * Keeps the last reading of the platform's list. The list has no incarnations, so a host listed as leaving is recorded
 * with the incarnation known at that time; a later incarnation of the same host does not count as leaving.
 */
export class HostListView {
    #liveHosts: readonly ListedHost[] = [];
    #readAtMilliseconds: number | undefined;
    readonly #leavingIncarnations = new Map<string, string | undefined>();

    /**
     * Replaces the last reading.
     *
     * @param listing The new reading.
     * @param incarnationOf Returns the incarnation that is currently known of a host.
     * @param nowMilliseconds When the list was read.
     */
    update(listing: HostListing, incarnationOf: (host: string) => string | undefined, nowMilliseconds: number): void {
        this.#readAtMilliseconds = nowMilliseconds;
        this.#liveHosts = listing.live;
        const leavingHosts = new Set(listing.leaving);
        [...this.#leavingIncarnations.keys()].filter(host => !leavingHosts.has(host)).forEach(host =>
            this.#leavingIncarnations.delete(host)
        );
        [...leavingHosts].filter(host => !this.#leavingIncarnations.has(host))
            .forEach(host => this.#leavingIncarnations.set(host, incarnationOf(host)));
    }

    /** Returns the hosts that the platform lists as live. */
    liveHosts(): readonly ListedHost[] {
        return this.#liveHosts;
    }

    /** Returns the number of hosts listed as live; `undefined` if the last reading is missing or too old. */
    recentLiveCount(nowMilliseconds: number): number | undefined {
        const readAt = this.#readAtMilliseconds;
        return readAt === undefined || nowMilliseconds - readAt > MAXIMUM_LISTING_AGE_MILLISECONDS
            ? undefined
            : this.#liveHosts.length;
    }

    /** Returns whether the platform lists this incarnation, or a later one of the same host, as leaving. */
    isLeaving(identity: HostIdentity): boolean {
        if (!this.#leavingIncarnations.has(identity.host)) {
            return false;
        }
        const leavingIncarnation = this.#leavingIncarnations.get(identity.host);
        return leavingIncarnation === undefined || identity.incarnation <= leavingIncarnation;
    }

    /** Returns whether the list has been read and does not contain this host as live. */
    isUnlisted(host: string): boolean {
        return this.#readAtMilliseconds !== undefined && !this.#liveHosts.some(listed => listed.host === host);
    }
}
