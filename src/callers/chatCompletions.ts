/**
 * Answers chat completions requests, as a stream or in one body.
 *
 * @module
 */
import { type Refusal } from "../generated/callers.js";
import { type ParsedChatRequest } from "./chatRequest.js";
import { createEventStream, type EventStream } from "./eventStream.js";
import { createRefusal, renderRefusal } from "./refusals.js";
import { type AnswerSink, type CallerHandlers, type Cancellable } from "./types.js";

/** Maximum time that a stream's headers wait for the first token or a refusal, which needs an error status. */
const HEADERS_WAIT_MILLISECONDS = 2000;
const KEEP_ALIVE_MILLISECONDS = 5000;
const EVENT_STREAM_HEADERS = { "content-type": "text/event-stream", "cache-control": "no-store" };

/** Options of `answerChatRequest`. */
export interface AnswerOptions {
    /** Aborted when the caller's connection closes. */
    readonly signal: AbortSignal;
    /** Maximum time that a caller may leave written events unread. */
    readonly slowCallerMilliseconds: number;
}

/**
 * Submits a chat request and answers it.
 *
 * A refusal before the headers are sent is an HTTP error; a later one is the last event of the stream.
 *
 * @param parsed The checked request.
 * @param handlers The handlers that execute it.
 * @param options The caller's connection and limits.
 *
 * @example
 * ```ts
 * const response = await answerChatRequest(parsed, handlers, { signal, slowCallerMilliseconds: 30_000 });
 * ```
 */
export function answerChatRequest(
    parsed: ParsedChatRequest,
    handlers: CallerHandlers,
    options: AnswerOptions,
): Promise<Response> {
    return parsed.stream ? answerStreamed(parsed, handlers, options) : answerInOneBody(parsed, handlers, options);
}

function answerInOneBody(
    parsed: ParsedChatRequest,
    handlers: CallerHandlers,
    options: AnswerOptions,
): Promise<Response> {
    return new Promise(resolve => {
        const parts: string[] = [];
        const submission = handlers.submit(parsed, {
            tokens: part => void parts.push(part.text),
            finished: end => resolve(renderCompletion(parsed, parts.join(""), end)),
            refused: refusal => resolve(renderRefusal(refusal)),
        });
        options.signal.addEventListener("abort", () => submission.cancel(), { once: true });
    });
}

function renderCompletion(
    parsed: ParsedChatRequest,
    content: string,
    end: Parameters<AnswerSink["finished"]>[0],
): Response {
    return Response.json({
        id: parsed.request.identifier,
        object: "chat.completion",
        model: parsed.body.model,
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: end.finishReason }],
        usage: { completion_tokens: end.totalTokens },
    });
}

function answerStreamed(
    parsed: ParsedChatRequest,
    handlers: CallerHandlers,
    options: AnswerOptions,
): Promise<Response> {
    return new Promise(resolve => {
        let stream: EventStream | undefined;
        const headersTimer = setTimeout(() => void openStream(), HEADERS_WAIT_MILLISECONDS);

        function openStream(): EventStream {
            clearTimeout(headersTimer);
            if (stream === undefined) {
                stream = createEventStream({
                    identifier: parsed.request.identifier,
                    model: String(parsed.body.model),
                    keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS,
                    slowCallerMilliseconds: options.slowCallerMilliseconds,
                    onAbort: cause => {
                        submission.cancel();
                        if (cause === "too-slow") {
                            handlers.recordRefusal(
                                createRefusal("caller-too-slow", "written events stayed unread", {
                                    ran: "may-have-run",
                                }),
                            );
                        }
                    },
                });
                resolve(new Response(stream.body, { headers: EVENT_STREAM_HEADERS }));
            }
            return stream;
        }

        function refuse(refusal: Refusal): void {
            clearTimeout(headersTimer);
            if (stream === undefined) {
                resolve(renderRefusal(refusal));
                return;
            }
            stream.refuse(refusal);
        }

        const submission: Cancellable = handlers.submit(parsed, {
            tokens: part => openStream().tokens(part),
            finished: end => openStream().finish(end.finishReason),
            refused: refuse,
        });
        options.signal.addEventListener("abort", () => {
            clearTimeout(headersTimer);
            submission.cancel();
        }, { once: true });
    });
}
