/**
 * The clock and identifiers that shells pass to decisions.
 *
 * @module
 */
import { randomBytes, randomUUID } from "node:crypto";

const START_TIME_CHARACTERS = 9;
const INCARNATION_RANDOM_BYTES = 4;

/** Reads a clock that never goes back, in milliseconds. */
export type Clock = () => number;

/** The process's own clock. */
export const processClock: Clock = () => performance.now();

/**
 * Creates the incarnation of this process: its start time in sortable form, then random digits.
 *
 * @example
 * ```ts
 * createIncarnation() < createIncarnation(); // true when the second starts a millisecond later
 * ```
 */
export function createIncarnation(): string {
    const startTime = Date.now().toString(36).padStart(START_TIME_CHARACTERS, "0");
    return `${startTime}${randomBytes(INCARNATION_RANDOM_BYTES).toString("hex")}`;
}

/** Creates an identifier that no earlier call of any process returned. */
export function createIdentifier(): string {
    return randomUUID();
}
