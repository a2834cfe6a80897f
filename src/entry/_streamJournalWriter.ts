/**
 * Writes the streams that this host keeps into the key-value service, so that they outlive a stop of all hosts.
 *
 * @module
 */
import { type BegunStream, type StreamJournalRecord } from "../generated/gossip.js";
import { type Logger } from "../observability/index.js";
import { entryAfterSwap } from "../platform/entryAfterSwap.js";
import { type KeyValueService } from "../platform/index.js";
import { type DueEntry, StreamJournal } from "../streamVersions/index.js";

/** Prefix of the journal's keys. */
export const JOURNAL_KEY_PREFIX = "streams/begun/";

/** Time between two writes; streams that began since the last one cannot go on once all hosts have stopped. */
const WRITE_INTERVAL_MILLISECONDS = 200;

/** Time before a write that comes long after the last one, for streams that begin together. */
const FIRST_WRITE_DELAY_MILLISECONDS = 20;

/** Entries expire this long after they were last written, or somewhat sooner. */
const LEASE_MILLISECONDS = 120_000;

/** A lease is used for this long; its remaining time is the retention of the entries written last. */
const LEASE_USE_MILLISECONDS = 50_000;

/** Options of {@linkcode StreamJournalWriter}. */
export interface StreamJournalWriterOptions {
    readonly host: string;
    readonly keyValue: KeyValueService;
    readonly logger: Logger;
    readonly random: () => number;
    readonly readClock: () => number;
}

/** Collects streams and writes them some times a second. What a failed write had is written with the next one. */
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
    #wroteAtMilliseconds = Number.NEGATIVE_INFINITY;
    #closed = false;

    constructor(options: StreamJournalWriterOptions) {
        this.#options = options;
        this.#processTag = Math.floor(options.random() * 0x1_0000_0000).toString(36);
    }

    add(stream: BegunStream): void {
        this.#journal.add(stream, this.#options.readClock());
        this.#addedAtMilliseconds.push(this.#options.readClock());
        if (!this.#closed) {
            this.#timer ??= setTimeout(() => void this.#writeDue(), this.#delayMilliseconds());
        }
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #delayMilliseconds(): number {
        const sinceWriteMilliseconds = this.#options.readClock() - this.#wroteAtMilliseconds;
        return Math.max(FIRST_WRITE_DELAY_MILLISECONDS, WRITE_INTERVAL_MILLISECONDS - sinceWriteMilliseconds);
    }

    async #writeDue(): Promise<void> {
        this.#wroteAtMilliseconds = this.#options.readClock();
        const lease = await this.#currentLease();
        this.#timer = undefined;
        if (lease !== undefined) {
            const addedAtMilliseconds = this.#addedAtMilliseconds;
            this.#addedAtMilliseconds = [];
            const areWritten = await Promise.all(this.#journal.takeDue().map(entry => this.#write(entry, lease)));
            if (areWritten.every(isWritten => isWritten)) {
                this.#logWritten(addedAtMilliseconds);
            }
        }
    }

    #logWritten(addedAtMilliseconds: readonly number[]): void {
        const { logger, readClock } = this.#options;
        logger.info("streams recorded", {
            streams: addedAtMilliseconds.length,
            oldestMilliseconds: Math.round(readClock() - Math.min(...addedAtMilliseconds)),
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

    async #write({ slot, streams }: DueEntry, lease: string): Promise<boolean> {
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
