/**
 * Sends an answer as server-sent events in the published chat completions format.
 *
 * @module
 */
import { type Refusal } from "../generated/callers.js";

const END_MARKER = "data: [DONE]\n\n";
const KEEP_ALIVE_COMMENT = ": keep-alive\n\n";

/** Options of `createEventStream`. */
export interface EventStreamOptions {
    readonly identifier: string;
    readonly model: string;
    /** Time without an event after which a keep-alive comment is sent. */
    readonly keepAliveMilliseconds: number;
    /** Maximum time that written events may stay unread before the stream is aborted. */
    readonly slowCallerMilliseconds: number;
    /** Called once if the caller closes the connection or reads too slowly. */
    readonly onAbort: (cause: "closed" | "too-slow") => void;
}

/** A stream of events to one caller. */
export interface EventStream {
    readonly body: ReadableStream<Uint8Array>;
    tokens(part: { readonly index: number; readonly text: string; }): void;
    finish(finishReason: string): void;
    refuse(refusal: Refusal): void;
}

function renderChunk(options: EventStreamOptions, content: string, tokenIndex: number): string {
    const choice = { index: 0, delta: { content }, finish_reason: null };
    return renderEvent({
        id: options.identifier,
        object: "chat.completion.chunk",
        model: options.model,
        choices: [choice],
        token_index: tokenIndex,
    });
}

function renderLastChunk(options: EventStreamOptions, finishReason: string): string {
    const choice = { index: 0, delta: {}, finish_reason: finishReason };
    return renderEvent({
        id: options.identifier,
        object: "chat.completion.chunk",
        model: options.model,
        choices: [choice],
    });
}

function renderEvent(value: unknown): string {
    return `data: ${JSON.stringify(value)}\n\n`;
}

/**
 * Creates an event stream, which sends keep-alive comments while it is idle and aborts if the caller leaves written
 * events unread for too long.
 *
 * @param options Identifiers, time limits and the callback for an aborted stream.
 *
 * @example
 * ```ts
 * const stream = createEventStream(options);
 * stream.tokens({ index: 0, text: "Good morning" });
 * stream.finish("stop");
 * return new Response(stream.body, { headers: { "content-type": "text/event-stream" } });
 * ```
 */
export function createEventStream(options: EventStreamOptions): EventStream {
    const encoder = new TextEncoder();
    let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
    let open = true;
    let unreadSinceMilliseconds: number | undefined;
    let lastWriteAtMilliseconds = performance.now();

    const timer = setInterval(checkCaller, Math.min(options.keepAliveMilliseconds, options.slowCallerMilliseconds) / 2);
    const body = new ReadableStream<Uint8Array>({
        start: started => {
            controller = started;
        },
        pull: () => {
            unreadSinceMilliseconds = undefined;
        },
        cancel: () => end("closed"),
    });

    function end(cause: "closed" | "too-slow" | undefined): void {
        if (!open) {
            return;
        }
        open = false;
        clearInterval(timer);
        if (cause !== undefined) {
            options.onAbort(cause);
        }
    }

    function write(text: string): void {
        if (!open || controller === undefined) {
            return;
        }
        controller.enqueue(encoder.encode(text));
        lastWriteAtMilliseconds = performance.now();
        if ((controller.desiredSize ?? 0) <= 0) {
            unreadSinceMilliseconds ??= lastWriteAtMilliseconds;
        }
    }

    function checkCaller(): void {
        const nowMilliseconds = performance.now();
        if (
            unreadSinceMilliseconds !== undefined
            && nowMilliseconds - unreadSinceMilliseconds > options.slowCallerMilliseconds
        ) {
            controller?.error(new Error("the caller read the answer too slowly"));
            end("too-slow");
            return;
        }
        if (
            unreadSinceMilliseconds === undefined
            && nowMilliseconds - lastWriteAtMilliseconds >= options.keepAliveMilliseconds
        ) {
            write(KEEP_ALIVE_COMMENT);
        }
    }

    function close(): void {
        if (open) {
            end(undefined);
            controller?.close();
        }
    }

    return {
        body,
        tokens: part => write(renderChunk(options, part.text, part.index)),
        finish(finishReason) {
            write(renderLastChunk(options, finishReason));
            write(END_MARKER);
            close();
        },
        refuse(refusal) {
            write(renderEvent({ id: options.identifier, error: refusal }));
            close();
        },
    };
}
