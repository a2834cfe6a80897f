/**
 * The engines as one host manages them: who holds them, the orders that holders send, the plan of their models, and what
 * hosts tell each other of their memory and adapters.
 *
 * @example
 * ```ts
 * import { HostEngines } from "./index.js";
 *
 * const engines = new HostEngines(options);
 * engines.start();
 * await engines.orders.leave();
 * engines.close();
 * ```
 *
 * @module
 */
export { type AdapterRequest, type AdapterUseReport, type EngineGossip } from "./engineGossip.js";
export { type EngineOrders } from "./engineOrders.js";
export { HostEngines, type HostEnginesOptions } from "./hostEngines.js";
export { type OutageAgreement } from "./outageAgreement.js";
