/**
 * The gauges of a host.
 *
 * @module
 */
import { type PeerTable } from "../gossip/index.js";
import { type MemoryBudget, type MemoryWatch } from "../memory/index.js";
import { type EntryMetrics } from "../observability/index.js";
import { type AccountQuotas } from "../quotas/index.js";
import { type HostServers } from "./hostServers.js";
import { type SiteDemand } from "./siteDemand.js";
import { type HostStore } from "./store/index.js";
import { type UpstreamTracker } from "./upstreamTracker.js";

const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a host whose state the gauges show. */
export interface GaugeSources {
    readonly metrics: EntryMetrics;
    readonly store: HostStore;
    readonly upstreams: UpstreamTracker;
    readonly servers: HostServers;
    readonly peers: PeerTable;
    readonly demand: SiteDemand;
    readonly quotas: Pick<AccountQuotas, "quotaUse">;
    readonly memory: MemoryBudget;
    readonly memoryWatch: MemoryWatch;
    /** The build of this host. */
    readonly build: string;
    readonly readClock: () => number;
}

/**
 * Sets all gauges to the present state.
 *
 * @example
 * ```ts
 * refreshGauges(sources);
 * const text = await metrics.render();
 * ```
 */
export function refreshGauges(
    { build, demand, memory, memoryWatch, metrics, peers, quotas, readClock, servers, store, upstreams }: GaugeSources,
): void {
    metrics.gauge("configuration_version", store.configuration.version);
    metrics.gauge("store_silence_seconds", store.reachability.secondsSinceAnswer());
    metrics.gauge("upstreams", upstreams.view.all().length);
    metrics.gauge("limited_upstreams", upstreams.limits.countInForce());
    metrics.gauge("brittle_upstreams", upstreams.tolerances.countInForce());
    metrics.gauge("requests_open", servers.openRequestCount);
    metrics.gauge("peers_heard", peers.withRecentDigest(readClock()).length);
    metrics.gauge("prompt_bound_tokens", upstreams.backlog.limitTokens);
    metrics.gauge("machine_memory_bytes", memory.machineBytes);
    metrics.gauge("resident_memory_bytes", memoryWatch.readResidentBytes());
    metrics.gaugeByLabel("reserved_memory_bytes", memory.reservedByUse());
    const builds = peers.countBuilds(readClock());
    metrics.gaugeByLabel("hosts_by_build", builds.set(build, (builds.get(build) ?? 0) + 1));
    metrics.gaugeByLabel("quota_use", quotas.quotaUse(readClock()));
    const { meanPredictedMilliseconds, meanTookMilliseconds } = upstreams.forecast;
    metrics.gauge("predicted_prefill_seconds", meanPredictedMilliseconds / MILLISECONDS_PER_SECOND);
    metrics.gauge("measured_first_event_seconds", meanTookMilliseconds / MILLISECONDS_PER_SECOND);
    metrics.gauge("read_tokens_per_millisecond", demand.prefillTokensPerMillisecond ?? 0);
}
