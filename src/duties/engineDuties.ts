/**
 * Which host gives orders to which engine.
 *
 * A holder is named in a record of the key-value service that changes by compare-and-swap only; it counts as long as
 * its host's session, which is bound to a lease, exists. Engines do not check fencing numbers, so a new holder waits
 * until the one before it must have stopped.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";

/** Each host that ranks behind another lets it go first for this long. */
const RANK_DELAY_MILLISECONDS = 300;

/** The time of day and the steady clock may drift apart by this much before a suspension is assumed. */
const CLOCK_TOLERANCE_MILLISECONDS = 250;

/** Bounds on holding a duty. */
export interface DutyBounds {
    /** A holder gives orders for this long after it asked for the renewal that succeeded. */
    readonly confirmedMilliseconds: number;
    /** Orders of two holders are at least this far apart. */
    readonly handoverMilliseconds: number;
}

/** Who holds an engine, as recorded. */
export interface HolderRecord {
    readonly host: string;
    readonly session: string;
    /** True where the holder gave the duty up and has sent its last order. */
    readonly released: boolean;
}

/** A holder's record with the revision that it was written at. */
export interface StoredHolder extends HolderRecord {
    readonly revision: number;
}

/** A record to write, so that this host holds the engine. */
export interface Acquisition {
    readonly engine: string;
    readonly expectedRevision: number;
}

/** The two clocks of a host at one moment. */
export interface ClockReading {
    readonly steadyMilliseconds: number;
    readonly timeOfDayMilliseconds: number;
}

interface Vacancy {
    readonly sinceMilliseconds: number;
}

/**
 * Decides which engines this host takes over, and when it may give them orders.
 *
 * @example
 * ```ts
 * const duties = new EngineDuties("entry-1", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
 * duties.confirm("77120", reading);
 * const missing = duties.vacant(engines, now);
 * ```
 */
export class EngineDuties {
    readonly #host: string;
    readonly #bounds: DutyBounds;
    readonly #sessions = new Map<string, string>();
    readonly #holders = new Map<string, StoredHolder>();
    readonly #vacancies = new Map<string, Vacancy>();
    readonly #quietUntil = new Map<string, number>();
    #session: string | undefined;
    #confirmedAt: ClockReading | undefined;

    constructor(host: string, bounds: DutyBounds) {
        this.#host = host;
        this.#bounds = bounds;
    }

    /** Takes the session of a host; `undefined` for one that has ended. */
    setSession(host: string, session: string | undefined): void {
        if (session === undefined) {
            this.#sessions.delete(host);
        }
        else {
            this.#sessions.set(host, session);
        }
    }

    /** Takes the record of an engine's holder, from the service or from this host's own write. */
    setHolder(engine: string, holder: StoredHolder | undefined, nowMilliseconds: number): void {
        const known = this.#holders.get(engine);
        if (holder === undefined) {
            this.#holders.delete(engine);
            return;
        }
        if (known !== undefined && holder.revision <= known.revision) {
            return;
        }
        if (holder.host === this.#host) {
            this.#quietUntil.set(engine, nowMilliseconds + this.#quietAfter(known));
        }
        this.#holders.set(engine, holder);
    }

    /** Takes note that this host's session was confirmed by a call that was sent at the reading. */
    confirm(session: string, sentAt: ClockReading): void {
        this.#session = session;
        this.#confirmedAt = sentAt;
    }

    /** This host's session; `undefined` while there is none. */
    get session(): string | undefined {
        return this.#session;
    }

    /** This host's session has ended or may have ended. */
    loseSession(): void {
        this.#session = undefined;
        this.#confirmedAt = undefined;
    }

    /** Gives the host that holds an engine; `undefined` where nobody does. */
    holderOf(engine: string): string | undefined {
        const holder = this.#holders.get(engine);
        const valid = holder !== undefined && !holder.released && this.#sessions.get(holder.host) === holder.session;
        return valid ? holder.host : undefined;
    }

    /** Gives the engines that this host should take over now. */
    vacant(engines: readonly string[], nowMilliseconds: number): readonly Acquisition[] {
        if (this.#session === undefined || this.#sessions.get(this.#host) !== this.#session) {
            return [];
        }
        const hosts = [...this.#sessions.keys()];
        return engines.flatMap(engine => {
            if (this.holderOf(engine) !== undefined) {
                this.#vacancies.delete(engine);
                return [];
            }
            const vacancy = this.#vacancies.get(engine) ?? { sinceMilliseconds: nowMilliseconds };
            this.#vacancies.set(engine, vacancy);
            const rank = this.#rankFor(engine, hosts);
            const due = vacancy.sinceMilliseconds + rank * RANK_DELAY_MILLISECONDS;
            const expectedRevision = this.#holders.get(engine)?.revision ?? 0;
            return nowMilliseconds >= due ? [{ engine, expectedRevision }] : [];
        });
    }

    /** Gives the fencing number under which this host may order an engine now; `undefined` where it may not. */
    fencingNumber(engine: string, now: ClockReading): number | undefined {
        const holder = this.#holders.get(engine);
        if (holder === undefined || holder.released || holder.host !== this.#host) {
            return undefined;
        }
        if (holder.session !== this.#session || !this.#isConfirmed(now)) {
            return undefined;
        }
        return now.steadyMilliseconds >= (this.#quietUntil.get(engine) ?? Number.POSITIVE_INFINITY)
            ? holder.revision
            : undefined;
    }

    /** Gives the engines whose record names this host's session, with the revisions of the records. */
    held(): readonly Acquisition[] {
        return [...this.#holders]
            .filter(([, holder]) => holder.host === this.#host && holder.session === this.#session && !holder.released)
            .map(([engine, { revision }]) => ({ engine, expectedRevision: revision }));
    }

    /** The host that held an engine last goes first, since it need not wait for another to have stopped. */
    #rankFor(engine: string, hosts: readonly string[]): number {
        const last = this.#holders.get(engine);
        if (last !== undefined && !last.released && hosts.includes(last.host)) {
            const others = hosts.filter(host => host !== last.host);
            return last.host === this.#host ? 0 : 1 + rankByRendezvous(engine, others).indexOf(this.#host);
        }
        return rankByRendezvous(engine, hosts).indexOf(this.#host);
    }

    /** How long a new holder waits for the one before it to have stopped. */
    #quietAfter(before: StoredHolder | undefined): number {
        if (before === undefined || before.host === this.#host) {
            return 0;
        }
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        return before.released ? handoverMilliseconds : confirmedMilliseconds + handoverMilliseconds;
    }

    /** A clock that ran on alone tells of a suspension, after which the session may have ended. */
    #isConfirmed(now: ClockReading): boolean {
        if (this.#confirmedAt === undefined) {
            return false;
        }
        const steady = now.steadyMilliseconds - this.#confirmedAt.steadyMilliseconds;
        const timeOfDay = now.timeOfDayMilliseconds - this.#confirmedAt.timeOfDayMilliseconds;
        return steady <= this.#bounds.confirmedMilliseconds
            && Math.abs(timeOfDay - steady) <= CLOCK_TOLERANCE_MILLISECONDS;
    }
}
