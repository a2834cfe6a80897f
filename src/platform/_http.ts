/**
 * HTTP calls to the platform. The error of a failed call shows whether the service may have received it.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as z from "zod";
import { type AnswerFault, refuseBrokenResponse } from "../transport/answers/index.js";
import {
    describeError,
    failedBeforeSending,
    isTimeoutError,
    readLimited,
    type ReplaceableAgent,
} from "../transport/index.js";
import { describeFault, parseDocument } from "./parseDocument.js";
import { type PlatformError } from "./types.js";

const FIRST_ERROR_STATUS = 400;
const MAXIMUM_ERROR_TEXT_CHARACTERS = 300;

/** Options of one HTTP call. */
export interface PlatformCall<Schema extends z.ZodType> {
    readonly agent: ReplaceableAgent;
    readonly origin: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: unknown;
    readonly schema: Schema;
    readonly timeoutMilliseconds: number;
    readonly maximumAnswerBytes: number;
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken?: ((fault: AnswerFault) => void) | undefined;
}

function parseAnswer<Schema extends z.ZodType>(schema: Schema, text: string): Result<z.infer<Schema>, PlatformError> {
    try {
        const parsed = parseDocument(schema, JSON.parse(text));
        return parsed.success ? Ok(parsed.data) : Err({ kind: "invalid", message: describeFault(parsed.error) });
    }
    catch (error) {
        return Err({ kind: "invalid", message: describeError(error) });
    }
}

/**
 * Makes one call and checks its answer against a schema.
 *
 * A connection pool on which a call timed out is retired, so that an unresponsive connection is not reused.
 *
 * @param call Address, method, body and schema, and limits on time and size.
 * @returns The parsed answer, or an error.
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
        const fault = refuseBrokenResponse(answer);
        if (fault !== undefined) {
            call.onBroken?.(fault);
            return Err({ kind: "no-answer", message: `broken answer: ${fault}` });
        }
        const text = await readLimited(answer.body, call.maximumAnswerBytes);
        if (text === undefined) {
            return Err({ kind: "invalid", message: `answer larger than ${call.maximumAnswerBytes} bytes` });
        }
        if (answer.statusCode >= FIRST_ERROR_STATUS) {
            const message = `status ${answer.statusCode}: ${text.slice(0, MAXIMUM_ERROR_TEXT_CHARACTERS)}`;
            return Err({ kind: "rejected", message });
        }
        return parseAnswer(call.schema, text);
    }
    catch (error) {
        if (isTimeoutError(error)) {
            call.agent.retire(agent);
        }
        const kind = failedBeforeSending(error) ? "not-sent" : "no-answer";
        return Err({ kind, message: describeError(error) });
    }
}
