/**
 * Structured logs, one JSON object a line on standard error.
 *
 * @module
 */
import winston from "winston";
import { type Log } from "../generated/settings.js";

/** Fields of a log line, besides its level, time and message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines. */
export interface Logger {
    error(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    debug(message: string, fields?: LogFields): void;
    /** Flushes what is buffered. */
    close(): void;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
    /** Lowest level written. */
    readonly level: Log["level"];
    /** Fields on every line, such as the host's name. */
    readonly fields: LogFields;
}

/**
 * Creates a logger that writes to standard error.
 *
 * @param options The lowest level, and fields that every line carries.
 *
 * @example
 * ```ts
 * const logger = createLogger({ level: "info", fields: { host: "entry-1" } });
 * logger.info("request refused", { request: "r-17", reason: "queue-full" });
 * ```
 */
export function createLogger(options: LoggerOptions): Logger {
    const inner = winston.createLogger({
        level: options.level,
        defaultMeta: options.fields,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston types its own transport so
        transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    return {
        error: (message, fields) => void inner.error(message, fields),
        warn: (message, fields) => void inner.warn(message, fields),
        info: (message, fields) => void inner.info(message, fields),
        debug: (message, fields) => void inner.debug(message, fields),
        close: () => void inner.close(),
    };
}
