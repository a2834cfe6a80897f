/**
 * The parts of a host that several of its tasks use.
 *
 * @module
 */
import { type EngineDuties } from "../duties/index.js";
import { type PeerTable } from "../gossip/index.js";
import { type AccountQuotas } from "../quotas/index.js";
import { type HostEngines } from "./engines/index.js";
import { type HostContext } from "./hostContext.js";
import { type PartitionWatch } from "./partitionWatch.js";
import { type HostGossip, type InterCellGossip } from "./peers/index.js";
import { type RateLimiting } from "./rateLimiting.js";
import { type SiteDemand } from "./siteDemand.js";
import { type HostStore } from "./store/index.js";
import { type StreamVersions } from "./streamVersions.js";
import { type UpstreamTracker } from "./upstreamTracker.js";

/** The parts of a host. */
export interface HostParts {
    readonly context: HostContext;
    readonly peers: PeerTable;
    readonly gossip: HostGossip;
    readonly interCellGossip: InterCellGossip;
    readonly store: HostStore;
    readonly duties: EngineDuties;
    readonly engines: HostEngines;
    readonly upstreams: UpstreamTracker;
    readonly rateLimiting: RateLimiting;
    readonly quotas: AccountQuotas;
    readonly streamVersions: StreamVersions;
    readonly partitionWatch: PartitionWatch;
    readonly demand: SiteDemand;
}
