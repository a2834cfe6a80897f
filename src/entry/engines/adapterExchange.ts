/**
 * What hosts tell each other of adapters: requests for adapters, and which adapters are in use.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { AdapterUse, AdapterUsers } from "../../forwarding/index.js";
import { type AdapterWish } from "../../generated/gossip.js";
import { type PeerTable } from "../../gossip/index.js";
import { splitAdapterName } from "../../placement/index.js";
import { RecentMessages } from "./_recentMessages.js";
import { AdapterRequesters } from "./adapterRequesters.js";
import { type AdapterRequest, type AdapterUseReport, type EngineGossip } from "./engineGossip.js";
import { type EngineMemories } from "./engineMemories.js";
import { type EngineOrders } from "./engineOrders.js";

/** Requests for one adapter of all waiting requests together; less than the interval at which each repeats its own. */
const REQUEST_INTERVAL_MILLISECONDS = 100;

/** Options of {@linkcode AdapterExchange}. */
export interface AdapterExchangeOptions {
    readonly host: string;
    readonly duties: EngineDuties;
    readonly gossip: Pick<EngineGossip, "reportAdapterUse" | "requestAdapter">;
    readonly memories: EngineMemories;
    readonly orders: EngineOrders;
    readonly peers: PeerTable;
    readonly readClock: () => number;
}

/**
 * Passes requests for adapters, and reports of their use, to the engines' holders.
 *
 * @example
 * ```ts
 * const adapters = new AdapterExchange(options);
 * adapters.request("engine-3", "small", "tone");
 * adapters.reportUse("engine-3", "small:tone", true);
 * ```
 */
export class AdapterExchange {
    /** The adapters that requests of this host use. */
    readonly use = new AdapterUse();
    readonly #options: AdapterExchangeOptions;
    readonly #users = new AdapterUsers();
    readonly #requesters = new AdapterRequesters();
    readonly #recentRequests = new RecentMessages(REQUEST_INTERVAL_MILLISECONDS);

    constructor(options: AdapterExchangeOptions) {
        this.#options = options;
    }

    /** Requests an adapter from the engine's holder; false where this host knows of no holder. */
    request(engine: string, model: string, adapter: string): boolean {
        const { duties, host, orders } = this.#options;
        const holder = duties.holderOf(engine);
        if (holder === host) {
            return orders.requestAdapter(engine, model, adapter);
        }
        return holder !== undefined && this.#requestFrom(holder, { engine, model, adapter });
    }

    /** Handles a peer's request for an adapter; sends the engine's memory where it already holds the adapter. */
    receiveRequest({ adapter, engine, host, model }: AdapterWish): void {
        const { memories, orders, readClock } = this.#options;
        this.#requesters.record(engine, host, readClock());
        orders.requestAdapter(engine, model, adapter);
        const held = orders.recordOf(engine)?.models.find(({ name }) => name === model);
        if (held?.adapters.includes(adapter) === true) {
            memories.sendTo(host, engine);
        }
    }

    /** Returns the hosts with a recent request for an adapter on an engine. */
    requestersOf(engine: string): readonly string[] {
        return this.#requesters.hostsFor(engine, this.#options.readClock());
    }

    /** Returns whether a request of any host uses an adapter, named with its model. */
    isUsed(engine: string, adapter: string): boolean {
        return this.#users.isUsed(engine, adapter, this.#options.readClock());
    }

    /** Records an adapter use: adapters in use are not evicted, others in order of their last use. */
    recordUse({ adapter, engine, host, inUse }: AdapterUseReport): void {
        const { orders, readClock } = this.#options;
        this.#users.recordUse(host, { engine, adapter, inUse }, readClock());
        const name = splitAdapterName(adapter);
        orders.recordAdapterUse(engine, name.model, name.adapter);
    }

    /** Records all adapters in use by a host, as its digest states them. */
    replaceUses(host: string, uses: Readonly<Record<string, readonly string[]>>): void {
        this.#users.replaceUses(host, uses, this.#options.readClock());
    }

    /** Reports to the engine's holder that requests of this host began or ceased to use an adapter. */
    reportUse(engine: string, adapter: string, inUse: boolean): void {
        const { duties, gossip, host } = this.#options;
        const use = { host, engine, adapter, inUse };
        this.recordUse(use);
        const holder = duties.holderOf(engine);
        if (holder !== undefined) {
            gossip.reportAdapterUse(holder, use);
        }
    }

    /** Records the adapters that requests of this host use now. */
    recordOwnUses(): void {
        this.replaceUses(this.#options.host, this.use.all());
    }

    /** Resends adapter uses to holders in other cells: they get no digests, and datagrams may be lost. */
    resendUses(): void {
        const { duties, gossip, host, peers } = this.#options;
        const cellPeers = new Set(peers.cellPeers().map(peer => peer.host));
        for (const [engine, adapters] of Object.entries(this.use.all())) {
            const holder = duties.holderOf(engine);
            if (holder !== undefined && holder !== host && !cellPeers.has(holder)) {
                adapters.forEach(adapter => gossip.reportAdapterUse(holder, { host, engine, adapter, inUse: true }));
            }
        }
    }

    /** Requests an adapter from another host, unless that was done a moment ago; false where the host is not known. */
    #requestFrom(holder: string, request: AdapterRequest): boolean {
        const { gossip, readClock } = this.#options;
        const parts = [holder, request.engine, request.model, request.adapter];
        if (this.#recentRequests.has(parts, readClock())) {
            return true;
        }
        const isSent = gossip.requestAdapter(holder, request);
        if (isSent) {
            this.#recentRequests.record(parts, readClock());
        }
        return isSent;
    }
}
