/**
 * Handles a restore of the key-value service from an older snapshot.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import { type EngineDuties } from "../../duties/index.js";
import { type UpstreamView } from "../../fleet/index.js";
import { settledRestoresSchema } from "../../generated/gossip.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { entryAfterSwap } from "../../platform/entryAfterSwap.js";
import {
    type KeyValueEntry,
    type KeyValueService,
    type PlatformError,
    type SwapOutcome,
} from "../../platform/index.js";
import { parseDocument } from "../../platform/parseDocument.js";
import { parseJson } from "../../platform/parseJson.js";
import { renderReplacement } from "../../platform/renderReplacement.js";

/** The key of the record that the wait after a restore is over. */
export const RESTORES_KEY = "restores";

/** Options of `StoreRestores`. */
export interface StoreRestoresOptions {
    readonly keyValue: KeyValueService;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** Returns the entry of `RESTORES_KEY` in this host's mirror. */
    readonly settledEntry: () => KeyValueEntry | undefined;
    /** This host's session and its copy of the service's keys may no longer be valid. */
    readonly onRestored: (reason: string) => void;
    /** A call showed that the service has a later revision of a key than this host knew. */
    readonly onLaterEntry: (entry: KeyValueEntry) => void;
}

function settledRestoresIn(entry: KeyValueEntry | undefined): number {
    return parseDocument(settledRestoresSchema, parseJson(entry?.value ?? "")).data?.restores ?? 0;
}

/**
 * Handles restores. Engines may have holders whose records are lost, so a host that takes one over waits until those
 * must have stopped. One host records that the wait is over, so that processes that start later need not wait.
 */
export class StoreRestores {
    readonly #options: StoreRestoresOptions;
    /** Set from a restore until the restored snapshot was listed. */
    #awaitsRestoredListing = false;
    #isWriting = false;
    /** Revision of the record that was last found not to be readable. */
    #unreadableRevision: number | undefined;

    constructor(options: StoreRestoresOptions) {
        this.#options = options;
        options.keyValue.onRestored?.(restores => this.#handleRestore(restores));
    }

    /** Applies a listing, as one of a restored snapshot where it is the first after a restore. */
    applyListing(apply: () => void): void {
        if (!this.#awaitsRestoredListing) {
            apply();
            return;
        }
        this.#awaitsRestoredListing = false;
        this.#options.view.readRestoredSnapshot(apply);
    }

    /**
     * Treats the last restore as new, unless a host recorded that the wait after it is over: a process that starts
     * cannot know how long ago the restore was.
     */
    handleStart(): void {
        if (settledRestoresIn(this.#options.settledEntry()) < this.#restores()) {
            this.#options.duties.recordRestore(this.#options.readClock());
        }
    }

    /** Applies another host's record that holders whose records were lost have stopped. */
    applySettled(entry: KeyValueEntry): void {
        if (settledRestoresIn(entry) >= this.#restores()) {
            this.#options.duties.recordRestoreSettled();
        }
    }

    /** Records that the wait is over, once it is. */
    async recordSettled(): Promise<void> {
        const { duties, logger, onLaterEntry, readClock, settledEntry } = this.#options;
        const restores = this.#restores();
        if (restores === 0 || this.#isWriting || !duties.mayHold || duties.waitsForLostHolders(readClock())) {
            return;
        }
        const known = settledEntry();
        if (settledRestoresIn(known) >= restores) {
            return;
        }
        const value = renderReplacement(settledRestoresSchema, { restores }, known?.value);
        if (value === undefined) {
            this.#reportUnreadable(known?.revision);
            return;
        }
        const swapped = await this.#replaceRecord(known?.revision ?? 0, value);
        const outcome = swapped.isOk() ? swapped.value.type : swapped.error.kind;
        logger.info("restore settled", { restores, outcome });
        if (swapped.isOk()) {
            const current = entryAfterSwap({ key: RESTORES_KEY, value }, swapped.value);
            if (current !== undefined) {
                onLaterEntry(current);
            }
        }
    }

    async #replaceRecord(expectedRevision: number, value: string): Promise<Result<SwapOutcome, PlatformError>> {
        this.#isWriting = true;
        try {
            return await this.#options.keyValue.compareAndSwap(RESTORES_KEY, { expectedRevision, value });
        }
        finally {
            this.#isWriting = false;
        }
    }

    /** Logs once for each revision that the record cannot be read, and so is not written. */
    #reportUnreadable(revision: number | undefined): void {
        if (revision !== this.#unreadableRevision) {
            this.#unreadableRevision = revision;
            this.#options.logger.warn("restore record not readable", { revision });
        }
    }

    #handleRestore(restores: number): void {
        const { duties, logger, metrics, onRestored, readClock, view } = this.#options;
        const enginesHeld = duties.held().length;
        logger.warn("key-value service restored from an older copy", { restores, enginesHeld });
        metrics.count("store_restores", { holder: String(enginesHeld > 0) });
        this.#awaitsRestoredListing = true;
        view.recordServiceFailure(readClock());
        onRestored("the service was restored");
        duties.recordRestore(readClock());
    }

    #restores(): number {
        return this.#options.keyValue.restoreCount?.() ?? 0;
    }
}
