/**
 * One host: wires the tasks, starts, drains and closes them.
 *
 * @module
 */
export { type Clock, createIdentifier, createIncarnation, processClock } from "./clock.js";
export { type Host, startHost } from "./startHost.js";
export { createTask, type Task, type TaskOptions } from "./task.js";
