/**
 * This host's copy of what the key-value service holds, and who reads which of its keys.
 *
 * @module
 */
import { type KeyValueEntry } from "../platform/index.js";

/** What becomes of the entries of one kind. */
export interface EntryReader {
    /** Begins the keys of the kind, or is the only key. */
    readonly prefix: string;
    /** Takes an entry that is new or has changed; the name is its key behind the prefix. */
    readonly put: (name: string, entry: KeyValueEntry) => void;
    /** Tells whether an entry is out of date beside the one before, as one from an older copy of the service may be. */
    readonly isOutdated?: (entry: KeyValueEntry, before: KeyValueEntry) => boolean;
    /** Takes note that a key is gone. */
    readonly removed?: (name: string) => void;
}

/**
 * Keeps the latest revision of each entry, and hands what is new to the reader of its kind.
 *
 * @example
 * ```ts
 * const entries = new StoredEntries([{ prefix: "hosts/", put: takeRegistration, removed: forgetHost }]);
 * entries.put({ key: "hosts/entry-2", value, revision: 41 });
 * ```
 */
export class StoredEntries {
    readonly #readers: readonly EntryReader[];
    readonly #entries = new Map<string, KeyValueEntry>();

    constructor(readers: readonly EntryReader[]) {
        this.#readers = readers;
    }

    all(): KeyValueEntry[] {
        return [...this.#entries.values()];
    }

    /** Gives a key's latest entry that this host knows. */
    get(key: string): KeyValueEntry | undefined {
        return this.#entries.get(key);
    }

    /** Revision of a key's latest entry that this host knows; 0 where it knows none. */
    revisionOf(key: string): number {
        return this.#entries.get(key)?.revision ?? 0;
    }

    /** Takes an entry, unless a later one of its key is known. */
    put(entry: KeyValueEntry): void {
        const reader = this.#readerOf(entry.key);
        if (reader === undefined || this.revisionOf(entry.key) >= entry.revision) {
            return;
        }
        const before = this.#entries.get(entry.key);
        if (before !== undefined && reader.isOutdated?.(entry, before) === true) {
            this.#entries.set(entry.key, { ...before, revision: entry.revision });
            return;
        }
        this.#entries.set(entry.key, entry);
        reader.put(entry.key.slice(reader.prefix.length), entry);
    }

    remove(key: string): void {
        this.#entries.delete(key);
        const reader = this.#readerOf(key);
        reader?.removed?.(key.slice(reader.prefix.length));
    }

    /** Takes a whole listing; what it lacks is gone, but for kinds that nobody removes. */
    replaceAll(entries: readonly KeyValueEntry[]): void {
        const present = new Set(entries.map(({ key }) => key));
        for (const key of [...this.#entries.keys()]) {
            if (!present.has(key) && this.#readerOf(key)?.removed !== undefined) {
                this.remove(key);
            }
        }
        entries.forEach(entry => this.put(entry));
    }

    #readerOf(key: string): EntryReader | undefined {
        return this.#readers.find(({ prefix }) => key.startsWith(prefix));
    }
}
