/**
 * Tracks the adapters that this host's requests use on each engine.
 *
 * @module
 */

/**
 * Counts requests by engine and adapter.
 *
 * @example
 * ```ts
 * const use = new AdapterUse();
 * use.begin("engine-3", "quotes/a1");
 * use.all(); // { "engine-3": ["quotes/a1"] }
 * ```
 */
export class AdapterUse {
    readonly #engines = new Map<string, Map<string, number>>();

    /** Records the start of a request; returns true where it is the only one that uses the adapter. */
    begin(engine: string, adapter: string): boolean {
        const adapters = this.#engines.get(engine) ?? new Map<string, number>();
        this.#engines.set(engine, adapters);
        const count = (adapters.get(adapter) ?? 0) + 1;
        adapters.set(adapter, count);
        return count === 1;
    }

    /** Records the end of a request; returns true where no other one uses the adapter. */
    end(engine: string, adapter: string): boolean {
        const adapters = this.#engines.get(engine);
        const count = adapters?.get(adapter) ?? 0;
        if (count > 1) {
            adapters?.set(adapter, count - 1);
            return false;
        }
        adapters?.delete(adapter);
        if (adapters?.size === 0) {
            this.#engines.delete(engine);
        }
        return true;
    }

    /** Returns the adapters in use by engine. */
    all(): Record<string, string[]> {
        return Object.fromEntries([...this.#engines].map(([engine, adapters]) => [engine, [...adapters.keys()]]));
    }
}
