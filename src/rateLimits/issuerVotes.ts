/**
 * Counts the hosts that ask this host for permits.
 *
 * @module
 */

/** A vote counts for this long after the message that carried it; covers several digests, since any may be lost. */
const VOTE_LIFETIME_MILLISECONDS = 1_600;

/** Votes of other cells, which arrive in aggregates, count for this long. */
const OTHER_CELLS_LIFETIME_MILLISECONDS = 2_000;

/** The host that another host asks for permits, by upstream. */
export type IssuersByUpstream = ReadonlyMap<string, string>;

interface Timed<Value> {
    readonly value: Value;
    readonly atMilliseconds: number;
}

/**
 * Records which host each host asks for permits. A host asks one host at a time, and an issuer grants only the share of
 * a limit that its votes have among all hosts. So two hosts that both act as issuers grant no more together than one.
 *
 * @example
 * ```ts
 * const votes = new IssuerVotes("entry-1");
 * votes.recordHost("entry-2", new Map([["i-1", "entry-1"]]), now);
 * votes.count("i-1", () => true, now); // 1
 * ```
 */
export class IssuerVotes {
    readonly #host: string;
    readonly #votes = new Map<string, Map<string, Timed<string>>>();
    /** Number of hosts of other cells that ask this host, by upstream. */
    readonly #otherCells = new Map<string, Timed<number>>();

    /** @param host This host. */
    constructor(host: string) {
        this.#host = host;
    }

    /** Records all votes of a host, which replace its earlier ones. */
    recordHost(host: string, issuers: IssuersByUpstream, nowMilliseconds: number): void {
        const votes = [...issuers].map(([upstream, issuer]) =>
            [upstream, { value: issuer, atMilliseconds: nowMilliseconds }] as const
        );
        if (votes.length === 0) {
            this.#votes.delete(host);
        }
        else {
            this.#votes.set(host, new Map(votes));
        }
    }

    /** Records that a host asked this host for permits. */
    recordRequest(host: string, upstream: string, nowMilliseconds: number): void {
        const votes = this.#votes.get(host) ?? new Map<string, Timed<string>>();
        votes.set(upstream, { value: this.#host, atMilliseconds: nowMilliseconds });
        this.#votes.set(host, votes);
    }

    /** Records the number of hosts of other cells that ask this host for permits to an upstream. */
    recordOtherCells(upstream: string, votes: number, nowMilliseconds: number): void {
        if (votes === 0) {
            this.#otherCells.delete(upstream);
        }
        else {
            this.#otherCells.set(upstream, { value: votes, atMilliseconds: nowMilliseconds });
        }
    }

    /**
     * Returns the number of other hosts that ask this host for permits to an upstream. Those of other cells are counted
     * in aggregates, and some of them have sent requests as well.
     */
    count(upstream: string, isCellPeer: (host: string) => boolean, nowMilliseconds: number): number {
        let ofCell = 0;
        let ofOtherCells = 0;
        for (const [host, votes] of this.#votes) {
            const vote = votes.get(upstream);
            if (vote === undefined || vote.value !== this.#host) {
                continue;
            }
            if (nowMilliseconds - vote.atMilliseconds > VOTE_LIFETIME_MILLISECONDS) {
                this.#remove(host, upstream);
            }
            else if (isCellPeer(host)) {
                ofCell += 1;
            }
            else {
                ofOtherCells += 1;
            }
        }
        return ofCell + Math.max(ofOtherCells, this.#aggregatedVotes(upstream, nowMilliseconds));
    }

    #remove(host: string, upstream: string): void {
        const votes = this.#votes.get(host);
        votes?.delete(upstream);
        if (votes?.size === 0) {
            this.#votes.delete(host);
        }
    }

    #aggregatedVotes(upstream: string, nowMilliseconds: number): number {
        const votes = this.#otherCells.get(upstream);
        if (votes === undefined || nowMilliseconds - votes.atMilliseconds > OTHER_CELLS_LIFETIME_MILLISECONDS) {
            this.#otherCells.delete(upstream);
            return 0;
        }
        return votes.value;
    }
}
