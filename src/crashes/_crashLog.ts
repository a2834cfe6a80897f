/**
 * Requests that were lost before their answers had begun, by the upstream's incarnation that they were lost on.
 *
 * @module
 */

/** Incarnations that are not known to have crashed within this time were only disconnected. */
const UNCONFIRMED_LIFETIME_MILLISECONDS = 8_000;

/** Crashes count against an attribute for this long. */
const CRASH_LIFETIME_MILLISECONDS = 600_000;

/** Bounds memory: a crash of all upstreams of a large fleet fits. */
const MAXIMUM_RUNS = 1_024;

/** Bounds the requests that are suspected of one crash. */
const MAXIMUM_LOSSES = 48;

/** A request that was lost on an incarnation. */
export interface Loss {
    readonly fingerprint: string;
    /** Names of the suspected attributes: the request itself and its parts. */
    readonly attributes: readonly string[];
    readonly parts: readonly string[];
    /** Whether this host sent it. */
    readonly isOwn: boolean;
    readonly heardAtMilliseconds: number;
}

/** A loss in the log. */
export interface RecordedLoss extends Loss {
    /** Time of the loss; where a peer reported it, of the earliest one that the peer knew on the incarnation. */
    readonly atMilliseconds: number;
}

/** An incarnation on which requests were lost, or that is known to have crashed. */
export interface Run {
    readonly incarnation: string;
    /** Time of the first loss; of the news of the crash where no loss is known. */
    atMilliseconds: number;
    isCrash: boolean;
    /** When this host last learned something of it. */
    changedAtMilliseconds: number;
    readonly losses: Map<string, RecordedLoss>;
}

/** Losses and crashes of the last minutes. */
export class CrashLog {
    readonly #runs = new Map<string, Run>();
    readonly #runsByAttribute = new Map<string, Set<Run>>();

    /** Returns all incarnations, oldest first. */
    runs(): IterableIterator<Run> {
        return this.#runs.values();
    }

    get(incarnation: string): Run | undefined {
        return this.#runs.get(incarnation);
    }

    /** Returns the incarnations on which requests with the attribute were lost. */
    runsOf(attribute: string): ReadonlySet<Run> {
        return this.#runsByAttribute.get(attribute) ?? new Set();
    }

    /** Returns whether no loss with the attribute is known. */
    isUnsuspected(attribute: string): boolean {
        return !this.#runsByAttribute.has(attribute);
    }

    attributes(): IterableIterator<string> {
        return this.#runsByAttribute.keys();
    }

    /** Records a loss; returns whether it was unknown. */
    recordLoss(incarnation: string, loss: Loss, atMilliseconds: number): boolean {
        const run = this.#open(incarnation, atMilliseconds, loss.heardAtMilliseconds);
        run.atMilliseconds = Math.min(run.atMilliseconds, atMilliseconds);
        if (run.losses.has(loss.fingerprint) || run.losses.size >= MAXIMUM_LOSSES) {
            return false;
        }
        run.losses.set(loss.fingerprint, { ...loss, atMilliseconds });
        run.changedAtMilliseconds = loss.heardAtMilliseconds;
        for (const attribute of loss.attributes) {
            const runs = this.#runsByAttribute.get(attribute) ?? new Set();
            this.#runsByAttribute.set(attribute, runs.add(run));
        }
        return true;
    }

    /** Records that an incarnation has crashed; returns it where that is news. */
    recordCrash(incarnation: string, nowMilliseconds: number): Run | undefined {
        const run = this.#open(incarnation, nowMilliseconds, nowMilliseconds);
        if (run.isCrash) {
            return undefined;
        }
        run.isCrash = true;
        run.changedAtMilliseconds = nowMilliseconds;
        return run;
    }

    /**
     * Drops the losses before a time at which an incarnation is known to have lived: only their connections were reset.
     */
    recordAlive(incarnation: string, aliveAtMilliseconds: number): void {
        const run = this.#runs.get(incarnation);
        if (run === undefined || run.isCrash) {
            return;
        }
        const later = [...run.losses.values()].filter(({ atMilliseconds }) => atMilliseconds >= aliveAtMilliseconds);
        if (later.length < run.losses.size) {
            this.#remove(run);
            later.forEach(loss => this.recordLoss(incarnation, loss, loss.atMilliseconds));
        }
    }

    /** Returns the time of the earliest loss heard of with an attribute. */
    suspectedSinceMilliseconds(attribute: string): number {
        const heard = [...this.runsOf(attribute)].flatMap(run =>
            [...run.losses.values()]
                .filter(({ attributes }) => attributes.includes(attribute))
                .map(({ heardAtMilliseconds }) => heardAtMilliseconds)
        );
        return Math.min(...heard);
    }

    expire(nowMilliseconds: number): void {
        for (const run of this.#runs.values()) {
            const lifetime = run.isCrash ? CRASH_LIFETIME_MILLISECONDS : UNCONFIRMED_LIFETIME_MILLISECONDS;
            if (nowMilliseconds - run.atMilliseconds > lifetime) {
                this.#remove(run);
            }
        }
    }

    #open(incarnation: string, atMilliseconds: number, nowMilliseconds: number): Run {
        const known = this.#runs.get(incarnation);
        if (known !== undefined) {
            return known;
        }
        this.#makeRoom();
        const run: Run = {
            incarnation,
            atMilliseconds,
            isCrash: false,
            changedAtMilliseconds: nowMilliseconds,
            losses: new Map(),
        };
        this.#runs.set(incarnation, run);
        return run;
    }

    /** Drops the oldest incarnation of a full log, first one that is not known to have crashed. */
    #makeRoom(): void {
        if (this.#runs.size < MAXIMUM_RUNS) {
            return;
        }
        const runs = [...this.#runs.values()];
        const dropped = runs.find(({ isCrash }) => !isCrash) ?? runs[0];
        if (dropped !== undefined) {
            this.#remove(dropped);
        }
    }

    #remove(run: Run): void {
        this.#runs.delete(run.incarnation);
        for (const attribute of [...run.losses.values()].flatMap(({ attributes }) => attributes)) {
            const runs = this.#runsByAttribute.get(attribute);
            runs?.delete(run);
            if (runs?.size === 0) {
                this.#runsByAttribute.delete(attribute);
            }
        }
    }
}
