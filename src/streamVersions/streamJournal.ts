/**
 * Divides the streams that a host keeps into entries of the key-value service, which outlive all hosts.
 *
 * @module
 */
import { type BegunStream, type StreamJournalRecord } from "../generated/gossip.js";
import { STREAM_IDENTIFIER_CHARACTERS } from "./identifyStream.js";

/** Streams that are added within this time share an entry where one host keeps all streams. */
const SLOT_MILLISECONDS = 500;

/** Entries are used again after this time. */
const RETENTION_MILLISECONDS = 64_000;

/** The streams of one entry: by version, their identifiers one after another. */
export type JournalEntry = StreamJournalRecord["streams"];

/** An entry that is to be written. */
export interface DueEntry {
    /** Name of the entry; the entries of a host are used in turn. */
    readonly slot: string;
    readonly streams: JournalEntry;
}

/** Returns the streams of an entry. */
export function readJournalEntry(entry: JournalEntry): BegunStream[] {
    const pattern = new RegExp(`.{${STREAM_IDENTIFIER_CHARACTERS}}`, "g");
    return Object.entries(entry).flatMap(([version, identifiers]) =>
        (identifiers.match(pattern) ?? []).map(stream => ({ stream, version }))
    );
}

/** Returns the entry of streams that are added now; with more groups of streams, each host's entries cover more time. */
function slotAt(nowMilliseconds: number, groupCount: number): string {
    const slotMilliseconds = SLOT_MILLISECONDS * groupCount;
    const slots = RETENTION_MILLISECONDS / slotMilliseconds;
    return `${groupCount}-${Math.floor(nowMilliseconds / slotMilliseconds) % slots}`;
}

/**
 * Collects the streams that a host keeps. Each entry is written again while streams are added to it.
 *
 * @example
 * ```ts
 * const journal = new StreamJournal();
 * journal.add({ stream, version: "v1.1" }, keepers.groupCount, now);
 * const entries = journal.takeDue(8);
 * ```
 */
export class StreamJournal {
    #slot: string | undefined;
    #streams = new Map<string, string>();
    /** In the order in which streams were last added to them. */
    #due: DueEntry[] = [];

    /**
     * Adds a stream to the current entry.
     *
     * @param begun The stream.
     * @param groupCount Number of groups that all streams are divided into.
     * @param nowMilliseconds The time.
     */
    add({ stream, version }: BegunStream, groupCount: number, nowMilliseconds: number): void {
        const slot = slotAt(nowMilliseconds, groupCount);
        if (slot !== this.#slot) {
            this.#slot = slot;
            this.#streams = new Map();
        }
        this.#streams.set(version, (this.#streams.get(version) ?? "") + stream);
        const others = this.#due.filter(entry => entry.slot !== slot);
        this.#due = [...others, { slot, streams: Object.fromEntries(this.#streams) }];
    }

    /** Returns whether entries have changed and were not taken since. */
    get hasDue(): boolean {
        return this.#due.length > 0;
    }

    /** Returns the entries that have changed and were not taken since; the latest ones where there are many. */
    takeDue(maximumEntries: number): DueEntry[] {
        return this.#due.splice(-maximumEntries);
    }

    /** Takes back an entry that could not be written, unless it has changed since. */
    putBack(entry: DueEntry): void {
        if (!this.#due.some(({ slot }) => slot === entry.slot)) {
            this.#due.unshift(entry);
        }
    }
}
