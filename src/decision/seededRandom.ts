/**
 * A seeded pseudo-random number generator, for tests, measurements and replay.
 *
 * @module
 */
import { type RandomSource } from "./decision.js";

const GOLDEN_GAMMA = 0x9e3779b9;
const RANGE_32_BITS = 4294967296;

/**
 * Creates a random source that returns the same sequence for the same seed (the splitmix32 generator).
 *
 * @param seed Any integer.
 * @returns A source of numbers from 0 up to, not including, 1.
 *
 * @example
 * ```ts
 * const random = createSeededRandom(7);
 * const repeated = createSeededRandom(7);
 * console.log(random() === repeated()); // true
 * ```
 */
export function createSeededRandom(seed: number): RandomSource {
    let state = seed >>> 0;
    return () => {
        state = (state + GOLDEN_GAMMA) >>> 0;
        let mixed = state ^ (state >>> 16);
        mixed = Math.imul(mixed, 0x21f0aaad);
        mixed ^= mixed >>> 15;
        mixed = Math.imul(mixed, 0x735a2d97);
        mixed ^= mixed >>> 15;
        return (mixed >>> 0) / RANGE_32_BITS;
    };
}
