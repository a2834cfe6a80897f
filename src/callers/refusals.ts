/**
 * Creates typed refusals and renders them as HTTP responses.
 *
 * @module
 */
import { type Refusal, type RefusalReason } from "../generated/callers.js";

const MILLISECONDS_PER_SECOND = 1000;

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
    "invalid-request": 400,
    "unknown-model": 404,
    "unknown-adapter": 404,
    "unknown-service": 404,
    "unknown-call": 404,
    "missing-order-key": 400,
    "malformed-order-key": 400,
    "body-too-large": 413,
    "queue-full": 429,
    "target-cannot-be-met": 429,
    "deadline-passed": 503,
    "no-copy-ready": 503,
    "request-crashes-engines": 422,
    "order-key-reused": 409,
    "ticket-expired": 410,
    "store-unavailable": 503,
    "owner-unreachable": 503,
    "witness-unreachable": 503,
    "order-sealed": 409,
    "upstream-failed": 502,
    "answer-incomplete": 502,
    "host-leaving": 503,
    "host-isolated": 503,
    "configuration-missing": 503,
    "caller-too-slow": 408,
    "internal": 500,
};

/** Options of `createRefusal`. */
export interface RefusalOptions {
    /** Whether the request may have run; `not-run` by default. */
    readonly ran?: Refusal["ran"];
    /** Delay after which a retry may succeed; by default no retry can. */
    readonly retryAfterMilliseconds?: number | undefined;
}

/**
 * Creates a refusal.
 *
 * @param reason Why the request has no result.
 * @param message Description of the fault, with the value found and what is expected.
 * @param options Whether the request may have run, and when to retry.
 *
 * @example
 * ```ts
 * const refusal = createRefusal("queue-full", "2000 requests wait here.", { retryAfterMilliseconds: 500 });
 * ```
 */
export function createRefusal(reason: RefusalReason, message: string, options: RefusalOptions = {}): Refusal {
    const { ran = "not-run", retryAfterMilliseconds } = options;
    const refusal: Refusal = { reason, ran, message };
    return retryAfterMilliseconds === undefined ? refusal : { ...refusal, retryAfterMilliseconds };
}

/**
 * Renders a refusal as an HTTP response, with `Retry-After` where a retry may succeed.
 *
 * @param refusal The refusal.
 *
 * @example
 * ```ts
 * return renderRefusal(createRefusal("unknown-model", "no model is named `x`"));
 * ```
 */
export function renderRefusal(refusal: Refusal): Response {
    const headers = new Headers({ "content-type": "application/json" });
    if (refusal.retryAfterMilliseconds !== undefined) {
        headers.set("retry-after", String(Math.ceil(refusal.retryAfterMilliseconds / MILLISECONDS_PER_SECOND)));
    }
    return new Response(JSON.stringify({ error: refusal }), { status: STATUS_BY_REASON[refusal.reason], headers });
}
