/**
 * Moves waiting requests to engines, and ends those whose time has passed.
 *
 * @module
 */
import { latestDispatch, noCopyReady, targetCannotBeMet } from "./_admission.js";
import { type Context, dispatch, isUrgentNow, refuse } from "./_context.js";
import { findRoute, listCopies, type Route } from "./_routing.js";
import { type TrackedRequest } from "./_trackedRequest.js";

const AGED_SHARE = 0.25;
const MOST_LOOKED_AT = 64;
const WANT_ADAPTER_MILLISECONDS = 100;
const STARTED_PATIENCE_MILLISECONDS = 60_000;

/** Sends what can be sent: urgent requests by deadline with a share for aged patient ones, then patient requests. */
export function dispatchQueued(context: Context): void {
    for (const model of context.queue.listModels("urgent")) {
        dispatchUrgent(context, model);
    }
    for (const model of context.queue.listModels("patient")) {
        dispatchList(context, context.queue.list(model, "patient"), () => true);
    }
}

/** Gives aged patient requests every fourth dispatch while urgent ones wait. */
function dispatchUrgent(context: Context, model: string): void {
    dispatchAged(context, model);
    dispatchList(context, context.queue.list(model, "urgent"), () => {
        context.agedShares.set(model, Math.min(1, (context.agedShares.get(model) ?? 0) + AGED_SHARE));
        dispatchAged(context, model);
        return true;
    });
}

function dispatchAged(context: Context, model: string): void {
    if (!context.leaving && (context.agedShares.get(model) ?? 0) < 1) {
        return;
    }
    const aged = context.queue.list(model, "patient").filter(tracked => isUrgentNow(context, tracked));
    dispatchList(context, aged, () => {
        context.agedShares.set(model, 0);
        return context.leaving;
    });
}

/** Dispatches in order until no engine has room, or the callback says to stop. */
function dispatchList(context: Context, list: readonly TrackedRequest[], afterDispatch: () => boolean): void {
    for (const tracked of list.slice(0, MOST_LOOKED_AT)) {
        if (tracked.phase !== "queued" || tracked.notBeforeMilliseconds > context.nowMilliseconds) {
            continue;
        }
        if (tracked.needsBudget && !context.budget.has(tracked.request.model, context.nowMilliseconds)) {
            continue;
        }
        if (context.nowMilliseconds > latestStart(context, tracked)) {
            refuseOverdue(context, tracked);
            continue;
        }
        const route = findRoute(context, tracked);
        if (route.type === "engine") {
            takeOwedRetry(context, tracked);
            dispatch(context, tracked, route.engine);
            if (!afterDispatch()) {
                return;
            }
        }
        else if (!mayOthersGo(context, tracked, route)) {
            return;
        }
    }
}

function takeOwedRetry(context: Context, tracked: TrackedRequest): void {
    if (tracked.needsBudget) {
        tracked.needsBudget = !context.budget.tryTake(tracked.request.model, context.nowMilliseconds);
    }
}

/** Notes what a request lacks; tells whether a request behind it could go all the same. */
function mayOthersGo(context: Context, tracked: TrackedRequest, route: Exclude<Route, { type: "engine"; }>): boolean {
    if (route.type === "no-adapter") {
        wantAdapter(context, tracked);
        return true;
    }
    return route.type === "no-room" && tracked.request.adapter !== undefined;
}

function wantAdapter(context: Context, tracked: TrackedRequest): void {
    const { model, adapter } = tracked.request;
    if (adapter === undefined) {
        return;
    }
    const key = `${model}:${adapter}`;
    const wantedAt = context.adaptersWanted.get(key) ?? Number.NEGATIVE_INFINITY;
    if (context.nowMilliseconds - wantedAt < WANT_ADAPTER_MILLISECONDS) {
        return;
    }
    context.adaptersWanted.set(key, context.nowMilliseconds);
    context.effects.push({ type: "want-adapter", model, adapter });
}

/** Ends waiting requests whose time has passed. */
export function endOverdue(context: Context): void {
    for (const tracked of [...context.requests.values()]) {
        if (tracked.phase === "running") {
            continue;
        }
        if (context.nowMilliseconds > latestStart(context, tracked)) {
            refuseOverdue(context, tracked);
        }
    }
}

/** An urgent request that has begun is answered late rather than not. */
function latestStart(context: Context, tracked: TrackedRequest): number {
    if (tracked.request.class === "patient") {
        return tracked.deadlineMilliseconds;
    }
    return tracked.mayHaveRun
        ? tracked.deadlineMilliseconds + STARTED_PATIENCE_MILLISECONDS
        : latestDispatch(context, tracked);
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
