/**
 * Requests for models: admission, queues, routing, retries, and quarantine of requests that crash engines.
 *
 * The embedding code supplies the clock, the random source and message delivery. Hosts route to the same engines
 * without shared state; they exchange digests of requests suspected of crashing engines.
 *
 * @example
 * ```ts
 * import { createSeededRandom } from "../decision/index.js";
 * import { createRequestsDecision } from "./index.js";
 *
 * const decision = createRequestsDecision({ host: "host-1", random: createSeededRandom(1) });
 * const effects = decision.handle({ type: "tick" }, 0);
 * ```
 *
 * @module
 */
export { type ChooseEngine, type RoutingCandidate } from "./_context.js";
export { chooseByPrefixWithinLoadBound } from "./_routing.js";
export { mergeSuspectDigests } from "./mergeSuspectDigests.js";
export { type AttemptFailure, type ModelRequest, type RequestsEffect, type RequestsMessage } from "./messages.js";
export { createRequestsDecision, type RequestsDecisionOptions } from "./requestsDecision.js";
