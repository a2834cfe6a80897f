/**
 * Requests as they arrive, and what a changed deployment means for those that wait.
 *
 * @module
 */
import { judgeAdmission } from "./_admission.js";
import { startWaiting } from "./_attempts.js";
import { createCatalog } from "./_catalog.js";
import { type Context, type RefusalDetails, refuse, spread } from "./_context.js";
import { refuseByStanding } from "./_standings.js";
import { type TrackedRequest, trackRequest } from "./_trackedRequest.js";
import { type ModelRequest, type RequestsMessage } from "./messages.js";

const NO_CONFIGURATION_RETRY_MILLISECONDS = 1_000;

/** Takes a request in, or refuses it at once. */
export function handleSubmit(context: Context, request: ModelRequest): void {
    if (context.requests.has(request.identifier)) {
        return;
    }
    const { catalog } = context;
    if (catalog === undefined) {
        refuseUntracked(context, request, {
            reason: "configuration-missing",
            message: "This host has no configuration yet.",
            retryAfterMilliseconds: spread(context, NO_CONFIGURATION_RETRY_MILLISECONDS),
        });
        return;
    }
    const model = catalog.findModel(request.model);
    if (model === undefined) {
        refuseUntracked(context, request, unknownModel(request));
        return;
    }
    const tracked = trackRequest(request, model, context.nowMilliseconds);
    context.requests.set(request.identifier, tracked);
    if (request.adapter !== undefined && !catalog.hasAdapter(request.model, request.adapter)) {
        refuse(context, tracked, unknownAdapter(request));
        return;
    }
    admit(context, tracked);
}

function admit(context: Context, tracked: TrackedRequest): void {
    const standing = context.quarantine.standing(tracked.request.fingerprint);
    if (standing === "convicted" || standing === "blocked") {
        refuseByStanding(context, tracked, standing);
        return;
    }
    const refusal = standing === "suspect" ? undefined : judgeAdmission(context, tracked);
    if (refusal !== undefined) {
        refuse(context, tracked, refusal);
        return;
    }
    context.budget.recordRequest(tracked.request.model, context.nowMilliseconds);
    startWaiting(context, tracked);
}

function refuseUntracked(context: Context, request: ModelRequest, details: RefusalDetails): void {
    context.effects.push({ type: "refuse", identifier: request.identifier, ran: "not-run", ...details });
    context.effects.push({
        type: "ended",
        identifier: request.identifier,
        model: request.model,
        ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
        class: request.class,
        withinTarget: false,
        waitedMilliseconds: 0,
    });
}

function unknownModel(request: ModelRequest): RefusalDetails {
    return { reason: "unknown-model", message: `No model is called ${request.model}.` };
}

function unknownAdapter(request: ModelRequest): RefusalDetails {
    return {
        reason: "unknown-adapter",
        message: `The model ${request.model} has no adapter called ${request.adapter ?? ""}.`,
    };
}

/** Puts a newer deployment in force; refuses waiting requests whose model or adapter it no longer lists. */
export function handleDeployment(context: Context, message: Extract<RequestsMessage, { type: "deployment"; }>): void {
    if (context.catalog !== undefined && message.revision <= context.catalog.revision) {
        return;
    }
    const catalog = createCatalog(message.deployment, message.revision);
    context.catalog = catalog;
    for (const tracked of [...context.requests.values()]) {
        const { request } = tracked;
        if (tracked.phase === "running") {
            continue;
        }
        if (catalog.findModel(request.model) === undefined) {
            refuse(context, tracked, unknownModel(request));
        }
        else if (request.adapter !== undefined && !catalog.hasAdapter(request.model, request.adapter)) {
            refuse(context, tracked, unknownAdapter(request));
        }
    }
}
