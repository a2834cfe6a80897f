/**
 * Determines which hosts poll for a duty without a holder, and how often.
 *
 * @module
 */
import { type RandomSource, rankByRendezvous } from "../decision/index.js";

/** Hosts of a lower rank do not poll; their rank rises once a higher-ranked host is no longer live. */
const MAXIMUM_CANDIDATES = 4;
/** Delays vary randomly by up to this fraction in either direction. */
const JITTER_FRACTION = 0.25;

/** Options of a candidacy. */
export interface CandidacyOptions {
    readonly duty: string;
    readonly host: string;
    readonly random: RandomSource;
    readonly pollMilliseconds: number;
}

/**
 * Lists the hosts that may acquire a duty without a holder, highest rank first. A holder not listed releases it.
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
    return rankByRendezvous(duty, hosts).slice(0, MAXIMUM_CANDIDATES);
}

/** Tracks this host's rank for a duty among the live hosts; lower ranks poll less often. */
export class Candidacy {
    readonly #options: CandidacyOptions;
    #rank = 0;

    constructor(options: CandidacyOptions) {
        this.#options = options;
    }

    /** True where this host ranks high enough to poll. */
    get isCandidate(): boolean {
        return this.#rank < MAXIMUM_CANDIDATES;
    }

    /** Updates this host's rank among the live hosts; returns true where it rose. */
    updateRank(hosts: readonly string[]): boolean {
        const { duty, host } = this.#options;
        const previousRank = this.#rank;
        this.#rank = rankByRendezvous(duty, [...new Set([...hosts, host])]).indexOf(host);
        return this.#rank < previousRank;
    }

    /** Returns the time until this host's next poll, with jitter. */
    pollDelayMilliseconds(): number {
        return this.jitter(this.#options.pollMilliseconds * (this.#rank + 1));
    }

    /** Adds random jitter to a delay, so that hosts do not act at the same time. */
    jitter(milliseconds: number): number {
        return milliseconds * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * this.#options.random());
    }
}
