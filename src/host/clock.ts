/**
 * Clock and identifier sources that tasks pass to decisions.
 *
 * @module
 */
import { randomBytes, randomUUID } from "node:crypto";

const START_TIME_CHARACTERS = 9;
const INCARNATION_RANDOM_BYTES = 4;

/** Reads a monotonic clock, in milliseconds. */
export type Clock = () => number;

/** Reads the monotonic clock of this process. */
export const processClock: Clock = () => performance.now();

/**
 * Creates the incarnation of this process: its start time in sortable form, followed by random digits.
 *
 * @example
 * ```ts
 * createIncarnation() < createIncarnation(); // true where the second is created a millisecond later
 * ```
 */
export function createIncarnation(): string {
    const startTime = Date.now().toString(36).padStart(START_TIME_CHARACTERS, "0");
    return `${startTime}${randomBytes(INCARNATION_RANDOM_BYTES).toString("hex")}`;
}

/** Creates an identifier that is unique across processes. */
export function createIdentifier(): string {
    return randomUUID();
}
