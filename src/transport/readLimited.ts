/**
 * Reads bodies within a bound.
 *
 * @module
 */

/**
 * Reads a body to its end.
 *
 * @param body The body.
 * @param maximumBytes Longest body that is read.
 * @returns The text, or undefined for a longer body.
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
