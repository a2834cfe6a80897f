/**
 * Describes an upstream's speed in log lines.
 *
 * @module
 */
import { type SpeedDescription } from "../../capacity/index.js";

const ROUNDING_FACTOR = 100;

function round(value: number): number {
    return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

/** Returns log fields with an upstream's slowdown and what it rests on; none where the upstream reports no figure. */
export function describeSpeed(speed: SpeedDescription | undefined): Record<string, number> {
    return speed === undefined ? {} : {
        slowdown: round(speed.slowdown),
        usualSlowdown: round(speed.usualSlowdown),
        slowdownDoubt: round(speed.doubt),
        slowdownAgeMilliseconds: Math.round(speed.reportAgeMilliseconds),
    };
}
