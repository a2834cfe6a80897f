/**
 * Estimates how many requests each upstream has, from its reports and from the requests sent since.
 *
 * @module
 */

/** After this time an upstream's load report is too old to use. */
const REPORT_LIFETIME_MILLISECONDS = 400;

/** After this time a peer's report of its requests in flight is too old to use. */
const PEER_LIFETIME_MILLISECONDS = 2_000;

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
}

interface PeerLoads {
    readonly inFlight: Readonly<Record<string, number>>;
    readonly atMilliseconds: number;
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

    recordStarted(upstream: string): void {
        this.#load(upstream).inFlight += 1;
    }

    /** Records a peer's report that it has sent a request. */
    recordStartedByPeer(upstream: string): void {
        this.#load(upstream).sentByPeersSinceReport += 1;
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
        const age = nowMilliseconds - load.reportedAtMilliseconds;
        if (load.reported !== undefined && age < REPORT_LIFETIME_MILLISECONDS) {
            const sentSinceReport = load.inFlight - load.inFlightAtReport + load.sentByPeersSinceReport;
            return Math.max(load.inFlight, load.reported.running + load.reported.waiting + sentSinceReport);
        }
        return load.inFlight + this.#peersInFlight(upstream, nowMilliseconds);
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
        };
        this.#loads.set(upstream, load);
        return load;
    }
}
