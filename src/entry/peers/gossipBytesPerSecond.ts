/**
 * The part of a host's link that messages to its peers may take.
 *
 * @module
 */

/** The rest is for callers, upstreams and the key-value service. */
const LINK_SHARE = 0.5;

/** Capacity of the narrowest links, 10 Mbit/s. */
const DEFAULT_LINK_BYTES_PER_SECOND = 1_250_000;

/** Enough for the digests of a host to its cell, however narrow its link. */
const MINIMUM_BYTES_PER_SECOND = 16 * 1024;

/**
 * Returns how many bytes a second a host sends to its peers at most.
 *
 * @param linkBytesPerSecond Capacity of the host's link, each way; `undefined` where not known.
 * @returns Bytes in a second.
 *
 * @example
 * ```ts
 * gossipBytesPerSecond(1_250_000); // 625_000
 * ```
 */
export function gossipBytesPerSecond(linkBytesPerSecond: number | undefined): number {
    return Math.max(MINIMUM_BYTES_PER_SECOND, (linkBytesPerSecond ?? DEFAULT_LINK_BYTES_PER_SECOND) * LINK_SHARE);
}
