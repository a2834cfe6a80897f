/**
 * Writes the streams that this host keeps into the key-value service, so that they outlive a stop of all hosts.
 *
 * @module
 */
import { type BegunStream, type StreamJournalRecord } from "../generated/gossip.js";
import { type Logger, runInBackground } from "../observability/index.js";
import { entryAfterSwap } from "../platform/entryAfterSwap.js";
import { type KeyValueService } from "../platform/index.js";
import { type DueEntry, StreamJournal } from "../streamVersions/index.js";

/** Prefix of the journal's keys. */
export const JOURNAL_KEY_PREFIX = "streams/begun/";

/**
 * Time between two writes where one host writes all streams; streams that were sent since the last write may be unknown
 * once all hosts have stopped. With more groups of streams it is as much longer, so that all hosts together write 40
 * times a second at most.
 */
const WRITE_INTERVAL_MILLISECONDS = 25;

/** Time before a write that comes long after the last one, for streams that begin together. */
const FIRST_WRITE_DELAY_MILLISECONDS = 5;

/** Time before a write that follows a failed one. */
const RETRY_DELAY_MILLISECONDS = 200;

/** Entries written at a time; after an outage of the key-value service many are due. */
const MAXIMUM_ENTRIES_PER_WRITE = 8;

/** Entries expire this long after they were last written, or somewhat sooner. */
const LEASE_MILLISECONDS = 120_000;

/** A lease is used for this long; its remaining time is the retention of the entries written last. */
const LEASE_USE_MILLISECONDS = 50_000;

/** Options of {@linkcode StreamJournalWriter}. */
export interface StreamJournalWriterOptions {
    readonly host: string;
    readonly keyValue: Pick<KeyValueService, "compareAndSwap" | "grantLease">;
    readonly logger: Logger;
    readonly random: () => number;
    readonly readClock: () => number;
}

/** Collects streams and writes them many times a second. What a failed write had is written with the next one. */
export class StreamJournalWriter {
    readonly #options: StreamJournalWriterOptions;
    readonly #journal = new StreamJournal();
    readonly #revisions = new Map<string, number>();
    /** Part of the keys, so that a host that starts anew leaves the entries of its previous process. */
    readonly #processTag: string;
    #lease: { readonly lease: string; readonly grantedAtMilliseconds: number; } | undefined;
    /** When each stream was added that was not yet taken for a write. */
    #addedAtMilliseconds: number[] = [];
    #timer: NodeJS.Timeout | undefined;
    #isWriting = false;
    #groupCount = 1;
    #wroteAtMilliseconds = Number.NEGATIVE_INFINITY;
    #closed = false;

    constructor(options: StreamJournalWriterOptions) {
        this.#options = options;
        this.#processTag = Math.floor(options.random() * 0x1_0000_0000).toString(36);
    }

    /**
     * Adds a stream to the next write.
     *
     * @param stream The stream.
     * @param groupCount Number of groups that all streams are divided into.
     */
    add(stream: BegunStream, groupCount: number): void {
        const now = this.#options.readClock();
        this.#groupCount = groupCount;
        this.#journal.add(stream, groupCount, now);
        this.#addedAtMilliseconds.push(now);
        this.#schedule(this.#delayMilliseconds(now));
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #delayMilliseconds(nowMilliseconds: number): number {
        const intervalMilliseconds = WRITE_INTERVAL_MILLISECONDS * this.#groupCount;
        const sinceWriteMilliseconds = nowMilliseconds - this.#wroteAtMilliseconds;
        return Math.max(FIRST_WRITE_DELAY_MILLISECONDS, intervalMilliseconds - sinceWriteMilliseconds);
    }

    #schedule(milliseconds: number): void {
        if (!this.#closed && !this.#isWriting) {
            this.#timer ??= setTimeout(
                () => runInBackground(this.#options.logger, "journal of streams", () => this.#writeDue()),
                milliseconds,
            );
        }
    }

    async #writeDue(): Promise<void> {
        this.#timer = undefined;
        this.#isWriting = true;
        this.#wroteAtMilliseconds = this.#options.readClock();
        let isWritten = false;
        try {
            isWritten = await this.#write();
        }
        finally {
            this.#isWriting = false;
            if (this.#journal.hasDue) {
                const now = this.#options.readClock();
                this.#schedule(isWritten ? this.#delayMilliseconds(now) : RETRY_DELAY_MILLISECONDS);
            }
        }
    }

    /** Writes the entries that are due; returns whether all were written. */
    async #write(): Promise<boolean> {
        const lease = await this.#currentLease();
        if (lease === undefined) {
            return false;
        }
        const addedAtMilliseconds = this.#addedAtMilliseconds;
        this.#addedAtMilliseconds = [];
        const entries = this.#journal.takeDue(MAXIMUM_ENTRIES_PER_WRITE);
        const areWritten = await Promise.all(entries.map(entry => this.#writeEntry(entry, lease)));
        const failed = entries.filter((_, index) => areWritten[index] !== true);
        failed.forEach(entry => this.#journal.putBack(entry));
        if (failed.length === 0) {
            this.#logWritten(addedAtMilliseconds);
        }
        return failed.length === 0;
    }

    #logWritten(addedAtMilliseconds: readonly number[]): void {
        const { logger, readClock } = this.#options;
        const now = readClock();
        logger.info("streams recorded", {
            streams: addedAtMilliseconds.length,
            oldestMilliseconds: Math.round(now - Math.min(now, ...addedAtMilliseconds)),
        });
    }

    async #currentLease(): Promise<string | undefined> {
        const now = this.#options.readClock();
        if (this.#lease !== undefined && now - this.#lease.grantedAtMilliseconds < LEASE_USE_MILLISECONDS) {
            return this.#lease.lease;
        }
        const granted = await this.#options.keyValue.grantLease(LEASE_MILLISECONDS);
        this.#lease = granted.isOk() ? { lease: granted.value.lease, grantedAtMilliseconds: now } : undefined;
        return this.#lease?.lease;
    }

    async #writeEntry({ slot, streams }: DueEntry, lease: string): Promise<boolean> {
        const { host, keyValue, logger } = this.#options;
        const key = `${JOURNAL_KEY_PREFIX}${host}/${this.#processTag}-${slot}`;
        const record: StreamJournalRecord = { streams };
        const value = JSON.stringify(record);
        const swapped = await keyValue.compareAndSwap(key, {
            expectedRevision: this.#revisions.get(key) ?? 0,
            value,
            lease,
        });
        if (swapped.isErr()) {
            logger.info("streams not recorded", { reason: swapped.error.kind, detail: swapped.error.message });
            if (swapped.error.kind === "rejected") {
                this.#lease = undefined;
            }
            return false;
        }
        this.#revisions.set(key, entryAfterSwap({ key, value }, swapped.value)?.revision ?? 0);
        return swapped.value.type === "written";
    }
}
