/**
 * What a host does when the key-value service comes back from an older copy of itself.
 *
 * @module
 */
import { type EngineDuties } from "../duties/index.js";
import { type UpstreamView } from "../fleet/index.js";
import { settledRestoresSchema } from "../generated/gossip.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type KeyValueEntry, type KeyValueService } from "../platform/index.js";
import { parseJson } from "../platform/parseJson.js";

/** The key under which hosts record that they have waited after a restore. */
export const RESTORES_KEY = "restores";

/** Options of `StoreRestores`. */
export interface StoreRestoresOptions {
    readonly keyValue: KeyValueService;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** The entry under `RESTORES_KEY`, as this host knows it. */
    readonly settledEntry: () => KeyValueEntry | undefined;
    /** This host's session and its copy of the service's keys no longer hold. */
    readonly onRestored: (reason: string) => void;
    /** The service has a later state of a key than this host knew. */
    readonly onLaterEntry: (entry: KeyValueEntry) => void;
}

function restoresIn(entry: KeyValueEntry | undefined): number {
    return settledRestoresSchema.safeParse(parseJson(entry?.value ?? "")).data?.restores ?? 0;
}

/**
 * Follows restores. Engines may have holders whose records are lost, so whoever takes one waits until these have stopped;
 * one host records that the wait is over, and processes that start later need not wait.
 */
export class StoreRestores {
    readonly #options: StoreRestoresOptions;
    /** Set from a restore until the older copy was listed. */
    #listsOldCopy = false;
    #writing = false;

    constructor(options: StoreRestoresOptions) {
        this.#options = options;
        options.keyValue.onRestored?.(restores => this.#take(restores));
    }

    /** Reads a listing, of the older copy where it is the first since a restore. */
    readListing(read: () => void): void {
        if (!this.#listsOldCopy) {
            read();
            return;
        }
        this.#listsOldCopy = false;
        this.#options.view.readOldCopy(read);
    }

    /** A process that starts cannot know how long ago the last restore was, unless a host has recorded that it is settled. */
    noteStart(): void {
        if (restoresIn(this.#options.settledEntry()) < this.#restores()) {
            this.#options.duties.recordRestore(this.#options.readClock());
        }
    }

    /** Takes another host's record that holders whose records were lost have stopped. */
    takeSettled(entry: KeyValueEntry): void {
        if (restoresIn(entry) >= this.#restores()) {
            this.#options.duties.recordRestoreSettled();
        }
    }

    /** Records that the wait is over, once it is. */
    async recordSettled(): Promise<void> {
        const { duties, keyValue, logger, onLaterEntry, readClock, settledEntry } = this.#options;
        const restores = this.#restores();
        if (restores === 0 || this.#writing || !duties.mayHold || duties.waitsForLostHolders(readClock())) {
            return;
        }
        const known = settledEntry();
        if (restoresIn(known) >= restores) {
            return;
        }
        this.#writing = true;
        const value = JSON.stringify({ restores });
        const expectedRevision = known?.revision ?? 0;
        const swapped = await keyValue.compareAndSwap(RESTORES_KEY, { expectedRevision, value });
        this.#writing = false;
        const outcome = swapped.isOk() ? swapped.value.type : swapped.error.kind;
        logger.info("restore settled", { restores, outcome });
        if (swapped.isOk()) {
            const { value: result } = swapped;
            const written = result.type === "written"
                ? { key: RESTORES_KEY, value, revision: result.revision }
                : undefined;
            const current = result.type === "conflict" ? result.current : written;
            if (current !== undefined) {
                onLaterEntry(current);
            }
        }
    }

    #take(restores: number): void {
        const { duties, logger, metrics, onRestored, readClock, view } = this.#options;
        const enginesHeld = duties.held().length;
        logger.warn("key-value service restored from an older copy", { restores, enginesHeld });
        metrics.count("store_restores", { holder: String(enginesHeld > 0) });
        this.#listsOldCopy = true;
        view.recordServiceFailure(readClock());
        onRestored("the service was restored");
        duties.recordRestore(readClock());
    }

    #restores(): number {
        return this.#options.keyValue.restores?.() ?? 0;
    }
}
