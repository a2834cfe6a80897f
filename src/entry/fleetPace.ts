/**
 * How often a host tells its peers and asks the key-value service.
 *
 * @module
 */

/** Shortest time between two digests to the cell; several fit the time for which a silent host counts as heard. */
const DIGEST_MILLISECONDS = 400;

/** Part of the time between two digests for each host of the cell, so that what a host hears a second is bounded. */
const DIGEST_MILLISECONDS_PER_HOST = 45;

/** Changes in the key-value service within this time share one answer. */
export const GATHER_MILLISECONDS = 120;

/** Time between renewals of a holder's session; several fit the time for which a renewal confirms it. */
const HOLDER_RENEWAL_MILLISECONDS = 500;

/** Time between renewals of another session; several fit its lease. */
const RENEWAL_MILLISECONDS = 1_300;

/**
 * Gives the time between two digests of a host.
 *
 * @param cellHosts Hosts of the cell.
 */
export function digestMilliseconds(cellHosts: number): number {
    return Math.max(DIGEST_MILLISECONDS, cellHosts * DIGEST_MILLISECONDS_PER_HOST);
}

/**
 * Gives the time between two renewals of a host's session.
 *
 * @param mayHold True for a host that holds engines or may take some over.
 */
export function renewalMilliseconds(mayHold: boolean): number {
    return mayHold ? HOLDER_RENEWAL_MILLISECONDS : RENEWAL_MILLISECONDS;
}
