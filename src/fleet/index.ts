/**
 * The upstreams in view: which may be used, which leave, which are in doubt around an outage.
 *
 * @example
 * ```ts
 * import { UpstreamView } from "./index.js";
 *
 * const view = new UpstreamView();
 * view.put(announcement);
 * const candidates = view.usable("mill-orders");
 * ```
 *
 * @module
 */
export { type HeldModel, type UpstreamAnnouncement, type WeightsAtHand } from "./types.js";
export { isSameRun, type LeavingReason, type UpstreamChange, type UpstreamRun, UpstreamView } from "./upstreamView.js";
