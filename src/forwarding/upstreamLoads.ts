/**
 * Estimates how many requests each upstream has, from its reports and from the requests sent since.
 *
 * @module
 */

/** After this time an upstream's load report is too old to use. */
const REPORT_LIFETIME_MILLISECONDS = 400;

/** After this time a peer's report of its requests in flight is too old to use. */
const PEER_LIFETIME_MILLISECONDS = 2_000;

/** Names the other cells together among the peers. */
const OTHER_CELLS = "other cells";

/**
 * Weight of a new aggregate of other cells in the means of their requests. Its counts are about 0.7 s old. If all hosts
 * followed them at once, they would fill the upstreams that were free then, and leave those that are free now.
 */
const OTHER_CELLS_WEIGHT = 0.15;

/** Load that an upstream reports with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on its machine now, 1 as usual; absent where it reports none. */
    readonly slowdown?: number;
}

interface Load {
    /** Requests of this host that are in flight at the upstream. */
    inFlight: number;
    reported: ReportedLoad | undefined;
    reportedAtMilliseconds: number;
    /** Requests of this host that were in flight at the upstream's last report. */
    inFlightAtReport: number;
    /** Requests that peers sent since the upstream's last report. */
    sentByPeersSinceReport: number;
    /** Requests that peers sent since their last digests. */
    sentByPeersSinceDigests: number;
    /** Mean requests of other cells in flight at the upstream, over the last aggregates. */
    meanOfOtherCells: number;
}

interface PeerLoads {
    readonly inFlight: Readonly<Record<string, number>>;
    readonly atMilliseconds: number;
}

function estimateFromReport(load: Load, nowMilliseconds: number): number | undefined {
    const { inFlight, inFlightAtReport, reported, reportedAtMilliseconds, sentByPeersSinceReport } = load;
    if (reported === undefined || nowMilliseconds - reportedAtMilliseconds >= REPORT_LIFETIME_MILLISECONDS) {
        return undefined;
    }
    const sentSinceReport = inFlight - inFlightAtReport + sentByPeersSinceReport;
    return Math.max(inFlight, reported.running + reported.waiting + sentSinceReport);
}

/**
 * Combines upstreams' load reports, which lag, with the requests that this host and its peers have sent since.
 *
 * @example
 * ```ts
 * const loads = new UpstreamLoads();
 * loads.recordStarted("engine-3");
 * const requests = loads.estimate("engine-3", now);
 * ```
 */
export class UpstreamLoads {
    readonly #loads = new Map<string, Load>();
    readonly #peers = new Map<string, PeerLoads>();
    /** Requests that each peer sent since its last digest, by upstream. */
    readonly #sentSinceDigest = new Map<string, Map<string, number>>();
    #digestAtMilliseconds = Number.NEGATIVE_INFINITY;
    #hasOtherCells = false;

    recordStarted(upstream: string): void {
        this.#load(upstream).inFlight += 1;
    }

    /** Records a peer's report that it has sent a request; `host` is the peer, where it is known. */
    recordStartedByPeer(upstream: string, host?: string): void {
        const load = this.#load(upstream);
        load.sentByPeersSinceReport += 1;
        if (host !== undefined) {
            const sent = this.#sentSinceDigest.get(host) ?? new Map<string, number>();
            this.#sentSinceDigest.set(host, sent);
            sent.set(upstream, (sent.get(upstream) ?? 0) + 1);
            load.sentByPeersSinceDigests += 1;
        }
    }

    recordFinished(upstream: string): void {
        const load = this.#load(upstream);
        load.inFlight = Math.max(0, load.inFlight - 1);
    }

    recordReport(upstream: string, reported: ReportedLoad, nowMilliseconds: number): void {
        const load = this.#load(upstream);
        load.reported = reported;
        load.reportedAtMilliseconds = nowMilliseconds;
        load.inFlightAtReport = load.inFlight;
        load.sentByPeersSinceReport = 0;
    }

