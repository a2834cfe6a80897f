/**
 * Demand of the whole site: that of this host's callers, and the demand that peers published.
 *
 * @module
 */
import { type FirstTokenObservation, PrefillThroughput } from "../forwarding/index.js";
import { type HostDigest } from "../generated/gossip.js";
import { DemandMeter } from "./demandMeter.js";

/** Time for which a peer's published demand counts. */
const PEER_DEMAND_MILLISECONDS = 2_000;

/** Weight of the latest run in the mean duration of runs. */
const RUN_WEIGHT = 0.05;

/**
 * Demand by model: in concurrent requests, of all requests and of those that name an adapter; and in engines that would
 * be kept busy by prefill of their prompts.
 */
export type PublishedDemand = Pick<HostDigest, "demand" | "adapterDemand" | "readingDemand">;

/** The properties of a request that demand is computed from. */
export interface DemandedWork {
    readonly model: string;
    readonly namesAdapter: boolean;
    readonly work: number;
    readonly promptTokens: number;
}

/** Options of {@linkcode SiteDemand}. */
export interface SiteDemandOptions {
    /** Returns whether any engine may run a model; what callers ask of others is not kept. */
    readonly mayRun: (model: string) => boolean;
}

/**
 * Adds this host's demand to that which its peers published recently.
 *
 * @example
 * ```ts
 * const demand = new SiteDemand({ mayRun: model => configuredModels.has(model) });
 * demand.add({ model: "quotes", namesAdapter: false, work: 320, promptTokens: 700 }, now);
 * demand.recordPeerDemand("entry-2", digest, now);
 * demand.total("demand", now); // Map { "quotes" => 4.1 }
 * ```
 */
export class SiteDemand {
    readonly #options: SiteDemandOptions;
    readonly #requests = new DemandMeter();
    readonly #adapterRequests = new DemandMeter();
    readonly #prompts = new DemandMeter();
    readonly #prefillThroughput = new PrefillThroughput();
    #meanRunMilliseconds: number | undefined;
    readonly #peers = new Map<string, PublishedDemand & { readonly atMilliseconds: number; }>();

    constructor(options: SiteDemandOptions) {
        this.#options = options;
    }

    /** Records a request of one of this host's callers. */
    add({ model, namesAdapter, promptTokens, work }: DemandedWork, nowMilliseconds: number): void {
        if (!this.#options.mayRun(model)) {
            return;
        }
        this.#requests.add(model, work, nowMilliseconds);
        this.#prompts.add(model, promptTokens, nowMilliseconds);
        if (namesAdapter) {
            this.#adapterRequests.add(model, work, nowMilliseconds);
        }
    }

    /** Records how long an engine ran a request. */
    recordRun(work: number, tookMilliseconds: number): void {
        this.#requests.recordRun(work, tookMilliseconds);
        this.#adapterRequests.recordRun(work, tookMilliseconds);
        const mean = this.#meanRunMilliseconds ?? tookMilliseconds;
        this.#meanRunMilliseconds = mean + RUN_WEIGHT * (tookMilliseconds - mean);
    }

    /** Records a first token, from which prefill throughput is estimated. */
    recordFirstToken(firstToken: FirstTokenObservation): void {
        this.#prefillThroughput.record(firstToken);
    }

    recordPeerDemand(host: string, published: PublishedDemand, nowMilliseconds: number): void {
        const { adapterDemand, demand, readingDemand } = published;
        this.#peers.set(host, { adapterDemand, demand, readingDemand, atMilliseconds: nowMilliseconds });
    }

    /** Returns this host's demand, which it publishes to its peers. */
    hostDemand(nowMilliseconds: number): PublishedDemand {
        return {
            demand: this.#hostPart("demand", nowMilliseconds),
            adapterDemand: this.#hostPart("adapterDemand", nowMilliseconds),
            readingDemand: this.#hostPart("readingDemand", nowMilliseconds),
        };
    }

    /** Returns the demand of all hosts by model. */
    total(part: keyof PublishedDemand, nowMilliseconds: number): ReadonlyMap<string, number> {
        const total = new Map<string, number>();
        for (const demand of this.#parts(part, nowMilliseconds)) {
            Object.entries(demand).forEach(([model, rate]) => total.set(model, (total.get(model) ?? 0) + rate));
        }
        return total;
    }

    /** Returns whether any host has demand for a model. */
    hasDemand(nowMilliseconds: number): boolean {
        return this.#parts("demand", nowMilliseconds).some(demand => Object.keys(demand).length > 0);
    }

    /** Mean time for which an engine runs a request; `undefined` until one was measured. */
    get meanRunMilliseconds(): number | undefined {
        return this.#meanRunMilliseconds;
    }

    /** Tokens that an engine prefills per millisecond while it runs streams; `undefined` until enough is measured. */
    get prefillTokensPerMillisecond(): number | undefined {
        return this.#prefillThroughput.tokensPerMillisecond;
    }

    /** Returns this host's demand, and that of each peer with recently published demand. */
    #parts(part: keyof PublishedDemand, nowMilliseconds: number): Readonly<Record<string, number>>[] {
        const recent = [...this.#peers.values()].filter(({ atMilliseconds }) =>
            nowMilliseconds - atMilliseconds < PEER_DEMAND_MILLISECONDS
        );
        return [this.#hostPart(part, nowMilliseconds), ...recent.map(peer => peer[part])];
    }

    #hostPart(part: keyof PublishedDemand, nowMilliseconds: number): Record<string, number> {
        switch (part) {
            case "demand":
                return this.#requests.concurrency(nowMilliseconds);
            case "adapterDemand":
                return this.#adapterRequests.concurrency(nowMilliseconds);
            case "readingDemand": {
                const tokensPerMillisecond = this.#prefillThroughput.tokensPerMillisecond;
                return tokensPerMillisecond === undefined
                    ? {}
                    : this.#prompts.busyEngines(tokensPerMillisecond, nowMilliseconds);
            }
        }
    }
}
