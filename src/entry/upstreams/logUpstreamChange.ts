/**
 * The log line and metric of upstreams that join, leave or are in doubt.
 *
 * @module
 */
import { type UpstreamChange } from "../../fleet/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";

/**
 * Logs and counts a change of the view of the upstreams; not an updated announcement.
 *
 * @param change The change.
 * @param output The logger and the metrics.
 */
export function logUpstreamChange(
    change: UpstreamChange,
    { logger, metrics }: { readonly logger: Logger; readonly metrics: EntryMetrics; },
): void {
    if (change.type === "updated") {
        return;
    }
    const { address, id, service, softwareVersion, startedAtMilliseconds, zone } = change.upstream;
    logger.info(`upstream ${change.type}`, {
        upstream: id,
        service,
        address,
        zone,
        softwareVersion,
        startedAt: startedAtMilliseconds,
        reason: change.type === "left" ? change.reason : undefined,
    });
    metrics.count("upstream_changes", { change: change.type });
}
