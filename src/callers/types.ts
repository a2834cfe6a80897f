/**
 * What the callers' surface needs of the tasks behind it.
 *
 * @module
 */
import { type AddressesAnswer, type Refusal } from "../generated/callers.js";
import { type Deployment } from "../generated/deployment.js";
import { type OrderOutcome } from "../generated/peers.js";
import { type ParsedChatRequest } from "./chatRequest.js";

/** Receives one answer, part by part. Exactly one of `finished` and `refused` is called, last. */
export interface AnswerSink {
    /** Takes tokens; `index` is that of the first of them within the whole answer. */
    tokens(part: { readonly index: number; readonly count: number; readonly text: string; }): void;
    finished(end: { readonly finishReason: string; readonly totalTokens: number; }): void;
    refused(refusal: Refusal): void;
}

/** An order as a caller sent it. */
export interface CallerOrder {
    readonly key: string | undefined;
    readonly service: string;
    readonly call: string;
    readonly body: string;
    readonly contentType: string;
}

/** A running task that a caller may give up. */
export interface Cancellable {
    cancel(): void;
}

/** The tasks behind the callers' surface. */
export interface CallerHandlers {
    /** The deployment in force, or none before the first. */
    deployment(): Deployment | undefined;
    /** A refusal for all new work, while this host takes none. */
    closedFor(): Refusal | undefined;
    submit(request: ParsedChatRequest, sink: AnswerSink): Cancellable;
    order(order: CallerOrder, onOutcome: (outcome: OrderOutcome) => void): Cancellable;
    addresses(caller: { readonly zone: string | undefined; readonly region: string | undefined; }): AddressesAnswer;
    status(): Readonly<Record<string, unknown>>;
    drain(): void;
    createIdentifier(): string;
    refused(refusal: Refusal): void;
}
