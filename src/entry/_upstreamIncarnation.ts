import { type UpstreamAnnouncement } from "../fleet/index.js";

/** Names one run of an upstream's process. */
export function incarnationOf(upstream: UpstreamAnnouncement): string {
    return `${upstream.id}/${upstream.startedAtMilliseconds ?? 0}`;
}
