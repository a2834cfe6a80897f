/**
 * Adapters that this host's requests use on each engine.
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

    /** Takes note of one more request; true where it is the only one. */
    begin(engine: string, adapter: string): boolean {
        const adapters = this.#engines.get(engine) ?? new Map<string, number>();
        this.#engines.set(engine, adapters);
        const count = (adapters.get(adapter) ?? 0) + 1;
        adapters.set(adapter, count);
        return count === 1;
    }

    /** Takes note of one request fewer; true where none is left. */
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

    all(): Record<string, string[]> {
        return Object.fromEntries([...this.#engines].map(([engine, adapters]) => [engine, [...adapters.keys()]]));
    }
}
