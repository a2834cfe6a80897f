/**
 * Intervals of a host's digests and session renewals.
 *
 * @module
 */

/** Minimum interval of digests to the cell; several fit into the time after which a digest is no longer recent. */
const MINIMUM_DIGEST_INTERVAL_MILLISECONDS = 400;

/** Digest interval per host of the cell; its growth bounds how many digests a host receives per second. */
const DIGEST_INTERVAL_MILLISECONDS_PER_HOST = 45;

/** Changes in the key-value service within this time are delivered to a watch in one answer. */
export const GATHER_MILLISECONDS = 120;

/** Renewal interval of a holder's session; several fit into the time for which a renewal confirms it. */
const HOLDER_RENEWAL_INTERVAL_MILLISECONDS = 500;

/** Renewal interval of other sessions; several fit into the lease. */
const RENEWAL_INTERVAL_MILLISECONDS = 1_300;

/**
 * Returns the interval of a host's digests.
 *
 * @param cellHosts The number of hosts in the cell.
 */
export function digestIntervalMilliseconds(cellHosts: number): number {
    return Math.max(MINIMUM_DIGEST_INTERVAL_MILLISECONDS, cellHosts * DIGEST_INTERVAL_MILLISECONDS_PER_HOST);
}

/**
 * Returns the interval of a host's session renewals.
 *
 * @param mayHold True for a host that holds engines or may take engines over.
 */
export function renewalIntervalMilliseconds(mayHold: boolean): number {
    return mayHold ? HOLDER_RENEWAL_INTERVAL_MILLISECONDS : RENEWAL_INTERVAL_MILLISECONDS;
}
