/**
 * The memory of engines as hosts tell each other: applies what peers publish, and publishes that of the own engines.
 *
 * @module
 */
import { type EngineMemory } from "../../generated/gossip.js";
import { type EngineRecord } from "../../placement/index.js";
import { toMemory } from "../_gossipParts.js";
import { type UpstreamTracker } from "../upstreamTracker.js";
import { type EngineGossip } from "./engineGossip.js";

/** Options of {@linkcode EngineMemories}. */
export interface EngineMemoriesOptions {
    readonly gossip: Pick<EngineGossip, "publishEngineMemory" | "sendEngineMemory">;
    readonly upstreams: UpstreamTracker;
    readonly readClock: () => number;
    /** Returns the memory record of an engine that this host manages; `undefined` for other engines. */
    readonly ownRecord: (engine: string) => EngineRecord | undefined;
    /** Returns the hosts of any cell that get an engine's memory at once. */
    readonly receivers: (engine: string) => readonly string[];
    /** A change occurred that a waiting request may be waiting for. */
    readonly onChanged: () => void;
}

/**
 * Keeps the view of what engines hold current.
 *
 * @example
 * ```ts
 * const memories = new EngineMemories(options);
 * memories.apply([memory]);
 * memories.sendTo("entry-2", "engine-3");
 * ```
 */
export class EngineMemories {
    readonly #options: EngineMemoriesOptions;

    constructor(options: EngineMemoriesOptions) {
        this.#options = options;
    }

    /** Applies the memories of engines that their holders published; reports one change for all. */
    apply(memories: readonly EngineMemory[]): void {
        const changed = memories.filter(memory => this.#applyOne(memory));
        if (changed.length > 0) {
            this.#options.onChanged();
        }
    }

    /** Returns whether the memory of a known engine changed. */
    #applyOne(memory: EngineMemory): boolean {
        const { readClock, upstreams } = this.#options;
        const record: EngineRecord = {
            engine: memory.engine,
            startedAtMilliseconds: memory.startedAtMilliseconds,
            orderCount: memory.orderCount,
            models: memory.models,
            loading: memory.loading,
        };
        const isKnown = upstreams.view.get(memory.engine) !== undefined;
        return isKnown && upstreams.residency.applyRecord(record, readClock());
    }

    /** Applies and publishes the memory of an engine that this host manages. */
    publish(record: EngineRecord): void {
        const { gossip, onChanged, readClock, receivers, upstreams } = this.#options;
        upstreams.residency.applyRecord(record, readClock());
        onChanged();
        gossip.publishEngineMemory(toMemory(record), receivers(record.engine));
    }

    /** Sends an engine's memory to a host, where this host manages the engine. */
    sendTo(host: string, engine: string): void {
        const record = this.#options.ownRecord(engine);
        if (record !== undefined) {
            this.#options.gossip.sendEngineMemory(host, toMemory(record));
        }
    }
}
