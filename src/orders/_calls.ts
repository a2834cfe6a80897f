/**
 * Finds a call in the operators' text.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type Deployment } from "../generated/deployment.js";
import { refuse, type RefusedOutcome } from "./_outcomes.js";

/** Where a call is sent and how. */
export interface FoundCall {
    readonly urls: readonly string[];
    readonly idempotent: boolean;
    readonly timeoutMilliseconds: number;
}

const CONFIGURATION_RETRY_MILLISECONDS = 1_000;

/** Finds a call of a plain service, or the refusal of an order for it. */
export function findCall(
    deployment: Deployment | undefined,
    order: { readonly service: string; readonly call: string; },
): Result<FoundCall, RefusedOutcome> {
    if (deployment === undefined) {
        return Err(refuse("configuration-missing", "not-run", {
            message: "this host has no configuration yet",
            retryAfterMilliseconds: CONFIGURATION_RETRY_MILLISECONDS,
        }));
    }
    const service = deployment.services.find(({ name }) => name === order.service);
    if (service === undefined || service.urls.length === 0) {
        return Err(refuse("unknown-service", "not-run", { message: `no plain service '${order.service}'` }));
    }
    const call = service.calls.find(({ name }) => name === order.call);
    if (call === undefined) {
        return Err(refuse("unknown-call", "not-run", { message: `'${order.service}' has no call '${order.call}'` }));
    }
    return Ok({ urls: service.urls, idempotent: call.idempotent, timeoutMilliseconds: call.timeoutMilliseconds });
}
