/**
 * How often a host tells its peers and asks the key-value service, by the size of the fleet.
 *
 * What all hosts tell all others grows with the square of their number, and each call to the service has its price. A
 * small fleet can afford to be quick; in a large one each host matters less.
 *
 * @module
 */

/** From this many hosts on, a fleet is large. */
export const LARGE_FLEET_HOSTS = 16;

/** Time between two digests to peers; several fit the time for which a host that says nothing counts as heard. */
const DIGEST_MILLISECONDS = 400;
const LARGE_FLEET_DIGEST_MILLISECONDS = 600;

/** Changes in the key-value service within this time share one answer. */
const GATHER_MILLISECONDS = 120;
const LARGE_FLEET_GATHER_MILLISECONDS = 600;

/** Time between renewals of a holder's session; several fit the time for which a renewal confirms it. */
const HOLDER_RENEWAL_MILLISECONDS = 500;

/** Time between renewals of another session; several fit its lease. */
const RENEWAL_MILLISECONDS = 1_300;

/** Tells whether a fleet is large. */
export function isLargeFleet(hostCount: number): boolean {
    return hostCount >= LARGE_FLEET_HOSTS;
}

/** Gives the time between two digests. */
export function digestMilliseconds(hostCount: number): number {
    return isLargeFleet(hostCount) ? LARGE_FLEET_DIGEST_MILLISECONDS : DIGEST_MILLISECONDS;
}

/** Gives the time for which changes in the key-value service are gathered into one answer. */
export function gatherMilliseconds(hostCount: number): number {
    return isLargeFleet(hostCount) ? LARGE_FLEET_GATHER_MILLISECONDS : GATHER_MILLISECONDS;
}

/**
 * Gives the time between two renewals of a host's session.
 *
 * @param mayHold True for a host that holds engines or may take some over.
 */
export function renewalMilliseconds(mayHold: boolean): number {
    return mayHold ? HOLDER_RENEWAL_MILLISECONDS : RENEWAL_MILLISECONDS;
}
