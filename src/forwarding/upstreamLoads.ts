/**
 * How busy each upstream is, as far as this host can tell.
 *
 * @module
 */

/** A report of an upstream's load says little after this time. */
const REPORT_LIFETIME_MILLISECONDS = 400;

/** What a peer said of its own requests says little after this time. */
const PEER_LIFETIME_MILLISECONDS = 2_000;

/** Load that an upstream reports with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

interface Load {
    /** Requests of this host that the upstream has now. */
    inFlight: number;
    reported: ReportedLoad | undefined;
    reportedAtMilliseconds: number;
    /** Requests of this host that the upstream had at its last report. */
    inFlightAtReport: number;
    /** Requests that peers have sent since the last report. */
    sentByPeersSinceReport: number;
}

interface PeerLoads {
    readonly inFlight: Readonly<Record<string, number>>;
    readonly atMilliseconds: number;
}

/**
 * Joins what upstreams report of their load, which lags, with what this host and its peers have sent them since.
 *
 * @example
 * ```ts
 * const loads = new UpstreamLoads();
 * loads.started("engine-3");
 * const requests = loads.estimate("engine-3", now);
 * ```
 */
export class UpstreamLoads {
    readonly #loads = new Map<string, Load>();
    readonly #peers = new Map<string, PeerLoads>();

    started(upstream: string): void {
        this.#load(upstream).inFlight += 1;
    }

    /** Takes a peer's word that it has sent a request. */
    startedByPeer(upstream: string): void {
        this.#load(upstream).sentByPeersSinceReport += 1;
    }

    finished(upstream: string): void {
        const load = this.#load(upstream);
        load.inFlight = Math.max(0, load.inFlight - 1);
    }

    report(upstream: string, reported: ReportedLoad, nowMilliseconds: number): void {
        const load = this.#load(upstream);
        load.reported = reported;
        load.reportedAtMilliseconds = nowMilliseconds;
        load.inFlightAtReport = load.inFlight;
        load.sentByPeersSinceReport = 0;
    }

    /** Takes what a peer has in flight at each upstream. */
    recordPeerRequests(host: string, inFlight: Readonly<Record<string, number>>, nowMilliseconds: number): void {
        this.#peers.set(host, { inFlight, atMilliseconds: nowMilliseconds });
    }

    /** Tells whether a peer had requests at an upstream when it was heard last. */
    usesUpstream(host: string, upstream: string, nowMilliseconds: number): boolean {
        const peer = this.#peers.get(host);
        return peer !== undefined && nowMilliseconds - peer.atMilliseconds < PEER_LIFETIME_MILLISECONDS
            && (peer.inFlight[upstream] ?? 0) > 0;
    }

    /** Gives how many requests the upstream probably has, running and waiting. */
    estimate(upstream: string, nowMilliseconds: number): number {
        const load = this.#load(upstream);
        const age = nowMilliseconds - load.reportedAtMilliseconds;
        if (load.reported !== undefined && age < REPORT_LIFETIME_MILLISECONDS) {
            const since = load.inFlight - load.inFlightAtReport + load.sentByPeersSinceReport;
            return Math.max(load.inFlight, load.reported.running + load.reported.waiting + since);
        }
        return load.inFlight + this.#peersInFlight(upstream, nowMilliseconds);
    }

    inFlight(upstream: string): number {
        return this.#loads.get(upstream)?.inFlight ?? 0;
    }

    /** Gives this host's requests at each upstream, without those that have none. */
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
        let sum = 0;
        for (const { inFlight, atMilliseconds } of this.#peers.values()) {
            if (nowMilliseconds - atMilliseconds < PEER_LIFETIME_MILLISECONDS) {
                sum += inFlight[upstream] ?? 0;
            }
        }
        return sum;
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
