/**
 * Readings of a host's clocks.
 *
 * @module
 */

/** A host's monotonic clock and wall clock, read at the same time. */
export interface ClockReading {
    readonly steadyMilliseconds: number;
    readonly timeOfDayMilliseconds: number;
}
