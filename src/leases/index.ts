/**
 * Duties that one host holds at a time, under a lease in the platform's key-value service.
 *
 * Use a duty's lease for work that wants one place for its choices, such as a pool's residency. Each holder has an
 * epoch above all earlier ones, to be used as fencing number.
 *
 * @example
 * ```ts
 * import { createDutyLease } from "./index.js";
 *
 * const lease = createDutyLease({ duty: "residency/bag-llm", host, incarnation, keyValue, ...handlers });
 * ```
 *
 * @module
 */
export { listDutyCandidates } from "./_candidacy.js";
export { createDutyLease, type DutyLease, type DutyLeaseOptions } from "./dutyLease.js";
export { createDutyLeaseDecision, type DutyLeaseDecisionOptions } from "./dutyLeaseDecision.js";
export { type DutyLeaseEffect, type DutyLeaseMessage, type LeaseAnswer, type LeaseCall } from "./messages.js";
