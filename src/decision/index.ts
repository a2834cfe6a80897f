/**
 * What all decisions share: their interface, seeded random numbers and rendezvous hashing.
 *
 * Use it to write a decision, or to drive decisions under a clock of your own.
 *
 * @example
 * ```ts
 * import { createSeededRandom } from "./index.js";
 *
 * const random = createSeededRandom(1);
 * ```
 *
 * @module
 */
export { type Decision, type IdentifierSource, type RandomSource } from "./decision.js";
export { hashText, rankByRendezvous } from "./rendezvous.js";
export { createSeededRandom } from "./seededRandom.js";
