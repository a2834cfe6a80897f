/**
 * Statuses of the answers that this host makes itself.
 *
 * @module
 */

export const STATUS_UNAUTHORIZED = 401;
export const STATUS_BAD_GATEWAY = 502;
export const STATUS_UNAVAILABLE = 503;
export const STATUS_GATEWAY_TIMEOUT = 504;
