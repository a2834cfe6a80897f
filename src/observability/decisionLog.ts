/**
 * Log of an entry host's decisions: one JSON object per line on standard output, limited in rate and never blocking.
 *
 * @module
 */
import { BoundedOutput } from "./boundedOutput.js";
import { type LogFields, type Logger } from "./logger.js";

const STANDARD_OUTPUT = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Lines per second above which all but errors are dropped and counted. */
const DEFAULT_LINES_PER_SECOND = 400;

/** Options of `createDecisionLog`. */
export interface DecisionLogOptions {
    /** Fields of every line, such as the host's name. */
    readonly fields: LogFields;
    /** Lines per second above which all but errors are dropped and counted. Default: 400. */
    readonly linesPerSecond?: number | undefined;
    readonly fileDescriptor?: number;
}

function createOutput(options: DecisionLogOptions): BoundedOutput {
    return new BoundedOutput({
        fileDescriptor: options.fileDescriptor ?? STANDARD_OUTPUT,
        describeDropped: count =>
            `${JSON.stringify({ ...options.fields, level: "warn", message: "log lines left out", count })}\n`,
    });
}

/**
 * Renders a line by joining the JSON of its parts: merging objects takes longer than rendering a line.
 *
 * @param parts JSON of objects without a field in common.
 */
function renderLine(parts: readonly string[]): string {
    const fields = parts.map(json => json.slice(1, -1)).filter(part => part !== "");
    return `{${fields.join(",")}}\n`;
}

/** Counts the lines of each second, and those above the limit. */
class LineRateLimiter {
    readonly #linesPerSecond: number;
    #second = 0;
    #linesThisSecond = 0;
    #linesAboveLimit = 0;

    constructor(linesPerSecond: number) {
        this.#linesPerSecond = linesPerSecond;
    }

    /** Counts a line; returns whether it is within the limit, and on a new second how many of the last one were not. */
    admit(): { readonly admitted: boolean; readonly droppedBefore: number; } {
        const second = Math.floor(performance.now() / MILLISECONDS_PER_SECOND);
        let droppedBefore = 0;
        if (second !== this.#second) {
            droppedBefore = this.#linesAboveLimit;
            this.#second = second;
            this.#linesThisSecond = 0;
            this.#linesAboveLimit = 0;
        }
        this.#linesThisSecond += 1;
        const admitted = this.#linesThisSecond <= this.#linesPerSecond;
        this.#linesAboveLimit += admitted ? 0 : 1;
        return { admitted, droppedBefore };
    }
}

/**
 * Creates a decision log, by default on standard output.
 *
 * @param options Fields of every line, and the rate limit.
 *
 * @example
 * ```ts
 * const log = createDecisionLog({ fields: { host: "entry-1" } });
 * log.info("request refused", { request: "9c41d07b", reason: "all-full" });
 * log.close();
 * ```
 */
export function createDecisionLog(options: DecisionLogOptions): Logger {
    const output = createOutput(options);
    const commonFields = JSON.stringify(options.fields);
    const write = (level: string, message: string, fields: LogFields = {}): void => {
        const standardFields = JSON.stringify({ level, message, timestamp: new Date().toISOString() });
        output.write(renderLine([commonFields, JSON.stringify(fields), standardFields]));
    };
    const rateLimiter = new LineRateLimiter(options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND);
    const log = (level: "error" | "warn" | "info" | "debug", message: string, fields?: LogFields): void => {
        const { admitted, droppedBefore } = rateLimiter.admit();
        if (droppedBefore > 0) {
            write("warn", "log lines left out", { count: droppedBefore, reason: "rate" });
        }
        if (admitted || level === "error") {
            write(level, message, fields);
        }
    };
    return {
        error: (message, fields) => log("error", message, fields),
        warn: (message, fields) => log("warn", message, fields),
        info: (message, fields) => log("info", message, fields),
        debug: (message, fields) => log("debug", message, fields),
        close: () => output.close(),
    };
}
