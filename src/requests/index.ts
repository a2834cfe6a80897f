/**
 * Requests for models: admission, queues, routing, retries and quarantine.
 *
 * @module
 */
export * from "./messages.js";
