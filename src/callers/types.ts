/**
 * Interfaces between the HTTP API for callers and the tasks that execute requests.
 *
 * @module
 */
import { type AddressesAnswer, type Refusal } from "../generated/callers.js";
import { type Deployment } from "../generated/deployment.js";
import { type OrderOutcome } from "../generated/peers.js";
import { type ParsedChatRequest } from "./chatRequest.js";

/** Receives one answer in parts; the last call is either `finished` or `refused`, exactly once. */
export interface AnswerSink {
    /** Receives tokens; `index` is the position of the first one in the whole answer. */
    tokens(part: { readonly index: number; readonly count: number; readonly text: string; }): void;
    finished(end: { readonly finishReason: string; readonly totalTokens: number; }): void;
    refused(refusal: Refusal): void;
}

/** An order as received from a caller. */
export interface CallerOrder {
    readonly key: string | undefined;
    readonly service: string;
    readonly call: string;
    readonly body: string;
    readonly contentType: string;
}

/** A running request or order, cancelled when its caller disconnects. */
export interface Cancellable {
    cancel(): void;
}

/** Handlers of the requests that callers and operators send. */
export interface CallerHandlers {
    /** Returns the deployment in force; `undefined` before the first. */
    deployment(): Deployment | undefined;
    /** Returns the refusal for all new work while this host accepts none; `undefined` otherwise. */
    newWorkRefusal(): Refusal | undefined;
    submit(request: ParsedChatRequest, sink: AnswerSink): Cancellable;
    order(order: CallerOrder, onOutcome: (outcome: OrderOutcome) => void): Cancellable;
    addresses(caller: { readonly zone: string | undefined; readonly region: string | undefined; }): AddressesAnswer;
    status(): Readonly<Record<string, unknown>>;
    drain(): void;
    createIdentifier(): string;
    recordRefusal(refusal: Refusal): void;
}
