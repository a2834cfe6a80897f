/**
 * Ranks upstreams by rendezvous hashing, so that hosts with the same news do not all choose the same one.
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
 * const hostRanks = new HostRanks("entry-1");
 * hostRanks.of("engine-3"); // 0.71, always the same for this host
 * ```
 */
export class HostRanks {
    readonly #host: string;
    readonly #ranks = new Map<string, number>();

    /** @param host The host that chooses. */
    constructor(host: string) {
        this.#host = host;
    }

    /** Returns the rank of an upstream for this host, from 0 (first choice) to 1; always the same. */
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
