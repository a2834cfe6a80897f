/**
 * Admits or refuses arriving requests, and refuses waiting ones that a newer deployment does not support.
 *
 * @module
 */
import { checkAdmission } from "./_admission.js";
import { queueAdmitted } from "./_attempts.js";
import { createCatalog } from "./_catalog.js";
import { addJitter, type Context, type RefusalDetails, refuse } from "./_context.js";
import { refuseByStatus } from "./_fingerprintStatus.js";
import { type TrackedRequest, trackRequest } from "./_trackedRequest.js";
import { type ModelRequest, type RequestsMessage } from "./messages.js";

const NO_CONFIGURATION_RETRY_DELAY_MILLISECONDS = 1_000;

/** Admits a request, or refuses it at once. */
export function handleSubmit(context: Context, request: ModelRequest): void {
    if (context.requests.has(request.identifier)) {
        return;
    }
    const { catalog } = context;
    if (catalog === undefined) {
        refuseUntracked(context, request, {
            reason: "configuration-missing",
            message: "This host has no configuration yet.",
            retryAfterMilliseconds: addJitter(context, NO_CONFIGURATION_RETRY_DELAY_MILLISECONDS),
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
    const status = context.quarantine.statusOf(tracked.request.fingerprint);
    if (status === "convicted" || status === "blocked") {
        refuseByStatus(context, tracked, status);
        return;
    }
    const refusal = status === "suspect" ? undefined : checkAdmission(context, tracked);
    if (refusal !== undefined) {
        refuse(context, tracked, refusal);
        return;
    }
    context.budget.recordRequest(tracked.request.model, context.nowMilliseconds);
    queueAdmitted(context, tracked);
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

/** Applies a newer deployment; refuses waiting requests whose model or adapter it no longer lists. */
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
