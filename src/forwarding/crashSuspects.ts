/**
 * Detects requests that crash the upstreams that execute them, by a fingerprint that each repetition shares.
 *
 * @module
 */

/** A crash is attributed to requests that were lost within this time before it was detected. */
const CRASH_WINDOW_MILLISECONDS = 4_000;

/** Number of crashes from which a request is refused. */
const REFUSAL_CRASH_COUNT = 2;

/** A suspect that was not recorded again within this time is dropped. */
const SUSPECT_LIFETIME_MILLISECONDS = 60_000;

interface LostRequest {
    readonly fingerprint: string;
    readonly incarnation: string;
    readonly atMilliseconds: number;
}

interface Suspect {
    readonly incarnations: Set<string>;
    seenAtMilliseconds: number;
}

/** A request that was running when upstreams crashed, as hosts report it to each other. */
export interface SuspectRecord {
    readonly fingerprint: string;
    /** Incarnations of upstream processes that crashed while it was running. */
    readonly runs: readonly string[];
}

/**
 * Attributes crashes of upstream incarnations to the requests that were lost with them.
 *
 * @example
 * ```ts
 * const suspects = new CrashSuspects();
 * suspects.recordLostRequest("f31a", "engine-3/1700000000000", now);
 * suspects.recordCrash("engine-3/1700000000000", now);
 * ```
 */
export class CrashSuspects {
    #lostRequests: LostRequest[] = [];
    readonly #suspects = new Map<string, Suspect>();

    /** Records a request whose connection ended while the upstream may have been executing it. */
    recordLostRequest(fingerprint: string, incarnation: string, nowMilliseconds: number): void {
        this.#lostRequests = this.#lostRequests.filter(({ atMilliseconds }) =>
            nowMilliseconds - atMilliseconds < CRASH_WINDOW_MILLISECONDS
        );
        this.#lostRequests.push({ fingerprint, incarnation, atMilliseconds: nowMilliseconds });
    }

    /** Records a crash; returns the requests that become suspects by it. */
    recordCrash(incarnation: string, nowMilliseconds: number): readonly SuspectRecord[] {
        const involved = this.#lostRequests.filter(lost =>
            lost.incarnation === incarnation && nowMilliseconds - lost.atMilliseconds < CRASH_WINDOW_MILLISECONDS
        );
        this.#lostRequests = this.#lostRequests.filter(lost => lost.incarnation !== incarnation);
        return involved.map(({ fingerprint }) => this.#add(fingerprint, [incarnation], nowMilliseconds));
    }

    recordPeerSuspect(record: SuspectRecord, nowMilliseconds: number): void {
        this.#add(record.fingerprint, record.runs, nowMilliseconds);
    }

    /** Returns whether a request was running at so many crashes that it is not sent to another upstream. */
    isRefused(fingerprint: string): boolean {
        return (this.#suspects.get(fingerprint)?.incarnations.size ?? 0) >= REFUSAL_CRASH_COUNT;
    }

    expire(nowMilliseconds: number): void {
        for (const [fingerprint, { seenAtMilliseconds }] of this.#suspects) {
            if (nowMilliseconds - seenAtMilliseconds > SUSPECT_LIFETIME_MILLISECONDS) {
                this.#suspects.delete(fingerprint);
            }
        }
    }

    #add(fingerprint: string, incarnations: readonly string[], nowMilliseconds: number): SuspectRecord {
        const suspect = this.#suspects.get(fingerprint)
            ?? { incarnations: new Set(), seenAtMilliseconds: nowMilliseconds };
        incarnations.forEach(incarnation => suspect.incarnations.add(incarnation));
        suspect.seenAtMilliseconds = nowMilliseconds;
        this.#suspects.set(fingerprint, suspect);
        return { fingerprint, runs: [...suspect.incarnations] };
    }
}
