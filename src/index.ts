/**
 * flamingospread as a library: the decisions and the host that runs them.
 *
 * Use the decisions to simulate many hosts in one process, with your own clock, random source and message delivery (see
 * `docs/DRIVING.md`). Use `startHost` to run a host inside your program.
 *
 * @example
 * ```ts
 * import { createRequestsDecision, createSeededRandom } from "flamingospread";
 *
 * const requests = createRequestsDecision({ host: "entry-1", random: createSeededRandom(1) });
 * const effects = requests.handle({ type: "tick" }, 0);
 * ```
 *
 * @module
 */
export * from "./configuration/index.js";
export * from "./decision/index.js";
export * from "./generated/callers.js";
export * from "./generated/deployment.js";
export * from "./generated/peers.js";
export * from "./generated/platform.js";
export * from "./generated/settings.js";
export * from "./generated/upstreams.js";
export * from "./host/index.js";
export * from "./leases/index.js";
export * from "./membership/index.js";
export * from "./orders/index.js";
export * from "./requests/index.js";
export * from "./residency/index.js";
export * from "./trace/index.js";
