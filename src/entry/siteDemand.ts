/**
 * The demand of the whole site: what this host was asked for, and what peers told of theirs.
 *
 * @module
 */
import { type HostDigest } from "../generated/gossip.js";
import { DemandMeter } from "./demandMeter.js";

/** Demand that a peer told counts for this long. */
const PEER_DEMAND_MILLISECONDS = 2_000;

/** Demand by model, in requests that would run at once: of all requests, and of those that name an adapter. */
export type ToldDemand = Pick<HostDigest, "demand" | "adapterDemand">;

/** A request as demand counts it. */
export interface DemandedWork {
    readonly model: string;
    readonly namesAdapter: boolean;
    readonly work: number;
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
    readonly #own = { demand: new DemandMeter(), adapterDemand: new DemandMeter() };
    readonly #peers = new Map<string, ToldDemand & { readonly atMilliseconds: number; }>();

    /** Takes a request of a caller of this host. */
    add({ model, namesAdapter, work }: DemandedWork, nowMilliseconds: number): void {
        this.#own.demand.add(model, work, nowMilliseconds);
        if (namesAdapter) {
            this.#own.adapterDemand.add(model, work, nowMilliseconds);
        }
    }

    /** Takes how long an engine ran a request. */
    noteRun(work: number, tookMilliseconds: number): void {
        this.#own.demand.noteRun(work, tookMilliseconds);
        this.#own.adapterDemand.noteRun(work, tookMilliseconds);
    }

    takePeer(host: string, { adapterDemand, demand }: ToldDemand, nowMilliseconds: number): void {
        this.#peers.set(host, { adapterDemand, demand, atMilliseconds: nowMilliseconds });
    }

    /** What this host tells its peers. */
    own(nowMilliseconds: number): ToldDemand {
        return {
            demand: this.#own.demand.concurrency(nowMilliseconds),
            adapterDemand: this.#own.adapterDemand.concurrency(nowMilliseconds),
        };
    }

    /** Gives the demand of all hosts by model. */
    total(part: keyof ToldDemand, nowMilliseconds: number): ReadonlyMap<string, number> {
        const total = new Map(Object.entries(this.#own[part].concurrency(nowMilliseconds)));
        for (const { atMilliseconds, [part]: demand } of this.#peers.values()) {
            if (nowMilliseconds - atMilliseconds < PEER_DEMAND_MILLISECONDS) {
                Object.entries(demand).forEach(([model, rate]) => total.set(model, (total.get(model) ?? 0) + rate));
            }
        }
        return total;
    }
}
