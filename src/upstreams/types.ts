/**
 * What this project uses of upstreams: model engines and plain services.
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

/** Why a call on an upstream has no answer. */
export interface UpstreamError {
    /** `not-sent`: no byte can have reached the upstream. `no-answer`: it may have run. */
    readonly kind: "not-sent" | "no-answer" | "rejected" | "invalid";
    readonly message: string;
}

/** A part of an engine's streamed answer. */
export type CompletionEvent =
    /** One or more tokens; `index` is that of the first, counted from the start of the whole answer. */
    | { readonly type: "tokens"; readonly index: number; readonly count: number; readonly text: string; }
    /** The end marker was seen, so the answer is whole. */
    | { readonly type: "finished"; readonly finishReason: string; readonly totalTokens: number; }
    /** The attempt ended without an end marker; always the last event. */
    | { readonly type: "failed"; readonly failure: AttemptFailure; readonly message: string; };

/** Options of one completion. */
export interface CompletionOptions {
    /** Sent as `x-request-id`; the engine repeats it as the `id` of each chunk. */
    readonly identifier: string;
    /** The caller's body, as checked. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly priority: "urgent" | "patient";
    /** Tokens that the caller already has; sent as the body's `resume_offset`. */
    readonly resumeAtToken: number;
    /** Longest time without a byte before the attempt fails as `silent`. */
    readonly silenceMilliseconds: number;
    readonly onEvent: (event: CompletionEvent) => void;
}

/** A running completion. */
export interface Completion {
    /** Stops the attempt and tells the engine; no event follows. */
    cancel(): void;
}

/** One model engine. */
export interface EngineClient {
    complete(options: CompletionOptions): Completion;
    /** Sends an order on a connection whose first answer named this incarnation, never on a newer one. */
    sendOrder(order: EngineOrder, incarnation: string): Promise<Result<EngineOrderAnswer, UpstreamError>>;
    readReport(): Promise<Result<EngineReport, UpstreamError>>;
    /** Reads changes of the prefix cache after a sequence; a gap between sequences means that some were lost. */
    readCacheEvents(after: number): Promise<Result<CacheEvents, UpstreamError>>;
    close(): Promise<void>;
}

/** One call of a plain service. */
export interface PlainCallOptions {
    readonly call: string;
    readonly key: string;
    readonly body: string;
    readonly contentType: string;
    readonly timeoutMilliseconds: number;
}

/** Calls plain services; never sends a call twice. */
export interface PlainServiceClient {
    call(url: string, options: PlainCallOptions): Promise<Result<OrderResult, UpstreamError>>;
    close(): Promise<void>;
}
