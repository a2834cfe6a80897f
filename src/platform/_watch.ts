/**
 * Runs one watch stream of the key-value service.
 *
 * @module
 */
import { type AnswerFault, refuseBrokenResponse } from "../transport/answers/index.js";
import { describeError, type ReplaceableAgent } from "../transport/index.js";
import { decodeEntry, decodeText, encodeRangeEnd, encodeText, watchMessageSchema } from "./_gateway.js";
import { type WatchEvent, type WatchOptions } from "./types.js";

const FIRST_ERROR_STATUS = 400;

/** Options of one watch stream. */
export interface WatchStreamOptions extends WatchOptions {
    readonly agent: ReplaceableAgent;
    readonly origin: string;
    readonly prefix: string;
    /** The stream is closed after this long without data. */
    readonly idleTimeoutMilliseconds: number;
    readonly maximumMessageBytes: number;
    readonly onEvent: (event: WatchEvent) => void;
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken?: ((fault: AnswerFault) => void) | undefined;
    readonly signal: AbortSignal;
}

function createRequestBody(options: WatchStreamOptions): string {
    const start = options.fromRevision === undefined ? {} : { start_revision: String(options.fromRevision) };
    const key = encodeText(options.prefix);
    return JSON.stringify({
        create_request: { key, range_end: encodeRangeEnd(options.prefix), progress_notify: true, ...start },
    });
}

/** Reports the events of one message; returns the reason where the service canceled the watch. */
function handleMessage(line: string, options: WatchStreamOptions): string | undefined {
    const { result } = watchMessageSchema.parse(JSON.parse(line));
    if (result.created) {
        options.onStarted?.();
    }
    for (const { type, kv } of result.events) {
        const event: WatchEvent = type === "PUT"
            ? { type: "put", entry: decodeEntry(kv) }
            : { type: "delete", key: decodeText(kv.key), revision: kv.mod_revision };
        options.onEvent(event);
    }
    return result.canceled ? `canceled by the service: ${result.cancel_reason}` : undefined;
}

async function readMessages(body: AsyncIterable<Buffer>, options: WatchStreamOptions): Promise<string> {
    let pendingText = "";
    const decoder = new TextDecoder();
    for await (const part of body) {
        pendingText += decoder.decode(part, { stream: true });
        const lines = pendingText.split("\n");
        pendingText = lines.pop() ?? "";
        for (const line of lines.filter(line => line.trim() !== "")) {
            const endReason = handleMessage(line, options);
            if (endReason !== undefined) {
                return endReason;
            }
        }
        if (pendingText.length > options.maximumMessageBytes) {
            return `message larger than ${options.maximumMessageBytes} bytes`;
        }
    }
    return "the service closed the watch";
}

/**
 * Runs a watch until it ends.
 *
 * @param options Address, prefix and start of the watch, and limits on idle time and message size.
 * @returns The reason for which the watch ended.
 *
 * @example
 * ```ts
 * const reason = await runWatch({ agent, origin, prefix: "engine/", onEvent, signal, ...bounds });
 * ```
 */
export async function runWatch(options: WatchStreamOptions): Promise<string> {
    try {
        const answer = await options.agent.current.request({
            origin: options.origin,
            path: "/v3/watch",
            method: "POST",
            headers: { "content-type": "application/json" },
            body: createRequestBody(options),
            headersTimeout: options.idleTimeoutMilliseconds,
            bodyTimeout: options.idleTimeoutMilliseconds,
            signal: options.signal,
        });
        const fault = refuseBrokenResponse(answer);
        if (fault !== undefined) {
            options.onBroken?.(fault);
            return `broken answer: ${fault}`;
        }
        if (answer.statusCode >= FIRST_ERROR_STATUS) {
            await answer.body.dump();
            return `status ${answer.statusCode}`;
        }
        return await readMessages(answer.body, options);
    }
    catch (error) {
        return describeError(error);
    }
}
