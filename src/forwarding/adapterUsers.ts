/**
 * Tracks the adapters that all hosts' requests use on each engine.
 *
 * @module
 */

/** A host from which nothing was received for this long counts as stopped, and its requests as ended. */
const HOST_LIFETIME_MILLISECONDS = 2_000;

/** Adapters that one host's requests use, by engine. */
interface HostUse {
    readonly adapters: Map<string, Set<string>>;
    receivedAtMilliseconds: number;
}

/**
 * Applies each host's reports of the start and end of a use, and the full lists in its digests, which correct for
 * reports in lost datagrams.
 *
 * @example
 * ```ts
 * const users = new AdapterUsers();
 * users.recordUse("entry-2", { engine: "engine-3", adapter: "quotes/a1", inUse: true }, now);
 * users.isUsed("engine-3", "quotes/a1", now); // true
 * ```
 */
export class AdapterUsers {
    readonly #hosts = new Map<string, HostUse>();

    /** Records a host's report that its first request began to use an adapter, or that its last one ended. */
    recordUse(
        host: string,
        use: { readonly engine: string; readonly adapter: string; readonly inUse: boolean; },
        nowMilliseconds: number,
    ): void {
        const hostUse: HostUse = this.#hosts.get(host)
            ?? { adapters: new Map(), receivedAtMilliseconds: nowMilliseconds };
        hostUse.receivedAtMilliseconds = nowMilliseconds;
        this.#hosts.set(host, hostUse);
        const adapters = hostUse.adapters.get(use.engine) ?? new Set<string>();
        hostUse.adapters.set(use.engine, adapters);
        if (use.inUse) {
            adapters.add(use.adapter);
        }
        else {
            adapters.delete(use.adapter);
        }
    }

    /** Replaces all adapter uses of a host by those in its digest. */
    replaceUses(
        host: string,
        adaptersInUse: Readonly<Record<string, readonly string[]>>,
        nowMilliseconds: number,
    ): void {
        const adapters = new Map(Object.entries(adaptersInUse).map(([engine, used]) => [engine, new Set(used)]));
        this.#hosts.set(host, { adapters, receivedAtMilliseconds: nowMilliseconds });
    }

    /** Returns whether a request of any host uses an adapter on an engine. */
    isUsed(engine: string, adapter: string, nowMilliseconds: number): boolean {
        for (const { adapters, receivedAtMilliseconds } of this.#hosts.values()) {
            const isRecent = nowMilliseconds - receivedAtMilliseconds < HOST_LIFETIME_MILLISECONDS;
            if (isRecent && adapters.get(engine)?.has(adapter) === true) {
                return true;
            }
        }
        return false;
    }
}
