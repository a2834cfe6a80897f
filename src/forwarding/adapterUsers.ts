/**
 * Which hosts' requests use which adapters on which engines.
 *
 * @module
 */

/** A host that was not heard for this long counts as gone, with its requests. */
const HOST_LIFETIME_MILLISECONDS = 2_000;

/** What one host's requests use, by engine. */
interface HostUse {
    readonly adapters: Map<string, Set<string>>;
    heardAtMilliseconds: number;
}

/**
 * Joins every host's word at the begin and the end of a use with the full list that its digests carry, which mends what
 * lost datagrams left out.
 *
 * @example
 * ```ts
 * const users = new AdapterUsers();
 * users.take("entry-2", { engine: "engine-3", adapter: "quotes/a1", inUse: true }, now);
 * users.isUsed("engine-3", "quotes/a1", now); // true
 * ```
 */
export class AdapterUsers {
    readonly #hosts = new Map<string, HostUse>();

    /** Takes a host's word that its first request began to use an adapter, or that its last one ended. */
    recordUse(
        host: string,
        use: { readonly engine: string; readonly adapter: string; readonly inUse: boolean; },
        nowMilliseconds: number,
    ): void {
        const known: HostUse = this.#hosts.get(host) ?? { adapters: new Map(), heardAtMilliseconds: nowMilliseconds };
        known.heardAtMilliseconds = nowMilliseconds;
        this.#hosts.set(host, known);
        const adapters = known.adapters.get(use.engine) ?? new Set<string>();
        known.adapters.set(use.engine, adapters);
        if (use.inUse) {
            adapters.add(use.adapter);
        }
        else {
            adapters.delete(use.adapter);
        }
    }

    /** Takes all that a host's requests use. */
    replaceUses(
        host: string,
        adaptersInUse: Readonly<Record<string, readonly string[]>>,
        nowMilliseconds: number,
    ): void {
        const adapters = new Map(Object.entries(adaptersInUse).map(([engine, used]) => [engine, new Set(used)]));
        this.#hosts.set(host, { adapters, heardAtMilliseconds: nowMilliseconds });
    }

    /** Tells whether a request of any host uses an adapter on an engine. */
    isUsed(engine: string, adapter: string, nowMilliseconds: number): boolean {
        for (const { adapters, heardAtMilliseconds } of this.#hosts.values()) {
            const isHeard = nowMilliseconds - heardAtMilliseconds < HOST_LIFETIME_MILLISECONDS;
            if (isHeard && adapters.get(engine)?.has(adapter) === true) {
                return true;
            }
        }
        return false;
    }
}
