/**
 * Logs of decisions: one JSON object a line on standard output, bounded in rate and never blocking.
 *
 * @module
 */
import winston from "winston";
import { BoundedOutput } from "./boundedOutput.js";
import { type LogFields, type Logger } from "./logger.js";

/** Where winston's formats leave the rendered line. */
const RENDERED_LINE = Symbol.for("message");

const STANDARD_OUTPUT = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Lines a second beyond which information is left out and counted. */
const DEFAULT_LINES_PER_SECOND = 400;

/** Options of `createDecisionLog`. */
export interface DecisionLogOptions {
    /** Fields on every line, such as the host's name. */
    readonly fields: LogFields;
    /** Lines a second beyond which all but errors are left out and counted. Default: 400. */
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

/** A line before it is rendered. Fields stay apart: joined objects take longer to make than a line to render. */
interface LineParts {
    readonly level: string;
    readonly message: string;
    readonly fields: LogFields;
}

/** Joins the rendered fields of every line, those of one line, and what each line has. */
const renderLine = winston.format((line, options) => {
    const { commonFields } = options as { readonly commonFields: string; };
    const { fields, level, message } = line as unknown as LineParts;
    const own = { level, message, timestamp: new Date().toISOString() };
    const rendered = [commonFields, JSON.stringify(fields), JSON.stringify(own)].map(json => json.slice(1, -1));
    line[RENDERED_LINE] = `{${rendered.filter(part => part !== "").join(",")}}\n`;
    return line;
});

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
    const format = renderLine({ commonFields: JSON.stringify(options.fields) });
    const write = (level: string, message: string, fields: LogFields = {}): void => {
        const line = format.transform({ level, message, fields }, format.options);
        output.write(String((line as winston.Logform.TransformableInfo)[RENDERED_LINE]));
    };
    const bound = new RateBound(options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND);
    const log = (level: "error" | "warn" | "info" | "debug", message: string, fields?: LogFields): void => {
        const { admitted, leftOutBefore } = bound.admit();
        if (leftOutBefore > 0) {
            write("warn", "log lines left out", { count: leftOutBefore, reason: "rate" });
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
