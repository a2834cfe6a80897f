/**
 * Which hosts a caller is sent to.
 *
 * @module
 */
import { type AdvertisedHost } from "./peerTable.js";

/** With fewer hosts than this in the caller's zone, hosts of all zones share its callers. */
const FEWEST_IN_ZONE = 2;

/** Most addresses of one answer. */
const MOST_ADDRESSES = 64;

/**
 * Gives the addresses for a caller: those of its own zone, or of all zones where its zone has too few hosts.
 *
 * @param hosts Hosts that take callers.
 * @param zone The caller's zone, where it is told.
 *
 * @example
 * ```ts
 * const addresses = rankAddresses(hosts, "casa-a");
 * ```
 */
export function rankAddresses(hosts: readonly AdvertisedHost[], zone: string | undefined): string[] {
    const near = hosts.filter(host => host.zone === zone);
    const chosen = near.length >= FEWEST_IN_ZONE ? near : hosts;
    return chosen.slice(0, MOST_ADDRESSES).map(({ address }) => address);
}
