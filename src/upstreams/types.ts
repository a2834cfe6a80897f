/**
 * Interfaces of the clients of upstreams: model engines and plain services.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import { type OrderResult } from "../generated/peers.js";
import {
    type CacheEvents,
    type EngineOrder,
    type EngineOrderAnswer,
    type EngineReport,
} from "../generated/upstreams.js";
import { type AttemptFailure } from "../requests/messages.js";

/** Error of a failed call to an upstream. */
export interface UpstreamError {
    /**
     * `not-sent`: no byte can have reached the upstream. `no-answer`: the call may have run. `rejected`: the upstream
     * answered with an error. `invalid`: the answer is too large, does not fit its schema, or names another incarnation
     * of the engine.
     */
    readonly kind: "not-sent" | "no-answer" | "rejected" | "invalid";
    readonly message: string;
}

/** A part of an engine's streamed answer. */
export type CompletionEvent =
    /** One or more tokens; `index` is that of the first, counted from the start of the complete answer. */
    | { readonly type: "tokens"; readonly index: number; readonly count: number; readonly text: string; }
    /** The end marker was received, so the answer is complete; always the last event. */
    | { readonly type: "finished"; readonly finishReason: string; readonly totalTokens: number; }
    /** The attempt failed or ended without an end marker; always the last event. */
    | { readonly type: "failed"; readonly failure: AttemptFailure; readonly message: string; };

/** Options of one completion. */
export interface CompletionOptions {
    /** Sent as `x-request-id`; the engine repeats it as the `id` of each chunk. */
    readonly identifier: string;
    /** The caller's body, after validation. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly priority: "urgent" | "patient";
    /** Number of tokens that the caller already has; sent as the body's `resume_offset`. */
    readonly resumeAtToken: number;
    /** Maximum time without received data; the attempt then fails as `silent`. */
    readonly silenceMilliseconds: number;
    readonly onEvent: (event: CompletionEvent) => void;
}

/** A running completion. */
export interface Completion {
    /** Aborts the attempt and sends the engine a cancellation; no event follows. */
    cancel(): void;
}

/** One model engine. */
export interface EngineClient {
    complete(options: CompletionOptions): Completion;
    /** Sends an order on a connection whose first answer named this incarnation; it cannot reach a newer one. */
    sendOrder(order: EngineOrder, incarnation: string): Promise<Result<EngineOrderAnswer, UpstreamError>>;
    readReport(): Promise<Result<EngineReport, UpstreamError>>;
    /** Reads changes of the prefix cache after a sequence number; a gap between numbers means that some were lost. */
    readCacheEvents(after: number): Promise<Result<CacheEvents, UpstreamError>>;
    close(): Promise<void>;
}

/** Options of one call to a plain service. */
export interface PlainCallOptions {
    /** Name of the call. */
    readonly call: string;
    /** Sent as `idempotency-key`. */
    readonly key: string;
    readonly body: string;
    readonly contentType: string;
    readonly timeoutMilliseconds: number;
}

/** Client of plain services; sends each call at most once. */
export interface PlainServiceClient {
    call(url: string, options: PlainCallOptions): Promise<Result<OrderResult, UpstreamError>>;
    close(): Promise<void>;
}
