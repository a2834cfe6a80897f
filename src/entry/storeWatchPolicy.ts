/**
 * Whether a host watches the key-value service itself, or goes by what a few hosts of its cell pass on.
 *
 * Every watch is answered at every change. With a few watches for each cell that cost does not grow with each host.
 *
 * @module
 */

/** Hosts of a cell that watch the service for all of it; any one of them is enough. */
const WATCHERS_OF_CELL = 3;

/** A host that passes changes on is relied on for this long after it was heard. */
const FEED_LIFETIME_MILLISECONDS = 1_000;

/** Changes that a digest has named by their revision should arrive within this time; then the service is asked. */
const MISSING_MILLISECONDS = 250;

/** What a host of the cell says with its digest. */
export interface WatchStatement {
    readonly host: string;
    /** True while it watches the service, which answers it. */
    readonly feeds: boolean;
    /** Revision up to which it knows the service's changes. */
    readonly storeRevision: number;
}

/** The situation of a host that may do without a watch. */
export interface FeedSituation {
    readonly host: string;
    /** The hosts of the cell that are heard, in order, this one included. */
    readonly members: readonly string[];
    /** Revision up to which this host knows the service's changes. */
    readonly revision: number;
}

/**
 * Decides by the statements of the cell whether this host has to watch the service.
 *
 * @example
 * ```ts
 * const feed = new StoreFeed();
 * feed.hear({ host: "entry-1", feeds: true, storeRevision: 41 }, now);
 * feed.mustWatch({ host: "entry-9", members, revision: 41 }, now); // false
 * ```
 */
export class StoreWatchPolicy {
    readonly #feeds = new Map<string, { readonly revision: number; readonly atMilliseconds: number; }>();
    #missingSinceMilliseconds: number | undefined;

    recordStatement({ feeds, host, storeRevision }: WatchStatement, nowMilliseconds: number): void {
        if (feeds) {
            this.#feeds.set(host, { revision: storeRevision, atMilliseconds: nowMilliseconds });
        }
        else {
            this.#feeds.delete(host);
        }
    }

    /** Tells whether the host has to watch: it is one of the first of its cell, nobody feeds it, or changes are missing. */
    mustWatch({ host, members, revision }: FeedSituation, nowMilliseconds: number): boolean {
        const fresh = this.#fresh(nowMilliseconds);
        const isMissing = fresh.some(feed => feed.revision > revision);
        this.#missingSinceMilliseconds = isMissing ? this.#missingSinceMilliseconds ?? nowMilliseconds : undefined;
        const missesForLong = this.#missingSinceMilliseconds !== undefined
            && nowMilliseconds - this.#missingSinceMilliseconds >= MISSING_MILLISECONDS;
        return members.slice(0, WATCHERS_OF_CELL).includes(host) || fresh.length === 0 || missesForLong;
    }

    #fresh(nowMilliseconds: number): { readonly revision: number; }[] {
        for (const [host, { atMilliseconds }] of this.#feeds) {
            if (nowMilliseconds - atMilliseconds >= FEED_LIFETIME_MILLISECONDS) {
                this.#feeds.delete(host);
            }
        }
        return [...this.#feeds.values()];
    }
}
