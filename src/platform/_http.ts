/**
 * HTTP calls on the platform, with failures told apart by whether the service can have seen the call.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import {
    describeError,
    failedBeforeSending,
    ranOutOfTime,
    readLimited,
    type RenewableAgent,
} from "../transport/index.js";
import { type PlatformError } from "./types.js";

const FIRST_ERROR_STATUS = 400;
const LONGEST_ERROR_TEXT = 300;

/** Options of one call. */
export interface PlatformCall<Schema extends z.ZodType> {
    readonly agent: RenewableAgent;
    readonly origin: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: unknown;
    readonly schema: Schema;
    readonly timeoutMilliseconds: number;
    readonly maximumAnswerBytes: number;
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
 * const answer = await callPlatform({ agent, origin, path: "/v1/hosts", method: "GET", schema, ...bounds });
 * ```
 */
export async function callPlatform<Schema extends z.ZodType>(
    call: PlatformCall<Schema>,
): Promise<Result<z.infer<Schema>, PlatformError>> {
    const agent = call.agent.current;
    try {
        const answer = await agent.request({
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
        if (ranOutOfTime(error)) {
            call.agent.retire(agent);
        }
        const kind = failedBeforeSending(error) ? "not-sent" : "no-answer";
        return Err({ kind, message: describeError(error) });
    }
}
