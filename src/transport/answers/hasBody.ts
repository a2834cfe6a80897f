/**
 * Tells which answers have a body.
 *
 * @module
 */

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/**
 * Returns whether a final answer has a body, which may be empty. One that has none names no length that its receiver
 * could wait for.
 *
 * @param status Status of the answer.
 * @param method Method of its request.
 *
 * @example
 * ```ts
 * hasBody(204, "POST"); // false
 * ```
 */
export function hasBody(status: number, method: string): boolean {
    return status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED && method !== "HEAD";
}
