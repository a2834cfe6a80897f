/**
 * Reads bodies up to a size limit.
 *
 * @module
 */

/**
 * Reads a body to its end, and stops once it exceeds the limit.
 *
 * @param body The body.
 * @param maximumBytes Maximum size of the body.
 * @returns The text, or `undefined` for a larger body.
 *
 * @example
 * ```ts
 * const text = await readLimited(answer.body, 1024);
 * ```
 */
export async function readLimited(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<string | undefined> {
    const parts: Buffer[] = [];
    let size = 0;
    for await (const part of body) {
        size += part.length;
        if (size > maximumBytes) {
            return undefined;
        }
        parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
}
