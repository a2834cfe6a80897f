/**
 * Distributes duties over hosts: which host may send orders to which engine, and when.
 *
 * @example
 * ```ts
 * import { EngineDuties } from "./index.js";
 *
 * const duties = new EngineDuties("entry-1", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
 * ```
 *
 * @module
 */
export { type ClockReading } from "./clockReading.js";
export {
    type Acquisition,
    type DutyBounds,
    EngineDuties,
    type HolderRecord,
    type Relinquishment,
    type StoredHolder,
    type Succession,
} from "./engineDuties.js";
export { OutageConsent, type PeerStatement } from "./outageConsent.js";
export { type KnownFleet, OutageWitnesses } from "./outageWitnesses.js";
