/**
 * For how long reports repeat what a host has learned.
 *
 * @module
 */

/** News are repeated in all digests of this time, since datagrams are lost. */
export const REPEAT_MILLISECONDS = 2_500;
