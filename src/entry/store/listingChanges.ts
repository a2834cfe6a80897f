/**
 * Changes of the key-value service that a watch delivers while the service's keys are being listed.
 *
 * @module
 */
import { type KeyValueEntry } from "../../platform/index.js";
import { type StoreChange } from "./storeMirror.js";

/**
 * The changes since a listing's first page. Each page is as old as its call, and the last one may come seconds after the
 * first.
 *
 * @example
 * ```ts
 * const changes = new ListingChanges(41);
 * changes.record({ key: "engine/a", revision: 42 });
 * changes.recordRevision(43);
 * changes.mergeInto(listedEntries); // without `engine/a`, unless it was listed after revision 42
 * ```
 */
export class ListingChanges {
    readonly #changes: StoreChange[] = [];
    #revision: number;
    #isHistoryLost = false;

    /** @param revision The revision of the listing's first page. */
    constructor(revision: number) {
        this.#revision = revision;
    }

    /** The revision up to which the changes are complete. */
    get revision(): number {
        return this.#revision;
    }

    /** True once the service no longer has the changes after {@linkcode ListingChanges.revision}. */
    get isHistoryLost(): boolean {
        return this.#isHistoryLost;
    }

    record(change: StoreChange): void {
        this.#changes.push(change);
    }

    /** Records that all changes up to a revision were recorded. */
    recordRevision(revision: number): void {
        this.#revision = Math.max(this.#revision, revision);
    }

    recordHistoryLost(): void {
        this.#isHistoryLost = true;
    }

    /** Returns listed entries with the changes that are later than they are. */
    mergeInto(entries: readonly KeyValueEntry[]): KeyValueEntry[] {
        const merged = new Map(entries.map(entry => [entry.key, entry]));
        for (const { key, revision, value } of this.#changes) {
            if (revision <= (merged.get(key)?.revision ?? 0)) {
                continue;
            }
            if (value === undefined) {
                merged.delete(key);
            }
            else {
                merged.set(key, { key, value, revision });
            }
        }
        return [...merged.values()];
    }
}
