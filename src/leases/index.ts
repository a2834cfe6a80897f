/**
 * Assigns a duty to one host at a time, under a lease in the platform's key-value service.
 *
 * Used for decisions that only one host at a time may make, such as those on a pool's residency. Each holder has a
 * higher epoch than all earlier ones, which serves as its fencing number.
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
