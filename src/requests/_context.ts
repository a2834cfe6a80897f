/**
 * State shared by the modules of the requests decision, and operations that several of them use.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type RefusalReason } from "../generated/callers.js";
import { type Catalog } from "./_catalog.js";
import { type EngineView } from "./_engineView.js";
import { type Quarantine } from "./_quarantine.js";
import { type RequestQueue } from "./_queue.js";
import { type RetryBudget } from "./_retryBudget.js";
import { type ServiceTimes } from "./_serviceTimes.js";
import { type TrackedRequest } from "./_trackedRequest.js";
import { type Trials } from "./_trials.js";
import { type RequestsEffect } from "./messages.js";

/** Chooses one of the engines that can accept the request; `undefined` for none. */
export type ChooseEngine = (candidates: readonly RoutingCandidate[], tracked: TrackedRequest) => string | undefined;

/** An engine that can accept a request now. */
export interface RoutingCandidate {
    readonly engine: string;
    readonly load: number;
    readonly slots: number;
    /** Number of the request's prefixes, by increasing length, that the engine probably has cached. */
    readonly prefixMatch: number;
}

/** State of one host's requests decision. */
export interface Context {
    readonly host: string;
    readonly random: RandomSource;
    readonly maximumQueuedRequests: number;
    readonly chooseEngine: ChooseEngine;
    readonly requests: Map<string, TrackedRequest>;
    /** Requests that are running or await the crash determination of their engine, by fingerprint. */
    readonly inFlight: Map<string, Set<TrackedRequest>>;
    /** Recently cancelled attempts that may still have been running on their engines. */
    cancelledAttempts: readonly CancelledAttempt[];
    readonly awaitingVerdict: Set<TrackedRequest>;
    readonly awaitingTrial: Set<TrackedRequest>;
    readonly queue: RequestQueue;
    readonly view: EngineView;
    readonly budget: RetryBudget;
    readonly quarantine: Quarantine;
    readonly trials: Trials;
    readonly serviceTimes: ServiceTimes;
    /** Dispatch credit of aged patient requests, by model; at 1 one of them is dispatched. */
    readonly agedDispatchCredits: Map<string, number>;
    /** When each adapter was last requested, by `model:adapter`. */
    readonly adapterRequestTimes: Map<string, number>;
    catalog: Catalog | undefined;
    peers: readonly string[];
    leaving: boolean;
    nowMilliseconds: number;
    lastPeriodicShareAtMilliseconds: number;
    /** Effects of the message that is being handled. */
    effects: RequestsEffect[];
}

export interface CancelledAttempt {
    readonly fingerprint: string;
    readonly engine: string;
    readonly incarnation: string | undefined;
    readonly cancelledAtMilliseconds: number;
}

/** Details of a refusal, the final answer to a request without a result. */
export interface RefusalDetails {
    readonly reason: RefusalReason;
    readonly message: string;
    /** Missing where a retry cannot succeed. */
    readonly retryAfterMilliseconds?: number;
}

/** Returns a random name that is practically unique. */
export function drawName(random: RandomSource): string {
    return Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
}

/** Adds up to half of a retry delay as jitter, so that refused callers do not all retry at once. */
export function addJitter(context: Context, milliseconds: number): number {
    return Math.ceil(milliseconds * (1 + context.random() / 2));
}

/** Refuses a request, which is its final answer. */
export function refuse(context: Context, tracked: TrackedRequest, details: RefusalDetails): void {
    const ran = tracked.mayHaveRun ? "may-have-run" : "not-run";
    context.effects.push({ type: "refuse", identifier: tracked.request.identifier, ran, ...details });
    endRequest(context, tracked, false);
}

/** Removes a request that has its final answer or whose caller disconnected, and reports its end. */
export function endRequest(context: Context, tracked: TrackedRequest, withinTarget: boolean): void {
    const { request } = tracked;
    clearPhase(context, tracked);
    context.requests.delete(request.identifier);
    const answeredAt = tracked.firstTokenAtMilliseconds ?? context.nowMilliseconds;
    context.effects.push({
        type: "ended",
        identifier: request.identifier,
        model: request.model,
        ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
        class: request.class,
        withinTarget,
        waitedMilliseconds: answeredAt - tracked.submittedAtMilliseconds,
    });
}

/** Releases the slot that this host counts for a request on its engine. */
export function releaseSlot(context: Context, tracked: TrackedRequest): void {
    if (tracked.engine !== undefined) {
        context.view.recordAttemptEnd(tracked.engine, context.nowMilliseconds);
    }
}

/** Removes a request from the queue and from the sets of waiting and in-flight requests. */
export function clearPhase(context: Context, tracked: TrackedRequest): void {
    context.queue.remove(tracked);
    context.awaitingVerdict.delete(tracked);
    context.awaitingTrial.delete(tracked);
    const sameFingerprint = context.inFlight.get(tracked.request.fingerprint);
    sameFingerprint?.delete(tracked);
    if (sameFingerprint?.size === 0) {
        context.inFlight.delete(tracked.request.fingerprint);
    }
}

/** Records that an engine executes a request, or may have been executing it when its connection was lost. */
export function markInFlight(context: Context, tracked: TrackedRequest): void {
    const sameFingerprint = context.inFlight.get(tracked.request.fingerprint) ?? new Set();
    context.inFlight.set(tracked.request.fingerprint, sameFingerprint.add(tracked));
}

/** Returns whether the engine process that a request was sent to is known to have ended. */
export function hasCrashed(context: Context, tracked: TrackedRequest): boolean {
    const { engine, incarnation } = tracked;
    return engine !== undefined && incarnation !== undefined && context.view.hasEnded(engine, incarnation);
}

/** Queues a request; it is not dispatched before the given time, such as the end of its backoff. */
export function enqueue(context: Context, tracked: TrackedRequest, notBeforeMilliseconds: number): void {
    clearPhase(context, tracked);
    tracked.phase = "queued";
    tracked.notBeforeMilliseconds = notBeforeMilliseconds;
    context.queue.add(tracked);
}

/** Sends a request to an engine. */
export function dispatch(context: Context, tracked: TrackedRequest, engine: string): void {
    const { nowMilliseconds, view } = context;
    const state = view.get(engine);
    clearPhase(context, tracked);
    markInFlight(context, tracked);
    tracked.phase = "running";
    tracked.attempts += 1;
    tracked.engine = engine;
    tracked.incarnation = state.residency?.incarnation ?? state.incarnation;
    tracked.dispatchedAtMilliseconds = nowMilliseconds;
    view.recordAttemptStart(engine, nowMilliseconds);
    for (const prefixKey of tracked.request.prefixKeys) {
        state.prefixes.add(prefixKey);
    }
    if (tracked.retryReason !== undefined) {
        context.effects.push({ type: "count-retry", reason: tracked.retryReason, model: tracked.request.model });
        tracked.retryReason = undefined;
    }
    context.effects.push({
        type: "dispatch",
        identifier: tracked.request.identifier,
        attempt: tracked.attempts,
        engine,
        resumeAtToken: tracked.deliveredTokens,
        class: hasUrgentPriority(context, tracked) ? "urgent" : "patient",
    });
}

/** Returns whether a request has urgent priority: it is urgent, has aged, or its host is leaving. */
export function hasUrgentPriority(context: Context, tracked: TrackedRequest): boolean {
    return tracked.request.class === "urgent" || context.leaving
        || context.nowMilliseconds >= tracked.agedAtMilliseconds;
}
