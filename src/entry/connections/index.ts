/**
 * Callers' connections and the requests that arrive on them.
 *
 * @module
 */
export { UnansweredRequests } from "./unansweredRequests.js";
