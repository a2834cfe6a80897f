/**
 * Tracks upstreams by their announcements: usable, leaving, or in doubt after an outage of the key-value service.
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
    isOlderIncarnation,
    isSameIncarnation,
    type LeavingReason,
    type UpstreamChange,
    type UpstreamIncarnation,
    UpstreamView,
} from "./upstreamView.js";
