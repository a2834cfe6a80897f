/**
 * Tracks the models and adapters on engines and decides which of them to load and unload.
 *
 * The decisions use neither sockets nor a clock; `src/entry` sends the orders.
 *
 * @example
 * ```ts
 * import { planBestMove, ResidencyView } from "./index.js";
 * ```
 *
 * @module
 */
export { type AdapterUseView } from "./_adapterLoads.js";
export { nameAdapter, splitAdapterName } from "./adapterName.js";
export { type CopyCounts, countCopies } from "./copyCounts.js";
export { type EngineReport, type EngineStep, ManagedEngine } from "./managedEngine.js";
export { type EngineProspect, expectedArrivalMilliseconds } from "./modelArrival.js";
export { type PlacementInput, type PlacementMove, type PlannedEngine } from "./placementInput.js";
export { type EngineLoadBound, PlannedMoves } from "./plannedMoves.js";
export { planBestMove, planMoves } from "./planWeights.js";
export { type AdapterCandidate, rankAdapterCandidates } from "./rankAdapterCandidates.js";
export { type Residency, ResidencyView } from "./residencyView.js";
export { type StoreLoadBound, storeLoadsPerEngine } from "./storeLoadShare.js";
export { type EngineOrder, type EngineRecord, type OrderOutcome } from "./types.js";
export { VersionCopies, type VersionCopyInput, type VersionCopyNeed, type VersionedEngines } from "./versionCopies.js";
