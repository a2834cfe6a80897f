/**
 * Memory ledgers, placement, loads and evictions of one pool.
 *
 * Use it to decide which models and adapters each engine of a pool holds, under the lease `residency/<pool>`, or to
 * plan placements without the decision.
 *
 * @example
 * ```ts
 * import { createResidencyDecision } from "./index.js";
 *
 * const residency = createResidencyDecision({ pool: "bag-llm", host: "host-1", createIdentifier: randomUUID });
 * const effects = residency.handle({ type: "tick" }, nowMilliseconds);
 * ```
 *
 * @module
 */
export { DEMAND_SMOOTHING_MILLISECONDS } from "./_demand.js";
export { SETTLING_MILLISECONDS } from "./_view.js";
export {
    chargedMegabytes,
    compareFencing,
    type EngineCapacity,
    isCharged,
    isProvedCopy,
    recordAnswer,
    recordIntent,
} from "./ledger.js";
export { type ResidencyEffect, type ResidencyMessage } from "./messages.js";
export {
    type CopyState,
    type PlacementAdapter,
    type PlacementCopy,
    type PlacementEngine,
    type PlacementGrant,
    type PlacementModel,
    type PlacementOptions,
    type PlacementPlan,
    type PlacementProblem,
    type PlacementView,
    type PlannedAction,
    type PlannedExchange,
} from "./placement.js";
export { planPlacement } from "./planPlacement.js";
export { createResidencyDecision, type ResidencyOptions } from "./residencyDecision.js";
export { shareOfWeightStore, type StoreShare } from "./storeShare.js";
