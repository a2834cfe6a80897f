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

    begin(engine: string, adapter: string): void {
        const adapters = this.#engines.get(engine) ?? new Map<string, number>();
        this.#engines.set(engine, adapters);
        adapters.set(adapter, (adapters.get(adapter) ?? 0) + 1);
    }

    end(engine: string, adapter: string): void {
        const adapters = this.#engines.get(engine);
        const count = adapters?.get(adapter) ?? 0;
        if (count > 1) {
            adapters?.set(adapter, count - 1);
            return;
        }
        adapters?.delete(adapter);
        if (adapters?.size === 0) {
            this.#engines.delete(engine);
        }
    }

    all(): Record<string, string[]> {
        return Object.fromEntries([...this.#engines].map(([engine, adapters]) => [engine, [...adapters.keys()]]));
    }
}
