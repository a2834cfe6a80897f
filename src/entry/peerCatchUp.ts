/**
 * How a host learns from a peer what the key-value service did not tell it.
 *
 * @module
 */
import { type KeyValueEntry } from "../platform/index.js";
import { fetchState } from "./fetchState.js";

/** Options of catching up. */
export interface PeerCatchUpOptions {
    /** State address of this host, which is never asked. */
    readonly own: () => string;
    /** State addresses to ask now, in order; none where nothing is missing. */
    readonly sources: () => readonly string[];
    /** Takes the state of the first peer that gave any. */
    readonly take: (entries: readonly KeyValueEntry[], source: string) => void;
}

/** Asks one peer after another, one round at a time. */
export class PeerCatchUp {
    readonly #options: PeerCatchUpOptions;
    #asking = false;

    constructor(options: PeerCatchUpOptions) {
        this.#options = options;
    }

    /** Asks where something is missing and no round is under way. */
    async run(): Promise<void> {
        const own = this.#options.own();
        const sources = this.#options.sources().filter(source => source !== own);
        if (this.#asking || sources.length === 0) {
            return;
        }
        this.#asking = true;
        for (const source of sources) {
            const state = await fetchState(source);
            if (state !== undefined && state.entries.length > 0) {
                this.#options.take(state.entries, source);
                break;
            }
        }
        this.#asking = false;
    }
}
