/**
 * Requests the shared state from peers where the key-value service did not deliver it.
 *
 * @module
 */
import { type KeyValueEntry } from "../../platform/index.js";
import { type AnswerFault } from "../../transport/answers/index.js";
import { fetchState } from "./fetchState.js";

/** Options of catching up from peers. */
export interface PeerCatchUpOptions {
    /** Returns the state address of this host, to which no request is sent. */
    readonly ownAddress: () => string;
    /** Returns the state addresses to request from, in order; none where no state is missing. */
    readonly sourceAddresses: () => readonly string[];
    /** Called with what is wrong with a source's broken answer. */
    readonly onBroken: (source: string, fault: AnswerFault) => void;
    /** Applies the entries of the first peer that returned any. */
    readonly applyEntries: (entries: readonly KeyValueEntry[], source: string) => void;
}

/** Requests the shared state from one peer after another, one round at a time. */
export class PeerCatchUp {
    readonly #options: PeerCatchUpOptions;
    #isRunning = false;

    constructor(options: PeerCatchUpOptions) {
        this.#options = options;
    }

    /** Runs a round where state is missing and no other round is in progress. */
    async run(): Promise<void> {
        const ownAddress = this.#options.ownAddress();
        const sources = this.#options.sourceAddresses().filter(source => source !== ownAddress);
        if (this.#isRunning || sources.length === 0) {
            return;
        }
        this.#isRunning = true;
        try {
            await this.#takeFromFirst(sources);
        }
        finally {
            this.#isRunning = false;
        }
    }

    /** Applies the state of the first source that has any. */
    async #takeFromFirst(sources: readonly string[]): Promise<void> {
        for (const source of sources) {
            const state = await fetchState(source, { onBroken: fault => this.#options.onBroken(source, fault) });
            if (state !== undefined && state.entries.length > 0) {
                this.#options.applyEntries(state.entries, source);
                return;
            }
        }
    }
}
