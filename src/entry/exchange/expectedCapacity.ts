/**
 * When a refused request can be accepted: by an upstream that has no room now, or by another host.
 *
 * @module
 */

/** Expected time until an upstream that is full or unreachable accepts a request. */
export const EXPECTED_CAPACITY_MILLISECONDS = 1_000;

/** Time after which a caller that this host cannot serve has the address of another host. */
export const OTHER_HOST_MILLISECONDS = 200;
