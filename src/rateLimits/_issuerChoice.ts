/**
 * Chooses the host that this host asks for what it needs to send requests to an upstream.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";

/** An unresponsive issuer is passed over for this long. */
const PASSED_OVER_MILLISECONDS = 3_000;

/** Options of {@linkcode IssuerChoice}. */
export interface IssuerChoiceOptions {
    /** This host, which is the issuer itself where all others are passed over. */
    readonly host: string;
    /** Returns the hosts that may be issuers; the same array while they are the same. */
    readonly issuingHosts: () => readonly string[];
}

interface Ranking {
    readonly hosts: readonly string[];
    readonly ranked: readonly string[];
}

/**
 * The issuer of an upstream is the first host by rendezvous hashing that is not passed over. Hosts that see the same
 * hosts, and find the same ones unresponsive, choose the same issuer.
 *
 * @example
 * ```ts
 * const choice = new IssuerChoice({ host: "entry-1", issuingHosts: () => liveHosts });
 * const issuer = choice.choose("i-1", now);
 * choice.passOver(issuer, now);
 * ```
 */
export class IssuerChoice {
    readonly #options: IssuerChoiceOptions;
    readonly #passedOverUntil = new Map<string, number>();
    readonly #rankings = new Map<string, Ranking>();

    constructor(options: IssuerChoiceOptions) {
        this.#options = options;
    }

    /** Returns the host to ask for an upstream. */
    choose(upstream: string, nowMilliseconds: number): string {
        const issuer = this.#rankHosts(upstream).find(candidate =>
            (this.#passedOverUntil.get(candidate) ?? Number.NEGATIVE_INFINITY) <= nowMilliseconds
        );
        return issuer ?? this.#options.host;
    }

    /** Passes over an unresponsive issuer for a time, for all upstreams. */
    passOver(issuer: string, nowMilliseconds: number): void {
        this.#passedOverUntil.set(issuer, nowMilliseconds + PASSED_OVER_MILLISECONDS);
    }

    /** Drops what is kept for an upstream. */
    forget(upstream: string): void {
        this.#rankings.delete(upstream);
    }

    /** Returns the hosts in the order in which they are chosen for an upstream, computed once for each view. */
    #rankHosts(upstream: string): readonly string[] {
        const hosts = this.#options.issuingHosts();
        const known = this.#rankings.get(upstream);
        if (known?.hosts === hosts) {
            return known.ranked;
        }
        const ranked = rankByRendezvous(upstream, hosts);
        this.#rankings.set(upstream, { hosts, ranked });
        return ranked;
    }
}
