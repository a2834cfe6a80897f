/**
 * Parses counts given on the command line.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type CommandOutcome, createFailure } from "./_operatorCommand.js";
import { EXIT_CODES } from "./exitCodes.js";

/**
 * Parses an option whose value is a count.
 *
 * @param option Name of the option.
 * @param text Value of the option; `undefined` where the option is missing.
 */
export function parseCount(option: string, text: string | undefined): Result<number | undefined, CommandOutcome> {
    if (text === undefined) {
        return new Ok(undefined);
    }
    const message = `${option} takes a whole number from 0 (found ${text})`;
    return /^[0-9]{1,15}$/.test(text)
        ? new Ok(Number(text))
        : new Err(createFailure(EXIT_CODES.usage, "usage", message));
}
