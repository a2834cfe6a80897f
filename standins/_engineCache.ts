/**
 * Prefix cache of an engine stand-in. Its events can be delayed and lost.
 *
 * @module
 */

/** A change of the prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly prefixKey: string;
    readonly cached: boolean;
}

/** Options of a prefix cache. */
export interface EngineCacheOptions {
    readonly entries: number;
    readonly eventLagMilliseconds: number;
    /** Events whose sequence is a multiple of this number are lost; 0 loses none. */
    readonly lostEventInterval: number;
    readonly readClock: () => number;
}

/** A cache of prompt prefixes that evicts the least recently used. */
export class EngineCache {
    readonly #options: EngineCacheOptions;
    readonly #cached = new Set<string>();
    readonly #events: { readonly publishedAt: number; readonly event: CacheEvent; }[] = [];
    #sequence = 0;

    constructor(options: EngineCacheOptions) {
        this.#options = options;
    }

    /** Caches all keys. Returns the number of leading keys that were cached before. */
    use(prefixKeys: readonly string[]): number {
        const firstMissing = prefixKeys.findIndex(key => !this.#cached.has(key));
        prefixKeys.forEach(key => {
            const wasCached = this.#cached.delete(key);
            this.#cached.add(key);
            if (!wasCached) {
                this.#publish(key, true);
            }
        });
        for (const oldest of this.#cached) {
            if (this.#cached.size <= this.#options.entries) {
                break;
            }
            this.#cached.delete(oldest);
            this.#publish(oldest, false);
        }
        return firstMissing === -1 ? prefixKeys.length : firstMissing;
    }

    /** Returns the events after a sequence number that are older than the event lag. */
    eventsAfter(sequence: number): { events: CacheEvent[]; next: number; } {
        const latestVisible = this.#options.readClock() - this.#options.eventLagMilliseconds;
        const visible = this.#events.filter(({ publishedAt, event }) =>
            publishedAt <= latestVisible && event.sequence > sequence
        );
        const lostEventInterval = this.#options.lostEventInterval;
        const events = visible.map(({ event }) => event);
        return {
            events: events.filter(event => lostEventInterval === 0 || event.sequence % lostEventInterval !== 0),
            next: events.at(-1)?.sequence ?? sequence,
        };
    }

    #publish(prefixKey: string, cached: boolean): void {
        this.#sequence += 1;
        this.#events.push({
            publishedAt: this.#options.readClock(),
            event: { sequence: this.#sequence, prefixKey, cached },
        });
    }
}
