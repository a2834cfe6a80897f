/**
 * Mirrors the keys of the key-value service: lists them once, then watches from the listing's revision.
 *
 * @module
 */
import { type Logger, runInBackground } from "../../observability/index.js";
import {
    type ChangeReader,
    type KeyValueChanges,
    type KeyValueEntry,
    type KeyValueService,
    type KeyValueSnapshot,
    type WatchEvent,
} from "../../platform/index.js";
import { ListingChanges } from "./listingChanges.js";

/** Delay before the first retry after a failure, and its upper bound, as it doubles with each further failure. */
const FIRST_RETRY_DELAY_MILLISECONDS = 200;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

/** A watch that has not delivered a known later revision within this time, plus the batch time, is restarted. */
const MAXIMUM_LAG_MILLISECONDS = 780;

/** Names the listing in log lines. */
const LISTING = "listing of the key-value service";

/** Event of the mirror. */
export type MirrorEvent =
    | { readonly type: "listed"; readonly entries: readonly KeyValueEntry[]; readonly revision: number; }
    | { readonly type: "put"; readonly entry: KeyValueEntry; }
    | { readonly type: "removed"; readonly key: string; readonly revision: number; }
    /** The service answered, or failed to. */
    | { readonly type: "contact"; readonly succeeded: boolean; };

/** One change of a key; without a value the key was removed. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    readonly value?: string | undefined;
}

/** All changes after one revision, up to and including another. */
export interface ChangeBatch {
    readonly afterRevision: number;
    readonly revision: number;
    readonly changes: readonly StoreChange[];
}

/** A batch that hosts forward to each other. */
export interface ForwardedBatch extends ChangeBatch {
    /** The service answered at most this long ago; `undefined` where that is not known. */
    readonly ageMilliseconds?: number | undefined;
}

function toChange(event: KeyValueChanges["changes"][number]): StoreChange {
    return event.type === "put"
        ? { key: event.entry.key, value: event.entry.value, revision: event.entry.revision }
        : { key: event.key, revision: event.revision };
}

/** Options of a mirror. */
export interface StoreMirrorOptions {
    readonly keyValue: Pick<KeyValueService, "snapshot" | "watch"> & ChangeReader;
    readonly logger: Logger;
    readonly onEvent: (event: MirrorEvent) => void;
    /** Returns the time within which the service batches changes into one answer. */
    readonly batchMilliseconds: () => number;
    /** Returns whether this host has to watch; otherwise it relies on changes that other hosts forward. */
    readonly mustWatch: () => boolean;
    /** Handles the changes that the watch delivered, to forward them. */
    readonly onBatch: (batch: ChangeBatch) => void;
}

/**
 * A copy of all keys, kept current by a watch or by changes that other hosts forward. After a watch ended, it resumes
 * from the last revision, and lists again where the service no longer has the changes since.
 */
