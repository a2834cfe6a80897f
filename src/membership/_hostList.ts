/**
 * The platform's list of hosts as last read; it lags behind the hosts themselves.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { type MembershipMessage } from "./messages.js";

type Listing = Extract<MembershipMessage, { type: "host-list"; }>;
type ListedHost = Listing["live"][number];

/** Remembers which incarnation the platform meant when it listed a host as leaving. */
export class HostListView {
    #live: readonly ListedHost[] = [];
    #read = false;
    readonly #leaving = new Map<string, string | undefined>();

    /**
     * Takes a new reading.
     *
     * @param listing The reading.
     * @param incarnationOf The incarnation that is known of a host by now.
     */
    update(listing: Listing, incarnationOf: (host: string) => string | undefined): void {
        this.#read = true;
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
        return this.#read && !this.#live.some(listed => listed.host === host);
    }
}
