/**
 * Selects the host addresses returned to a caller.
 *
 * @module
 */
import { type AdvertisedHost } from "./peerTable.js";

/** With fewer hosts than this in the caller's zone, its callers are spread over the hosts of all zones. */
const MINIMUM_HOSTS_IN_ZONE = 2;

/** Limit of one answer. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Returns the addresses for a caller: those in its own zone, or in all zones where its zone has too few hosts.
 *
 * @param hosts Hosts that accept callers.
 * @param zone The caller's zone, where known.
 *
 * @example
 * ```ts
 * const addresses = selectAddresses(hosts, "casa-a");
 * ```
 */
export function selectAddresses(hosts: readonly AdvertisedHost[], zone: string | undefined): string[] {
    const inZone = hosts.filter(host => host.zone === zone);
    const chosen = inZone.length >= MINIMUM_HOSTS_IN_ZONE ? inZone : hosts;
    return chosen.slice(0, MAXIMUM_ADDRESSES).map(({ address }) => address);
}
