/**
 * Mirrors the keys of the key-value service: lists them once, then watches from the listing's revision.
 *
 * @module
 */
import { type Logger } from "../../observability/index.js";
import { type KeyValueEntry, type KeyValueService, type WatchEvent } from "../../platform/index.js";

/** Delay before the first retry after a failure, and its upper bound, as it doubles with each further failure. */
const FIRST_RETRY_DELAY_MILLISECONDS = 200;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

/** A watch that has not delivered a known later revision within this time, plus the batch time, is restarted. */
const MAXIMUM_LAG_MILLISECONDS = 780;

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

/** Options of a mirror. */
export interface StoreMirrorOptions {
    readonly keyValue: KeyValueService;
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
    /** Set while a retry after a failure is scheduled. */
    #retryTimer: NodeJS.Timeout | undefined;
    #retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
    /** The first reported revision that the watch has not delivered yet. */
    #awaitedRevision: { readonly revision: number; readonly sinceMilliseconds: number; } | undefined;
    #listing = false;
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
     * looks like one without changes; only other calls to the service tell the two apart.
     */
    get isWatchAnswered(): boolean {
        return this.#watch !== undefined && this.#isAnswered;
    }

    start(): void {
        void this.#list();
    }

    /** Applies changes that another host forwarded; skips known ones, and drops a batch that would leave a gap. */
    applyBatch({ afterRevision, changes, revision }: ChangeBatch): void {
        const known = this.#revision;
        if (known === undefined || afterRevision > known || revision <= known) {
            return;
        }
        for (const change of changes.filter(each => each.revision > known)) {
            const { key, value } = change;
            this.#options.onEvent(
                value === undefined
                    ? { type: "removed", key, revision: change.revision }
                    : { type: "put", entry: { key, value, revision: change.revision } },
            );
        }
        this.#advanceRevision(revision);
    }

    /** Begins or ends the watch according to `mustWatch`. */
    adjustWatch(): void {
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
        if (this.#watch === undefined || revision <= (this.#revision ?? 0)) {
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

    /** Ends the watch and lists again, since the copy may no longer match the service. */
    relist(reason: string): void {
        this.#options.logger.warn("key-value service listed anew", { reason, revision: this.#revision });
        this.#closeWatch();
        void this.#list();
    }

    async close(): Promise<void> {
        this.#closed = true;
        clearTimeout(this.#retryTimer);
        await this.#watch?.close();
    }

    async #list(): Promise<void> {
        if (this.#listing) {
            return;
        }
        this.#listing = true;
        const listed = await this.#options.keyValue.snapshot("");
        this.#listing = false;
        if (this.#closed) {
            return;
        }
        if (listed.isErr()) {
            this.#options.logger.warn("listing the key-value service failed", {
                reason: listed.error.kind,
                detail: listed.error.message,
            });
            this.#options.onEvent({ type: "contact", succeeded: false });
            this.#scheduleRetry(() => void this.#list());
            return;
        }
        this.#retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
        this.#revision = listed.value.revision;
        this.#isAnswered = true;
        this.#options.onEvent({ type: "contact", succeeded: true });
        this.#options.onEvent({ type: "listed", entries: listed.value.entries, revision: listed.value.revision });
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
        this.#batchAfterRevision = this.#revision ?? 0;
        const { batchMilliseconds, keyValue } = this.#options;
        const fromRevision = (this.#revision ?? 0) + 1;
        this.#watch = keyValue.watch("", event => this.#handleWatchEvent(event), {
            fromRevision,
            batchMilliseconds,
        });
    }

    #handleWatchEvent(event: WatchEvent): void {
        switch (event.type) {
            case "put":
                this.#batch.push({ key: event.entry.key, value: event.entry.value, revision: event.entry.revision });
                this.#advanceRevision(event.entry.revision);
                this.#options.onEvent({ type: "put", entry: event.entry });
                break;
            case "delete":
                this.#batch.push({ key: event.key, revision: event.revision });
                this.#advanceRevision(event.revision);
                this.#options.onEvent({ type: "removed", key: event.key, revision: event.revision });
                break;
            case "progress":
                this.#retryDelayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
                this.#isAnswered = true;
                this.#advanceRevision(event.revision);
                this.#options.onEvent({ type: "contact", succeeded: true });
                this.#endBatch(event.revision);
                break;
            case "ended":
                this.#watch = undefined;
                this.#isAnswered = false;
                this.#options.logger.warn("watch ended", {
                    detail: event.message,
                    revision: this.#revision,
                    historyLost: event.historyLost,
                });
                if (event.historyLost === true) {
                    void this.#list();
                    return;
                }
                this.#options.onEvent({ type: "contact", succeeded: false });
                this.#scheduleRetry(() => this.adjustWatch());
        }
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
        if (this.#awaitedRevision !== undefined && this.#awaitedRevision.revision <= this.#revision) {
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
