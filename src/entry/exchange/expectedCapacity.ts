/**
 * When an upstream that has no room is expected to accept requests.
 *
 * @module
 */

/** Expected time until an upstream that is full or unreachable accepts a request. */
export const EXPECTED_CAPACITY_MILLISECONDS = 1_000;
