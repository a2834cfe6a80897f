/**
 * Identifies streams by a short hash.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Length of an identifier; 48 bits, so that two streams of one hour hardly ever share one. */
export const STREAM_IDENTIFIER_CHARACTERS = 8;

/**
 * Returns the identifier of a stream: a hash of the request that brought its first event.
 *
 * @param requestId The caller's identifier of that request.
 *
 * @example
 * ```ts
 * const stream = identifyStream("9c41d07be2a35f68");
 * ```
 */
export function identifyStream(requestId: string): string {
    return createHash("sha1").update(requestId).digest("base64url").slice(0, STREAM_IDENTIFIER_CHARACTERS);
}
