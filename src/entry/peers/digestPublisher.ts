/**
 * This host's digest: what it tells its cell several times a second.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type HostDigest } from "../../generated/gossip.js";
import { encodeAccountUse } from "../../gossip/index.js";
import { type AccountQuotas } from "../../quotas/index.js";
import { toLeavingIncarnation, toMemory, toPublished } from "../_gossipParts.js";
import { type HostEngines } from "../engines/index.js";
import { addressesOf, type HostContext } from "../hostContext.js";
import { type PartitionWatch } from "../partitionWatch.js";
import { type RateLimiting } from "../rateLimiting.js";
import { type SiteDemand } from "../siteDemand.js";
import { type HostStore } from "../store/index.js";
import { type UpstreamTracker } from "../upstreamTracker.js";
import { type HostGossip } from "./hostGossip.js";
import { type InterCellGossip } from "./interCellGossip.js";

/** Upper bound on the limits in one digest. */
const MAXIMUM_LIMITS_PER_DIGEST = 256;

/** Options of {@linkcode DigestPublisher}. */
export interface DigestPublisherOptions {
    readonly context: HostContext;
    readonly demand: Pick<SiteDemand, "hostDemand">;
    readonly duties: Pick<EngineDuties, "relinquishments">;
    readonly engines: Pick<HostEngines, "adapters" | "agreement" | "orders">;
    readonly gossip: Pick<HostGossip, "publishDigest">;
    readonly interCellGossip: Pick<InterCellGossip, "publishAggregates">;
    readonly partitionWatch: Pick<PartitionWatch, "isHearing" | "isPartitioned">;
    readonly quotas: Pick<AccountQuotas, "ownUse">;
    readonly rateLimiting: Pick<RateLimiting, "limiter">;
    readonly store: Pick<HostStore, "configuration" | "feeds" | "revision">;
    readonly upstreams: UpstreamTracker;
    /** Returns whether callers may be directed to this host. */
    readonly isReady: () => boolean;
}

/**
 * Composes and publishes digests.
 *
 * @example
 * ```ts
 * const digests = new DigestPublisher(options);
 * digests.publish();
 * digests.publishToAllCells();
 * ```
 */
export class DigestPublisher {
    readonly #options: DigestPublisherOptions;

    constructor(options: DigestPublisherOptions) {
        this.#options = options;
    }

    /** Publishes a digest to the own cell; in an outage, asks other cells for their consent with it. */
    publish(): HostDigest {
        const digest = this.#compose(this.#options.context.readClock());
        this.#options.gossip.publishDigest(digest);
        this.#options.engines.agreement.exchangeWithOtherCells();
        return digest;
    }

    /** Publishes a digest, and with it the cell's aggregate where this host is the cell representative. */
    publishToAllCells(): void {
        this.#options.interCellGossip.publishAggregates(this.publish());
    }

    #compose(nowMilliseconds: number): HostDigest {
        const { context, demand, duties, engines, isReady, partitionWatch, quotas, rateLimiting, store, upstreams } =
            this.#options;
        const settings = context.settings();
        const crashes = toPublished(upstreams.crashes.report(nowMilliseconds));
        const limits = rateLimiting.limiter.ownVotes(nowMilliseconds).slice(0, MAXIMUM_LIMITS_PER_DIGEST);
        const use = quotas.ownUse(nowMilliseconds);
        return {
            type: "digest",
            host: settings.host,
            ...engines.agreement.nextStatement(),
            zone: settings.zone,
            addresses: addressesOf(settings),
            configurationVersion: store.configuration.version,
            storeRevision: store.revision,
            feeds: store.feeds,
            ready: isReady(),
            leaving: context.isLeaving(),
            inFlight: upstreams.loads.allInFlight(),
            unreachable: this.#unreachable(nowMilliseconds),
            hearsUpstreams: partitionWatch.isHearing,
            ...partitionWatch.isPartitioned ? { partitioned: true } : {},
            build: context.build,
            leavingRuns: upstreams.leavingIncarnations().map(toLeavingIncarnation),
            ...limits.length === 0 ? {} : { limits },
            adaptersInUse: engines.adapters.use.all(),
            ...demand.hostDemand(nowMilliseconds),
            engines: engines.orders.records().map(toMemory),
            relinquished: duties.relinquishments(nowMilliseconds),
            suspects: [],
            ...use === undefined ? {} : { accountUse: encodeAccountUse(use) },
            ...crashes === undefined ? {} : { crashes },
        };
    }

    /** Returns the upstreams that this host does not reach; a partitioned host tells nothing of single upstreams. */
    #unreachable(nowMilliseconds: number): string[] {
        const { context, partitionWatch, upstreams } = this.#options;
        return partitionWatch.isPartitioned
            ? []
            : upstreams.unreachableReports.reportedBy(context.host, nowMilliseconds);
    }
}