export class StoreMirror {
    readonly #options: StoreMirrorOptions;
    #revision: number | undefined;
    #watch: { close(): Promise<void>; } | undefined;
    /** Set by an answer of the service, cleared when a watch ends. */
    #isAnswered = false;
    /** Changes that the watch delivered and that were not passed to `onBatch` yet. */
    #batch: StoreChange[] = [];
    #batchAfterRevision = 0;
    /** The revision known when the first change of the watch's answer was read; `undefined` between answers. */
    #revisionBeforeAnswer: number | undefined;
    /** Set while a retry after a failure is scheduled. */
    #retryTimer: NodeJS.Timeout | undefined;
    #retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
    /** The first reported revision that the watch has not delivered yet. */
    #awaitedRevision: { readonly revision: number; readonly sinceMilliseconds: number; } | undefined;
    /** Resolves to whether the service listed its keys; `undefined` while none is asked for. */
    #listing: Promise<boolean> | undefined;
    /** What the watch delivers during a listing; `undefined` before the listing's first page, and between listings. */
    #listingChanges: ListingChanges | undefined;
    /** True where the service was restored, until its keys are listed: what was known before does not count. */
    #isRestored = false;
    #closed = false;

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
    }

    /** The revision up to which the copy is complete; `undefined` before the first listing. */
    get revision(): number | undefined {
        return this.#revision;
    }

    /**
     * True while this host watches and the service has answered since a watch last ended. A watch on a dead connection
     * looks like one without changes; only other calls to the service tell the two apart. During a listing this host
     * lacks changes that others may need.
     */
    get isWatchAnswered(): boolean {
        return this.#watch !== undefined && this.#isAnswered && this.#listing === undefined;
    }

    start(): void {
        this.#beginListing();
    }

    /** Applies changes that another host forwarded; skips known ones, and drops a batch that would leave a gap. */
    applyBatch({ afterRevision, changes, revision }: ChangeBatch): void {
        const known = this.#revision;
        if (known === undefined || afterRevision > known || this.#listing !== undefined) {
            return;
        }
        this.#applyChanges(changes, { afterRevision: known, revision });
    }

    /**
     * Reads and applies the changes that this host has not heard of, by a listing where these are lost; returns whether
     * the service answered. A listing that was asked for before may be older, and comes first.
     *
     * @param onRead Handles what was read, if it needed no listing; does nothing by default.
     */
    async readChanges(onRead: (batch: ChangeBatch) => void = () => undefined): Promise<boolean> {
        await this.#listing;
        const known = this.#revision;
        if (known === undefined || this.#closed) {
            return false;
        }
        const read = await this.#options.keyValue.changesAfter("", known);
        const listing = this.#openListing();
        if (listing !== undefined) {
            return listing;
        }
        if (read.isErr()) {
            const { isHistoryLost, kind, message } = read.error;
            this.#options.logger.warn("reading changes failed", { reason: kind, detail: message, revision: known });
            return isHistoryLost === true ? this.#relist(message) : false;
        }
        const { revision } = read.value;
        const changes = read.value.changes.map(toChange);
        this.#applyChanges(changes, { afterRevision: this.#revision ?? known, revision });
        onRead({ afterRevision: known, revision, changes });
        return true;
    }

    /** Begins or ends the watch according to `mustWatch`. */
    adjustWatch(): void {
        if (this.#listing !== undefined) {
            this.#watchDuringListing();
            return;
        }
        if (this.#revision === undefined || this.#closed) {
            return;
        }
        const watch = this.#watch;
        const mustWatch = this.#options.mustWatch();
        if (watch !== undefined && !mustWatch) {
            this.#options.logger.info("watch left to others of the cell", { revision: this.#revision });
            this.#closeWatch();
        }
        else if (watch === undefined && mustWatch && this.#retryTimer === undefined) {
            this.#options.logger.info("watch begun", { revision: this.#revision });
            this.#startWatch();
        }
    }

    /** Records a revision seen by a peer or a call; restarts a watch that stays behind it, as on a dead connection. */
    recordLaterRevision(revision: number, nowMilliseconds: number): void {
        if (this.#watch === undefined || revision <= this.#reachedRevision) {
            return;
        }
        this.#awaitedRevision ??= { revision, sinceMilliseconds: nowMilliseconds };
        const maximumLagMilliseconds = MAXIMUM_LAG_MILLISECONDS + this.#options.batchMilliseconds();
        if (nowMilliseconds - this.#awaitedRevision.sinceMilliseconds > maximumLagMilliseconds) {
            this.restartWatch("the service has later revisions");
        }
    }

    /** Ends the watch and begins another on a new connection. */
    restartWatch(reason: string): void {
        if (this.#watch === undefined) {
            return;
        }
        this.#options.logger.warn("watch restarted", { reason, revision: this.#revision });
        this.#closeWatch();
        this.#startWatch();
    }

    /** Ends the watch and lists again, since the service was restored and the copy may no longer match it. */
    relist(reason: string): void {
        this.#isRestored = true;
        runInBackground(this.#options.logger, LISTING, () => this.#relist(reason));
    }

    async close(): Promise<void> {
        this.#closed = true;
        clearTimeout(this.#retryTimer);
        await this.#watch?.close();
    }

    /** Applies those of some changes that are later than a revision; there are no others up to theirs. */
    #applyChanges(
        changes: readonly StoreChange[],
        { afterRevision, revision }: Pick<ChangeBatch, "afterRevision" | "revision">,
    ): void {
        changes.filter(change => change.revision > afterRevision).forEach(change => this.#reportChange(change));
        this.#advanceRevision(revision);
    }

    #reportChange({ key, revision, value }: StoreChange): void {
        this.#options.onEvent(
            value === undefined
                ? { type: "removed", key, revision }
                : { type: "put", entry: { key, value, revision } },
        );
    }

    /** The revision up to which this host knows the changes since its copy, or since the first page of a listing. */
    get #reachedRevision(): number {
        return this.#listingChanges?.revision ?? this.#revision ?? 0;
    }

    #openListing(): Promise<boolean> | undefined {
        return this.#listing;
    }

    #relist(reason: string): Promise<boolean> {
        this.#options.logger.warn("key-value service listed anew", { reason, revision: this.#revision });
        this.#closeWatch();
        return this.#list();
    }

    #beginListing(): void {
        runInBackground(this.#options.logger, LISTING, () => this.#list());
    }

    /** Lists all keys; returns whether the service answered with them. */
    #list(): Promise<boolean> {
        this.#listing ??= this.#listOrRetry().finally(() => {
            this.#listing = undefined;
        });
        return this.#listing;
    }

    /** Lists all keys; after an exception, what was not applied comes with another listing. */
    async #listOrRetry(): Promise<boolean> {
        try {
            return await this.#listOnce();
        }
        catch (error) {
            this.#dropListingChanges();
            this.#scheduleRetry(() => this.#beginListing());
            throw error;
        }
    }

    /** Watches from a listing's first page on, since the last page may come seconds later. */
    #beginListingChanges(revision: number): void {
        this.#closeWatch();
        this.#listingChanges = new ListingChanges(revision);
        this.#watchDuringListing();
    }

    #watchDuringListing(): void {
        if (this.#listingChanges?.isHistoryLost === false && this.#retryTimer === undefined) {
            this.#startWatch();
        }
    }

    /** Ends the watch of a listing that failed, as its changes are of no use. */
    #dropListingChanges(): void {
        if (this.#listingChanges !== undefined) {
            this.#listingChanges = undefined;
            this.#closeWatch();
        }
    }

    async #listOnce(): Promise<boolean> {
        const listed = await this.#options.keyValue.snapshot("", {
            onFirstPage: revision => this.#beginListingChanges(revision),
        });
        if (this.#closed) {
            return false;
        }
        if (listed.isErr()) {
            this.#options.logger.warn("listing the key-value service failed", {
                reason: listed.error.kind,
                detail: listed.error.message,
            });
            this.#dropListingChanges();
            this.#options.onEvent({ type: "contact", succeeded: false });
            this.#scheduleRetry(() => this.#beginListing());
            return false;
        }
        this.#applyListing(listed.value);
        return true;
    }

    #applyListing({ entries, revision }: KeyValueSnapshot): void {
        const changes = this.#listingChanges ?? new ListingChanges(revision);
        this.#listingChanges = undefined;
        this.#retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
        this.#isRestored = false;
        this.#revision = changes.revision;
        this.#isAnswered = true;
        this.#options.onEvent({ type: "contact", succeeded: true });
        this.#options.onEvent({ type: "listed", entries: changes.mergeInto(entries), revision: changes.revision });
        this.#startWatch();
    }

    #closeWatch(): void {
        const watch = this.#watch;
        this.#watch = undefined;
        this.#awaitedRevision = undefined;
        void watch?.close();
    }

    #startWatch(): void {
        if (this.#closed || this.#watch !== undefined) {
            return;
        }
        this.#batch = [];
        this.#batchAfterRevision = this.#reachedRevision;
        const { batchMilliseconds, keyValue } = this.#options;
        const fromRevision = this.#reachedRevision + 1;
        this.#watch = keyValue.watch("", event => this.#handleWatchEvent(event), {
            fromRevision,
            batchMilliseconds,
        });
    }

    #handleWatchEvent(event: WatchEvent): void {
        switch (event.type) {
            case "put":
            case "delete":
                this.#handleWatchedChange(toChange(event));
                break;
            case "progress":
                this.#retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
                this.#isAnswered = true;
                this.#revisionBeforeAnswer = undefined;
                this.#recordWatchedRevision(event.revision);
                this.#options.onEvent({ type: "contact", succeeded: true });
                this.#endBatch(event.revision);
                break;
            case "ended":
                this.#watch = undefined;
                this.#isAnswered = false;
                this.#revisionBeforeAnswer = undefined;
                this.#options.logger.warn("watch ended", {
                    detail: event.message,
                    revision: this.#revision,
                    historyLost: event.historyLost,
                });
                if (event.historyLost === true) {
                    this.#listingChanges?.recordHistoryLost();
                    this.#beginListing();
                    return;
                }
                this.#options.onEvent({ type: "contact", succeeded: false });
                this.#scheduleRetry(() => this.adjustWatch());
        }
    }

    /** Keeps a change for other hosts, and applies it unless it has come another way, perhaps with later ones. */
    #handleWatchedChange(change: StoreChange): void {
        this.#revisionBeforeAnswer ??= this.#revision ?? 0;
        this.#batch.push(change);
        if (this.#listingChanges === undefined) {
            this.#applyChanges([change], { afterRevision: this.#revisionBeforeAnswer, revision: change.revision });
            return;
        }
        this.#listingChanges.record(change);
        if (this.#revision !== undefined && !this.#isRestored) {
            this.#reportChange(change);
        }
    }

    #recordWatchedRevision(revision: number): void {
        if (this.#listingChanges === undefined) {
            this.#advanceRevision(revision);
            return;
        }
        this.#listingChanges.recordRevision(revision);
        this.#forgetAwaitedRevision(revision);
    }

    #endBatch(revision: number): void {
        const changes = this.#batch;
        const afterRevision = this.#batchAfterRevision;
        this.#batch = [];
        this.#batchAfterRevision = revision;
        if (changes.length > 0) {
            this.#options.onBatch({ afterRevision, revision, changes });
        }
    }

    #advanceRevision(revision: number): void {
        this.#revision = Math.max(this.#revision ?? 0, revision);
        this.#forgetAwaitedRevision(this.#revision);
    }

    #forgetAwaitedRevision(reachedRevision: number): void {
        if (this.#awaitedRevision !== undefined && this.#awaitedRevision.revision <= reachedRevision) {
            this.#awaitedRevision = undefined;
        }
    }

    #scheduleRetry(step: () => void): void {
        this.#retryTimer = setTimeout(() => {
            this.#retryTimer = undefined;
            if (!this.#closed) {
                step();
            }
        }, this.#retryDelayMilliseconds);
        this.#retryDelayMilliseconds = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, this.#retryDelayMilliseconds * 2);
    }
}
