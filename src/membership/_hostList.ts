/**
 * The platform's list of hosts as last read; it lags behind the hosts themselves.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { type MembershipMessage } from "./messages.js";

const RECENT_MILLISECONDS = 60_000;

/** A reading of the list. */
export type HostListing = Extract<MembershipMessage, { type: "host-list"; }>;
type ListedHost = HostListing["live"][number];

/** Remembers which incarnation the platform meant when it listed a host as leaving. */
export class HostListView {
    #live: readonly ListedHost[] = [];
    #readAtMilliseconds: number | undefined;
    readonly #leaving = new Map<string, string | undefined>();

    /**
     * Takes a new reading.
     *
     * @param listing The reading.
     * @param incarnationOf The incarnation that is known of a host by now.
     * @param nowMilliseconds When it was read.
     */
    update(listing: HostListing, incarnationOf: (host: string) => string | undefined, nowMilliseconds: number): void {
        this.#readAtMilliseconds = nowMilliseconds;
        this.#live = listing.live;
        const named = new Set(listing.leaving);
        [...this.#leaving.keys()].filter(host => !named.has(host)).forEach(host => this.#leaving.delete(host));
        [...named].filter(host => !this.#leaving.has(host))
            .forEach(host => this.#leaving.set(host, incarnationOf(host)));
    }

    /** Gives the hosts that the platform lists as live. */
    live(): readonly ListedHost[] {
        return this.#live;
    }

    /** Counts the hosts listed as live, where the list was read lately. */
    recentCount(nowMilliseconds: number): number | undefined {
        const readAt = this.#readAtMilliseconds;
        return readAt === undefined || nowMilliseconds - readAt > RECENT_MILLISECONDS ? undefined : this.#live.length;
    }

    /** Tells whether the platform lists this incarnation as leaving; a later one of that name is not meant. */
    isLeaving(identity: HostIdentity): boolean {
        if (!this.#leaving.has(identity.host)) {
            return false;
        }
        const meant = this.#leaving.get(identity.host);
        return meant === undefined || identity.incarnation <= meant;
    }

    /** Tells whether the list was read and does not name this host. */
    isGone(host: string): boolean {
        return this.#readAtMilliseconds !== undefined && !this.#live.some(listed => listed.host === host);
    }
}
