/**
 * HTTP calls on the platform, with failures told apart by whether the service can have seen the call.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type Dispatcher } from "undici";
import { type z } from "zod";
import { type PlatformError } from "./types.js";

const FIRST_ERROR_STATUS = 400;
const LONGEST_ERROR_TEXT = 300;

/** Options of one call. */
export interface PlatformCall<Schema extends z.ZodType> {
    readonly dispatcher: Dispatcher;
    readonly origin: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: unknown;
    readonly schema: Schema;
    readonly timeoutMilliseconds: number;
    readonly maximumAnswerBytes: number;
}

/**
 * Tells whether a call failed before any of its bytes can have reached the service.
 *
 * Only a connection that was never made proves that; an open connection that ends proves nothing.
 *
 * @param error What the call was rejected with.
 *
 * @example
 * ```ts
 * const kind = failedBeforeSending(error) ? "not-sent" : "no-answer";
 * ```
 */
export function failedBeforeSending(error: unknown): boolean {
    const { code, syscall } = error as { readonly code?: unknown; readonly syscall?: unknown; };
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}

/** Describes an error in one line. */
export function describeError(error: unknown): string {
    return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

async function readLimited(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<string | undefined> {
    const parts: Buffer[] = [];
    let size = 0;
    for await (const part of body) {
        size += part.length;
        if (size > maximumBytes) {
            return undefined;
        }
        parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
}

function parseAnswer<Schema extends z.ZodType>(schema: Schema, text: string): Result<z.infer<Schema>, PlatformError> {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? Ok(parsed.data) : Err({ kind: "invalid", message: parsed.error.message });
    }
    catch (error) {
        return Err({ kind: "invalid", message: describeError(error) });
    }
}

/**
 * Makes one call and checks its answer against a schema.
 *
 * @param call Where to, what with, and the bounds on time and size.
 * @returns The answer, or why there is none.
 *
 * @example
 * ```ts
 * const answer = await callPlatform({ dispatcher, origin, path: "/v1/hosts", method: "GET", schema, ...bounds });
 * ```
 */
export async function callPlatform<Schema extends z.ZodType>(
    call: PlatformCall<Schema>,
): Promise<Result<z.infer<Schema>, PlatformError>> {
    try {
        const answer = await call.dispatcher.request({
            origin: call.origin,
            path: call.path,
            method: call.method,
            ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
            headers: { "content-type": "application/json" },
            signal: AbortSignal.timeout(call.timeoutMilliseconds),
        });
        const text = await readLimited(answer.body, call.maximumAnswerBytes);
        if (text === undefined) {
            return Err({ kind: "invalid", message: `an answer over ${call.maximumAnswerBytes} bytes` });
        }
        if (answer.statusCode >= FIRST_ERROR_STATUS) {
            const message = `status ${answer.statusCode}: ${text.slice(0, LONGEST_ERROR_TEXT)}`;
            return Err({ kind: "rejected", message });
        }
        return parseAnswer(call.schema, text);
    }
    catch (error) {
        const kind = failedBeforeSending(error) ? "not-sent" : "no-answer";
        return Err({ kind, message: describeError(error) });
    }
}
