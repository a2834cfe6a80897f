/**
 * Gives each host upstreams that it prefers, so that hosts do not all choose the same.
 *
 * @module
 */
import { hashText } from "../decision/index.js";

const HASH_RANGE = 2 ** 32;

/**
 * Ranks upstreams differently for each host. Hosts learn late what others send. While each has other upstreams that it
 * prefers, few send to one upstream at the same time, and their own answers tell them of its load.
 *
 * @example
 * ```ts
 * const preferences = new HostPreferences("entry-1");
 * preferences.of("engine-3"); // 0.71, always the same for this host
 * ```
 */
export class HostPreferences {
    readonly #host: string;
    readonly #ranks = new Map<string, number>();

    /** @param host The host that chooses. */
    constructor(host: string) {
        this.#host = host;
    }

    /** Returns a number from 0 (preferred most) to 1 that is fixed for this host and the upstream. */
    of(upstream: string): number {
        let rank = this.#ranks.get(upstream);
        if (rank === undefined) {
            rank = hashText(`${this.#host} ${upstream}`) / HASH_RANGE;
            this.#ranks.set(upstream, rank);
        }
        return rank;
    }

    forget(upstream: string): void {
        this.#ranks.delete(upstream);
    }
}
