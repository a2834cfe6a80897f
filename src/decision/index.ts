/**
 * Shared by all decisions: their interface, seeded random numbers and rendezvous hashing.
 *
 * Used to write a decision, or to run decisions under a simulated clock.
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
