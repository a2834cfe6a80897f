/**
 * State that the parts of the requests decision share, and the few steps that all of them take.
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

/** Chooses an engine out of candidates that all may take the request; `undefined` for none. */
export type ChooseEngine = (candidates: readonly RoutingCandidate[], tracked: TrackedRequest) => string | undefined;

/** An engine that may take a request now. */
export interface RoutingCandidate {
    readonly engine: string;
    readonly load: number;
    readonly slots: number;
    /** How many of the request's ever longer prefixes the engine probably has cached. */
    readonly prefixMatch: number;
}

/** State of one host's requests decision. */
export interface Context {
    readonly host: string;
    readonly random: RandomSource;
    readonly queuedRequests: number;
    readonly chooseEngine: ChooseEngine;
    readonly requests: Map<string, TrackedRequest>;
    /** Requests that are running or await the verdict on their engine, by fingerprint. */
    readonly inFlight: Map<string, Set<TrackedRequest>>;
    /** Attempts that were cancelled lately, and that their engines may still have had. */
    stopped: readonly StoppedAttempt[];
    readonly awaitingVerdict: Set<TrackedRequest>;
    readonly awaitingTrial: Set<TrackedRequest>;
    readonly queue: RequestQueue;
    readonly view: EngineView;
    readonly budget: RetryBudget;
    readonly quarantine: Quarantine;
    readonly trials: Trials;
    readonly times: ServiceTimes;
    readonly agedShares: Map<string, number>;
    readonly adaptersWanted: Map<string, number>;
    catalog: Catalog | undefined;
    peers: readonly string[];
    leaving: boolean;
    nowMilliseconds: number;
    sharedAtMilliseconds: number;
    /** Effects of the message that is being handled. */
    effects: RequestsEffect[];
}

/** An attempt that was cancelled. */
export interface StoppedAttempt {
    readonly fingerprint: string;
    readonly engine: string;
    readonly incarnation: string | undefined;
    readonly atMilliseconds: number;
}

/** A final answer without a result. */
export interface RefusalDetails {
    readonly reason: RefusalReason;
    readonly message: string;
    /** Missing where a repeat cannot help. */
    readonly retryAfterMilliseconds?: number;
}

/** Draws a name that is not drawn again. */
export function drawName(random: RandomSource): string {
    return Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
}

/** Spreads the times at which refused callers come back. */
export function spread(context: Context, milliseconds: number): number {
    return Math.ceil(milliseconds * (1 + context.random() / 2));
}

/** Gives a request its final answer without a result. */
export function refuse(context: Context, tracked: TrackedRequest, details: RefusalDetails): void {
    const ran = tracked.mayHaveRun ? "may-have-run" : "not-run";
    context.effects.push({ type: "refuse", identifier: tracked.request.identifier, ran, ...details });
    end(context, tracked, false);
}

/** Forgets a request that has its final answer, or whose caller has gone. */
export function end(context: Context, tracked: TrackedRequest, withinTarget: boolean): void {
    const { request } = tracked;
    leavePhase(context, tracked);
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

/** Takes a request off its engine in this host's books. */
export function releaseEngine(context: Context, tracked: TrackedRequest): void {
    if (tracked.engine !== undefined) {
        context.view.recordStop(tracked.engine, context.nowMilliseconds);
    }
}

/** Takes a request out of whatever it waits in. */
export function leavePhase(context: Context, tracked: TrackedRequest): void {
    context.queue.remove(tracked);
    context.awaitingVerdict.delete(tracked);
    context.awaitingTrial.delete(tracked);
    const alike = context.inFlight.get(tracked.request.fingerprint);
    alike?.delete(tracked);
    if (alike?.size === 0) {
        context.inFlight.delete(tracked.request.fingerprint);
    }
}

/** Notes that an engine has a request, or had it when its connection was lost. */
export function markInFlight(context: Context, tracked: TrackedRequest): void {
    const alike = context.inFlight.get(tracked.request.fingerprint) ?? new Set();
    context.inFlight.set(tracked.request.fingerprint, alike.add(tracked));
}

/** Tells whether the engine process that a request was sent to is known to have ended. */
export function hasCrashed(context: Context, tracked: TrackedRequest): boolean {
    const { engine, incarnation } = tracked;
    return engine !== undefined && incarnation !== undefined && context.view.hasEnded(engine, incarnation);
}

/** Puts a request into the queue, for now or for after its backoff. */
export function enqueue(context: Context, tracked: TrackedRequest, notBeforeMilliseconds: number): void {
    leavePhase(context, tracked);
    tracked.phase = "queued";
    tracked.notBeforeMilliseconds = notBeforeMilliseconds;
    context.queue.add(tracked);
}

/** Sends a request to an engine. */
export function dispatch(context: Context, tracked: TrackedRequest, engine: string): void {
    const { nowMilliseconds, view } = context;
    const state = view.get(engine);
    leavePhase(context, tracked);
    markInFlight(context, tracked);
    tracked.phase = "running";
    tracked.attempts += 1;
    tracked.engine = engine;
    tracked.incarnation = state.residency?.incarnation ?? state.incarnation;
    tracked.dispatchedAtMilliseconds = nowMilliseconds;
    view.recordStart(engine, nowMilliseconds);
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
        class: isUrgentNow(context, tracked) ? "urgent" : "patient",
    });
}

/** Tells whether a request no longer gives way to others: urgent, aged, or on a host that leaves. */
export function isUrgentNow(context: Context, tracked: TrackedRequest): boolean {
    return tracked.request.class === "urgent" || context.leaving
        || context.nowMilliseconds >= tracked.agedAtMilliseconds;
}
