/**
 * Looks up calls of plain services in the configuration.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type Deployment } from "../generated/deployment.js";
import { refuse, type RefusedOutcome } from "./_outcomes.js";

/** Upstreams, properties and time limit of a call of a plain service. */
export interface CallTarget {
    readonly urls: readonly string[];
    readonly idempotent: boolean;
    readonly timeoutMilliseconds: number;
}

const CONFIGURATION_RETRY_AFTER_MILLISECONDS = 1_000;

/** Returns the target of an order's call, or the refusal of the order where the call is not configured. */
export function findCall(
    deployment: Deployment | undefined,
    order: { readonly service: string; readonly call: string; },
): Result<CallTarget, RefusedOutcome> {
    if (deployment === undefined) {
        return Err(refuse("configuration-missing", "not-run", {
            message: "this host has no configuration yet",
            retryAfterMilliseconds: CONFIGURATION_RETRY_AFTER_MILLISECONDS,
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
