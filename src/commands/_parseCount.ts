/**
 * Reads counts given on the command line.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type CommandOutcome, fail } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/**
 * Reads an option that is a count.
 *
 * @param option Name of the option.
 * @param text What was given; `undefined` where the option is missing.
 */
export function parseCount(option: string, text: string | undefined): Result<number | undefined, CommandOutcome> {
    if (text === undefined) {
        return new Ok(undefined);
    }
    const message = `${option} takes a whole number from 0 (found ${text})`;
    return /^[0-9]{1,15}$/.test(text) ? new Ok(Number(text)) : new Err(fail(EXIT_CODES.usage, "usage", message));
}
