/**
 * This host's copy of the key-value service's entries, and their dispatch to handlers by key prefix.
 *
 * @module
 */
import { type KeyValueEntry } from "../../platform/index.js";

/** Handles the entries of one kind. */
export interface EntryHandler {
    /** The prefix of the kind's keys, or its only key. */
    readonly prefix: string;
    /** Handles a new or changed entry; the name is its key without the prefix. */
    readonly onPut: (name: string, entry: KeyValueEntry) => void;
    /** Returns whether an entry is older than the previous one, as in a restored snapshot. */
    readonly isOutdated?: (entry: KeyValueEntry, previous: KeyValueEntry) => boolean;
    /** Handles the removal of a key; entries of kinds without it are kept when a listing lacks them. */
    readonly onRemoved?: (name: string) => void;
}

/**
 * Keeps the latest revision of each entry, and passes new and changed entries to the handler of their kind.
 *
 * @example
 * ```ts
 * const entries = new StoredEntries([{ prefix: "hosts/", onPut: applyRegistration, onRemoved: forgetHost }]);
 * entries.put({ key: "hosts/entry-2", value, revision: 41 });
 * ```
 */
export class StoredEntries {
    readonly #handlers: readonly EntryHandler[];
    readonly #entries = new Map<string, KeyValueEntry>();

    constructor(handlers: readonly EntryHandler[]) {
        this.#handlers = handlers;
    }

    all(): KeyValueEntry[] {
        return [...this.#entries.values()];
    }

    /** Returns a key's latest entry; `undefined` where this host knows none. */
    get(key: string): KeyValueEntry | undefined {
        return this.#entries.get(key);
    }

    /** Returns the revision of a key's latest entry; 0 where this host knows none. */
    revisionOf(key: string): number {
        return this.#entries.get(key)?.revision ?? 0;
    }

    /** Stores an entry, unless this revision or a later one of its key is known. */
    put(entry: KeyValueEntry): void {
        const handler = this.#handlerOf(entry.key);
        if (handler === undefined || this.revisionOf(entry.key) >= entry.revision) {
            return;
        }
        const previous = this.#entries.get(entry.key);
        if (previous !== undefined && handler.isOutdated?.(entry, previous) === true) {
            this.#entries.set(entry.key, { ...previous, revision: entry.revision });
            return;
        }
        this.#entries.set(entry.key, entry);
        handler.onPut(entry.key.slice(handler.prefix.length), entry);
    }

    remove(key: string): void {
        this.#entries.delete(key);
        const handler = this.#handlerOf(key);
        handler?.onRemoved?.(key.slice(handler.prefix.length));
    }

    /** Stores a complete listing; entries that it lacks are removed where their kind handles removals. */
    replaceAll(entries: readonly KeyValueEntry[]): void {
        const present = new Set(entries.map(({ key }) => key));
        for (const key of [...this.#entries.keys()]) {
            if (!present.has(key) && this.#handlerOf(key)?.onRemoved !== undefined) {
                this.remove(key);
            }
        }
        entries.forEach(entry => this.put(entry));
    }

    #handlerOf(key: string): EntryHandler | undefined {
        return this.#handlers.find(({ prefix }) => key.startsWith(prefix));
    }
}
