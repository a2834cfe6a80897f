/**
 * The prefix cache of an engine stand-in and the events it publishes, late and with gaps.
 *
 * @module
 */

/** A change of the prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly prefixKey: string;
    readonly cached: boolean;
}

/** What a prefix cache is made with. */
export interface EngineCacheOptions {
    readonly entries: number;
    readonly eventLagMilliseconds: number;
    /** Each event whose sequence is a multiple of this is lost; 0 loses none. */
    readonly loseEveryEvent: number;
    readonly readClock: () => number;
}

/** A cache of prompt prefixes that drops the least recently used. */
export class EngineCache {
    readonly #options: EngineCacheOptions;
    readonly #cached = new Set<string>();
    readonly #events: { readonly at: number; readonly event: CacheEvent; }[] = [];
    #sequence = 0;

    constructor(options: EngineCacheOptions) {
        this.#options = options;
    }

    /** Gives how many of the keys, from the first on, were cached, and caches them all. */
    use(prefixKeys: readonly string[]): number {
        const firstMissing = prefixKeys.findIndex(key => !this.#cached.has(key));
        prefixKeys.forEach(key => {
            const known = this.#cached.delete(key);
            this.#cached.add(key);
            if (!known) {
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

    /** Gives the events after a sequence that are old enough to be seen. */
    eventsAfter(sequence: number): { events: CacheEvent[]; next: number; } {
        const newest = this.#options.readClock() - this.#options.eventLagMilliseconds;
        const visible = this.#events.filter(({ at, event }) => at <= newest && event.sequence > sequence);
        const lose = this.#options.loseEveryEvent;
        const events = visible.map(({ event }) => event);
        return {
            events: events.filter(event => lose === 0 || event.sequence % lose !== 0),
            next: events.at(-1)?.sequence ?? sequence,
        };
    }

    #publish(prefixKey: string, cached: boolean): void {
        this.#sequence += 1;
        this.#events.push({ at: this.#options.readClock(), event: { sequence: this.#sequence, prefixKey, cached } });
    }
}
