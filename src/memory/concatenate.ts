/**
 * Bytes of several pieces in memory of their own.
 *
 * @module
 */

/**
 * Copies pieces into memory that is shared with nothing else; `Buffer.concat` takes that of small ones from a pool, all of
 * which then stays in use.
 *
 * @param pieces The pieces.
 * @param length Their size together.
 *
 * @example
 * ```ts
 * const bytes = concatenate([Buffer.from("a"), Buffer.from("b")], 2);
 * ```
 */
export function concatenate(pieces: readonly Buffer[], length: number): Buffer {
    const joined = Buffer.allocUnsafeSlow(length);
    let position = 0;
    for (const piece of pieces) {
        joined.set(piece, position);
        position += piece.length;
    }
    return joined;
}
