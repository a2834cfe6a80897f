/**
 * The demand of the whole site: what this host was asked for, and what peers told of theirs.
 *
 * @module
 */
import { type FirstTokenObservation, PrefillThroughput } from "../forwarding/index.js";
import { type HostDigest } from "../generated/gossip.js";
import { DemandMeter } from "./demandMeter.js";

/** Demand that a peer told counts for this long. */
const PEER_DEMAND_MILLISECONDS = 2_000;

/**
 * Demand by model: in requests that would run at once, of all requests and of those that name an adapter; and in engines
 * that reading their prompts would keep busy.
 */
export type PublishedDemand = Pick<HostDigest, "demand" | "adapterDemand" | "readingDemand">;

/** A request as demand counts it. */
export interface DemandedWork {
    readonly model: string;
    readonly namesAdapter: boolean;
    readonly work: number;
    readonly promptTokens: number;
}

/**
 * Adds this host's demand to what its peers told lately.
 *
 * @example
 * ```ts
 * const demand = new SiteDemand();
 * demand.add({ model: "quotes", namesAdapter: false, work: 320 }, now);
 * demand.takePeer("entry-2", digest, now);
 * demand.total("demand", now); // Map { "quotes" => 4.1 }
 * ```
 */
export class SiteDemand {
    readonly #requests = new DemandMeter();
    readonly #adapterRequests = new DemandMeter();
    readonly #prompts = new DemandMeter();
    readonly #readingSpeed = new PrefillThroughput();
    readonly #peers = new Map<string, PublishedDemand & { readonly atMilliseconds: number; }>();

    /** Takes a request of a caller of this host. */
    add({ model, namesAdapter, promptTokens, work }: DemandedWork, nowMilliseconds: number): void {
        this.#requests.add(model, work, nowMilliseconds);
        this.#prompts.add(model, promptTokens, nowMilliseconds);
        if (namesAdapter) {
            this.#adapterRequests.add(model, work, nowMilliseconds);
        }
    }

    /** Takes how long an engine ran a request. */
    recordRun(work: number, tookMilliseconds: number): void {
        this.#requests.recordRun(work, tookMilliseconds);
        this.#adapterRequests.recordRun(work, tookMilliseconds);
    }

    /** Takes a first token, which tells how fast engines read. */
    recordFirstToken(firstToken: FirstTokenObservation): void {
        this.#readingSpeed.record(firstToken);
    }

    recordPeerDemand(host: string, told: PublishedDemand, nowMilliseconds: number): void {
        const { adapterDemand, demand, readingDemand } = told;
        this.#peers.set(host, { adapterDemand, demand, readingDemand, atMilliseconds: nowMilliseconds });
    }

    /** What this host tells its peers. */
    own(nowMilliseconds: number): PublishedDemand {
        return {
            demand: this.#ownPart("demand", nowMilliseconds),
            adapterDemand: this.#ownPart("adapterDemand", nowMilliseconds),
            readingDemand: this.#ownPart("readingDemand", nowMilliseconds),
        };
    }

    /** Gives the demand of all hosts by model. */
    total(part: keyof PublishedDemand, nowMilliseconds: number): ReadonlyMap<string, number> {
        const total = new Map<string, number>();
        for (const demand of this.#parts(part, nowMilliseconds)) {
            Object.entries(demand).forEach(([model, rate]) => total.set(model, (total.get(model) ?? 0) + rate));
        }
        return total;
    }

    /** Tells whether any host is asked for a model. */
    hasDemand(nowMilliseconds: number): boolean {
        return this.#parts("demand", nowMilliseconds).some(demand => Object.keys(demand).length > 0);
    }

    /** Tokens that an engine reads in a millisecond beside its streams; `undefined` while too little is known. */
    get prefillTokensPerMillisecond(): number | undefined {
        return this.#readingSpeed.tokensPerMillisecond;
    }

    /** This host's demand, and that of the peers that told theirs lately. */
    #parts(part: keyof PublishedDemand, nowMilliseconds: number): Readonly<Record<string, number>>[] {
        const fresh = [...this.#peers.values()].filter(({ atMilliseconds }) =>
            nowMilliseconds - atMilliseconds < PEER_DEMAND_MILLISECONDS
        );
        return [this.#ownPart(part, nowMilliseconds), ...fresh.map(peer => peer[part])];
    }

    #ownPart(part: keyof PublishedDemand, nowMilliseconds: number): Record<string, number> {
        switch (part) {
            case "demand":
                return this.#requests.concurrency(nowMilliseconds);
            case "adapterDemand":
                return this.#adapterRequests.concurrency(nowMilliseconds);
            case "readingDemand": {
                const speed = this.#readingSpeed.tokensPerMillisecond;
                return speed === undefined ? {} : this.#prompts.busyEngines(speed, nowMilliseconds);
            }
        }
    }
}
