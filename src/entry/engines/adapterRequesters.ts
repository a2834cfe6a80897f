/**
 * Hosts that recently requested an adapter, and so are sent the changes of its engine's memory.
 *
 * @module
 */

/** A host that has not repeated its request for this long has got the adapter or needs it no longer. */
const ADAPTER_REQUEST_LIFETIME_MILLISECONDS = 1_200;

/**
 * Records which hosts requested an adapter on which engine.
 *
 * @example
 * ```ts
 * const requesters = new AdapterRequesters();
 * requesters.record("engine-3", "entry-2", now);
 * requesters.hostsFor("engine-3", now); // ["entry-2"]
 * ```
 */
export class AdapterRequesters {
    readonly #engines = new Map<string, Map<string, number>>();

    record(engine: string, host: string, nowMilliseconds: number): void {
        const hosts = this.#engines.get(engine) ?? new Map<string, number>();
        this.#engines.set(engine, hosts);
        hosts.set(host, nowMilliseconds);
    }

    /** Returns the hosts with a recent adapter request on an engine. */
    hostsFor(engine: string, nowMilliseconds: number): string[] {
        const hosts = this.#engines.get(engine) ?? new Map<string, number>();
        for (const [host, atMilliseconds] of hosts) {
            if (nowMilliseconds - atMilliseconds > ADAPTER_REQUEST_LIFETIME_MILLISECONDS) {
                hosts.delete(host);
            }
        }
        if (hosts.size === 0) {
            this.#engines.delete(engine);
        }
        return [...hosts.keys()];
    }
}
