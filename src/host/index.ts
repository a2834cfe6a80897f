/**
 * Starts a host, with its servers, clients and tasks, and drains or closes it.
 *
 * @module
 */
export { type Clock, createIdentifier, createIncarnation, processClock } from "./clock.js";
export { type Host, startHost } from "./startHost.js";
export { createTask, type Task, type TaskOptions } from "./task.js";
