/**
 * Log lines kept in memory, for tests.
 *
 * @module
 */
import { type LogFields, type Logger } from "../../src/observability/index.js";

/** One line that was logged. */
export interface LoggedLine {
    readonly message: string;
    readonly fields: LogFields;
}

/** Gives a logger that adds its lines of all levels to a list. */
export function collectLines(lines: LoggedLine[]): Logger {
    const add = (message: string, fields: LogFields = {}): void => void lines.push({ message, fields });
    return { error: add, warn: add, info: add, debug: add, close: () => undefined };
}
