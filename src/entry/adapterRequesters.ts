/**
 * Hosts that asked for an adapter a moment ago, and so are told what becomes of its engine.
 *
 * @module
 */

/** A host that has not repeated its wish for this long has what it wanted, or no request for it. */
const WISHER_LIFETIME_MILLISECONDS = 1_200;

/**
 * Remembers who asked for something on which engine.
 *
 * @example
 * ```ts
 * const wishers = new Wishers();
 * wishers.note("engine-3", "entry-2", now);
 * wishers.of("engine-3", now); // ["entry-2"]
 * ```
 */
export class AdapterRequesters {
    readonly #engines = new Map<string, Map<string, number>>();

    record(engine: string, host: string, nowMilliseconds: number): void {
        const hosts = this.#engines.get(engine) ?? new Map<string, number>();
        this.#engines.set(engine, hosts);
        hosts.set(host, nowMilliseconds);
    }

    hostsFor(engine: string, nowMilliseconds: number): string[] {
        const hosts = this.#engines.get(engine) ?? new Map<string, number>();
        for (const [host, atMilliseconds] of hosts) {
            if (nowMilliseconds - atMilliseconds > WISHER_LIFETIME_MILLISECONDS) {
                hosts.delete(host);
            }
        }
        if (hosts.size === 0) {
            this.#engines.delete(engine);
        }
        return [...hosts.keys()];
    }
}
