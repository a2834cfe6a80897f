/**
 * Structured log: one JSON object per line on standard error.
 *
 * @module
 */
import winston from "winston";
import { type Log } from "../generated/settings.js";

/** Fields of a log line other than its level, time and message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines. */
export interface Logger {
    error(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    debug(message: string, fields?: LogFields): void;
    /** Flushes buffered lines. */
    close(): void;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
    /** Least severe level that is written. */
    readonly level: Log["level"];
    /** Fields of every line, such as the host's name. */
    readonly fields: LogFields;
}

/**
 * Creates a logger that writes to standard error.
 *
 * @param options The least severe level, and the fields of every line.
 *
 * @example
 * ```ts
 * const logger = createLogger({ level: "info", fields: { host: "entry-1" } });
 * logger.info("request refused", { request: "r-17", reason: "queue-full" });
 * ```
 */
export function createLogger(options: LoggerOptions): Logger {
    const winstonLogger = winston.createLogger({
        level: options.level,
        defaultMeta: options.fields,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston's types do not fit its own transport
        transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    return {
        error: (message, fields) => void winstonLogger.error(message, fields),
        warn: (message, fields) => void winstonLogger.warn(message, fields),
        info: (message, fields) => void winstonLogger.info(message, fields),
        debug: (message, fields) => void winstonLogger.debug(message, fields),
        close: () => void winstonLogger.close(),
    };
}
