/**
 * Texts that outlive what they were read from.
 *
 * @module
 */

/**
 * Returns the beginning of a text in memory of its own: a part of a string keeps the whole of it.
 *
 * @param text The text, such as a part of a header field.
 * @param maximumCharacters Characters that are kept of it.
 *
 * @example
 * ```ts
 * const identifier = copyBeginning(header.slice(0, header.indexOf(":")), 64);
 * ```
 */
export function copyBeginning(text: string, maximumCharacters: number): string {
    return Buffer.from(text.slice(0, maximumCharacters)).toString();
}
