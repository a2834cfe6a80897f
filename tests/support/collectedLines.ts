/**
 * Collects log lines in memory for tests.
 *
 * @module
 */
import { type LogFields, type Logger } from "../../src/observability/index.js";

/** One log line. */
export interface LoggedLine {
    readonly message: string;
    readonly fields: LogFields;
    /** When it was logged, by `performance.now()`. */
    readonly atMilliseconds: number;
}

/** Creates a logger that appends the lines of all levels to a list. */
export function createCollectingLogger(lines: LoggedLine[]): Logger {
    const add = (message: string, fields: LogFields = {}): void =>
        void lines.push({ message, fields, atMilliseconds: performance.now() });
    return { error: add, warn: add, info: add, debug: add, close: () => undefined };
}
