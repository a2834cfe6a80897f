/**
 * Divides the streams that a host keeps into entries of the key-value service, which outlive all hosts.
 *
 * @module
 */
import { type BegunStream, type StreamJournalRecord } from "../generated/gossip.js";
import { STREAM_IDENTIFIER_CHARACTERS } from "./identifyStream.js";

/** Streams that began within this time share an entry. */
const SLOT_MILLISECONDS = 4_000;

/** Entries that a host uses in turn. */
const SLOTS = 16;

/** The streams of one entry: by version, their identifiers one after another. */
export type JournalEntry = StreamJournalRecord["streams"];

/** An entry that is to be written. */
export interface DueEntry {
    readonly slot: number;
    readonly streams: JournalEntry;
}

/** Returns the streams of an entry. */
export function readJournalEntry(entry: JournalEntry): BegunStream[] {
    const pattern = new RegExp(`.{${STREAM_IDENTIFIER_CHARACTERS}}`, "g");
    return Object.entries(entry).flatMap(([version, identifiers]) =>
        (identifiers.match(pattern) ?? []).map(stream => ({ stream, version }))
    );
}

/**
 * Collects the streams that a host keeps. Each entry is written again while streams are added to it.
 *
 * @example
 * ```ts
 * const journal = new StreamJournal();
 * journal.add({ stream, version: "v1.1" }, now);
 * const entries = journal.takeDue();
 * ```
 */
export class StreamJournal {
    #slotNumber: number | undefined;
    #streams = new Map<string, string>();
    #due: DueEntry[] = [];

    add({ stream, version }: BegunStream, nowMilliseconds: number): void {
        const slotNumber = Math.floor(nowMilliseconds / SLOT_MILLISECONDS);
        if (slotNumber !== this.#slotNumber) {
            this.#slotNumber = slotNumber;
            this.#streams = new Map();
        }
        const identifiers = this.#streams.get(version) ?? "";
        this.#streams.set(version, identifiers + stream);
        const slot = slotNumber % SLOTS;
        const others = this.#due.filter(entry => entry.slot !== slot);
        this.#due = [...others, { slot, streams: Object.fromEntries(this.#streams) }];
    }

    /** Returns the entries that have changed since the last call. */
    takeDue(): DueEntry[] {
        const due = this.#due;
        this.#due = [];
        return due;
    }
}
