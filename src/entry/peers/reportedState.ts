/**
 * Applies what other hosts report of themselves: digests of the own cell, and the aggregate of the other cells.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type FleetSummary, type HostDigest } from "../../generated/gossip.js";
import { decodeAccountUse, type PeerTable } from "../../gossip/index.js";
import { type AccountQuotas } from "../../quotas/index.js";
import { type HostEngines } from "../engines/index.js";
import { type PartitionWatch } from "../partitionWatch.js";
import { type RateLimiting } from "../rateLimiting.js";
import { type SiteDemand } from "../siteDemand.js";
import { type HostStore } from "../store/index.js";
import { type UpstreamTracker } from "../upstreamTracker.js";
import { type InterCellGossip } from "./interCellGossip.js";

/** Stands for the other cells where reported state is kept by host. */
const OTHER_CELLS_SOURCE = "(rest of the fleet)";

/** The parts of a host to which reported state is applied. */
export interface ReportedStateOptions {
    readonly demand: Pick<SiteDemand, "recordPeerDemand">;
    readonly duties: Pick<EngineDuties, "recordRelinquishment">;
    readonly engines: Pick<HostEngines, "adapters" | "agreement" | "memories">;
    readonly interCellGossip: Pick<InterCellGossip, "receiveDigest">;
    readonly partitionWatch: Pick<PartitionWatch, "recordStatement">;
    readonly peers: PeerTable;
    readonly quotas: Pick<AccountQuotas, "recordUse">;
    readonly rateLimiting: Pick<RateLimiting, "limiter">;
    readonly store: Pick<HostStore, "recordLaterRevision" | "recordWatchStatement">;
    readonly upstreams: UpstreamTracker;
    readonly readClock: () => number;
}

/**
 * Applies digests and aggregates.
 *
 * @example
 * ```ts
 * const reported = new ReportedState(options);
 * reported.applyDigest(digest);
 * reported.applyOtherCells(aggregate);
 * ```
 */
export class ReportedState {
    readonly #options: ReportedStateOptions;

    constructor(options: ReportedStateOptions) {
        this.#options = options;
    }

    /** Applies the digest of a host. */
    applyDigest(digest: HostDigest): void {
        const { engines, interCellGossip, partitionWatch, peers, quotas, rateLimiting, store } = this.#options;
        const now = this.#options.readClock();
        peers.recordDigest(digest, now);
        interCellGossip.receiveDigest(digest);
        store.recordWatchStatement(digest);
        partitionWatch.recordStatement(digest.host, digest.hearsUpstreams);
        engines.adapters.replaceUses(digest.host, digest.adaptersInUse);
        rateLimiting.limiter.recordVotes(digest.host, digest.limits ?? [], now);
        if (digest.accountUse !== undefined) {
            quotas.recordUse(digest.host, decodeAccountUse(digest.accountUse), now);
        }
        this.#options.upstreams.loads.recordPeerRequests(digest.host, digest.inFlight, now);
        this.#apply(digest.host, digest);
        engines.agreement.receiveStatement(digest);
    }

    /** Applies the aggregate of the other cells as the report of one further peer. */
    applyOtherCells(aggregate: FleetSummary): void {
        const { partitionWatch, peers, quotas, rateLimiting } = this.#options;
        const now = this.#options.readClock();
        aggregate.hosts.forEach(host => peers.recordListed(host, now));
        aggregate.partitionedHosts?.forEach(host => peers.recordPartitioned(host));
        partitionWatch.recordStatement(OTHER_CELLS_SOURCE, aggregate.hearsUpstreams);
        rateLimiting.limiter.recordOtherCells(aggregate, now);
        if (aggregate.accountUse !== undefined) {
            const use = decodeAccountUse(aggregate.accountUse);
            quotas.recordUse(OTHER_CELLS_SOURCE, use, now, { hosts: aggregate.accountUseHosts });
        }
        this.#options.upstreams.loads.recordOtherCells(aggregate.inFlight, now);
        this.#apply(OTHER_CELLS_SOURCE, aggregate);
    }

    #apply(source: string, reported: HostDigest | FleetSummary): void {
        const { demand, duties, engines, store, upstreams } = this.#options;
        const now = this.#options.readClock();
        store.recordLaterRevision(reported.storeRevision);
        demand.recordPeerDemand(source, reported, now);
        reported.unreachable.forEach(upstream => upstreams.unreachableReports.record(upstream, source, now));
        reported.leavingRuns.forEach(({ startedAtMilliseconds, upstream }) =>
            upstreams.recordLeavingIncarnation({ id: upstream, startedAtMilliseconds })
        );
        reported.relinquished.forEach(report => duties.recordRelinquishment(report, now));
        engines.memories.apply(reported.engines);
        if (reported.crashes !== undefined) {
            upstreams.recordCrashReport(reported.crashes);
        }
    }
}