    /** Records a peer's requests in flight by upstream. */
    recordPeerRequests(host: string, inFlight: Readonly<Record<string, number>>, nowMilliseconds: number): void {
        this.#peers.set(host, { inFlight, atMilliseconds: nowMilliseconds });
        this.#digestAtMilliseconds = nowMilliseconds;
        this.#forgetSent(host);
        for (const peer of this.#sentSinceDigest.keys()) {
            if (nowMilliseconds - (this.#peers.get(peer)?.atMilliseconds ?? 0) >= PEER_LIFETIME_MILLISECONDS) {
                this.#forgetSent(peer);
            }
        }
    }

    /** Records the requests in flight of all other cells by upstream. */
    recordOtherCells(inFlight: Readonly<Record<string, number>>, nowMilliseconds: number): void {
        Object.keys(inFlight).forEach(upstream => this.#load(upstream));
        const weight = this.#hasOtherCells ? OTHER_CELLS_WEIGHT : 1;
        this.#hasOtherCells = true;
        for (const [upstream, load] of this.#loads) {
            load.meanOfOtherCells += weight * ((inFlight[upstream] ?? 0) - load.meanOfOtherCells);
        }
        this.recordPeerRequests(OTHER_CELLS, inFlight, nowMilliseconds);
    }

    /** Returns whether a peer's last report, if recent, shows requests in flight at an upstream. */
    usesUpstream(host: string, upstream: string, nowMilliseconds: number): boolean {
        const peer = this.#peers.get(host);
        return peer !== undefined && nowMilliseconds - peer.atMilliseconds < PEER_LIFETIME_MILLISECONDS
            && (peer.inFlight[upstream] ?? 0) > 0;
    }

    /** Returns the estimated number of the upstream's requests, running and waiting. */
    estimate(upstream: string, nowMilliseconds: number): number {
        const load = this.#load(upstream);
        return estimateFromReport(load, nowMilliseconds)
            ?? load.inFlight + this.#peersInFlight(upstream, nowMilliseconds);
    }

    /**
     * Returns the estimated number of the upstream's requests for a choice that many hosts make at the same time. Without
     * a recent report it counts what peers sent since their digests, and the mean of the other cells' requests, since
     * hosts that follow the same old counts all choose the same upstreams.
     */
    steadyEstimate(upstream: string, nowMilliseconds: number): number {
        const load = this.#load(upstream);
        const reported = estimateFromReport(load, nowMilliseconds);
        if (reported !== undefined) {
            return reported;
        }
        const others = this.#peers.get(OTHER_CELLS);
        const hearsOthers = others !== undefined
            && nowMilliseconds - others.atMilliseconds < PEER_LIFETIME_MILLISECONDS;
        const hearsPeers = nowMilliseconds - this.#digestAtMilliseconds < PEER_LIFETIME_MILLISECONDS;
        return load.inFlight + this.#peersInFlight(upstream, nowMilliseconds)
            + (hearsPeers ? load.sentByPeersSinceDigests : 0)
            + (hearsOthers ? load.meanOfOtherCells - (others.inFlight[upstream] ?? 0) : 0);
    }

    inFlight(upstream: string): number {
        return this.#loads.get(upstream)?.inFlight ?? 0;
    }

    /** Returns this host's requests in flight by upstream, without upstreams that have none. */
    allInFlight(): Record<string, number> {
        const busy = [...this.#loads].filter(([, { inFlight }]) => inFlight > 0);
        return Object.fromEntries(busy.map(([upstream, { inFlight }]) => [upstream, inFlight]));
    }

    forget(upstream: string): void {
        if (this.inFlight(upstream) === 0) {
            this.#loads.delete(upstream);
        }
    }

    #forgetSent(host: string): void {
        for (const [upstream, count] of this.#sentSinceDigest.get(host) ?? []) {
            const load = this.#load(upstream);
            load.sentByPeersSinceDigests = Math.max(0, load.sentByPeersSinceDigests - count);
        }
        this.#sentSinceDigest.delete(host);
    }

    #peersInFlight(upstream: string, nowMilliseconds: number): number {
        let total = 0;
        for (const { inFlight, atMilliseconds } of this.#peers.values()) {
            if (nowMilliseconds - atMilliseconds < PEER_LIFETIME_MILLISECONDS) {
                total += inFlight[upstream] ?? 0;
            }
        }
        return total;
    }

    #load(upstream: string): Load {
        const load = this.#loads.get(upstream) ?? {
            inFlight: 0,
            reported: undefined,
            reportedAtMilliseconds: 0,
            inFlightAtReport: 0,
            sentByPeersSinceReport: 0,
            sentByPeersSinceDigests: 0,
            meanOfOtherCells: 0,
        };
        this.#loads.set(upstream, load);
        return load;
    }
}
