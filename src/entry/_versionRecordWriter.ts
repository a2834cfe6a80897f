/**
 * Keeps the record of the versions at which streams may have begun.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import { rankByRendezvous } from "../decision/index.js";
import { type UpstreamView } from "../fleet/index.js";
import { type StreamVersionRecord, streamVersionRecordSchema } from "../generated/gossip.js";
import { type EntryMetrics, type Logger, runInBackground } from "../observability/index.js";
import { entryAfterSwap } from "../platform/entryAfterSwap.js";
import { type KeyValueEntry, type KeyValueService, type PlatformError, type SwapOutcome } from "../platform/index.js";
import { renderReplacement } from "../platform/renderReplacement.js";
import { type ResumableStreams } from "../routes/index.js";
import { type ServiceVersions } from "../streamVersions/index.js";

/** The key of the record. */
export const VERSIONS_KEY = "streams/versions";

/** Minimum time after a version's last upstream for which the version stays on record. */
const MINIMUM_RETENTION_MILLISECONDS = 60_000;

/** A caller resumes a stream within this many times the longest time that a request may take. */
const RETENTION_TIMEOUTS = 2;

/** Each host waits this much longer than the one before it, so that mostly one host writes. */
const DELAY_PER_RANK_MILLISECONDS = 150;

/** The first record is written after a random time up to this one; at that time hosts do not know each other. */
const FIRST_RECORD_SPREAD_MILLISECONDS = 150;

const NO_STREAMS: ResumableStreams = { services: new Set(), timeoutMilliseconds: 0 };

/** Options of {@linkcode VersionRecordWriter}. */
export interface VersionRecordWriterOptions {
    readonly host: string;
    readonly keyValue: KeyValueService;
    readonly view: UpstreamView;
    readonly versions: ServiceVersions;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: () => number;
    readonly readClock: () => number;
    /** Returns the names of all live hosts, this one included. */
    readonly liveHosts: () => readonly string[];
    /** Returns the streams that callers may resume; `undefined` while no configuration is known. */
    readonly resumable: () => ResumableStreams | undefined;
    /** Returns the entry of the record in this host's mirror; `undefined` for none. */
    readonly recordEntry: () => KeyValueEntry | undefined;
    /** A call showed a later record than the mirror has. */
    readonly onLaterEntry: (entry: KeyValueEntry) => void;
}

/** Writes the record once it needs a change and no host before this one has written it. */
export class VersionRecordWriter {
    readonly #options: VersionRecordWriterOptions;
    #timer: NodeJS.Timeout | undefined;
    #isWriting = false;

    constructor(options: VersionRecordWriterOptions) {
        this.#options = options;
    }

    /** Schedules a write where the record needs a change. */
    check(): void {
        if (this.#timer === undefined && !this.#isWriting && this.#nextValue() !== undefined) {
            this.#timer = setTimeout(
                () => runInBackground(this.#options.logger, "record of stream versions", () => this.#write()),
                this.#delayMilliseconds(),
            );
        }
    }

    close(): void {
        clearTimeout(this.#timer);
    }

    #delayMilliseconds(): number {
        const { host, liveHosts, random, versions } = this.#options;
        if (!versions.isKnown) {
            return random() * FIRST_RECORD_SPREAD_MILLISECONDS;
        }
        return rankByRendezvous(VERSIONS_KEY, liveHosts()).indexOf(host) * DELAY_PER_RANK_MILLISECONDS;
    }

    #nextRecord(): StreamVersionRecord | undefined {
        const { keyValue, readClock, resumable, versions, view } = this.#options;
        const { services, timeoutMilliseconds } = resumable() ?? NO_STREAMS;
        const restores = keyValue.restoreCount?.() ?? 0;
        const retentionMilliseconds = Math.max(
            MINIMUM_RETENTION_MILLISECONDS,
            timeoutMilliseconds * RETENTION_TIMEOUTS,
        );
        return versions.nextRecord({ announced: view.all(), services, restores, retentionMilliseconds }, readClock());
    }

    /** Returns the text to write; `undefined` where none is needed, or the present record cannot be read. */
    #nextValue(): string | undefined {
        const record = this.#nextRecord();
        const stored = this.#options.recordEntry()?.value;
        return record === undefined ? undefined : renderReplacement(streamVersionRecordSchema, record, stored);
    }

    async #write(): Promise<void> {
        this.#timer = undefined;
        const record = this.#nextRecord();
        const value = this.#nextValue();
        if (record === undefined || value === undefined) {
            return;
        }
        const { logger, metrics, onLaterEntry } = this.#options;
        const swapped = await this.#replaceRecord(value);
        logger.info("stream versions recorded", {
            outcome: swapped.isOk() ? swapped.value.type : swapped.error.kind,
            versions: record.services.map(({ service, versions }) => `${service}: ${versions.join(", ")}`).join("; "),
        });
        if (swapped.isErr()) {
            return;
        }
        metrics.count("version_changes", {});
        const current = entryAfterSwap({ key: VERSIONS_KEY, value }, swapped.value);
        if (current !== undefined) {
            onLaterEntry(current);
        }
    }

    async #replaceRecord(value: string): Promise<Result<SwapOutcome, PlatformError>> {
        const { keyValue, recordEntry } = this.#options;
        this.#isWriting = true;
        try {
            return await keyValue.compareAndSwap(VERSIONS_KEY, {
                expectedRevision: recordEntry()?.revision ?? 0,
                value,
            });
        }
        finally {
            this.#isWriting = false;
        }
    }
}
