import { type HeldModels, type ModelAdapter } from "./_heldModels.js";
import { nameAdapter, splitAdapterName } from "./adapterName.js";

/** Time after which an accepted adapter load counts as finished. */
const ADAPTER_LOAD_MILLISECONDS = 12;

/** Maximum number of adapters that load on an engine at once. */
const MAXIMUM_ADAPTER_LOADS = 4;

/** An adapter loaded or used within this time is not unloaded: the request that needs it may still be in flight. */
const ADAPTER_RETENTION_MILLISECONDS = 150;

/** An adapter request that is not repeated within this time expires. */
const ADAPTER_REQUEST_LIFETIME_MILLISECONDS = 1_000;

/** View of the adapters that requests on the engine use. */
export interface AdapterUseView {
    /** Returns whether a request uses an adapter, given by its name from `nameAdapter`. */
    readonly isAdapterUsed: (adapter: string) => boolean;
}

/** An order that adapters need next. */
export interface AdapterStep extends ModelAdapter {
    readonly operation: "load" | "unload";
    readonly reason: "wanted" | "make-room";
}

/** Options of {@linkcode AdapterLoads}. */
export interface AdapterLoadsOptions {
    readonly held: HeldModels;
    /** Adapters that the engine has room for. */
    readonly slots: number;
    readonly use: AdapterUseView;
}

interface AdapterRequest extends ModelAdapter {
    readonly atMilliseconds: number;
}

/** The adapters that requests ask for on an engine, and those that it is loading. */
export class AdapterLoads {
    readonly #options: AdapterLoadsOptions;
    readonly #requests = new Map<string, AdapterRequest>();
    /** Adapters that are loading, and when each counts as loaded. */
    readonly #readyAtMilliseconds = new Map<string, number>();

    constructor(options: AdapterLoadsOptions) {
        this.#options = options;
    }

    get isLoading(): boolean {
        return this.#readyAtMilliseconds.size > 0;
    }

    /** Earliest time at which a loading adapter counts as loaded; `undefined` where none is loading. */
    get nextReadyMilliseconds(): number | undefined {
        return this.isLoading ? Math.min(...this.#readyAtMilliseconds.values()) : undefined;
    }

    request({ adapter, model }: ModelAdapter, nowMilliseconds: number): void {
        this.#requests.set(nameAdapter(model, adapter), { model, adapter, atMilliseconds: nowMilliseconds });
    }

    /** Records that the engine loads an adapter, or has it already. */
    start({ adapter, model }: ModelAdapter, isHeld: boolean, nowMilliseconds: number): void {
        const durationMilliseconds = isHeld ? 0 : ADAPTER_LOAD_MILLISECONDS;
        this.#readyAtMilliseconds.set(nameAdapter(model, adapter), nowMilliseconds + durationMilliseconds);
    }

    /** Moves adapters whose load counts as finished to those that the engine holds; returns their number. */
    finish(nowMilliseconds: number): number {
        const finished = [...this.#readyAtMilliseconds].filter(([, readyAt]) => nowMilliseconds >= readyAt);
        for (const [name] of finished) {
            this.#readyAtMilliseconds.delete(name);
            this.#options.held.addAdapter(splitAdapterName(name), nowMilliseconds);
            this.#requests.delete(name);
        }
        return finished.length;
    }

    /** Returns the order that the first request in turn needs. */
    nextStep(nowMilliseconds: number): AdapterStep | undefined {
        this.#dropSettled(nowMilliseconds);
        const { held, slots } = this.#options;
        for (const [name, { adapter, model }] of this.#requests) {
            const isFull = this.#readyAtMilliseconds.size >= MAXIMUM_ADAPTER_LOADS;
            if (!held.has(model) || this.#readyAtMilliseconds.has(name) || isFull) {
                continue;
            }
            if (held.adapterCount + this.#readyAtMilliseconds.size < slots) {
                return { operation: "load", model, adapter, reason: "wanted" };
            }
            const evicted = this.#findEvictable(nowMilliseconds);
            if (evicted !== undefined) {
                return { operation: "unload", ...evicted, reason: "make-room" };
            }
        }
        return undefined;
    }

    /** Ends the loads, whose outcome is unknown. */
    clear(): void {
        this.#readyAtMilliseconds.clear();
    }

    /** Drops the requests for adapters that the engine holds, and those that were not repeated. */
    #dropSettled(nowMilliseconds: number): void {
        for (const [name, request] of this.#requests) {
            const isExpired = nowMilliseconds - request.atMilliseconds > ADAPTER_REQUEST_LIFETIME_MILLISECONDS;
            if (isExpired || this.#options.held.hasAdapter(request)) {
                this.#requests.delete(name);
            }
        }
    }

    #findEvictable(nowMilliseconds: number): ModelAdapter | undefined {
        const { held, use } = this.#options;
        return held.leastRecentlyUsed(
            nowMilliseconds - ADAPTER_RETENTION_MILLISECONDS,
            ({ adapter, model }) => use.isAdapterUsed(nameAdapter(model, adapter)),
        );
    }
}
