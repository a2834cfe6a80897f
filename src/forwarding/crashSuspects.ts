/**
 * Requests that crash the upstreams that run them, recognised by what they have in common when they come again.
 *
 * @module
 */

/** A crash is connected with requests that were lost this long before it was seen. */
const CRASH_WINDOW_MILLISECONDS = 4_000;

/** Crashes after which a request is refused. */
const REFUSED_CRASHES = 2;

/** A suspect that did not come again is forgotten after this time. */
const SUSPECT_LIFETIME_MILLISECONDS = 60_000;

interface LostRequest {
    readonly fingerprint: string;
    readonly run: string;
    readonly atMilliseconds: number;
}

interface Suspect {
    readonly runs: Set<string>;
    seenAtMilliseconds: number;
}

/** A request that was running when upstreams crashed, as hosts tell it each other. */
export interface SuspectRecord {
    readonly fingerprint: string;
    /** Runs of upstream processes that crashed with it. */
    readonly runs: readonly string[];
}

/**
 * Connects lost requests with crashed runs of upstreams.
 *
 * @example
 * ```ts
 * const suspects = new CrashSuspects();
 * suspects.noteLost("f31a", "engine-3/1700000000000", now);
 * suspects.noteCrashed("engine-3/1700000000000", now);
 * ```
 */
export class CrashSuspects {
    #lost: LostRequest[] = [];
    readonly #suspects = new Map<string, Suspect>();

    /** Takes a request whose connection ended while the upstream may have run it. */
    recordLostRequest(fingerprint: string, run: string, nowMilliseconds: number): void {
        this.#lost = this.#lost.filter(({ atMilliseconds }) =>
            nowMilliseconds - atMilliseconds < CRASH_WINDOW_MILLISECONDS
        );
        this.#lost.push({ fingerprint, run, atMilliseconds: nowMilliseconds });
    }

    /** Takes a crash; gives the suspects that it makes. */
    recordCrash(run: string, nowMilliseconds: number): readonly SuspectRecord[] {
        const involved = this.#lost.filter(lost =>
            lost.run === run && nowMilliseconds - lost.atMilliseconds < CRASH_WINDOW_MILLISECONDS
        );
        this.#lost = this.#lost.filter(lost => lost.run !== run);
        return involved.map(({ fingerprint }) => this.#add(fingerprint, [run], nowMilliseconds));
    }

    recordPeerSuspect(record: SuspectRecord, nowMilliseconds: number): void {
        this.#add(record.fingerprint, record.runs, nowMilliseconds);
    }

    /** Tells whether a request has crashed too many upstreams to be sent to another. */
    isRefused(fingerprint: string): boolean {
        return (this.#suspects.get(fingerprint)?.runs.size ?? 0) >= REFUSED_CRASHES;
    }

    expire(nowMilliseconds: number): void {
        for (const [fingerprint, { seenAtMilliseconds }] of this.#suspects) {
            if (nowMilliseconds - seenAtMilliseconds > SUSPECT_LIFETIME_MILLISECONDS) {
                this.#suspects.delete(fingerprint);
            }
        }
    }

    #add(fingerprint: string, runs: readonly string[], nowMilliseconds: number): SuspectRecord {
        const suspect = this.#suspects.get(fingerprint) ?? { runs: new Set(), seenAtMilliseconds: nowMilliseconds };
        runs.forEach(run => suspect.runs.add(run));
        suspect.seenAtMilliseconds = nowMilliseconds;
        this.#suspects.set(fingerprint, suspect);
        return { fingerprint, runs: [...suspect.runs] };
    }
}
