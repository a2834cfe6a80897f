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
export { type HeldModel, type LocalWeights, type UpstreamAnnouncement } from "./types.js";
export {
    isSameIncarnation,
    type LeavingReason,
    type UpstreamChange,
    type UpstreamIncarnation,
    UpstreamView,
} from "./upstreamView.js";
