/**
 * Keeps a copy of the key-value service's keys by listing once and watching from there.
 *
 * @module
 */
import { type Logger } from "../observability/index.js";
import { type KeyValueEntry, type KeyValueService, type WatchEvent } from "../platform/index.js";

/** Pause before the service is asked again after a failure, and its bound as failures follow one another. */
const FIRST_RETRY_MILLISECONDS = 200;
const LONGEST_RETRY_MILLISECONDS = 800;

/** Word of a later revision counts once the watch has not brought it for so long, beyond the time for gathering. */
const BEHIND_MILLISECONDS = 780;

/** What the mirror tells. */
export type MirrorEvent =
    | { readonly type: "listed"; readonly entries: readonly KeyValueEntry[]; readonly revision: number; }
    | { readonly type: "put"; readonly entry: KeyValueEntry; }
    | { readonly type: "removed"; readonly key: string; readonly revision: number; }
    /** The service answered, or failed to. */
    | { readonly type: "contact"; readonly succeeded: boolean; };

/** One change; without a value the key was removed. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    readonly value?: string | undefined;
}

/** All changes behind one revision, up to another. */
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
    /** Changes within this time share one answer of the service. */
    readonly gatherMilliseconds: () => number;
    /** Tells whether this host has to watch; it goes by what others pass on where not. */
    readonly mustWatch: () => boolean;
    /** Takes what the watch has brought, to pass it on. */
    readonly onBatch: (batch: ChangeBatch) => void;
}

/**
 * A copy of all keys, kept up to date by a watch or by changes that other hosts pass on. After a watch that ended it goes
 * on from the last revision, and lists again where the service has lost the changes since.
 */
export class StoreMirror {
    readonly #options: StoreMirrorOptions;
    #revision: number | undefined;
    #watch: { close(): Promise<void>; } | undefined;
    /** True from an answer of the service on, until a watch ends. */
    #answered = false;
    /** Changes that the watch has brought and that were not given to `onBatch` yet. */
    #batch: StoreChange[] = [];
    #batchAfterRevision = 0;
    /** Set while the pause after a failure runs. */
    #timer: NodeJS.Timeout | undefined;
    #retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    /** The first later revision that the watch has yet to bring. */
    #behind: { readonly revision: number; readonly sinceMilliseconds: number; } | undefined;
    #listing = false;
    #closed = false;

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
    }

    /** Revision up to which the copy is complete; `undefined` before the first list. */
    get revision(): number | undefined {
        return this.#revision;
    }

    /**
     * True while this host watches, by what its watch has met. A watch that gets no answers waits as a quiet one does, so
     * that only other calls tell the two apart.
     */
    get feeds(): boolean {
        return this.#watch !== undefined && this.#answered;
    }

    start(): void {
        void this.#list();
    }

    /** Takes changes that another host passes on; some are known already, and those behind a gap wait for a watch. */
    takeBatch({ afterRevision, changes, revision }: ChangeBatch): void {
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
        this.#advance(revision);
    }

    /** Begins or ends the watch, as this host has to watch or not. */
    adjustWatch(): void {
        if (this.#revision === undefined || this.#closed) {
            return;
        }
        const watch = this.#watch;
        const mustWatch = this.#options.mustWatch();
        if (watch !== undefined && !mustWatch) {
            this.#options.logger.info("watch left to others of the cell", { revision: this.#revision });
            this.#leaveWatch();
        }
        else if (watch === undefined && mustWatch && this.#timer === undefined) {
            this.#options.logger.info("watch begun", { revision: this.#revision });
            this.#startWatch();
        }
    }

    /** Takes word of a revision, of a peer or a call; a watch that stays behind it is on a connection that fell silent. */
    noteLaterRevision(revision: number, nowMilliseconds: number): void {
        if (this.#watch === undefined || revision <= (this.#revision ?? 0)) {
            return;
        }
        this.#behind ??= { revision, sinceMilliseconds: nowMilliseconds };
        const patience = BEHIND_MILLISECONDS + this.#options.gatherMilliseconds();
        if (nowMilliseconds - this.#behind.sinceMilliseconds > patience) {
            this.restartWatch("the service has later revisions");
        }
    }

    /** Watches anew on another connection. */
    restartWatch(reason: string): void {
        if (this.#watch === undefined) {
            return;
        }
        this.#options.logger.warn("watch restarted", { reason, revision: this.#revision });
        this.#leaveWatch();
        this.#startWatch();
    }

    /** Lists anew, since what was watched so far no longer holds. */
    listAnew(reason: string): void {
        this.#options.logger.warn("key-value service listed anew", { reason, revision: this.#revision });
        this.#leaveWatch();
        void this.#list();
    }

    async close(): Promise<void> {
        this.#closed = true;
        clearTimeout(this.#timer);
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
            this.#later(() => void this.#list());
            return;
        }
        this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
        this.#revision = listed.value.revision;
        this.#answered = true;
        this.#options.onEvent({ type: "contact", succeeded: true });
        this.#options.onEvent({ type: "listed", entries: listed.value.entries, revision: listed.value.revision });
        this.#startWatch();
    }

    #leaveWatch(): void {
        const watch = this.#watch;
        this.#watch = undefined;
        this.#behind = undefined;
        void watch?.close();
    }

    #startWatch(): void {
        if (this.#closed || this.#watch !== undefined) {
            return;
        }
        this.#batch = [];
        this.#batchAfterRevision = this.#revision ?? 0;
        const { gatherMilliseconds, keyValue } = this.#options;
        const fromRevision = (this.#revision ?? 0) + 1;
        this.#watch = keyValue.watch("", event => this.#take(event), { fromRevision, gatherMilliseconds });
    }

    #take(event: WatchEvent): void {
        switch (event.type) {
            case "put":
                this.#batch.push({ key: event.entry.key, value: event.entry.value, revision: event.entry.revision });
                this.#advance(event.entry.revision);
                this.#options.onEvent({ type: "put", entry: event.entry });
                break;
            case "delete":
                this.#batch.push({ key: event.key, revision: event.revision });
                this.#advance(event.revision);
                this.#options.onEvent({ type: "removed", key: event.key, revision: event.revision });
                break;
            case "progress":
                this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
                this.#answered = true;
                this.#advance(event.revision);
                this.#options.onEvent({ type: "contact", succeeded: true });
                this.#endBatch(event.revision);
                break;
            case "ended":
                this.#watch = undefined;
                this.#answered = false;
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
                this.#later(() => this.adjustWatch());
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

    #advance(revision: number): void {
        this.#revision = Math.max(this.#revision ?? 0, revision);
        if (this.#behind !== undefined && this.#behind.revision <= this.#revision) {
            this.#behind = undefined;
        }
    }

    #later(step: () => void): void {
        this.#timer = setTimeout(() => {
            this.#timer = undefined;
            if (!this.#closed) {
                step();
            }
        }, this.#retryMilliseconds);
        this.#retryMilliseconds = Math.min(LONGEST_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
    }
}
