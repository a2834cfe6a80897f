/**
 * Logs of decisions: one JSON object a line on standard output, bounded in rate and never blocking.
 *
 * @module
 */
import { Writable } from "node:stream";
import winston from "winston";
import { BoundedOutput } from "./boundedOutput.js";
import { type LogFields, type Logger } from "./logger.js";

const STANDARD_OUTPUT = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Lines a second beyond which information is left out and counted. */
const DEFAULT_LINES_PER_SECOND = 400;

/** Options of `createDecisionLog`. */
export interface DecisionLogOptions {
    /** Fields on every line, such as the host's name. */
    readonly fields: LogFields;
    /** Default: 400. */
    readonly linesPerSecond?: number;
    readonly fileDescriptor?: number;
}

function createOutput(options: DecisionLogOptions): BoundedOutput {
    return new BoundedOutput({
        fileDescriptor: options.fileDescriptor ?? STANDARD_OUTPUT,
        describeDropped: count =>
            `${JSON.stringify({ ...options.fields, level: "warn", message: "log lines left out", count })}\n`,
    });
}

/** Counts lines by the second; information beyond the bound is left out. */
class RateBound {
    readonly #linesPerSecond: number;
    #second = 0;
    #lines = 0;
    #leftOut = 0;

    constructor(linesPerSecond: number) {
        this.#linesPerSecond = linesPerSecond;
    }

    /** Tells whether one more line fits, and how many were left out in the second before. */
    admit(): { readonly admitted: boolean; readonly leftOutBefore: number; } {
        const second = Math.floor(performance.now() / MILLISECONDS_PER_SECOND);
        let leftOutBefore = 0;
        if (second !== this.#second) {
            leftOutBefore = this.#leftOut;
            this.#second = second;
            this.#lines = 0;
            this.#leftOut = 0;
        }
        this.#lines += 1;
        const admitted = this.#lines <= this.#linesPerSecond;
        this.#leftOut += admitted ? 0 : 1;
        return { admitted, leftOutBefore };
    }
}

/**
 * Creates a log of decisions on standard output.
 *
 * @param options Fields of every line, and the bound on their rate.
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
    const stream = new Writable({
        decodeStrings: false,
        write: (line: string, _encoding, callback) => {
            output.write(line);
            callback();
        },
    });
    const inner = winston.createLogger({
        level: "debug",
        defaultMeta: options.fields,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston types its own transport so
        transports: [new winston.transports.Stream({ stream, eol: "\n" })],
    });
    const bound = new RateBound(options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND);
    const log = (level: "error" | "warn" | "info" | "debug", message: string, fields?: LogFields): void => {
        const { admitted, leftOutBefore } = bound.admit();
        if (leftOutBefore > 0) {
            inner.warn("log lines left out", { count: leftOutBefore, reason: "rate" });
        }
        if (admitted || level === "error") {
            inner.log(level, message, fields);
        }
    };
    return {
        error: (message, fields) => log("error", message, fields),
        warn: (message, fields) => log("warn", message, fields),
        info: (message, fields) => log("info", message, fields),
        debug: (message, fields) => log("debug", message, fields),
        close: () => {
            inner.close();
            output.close();
        },
    };
}
