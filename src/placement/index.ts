/**
 * What engines hold, and which weights and adapters they load and drop.
 *
 * The decisions here need no socket and no clock; the shell that sends the orders is in `src/entry`.
 *
 * @example
 * ```ts
 * import { planWeights, ResidencyView } from "./index.js";
 * ```
 *
 * @module
 */
export { nameAdapter, splitAdapterName } from "./adapterName.js";
export { type CopiesSeen, countCopiesSeen } from "./copiesSeen.js";
export { type AdapterUseView, type EngineReport, type EngineStep, ManagedEngine } from "./managedEngine.js";
export { type EngineProspect, expectedArrivalMilliseconds } from "./modelArrival.js";
export { type PlacementInput, type PlacementMove, type PlannedEngine } from "./placementInput.js";
export { type EngineLoadBound, PlannedMoves } from "./plannedMoves.js";
export { planMoves, planWeights } from "./planWeights.js";
export { type AdapterCandidate, rankAdapterCandidates } from "./rankAdapterCandidates.js";
export { type Residency, ResidencyView } from "./residencyView.js";
export { type StoreLoadBound, storeLoadsPerEngine } from "./storeLoadShare.js";
export { type EngineOrder, type EngineRecord, type OrderOutcome } from "./types.js";
