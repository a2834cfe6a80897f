/**
 * Decides whether a host watches the key-value service itself or relies on changes forwarded by hosts of its cell.
 *
 * The service answers every watch at every change. With a few watches per cell, that cost does not grow with each host.
 *
 * @module
 */

/** Number of hosts per cell that watch the service for all others; one suffices, the others are redundant. */
const WATCHERS_PER_CELL = 3;

/** A host's statement that it watches the service is valid for this long. */
export const STATEMENT_LIFETIME_MILLISECONDS = 1_000;

/** Time for forwarded changes up to a published revision to arrive; after that this host watches the service itself. */
const MAXIMUM_MISSING_MILLISECONDS = 250;

/** Part of a digest: whether its host watches the service, and the revision that it has reached. */
export interface WatchStatement {
    readonly host: string;
    /** True while the host watches the service and gets answers. */
    readonly feeds: boolean;
    /** The revision up to which the host knows the service's changes. */
    readonly storeRevision: number;
}

/** Input of the decision whether a host has to watch. */
export interface WatchPolicyInput {
    readonly host: string;
    /** The hosts of the cell with a recent digest, in order, this one included. */
    readonly members: readonly string[];
    /** The revision up to which this host knows the service's changes. */
    readonly revision: number;
}

/**
 * Decides from the statements of the cell's hosts whether this host has to watch the service.
 *
 * @example
 * ```ts
 * const policy = new StoreWatchPolicy();
 * policy.recordStatement({ host: "entry-1", feeds: true, storeRevision: 41 }, now);
 * policy.mustWatch({ host: "entry-9", members, revision: 41 }, now); // false: entry-1 forwards the changes
 * ```
 */
export class StoreWatchPolicy {
    readonly #watchers = new Map<string, { readonly revision: number; readonly atMilliseconds: number; }>();
    #missingSinceMilliseconds: number | undefined;

    recordStatement({ feeds, host, storeRevision }: WatchStatement, nowMilliseconds: number): void {
        if (feeds) {
            this.#watchers.set(host, { revision: storeRevision, atMilliseconds: nowMilliseconds });
        }
        else {
            this.#watchers.delete(host);
        }
    }

    /** Returns true for the cell's first hosts, and for others where no host forwards changes or some are missing. */
    mustWatch({ host, members, revision }: WatchPolicyInput, nowMilliseconds: number): boolean {
        const watchers = this.#recentWatchers(nowMilliseconds);
        const isMissing = watchers.some(watcher => watcher.revision > revision);
        this.#missingSinceMilliseconds = isMissing ? this.#missingSinceMilliseconds ?? nowMilliseconds : undefined;
        const isMissingTooLong = this.#missingSinceMilliseconds !== undefined
            && nowMilliseconds - this.#missingSinceMilliseconds >= MAXIMUM_MISSING_MILLISECONDS;
        return members.slice(0, WATCHERS_PER_CELL).includes(host) || watchers.length === 0 || isMissingTooLong;
    }

    #recentWatchers(nowMilliseconds: number): { readonly revision: number; }[] {
        for (const [host, { atMilliseconds }] of this.#watchers) {
            if (nowMilliseconds - atMilliseconds >= STATEMENT_LIFETIME_MILLISECONDS) {
                this.#watchers.delete(host);
            }
        }
        return [...this.#watchers.values()];
    }
}
