/**
 * Which hosts look after a duty that nobody holds, and how often.
 *
 * @module
 */
import { type RandomSource, rankByRendezvous } from "../decision/index.js";

/** Hosts of a lower rank leave the duty alone; they rise as soon as a host above them is known to be gone. */
const CANDIDATES = 4;
const JITTER_PART = 0.25;

/** Options of a candidacy. */
export interface CandidacyOptions {
    readonly duty: string;
    readonly host: string;
    readonly random: RandomSource;
    readonly pollMilliseconds: number;
}

/**
 * Lists the hosts that take a duty when nobody holds it, highest rank first; a holder outside of them hands it over.
 *
 * @param duty The duty.
 * @param hosts Names of the live hosts.
 *
 * @example
 * ```ts
 * const [first] = listDutyCandidates("residency/bag-llm", ["entry-1", "entry-2"]);
 * ```
 */
export function listDutyCandidates(duty: string, hosts: readonly string[]): string[] {
    return rankByRendezvous(duty, hosts).slice(0, CANDIDATES);
}

/** This host's rank for a duty among the live hosts; lower ranks poll less often. */
export class Candidacy {
    readonly #options: CandidacyOptions;
    #rank = 0;

    constructor(options: CandidacyOptions) {
        this.#options = options;
    }

    /** True where this host polls at all. */
    get standing(): boolean {
        return this.#rank < CANDIDATES;
    }

    /** Ranks this host anew; true where it rose. */
    rankAmong(hosts: readonly string[]): boolean {
        const { duty, host } = this.#options;
        const before = this.#rank;
        this.#rank = rankByRendezvous(duty, [...new Set([...hosts, host])]).indexOf(host);
        return this.#rank < before;
    }

    /** Gives the time until this host's next poll. */
    pollDelay(): number {
        return this.jitter(this.#options.pollMilliseconds * (this.#rank + 1));
    }

    /** Spreads a time, so that hosts do not act together. */
    jitter(milliseconds: number): number {
        return milliseconds * (1 - JITTER_PART + 2 * JITTER_PART * this.#options.random());
    }
}
