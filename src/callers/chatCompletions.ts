/**
 * Answers chat completions requests, streamed or whole.
 *
 * @module
 */
import { type Refusal } from "../generated/callers.js";
import { type ParsedChatRequest } from "./chatRequest.js";
import { createEventStream, type EventStream } from "./eventStream.js";
import { createRefusal, renderRefusal } from "./refusals.js";
import { type AnswerSink, type CallerHandlers, type Cancellable } from "./types.js";

/** How long the headers of a stream wait for its first token or refusal. */
const HEADERS_WAIT_MILLISECONDS = 2000;
const KEEP_ALIVE_MILLISECONDS = 5000;
const EVENT_STREAM_HEADERS = { "content-type": "text/event-stream", "cache-control": "no-store" };

/** Options of `answerChatRequest`. */
export interface AnswerOptions {
    /** Ends with the caller's connection. */
    readonly signal: AbortSignal;
    /** How long a caller may leave written events unread. */
    readonly slowCallerMilliseconds: number;
}

/**
 * Submits a chat request and answers it.
 *
 * A refusal that comes before the headers is an HTTP error; later ones are the last event of the stream.
 *
 * @param parsed The checked request.
 * @param handlers The tasks that serve it.
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
    return parsed.stream ? answerStreamed(parsed, handlers, options) : answerWhole(parsed, handlers, options);
}

function answerWhole(parsed: ParsedChatRequest, handlers: CallerHandlers, options: AnswerOptions): Promise<Response> {
    return new Promise(resolve => {
        const parts: string[] = [];
        const running = handlers.submit(parsed, {
            tokens: part => void parts.push(part.text),
            finished: end => resolve(renderWholeAnswer(parsed, parts.join(""), end)),
            refused: refusal => resolve(renderRefusal(refusal)),
        });
        options.signal.addEventListener("abort", () => running.cancel(), { once: true });
    });
}

function renderWholeAnswer(
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
                    onGone: cause => {
                        running.cancel();
                        if (cause === "too-slow") {
                            handlers.refused(
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

        const running: Cancellable = handlers.submit(parsed, {
            tokens: part => openStream().tokens(part),
            finished: end => openStream().finish(end.finishReason),
            refused: refuse,
        });
        options.signal.addEventListener("abort", () => {
            clearTimeout(headersTimer);
            running.cancel();
        }, { once: true });
    });
}
