import { type UpstreamAnnouncement } from "../fleet/index.js";

/** Returns the identifier of one incarnation of an upstream's process. */
export function incarnationOf(upstream: UpstreamAnnouncement): string {
    return `${upstream.id}/${upstream.startedAtMilliseconds ?? 0}`;
}
