/**
 * Dispatches waiting requests to engines, and refuses those past their deadline.
 *
 * @module
 */
import { noCopyReady, targetCannotBeMet, urgentDispatchDeadline } from "./_admission.js";
import { type Context, dispatch, hasUrgentPriority, refuse } from "./_context.js";
import { findRoute, listCopies, type Route } from "./_routing.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const AGED_DISPATCH_SHARE = 0.25;
const MAXIMUM_EXAMINED_REQUESTS = 64;
const ADAPTER_REQUEST_INTERVAL_MILLISECONDS = 100;
const STARTED_REQUEST_GRACE_MILLISECONDS = 60_000;

/**
 * Dispatches as many requests as engines have room for: urgent ones by deadline, with a share for aged patient ones,
 * then the other patient ones.
 */
export function dispatchQueued(context: Context): void {
    for (const model of context.queue.listModels("urgent")) {
        dispatchUrgent(context, model);
    }
    for (const model of context.queue.listModels("patient")) {
        dispatchInOrder(context, context.queue.list(model, "patient"), () => true);
    }
}

/** Dispatches urgent requests, and one aged patient request after every fourth of them. */
function dispatchUrgent(context: Context, model: string): void {
    dispatchAged(context, model);
    dispatchInOrder(context, context.queue.list(model, "urgent"), () => {
        context.agedDispatchCredits.set(
            model,
            Math.min(1, (context.agedDispatchCredits.get(model) ?? 0) + AGED_DISPATCH_SHARE),
        );
        dispatchAged(context, model);
        return true;
    });
}

function dispatchAged(context: Context, model: string): void {
    if (!context.leaving && (context.agedDispatchCredits.get(model) ?? 0) < 1) {
        return;
    }
    const aged = context.queue.list(model, "patient").filter(tracked => hasUrgentPriority(context, tracked));
    dispatchInOrder(context, aged, () => {
        context.agedDispatchCredits.set(model, 0);
        return context.leaving;
    });
}

/** Dispatches in order until no engine has room or the callback returns false. */
function dispatchInOrder(context: Context, list: readonly TrackedRequest[], afterDispatch: () => boolean): void {
    for (const tracked of list.slice(0, MAXIMUM_EXAMINED_REQUESTS)) {
        if (tracked.phase !== "queued" || tracked.notBeforeMilliseconds > context.nowMilliseconds) {
            continue;
        }
        if (tracked.awaitsRetryBudget && !context.budget.hasRetry(tracked.request.model, context.nowMilliseconds)) {
            continue;
        }
        if (context.nowMilliseconds > dispatchDeadline(context, tracked)) {
            refuseOverdue(context, tracked);
            continue;
        }
        const route = findRoute(context, tracked);
        if (route.type === "engine") {
            consumeDeferredRetry(context, tracked);
            dispatch(context, tracked, route.engine);
            if (!afterDispatch()) {
                return;
            }
        }
        else if (!mayDispatchNext(context, tracked, route)) {
            return;
        }
    }
}

function consumeDeferredRetry(context: Context, tracked: TrackedRequest): void {
    if (tracked.awaitsRetryBudget) {
        tracked.awaitsRetryBudget = !context.budget.tryConsume(tracked.request.model, context.nowMilliseconds);
    }
}

/** Requests a missing adapter; returns whether a request behind this one may still be dispatched. */
function mayDispatchNext(
    context: Context,
    tracked: TrackedRequest,
    route: Exclude<Route, { type: "engine"; }>,
): boolean {
    if (route.type === "no-adapter") {
        requestAdapter(context, tracked);
        return true;
    }
    return route.type === "no-room" && tracked.request.adapter !== undefined;
}

function requestAdapter(context: Context, tracked: TrackedRequest): void {
    const { model, adapter } = tracked.request;
    if (adapter === undefined) {
        return;
    }
    const key = `${model}:${adapter}`;
    const requestedAt = context.adapterRequestTimes.get(key) ?? Number.NEGATIVE_INFINITY;
    if (context.nowMilliseconds - requestedAt < ADAPTER_REQUEST_INTERVAL_MILLISECONDS) {
        return;
    }
    context.adapterRequestTimes.set(key, context.nowMilliseconds);
    context.effects.push({ type: "want-adapter", model, adapter });
}

/** Refuses all waiting requests past their dispatch deadline. */
export function refuseAllOverdue(context: Context): void {
    for (const tracked of [...context.requests.values()]) {
        if (tracked.phase === "running") {
            continue;
        }
        if (context.nowMilliseconds > dispatchDeadline(context, tracked)) {
            refuseOverdue(context, tracked);
        }
    }
}

/**
 * Returns until when a request may be dispatched. An urgent request that an engine may have started gets a grace
 * period, as a late answer is better than none.
 */
function dispatchDeadline(context: Context, tracked: TrackedRequest): number {
    if (tracked.request.class === "patient") {
        return tracked.deadlineMilliseconds;
    }
    return tracked.mayHaveRun
        ? tracked.deadlineMilliseconds + STARTED_REQUEST_GRACE_MILLISECONDS
        : urgentDispatchDeadline(context, tracked);
}

function refuseOverdue(context: Context, tracked: TrackedRequest): void {
    if (tracked.mayHaveRun || tracked.request.class === "patient") {
        refuse(context, tracked, {
            reason: tracked.deliveredTokens > 0 ? "answer-incomplete" : "deadline-passed",
            message: "The answer did not arrive in time.",
            retryAfterMilliseconds: targetCannotBeMet(context, tracked).retryAfterMilliseconds ?? 0,
        });
        return;
    }
    const hasCopy = listCopies(context, tracked.request.model, tracked.request.adapter).length > 0;
    refuse(context, tracked, hasCopy ? targetCannotBeMet(context, tracked) : noCopyReady(context, tracked));
}
