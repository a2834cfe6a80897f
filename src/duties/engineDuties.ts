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

/** Added to a holder's own word on its last order, for what was on its way. */
const IN_FLIGHT_MILLISECONDS = 200;

/** Hosts that may take engines over are at least so many, and one for so many engines; the others leave it to them. */
const FEWEST_CANDIDATES = 12;
const ENGINES_PER_CANDIDATE = 8;

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
    /** True where the holder has nobody to wait for, or no longer has. */
    readonly settled: boolean;
}

/** A holder's record with the revision that it was written at. */
export interface StoredHolder extends HolderRecord {
    readonly revision: number;
}

/** A record to write, so that this host holds the engine. */
export interface Acquisition {
    readonly engine: string;
    readonly expectedRevision: number;
    /** True where nobody has to be waited for. */
    readonly settled: boolean;
}

/** The two clocks of a host at one moment. */
export interface ClockReading {
    readonly steadyMilliseconds: number;
    readonly timeOfDayMilliseconds: number;
}

/** A holder's word that it gives an engine no more orders under a record. */
export interface Relinquishment {
    readonly engine: string;
    /** Of the holder's record. */
    readonly revision: number;
    /** For which no other holder may begin, for this one's last order and for those of the holders before it. */
    readonly quietMilliseconds: number;
}

/** From when on another holder may begin, by a holder's own word. */
interface ToldQuiet {
    readonly revision: number;
    readonly untilMilliseconds: number;
}

/** A new holder and the one before it, which may not know of it. */
export interface Succession {
    readonly engine: string;
    /** The host that held the engine before. */
    readonly before: string;
    readonly holder: StoredHolder;
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
    /** Until when holders on other hosts wait, as far as their records tell. */
    readonly #othersQuietUntil = new Map<string, number>();
    /** The latest record of another host. */
    readonly #before = new Map<string, StoredHolder>();
    /** Records under which this host gives no more orders. */
    readonly #relinquished = new Map<string, number>();
    readonly #lastOrders = new Map<string, number>();
    /** What other holders said when they relinquished engines. */
    readonly #told = new Map<string, ToldQuiet>();
    /** Until when new holders wait for those whose records the service may have lost. */
    #lostHoldersUntil = Number.NEGATIVE_INFINITY;
    #session: string | undefined;
    #confirmedAt: ClockReading | undefined;
    #isCandidate = true;
    /** Hosts with a session, in the order in which they may hold engines; made anew as sessions come and go. */
    #ranked: readonly string[] | undefined;

    constructor(host: string, bounds: DutyBounds) {
        this.#host = host;
        this.#bounds = bounds;
    }

    /** Takes the session of a host; `undefined` for one that has ended. */
    setSession(host: string, session: string | undefined): void {
        this.#ranked = undefined;
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
        if (known !== undefined && known.host !== this.#host) {
            this.#before.set(engine, known);
        }
        this.#holders.set(engine, holder);
        if (holder.host === this.#host && holder.session === this.#session) {
            this.#quietUntil.set(engine, this.#quietUntilAfter(engine, known, nowMilliseconds));
        }
        else if (known !== undefined && !holder.settled) {
            this.#othersQuietUntil.set(engine, this.#quietUntilAfter(engine, known, nowMilliseconds));
        }
        else {
            this.#othersQuietUntil.delete(engine);
        }
    }

    /** Tells whether somebody may order an engine now: it has a holder, and that one no longer waits. */
    hasActiveHolder(engine: string, nowMilliseconds: number): boolean {
        const holder = this.holderOf(engine);
        const quietUntil = holder === this.#host ? this.#quietUntil : this.#othersQuietUntil;
        return holder !== undefined && nowMilliseconds >= (quietUntil.get(engine) ?? Number.NEGATIVE_INFINITY);
    }

    /** Takes note that this host's session was confirmed by a call that was sent at the reading. */
    recordRenewal(session: string, sentAt: ClockReading): void {
        this.#session = session;
        this.#confirmedAt = sentAt;
    }

    /**
     * Takes the consent of all other hosts, given in answer to a digest that was sent at the reading. It stands in for a
     * renewal while this host's session is not known to have ended.
     */
    recordPeerConsent(sentAt: ClockReading): void {
        const confirmedAt = this.#confirmedAt;
        if (confirmedAt !== undefined && sentAt.steadyMilliseconds > confirmedAt.steadyMilliseconds) {
            this.#confirmedAt = sentAt;
        }
    }

    /**
     * Takes note that the service came back from an older copy. Engines may have holders whose records it has lost; they
     * stop once their last renewals, which were sent before that, no longer confirm them.
     */
    recordRestore(nowMilliseconds: number): void {
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        this.#lostHoldersUntil = nowMilliseconds + confirmedMilliseconds + handoverMilliseconds;
    }

    /** Takes note that holders whose records were lost have stopped, as another host has found. */
    recordRestoreSettled(): void {
        this.#lostHoldersUntil = Number.NEGATIVE_INFINITY;
    }

    /** True while new holders wait for those whose records may be lost. */
    waitsForLostHolders(nowMilliseconds: number): boolean {
        return nowMilliseconds < this.#lostHoldersUntil;
    }

    /** This host's session; `undefined` while there is none. */
    get session(): string | undefined {
        return this.#session;
    }

    /**
     * This host's session has ended or may have ended, and with it what it held.
     *
     * @returns The engines that are given up now.
     */
    loseSession(): readonly string[] {
        const engines = this.relinquishAll();
        this.#session = undefined;
        this.#confirmedAt = undefined;
        return engines;
    }

    /** Gives the host that holds an engine; `undefined` where nobody does. */
    holderOf(engine: string): string | undefined {
        const holder = this.#holders.get(engine);
        const valid = holder !== undefined && !holder.released && !this.#isRelinquished(engine, holder)
            && this.#sessions.get(holder.host) === holder.session;
        return valid ? holder.host : undefined;
    }

    /** Tells whether this host's session was confirmed lately. A clock that ran on alone tells of a suspension. */
    isConfirmed(now: ClockReading): boolean {
        if (this.#confirmedAt === undefined) {
            return false;
        }
        const steady = now.steadyMilliseconds - this.#confirmedAt.steadyMilliseconds;
        const timeOfDay = now.timeOfDayMilliseconds - this.#confirmedAt.timeOfDayMilliseconds;
        return steady <= this.#bounds.confirmedMilliseconds
            && Math.abs(timeOfDay - steady) <= CLOCK_TOLERANCE_MILLISECONDS;
    }

    /** Gives the engines that this host should take over now. */
    vacant(engines: readonly string[], nowMilliseconds: number): readonly Acquisition[] {
        if (this.#session === undefined || this.#sessions.get(this.#host) !== this.#session) {
            return [];
        }
        const hosts = this.candidates(engines.length);
        this.#isCandidate = hosts.includes(this.#host);
        if (!this.#isCandidate) {
            return [];
        }
        return engines.flatMap(engine => {
            if (this.holderOf(engine) !== undefined) {
                this.#vacancies.delete(engine);
                return [];
            }
            const vacancy = this.#vacancies.get(engine) ?? { sinceMilliseconds: nowMilliseconds };
            this.#vacancies.set(engine, vacancy);
            const rank = this.#rankFor(engine, hosts);
            const due = vacancy.sinceMilliseconds + rank * RANK_DELAY_MILLISECONDS;
            const before = this.#holders.get(engine);
            const settled = this.#quietUntilAfter(engine, before, nowMilliseconds) <= nowMilliseconds;
            return nowMilliseconds >= due ? [{ engine, expectedRevision: before?.revision ?? 0, settled }] : [];
        });
    }

    /** True where this host holds engines, or may take some over. */
    get mayHold(): boolean {
        return this.#isCandidate || this.held().length > 0;
    }

    /** Gives the hosts that may take engines over; all hosts that know the same sessions name the same, in one order. */
    candidates(engineCount: number): string[] {
        const most = Math.max(FEWEST_CANDIDATES, Math.ceil(engineCount / ENGINES_PER_CANDIDATE));
        this.#ranked ??= rankByRendezvous("candidates", [...this.#sessions.keys()]);
        return this.#ranked.slice(0, most);
    }

    /** Gives the fencing number under which this host may order an engine now; `undefined` where it may not. */
    fencingNumber(engine: string, now: ClockReading): number | undefined {
        const holder = this.#holders.get(engine);
        if (holder === undefined || holder.released || holder.host !== this.#host) {
            return undefined;
        }
        const isStopped = this.#relinquished.get(engine) === holder.revision;
        if (holder.session !== this.#session || isStopped || !this.isConfirmed(now)) {
            return undefined;
        }
        return now.steadyMilliseconds >= (this.#quietUntil.get(engine) ?? Number.POSITIVE_INFINITY)
            ? holder.revision
            : undefined;
    }

    /** Gives the engines for which this host waits until the holder before it has stopped. */
    waiting(nowMilliseconds: number): Succession[] {
        return this.held().flatMap(({ engine }) => {
            const before = this.#before.get(engine);
            const holder = this.#holders.get(engine);
            const waits = (this.#quietUntil.get(engine) ?? Number.NEGATIVE_INFINITY) > nowMilliseconds;
            return waits && before !== undefined && holder !== undefined
                ? [{ engine, before: before.host, holder }]
                : [];
        });
    }

    /** Gives the revision of each engine's latest record that this host knows. */
    holderRevisions(): ReadonlyMap<string, number> {
        return new Map([...this.#holders].map(([engine, { revision }]) => [engine, revision]));
    }

    /** Gives the engines whose record names this host's session, with the revisions of the records. */
    held(): readonly Acquisition[] {
        return [...this.#holders]
            .filter(([engine, holder]) =>
                holder.host === this.#host && holder.session === this.#session && !holder.released
                && this.#relinquished.get(engine) !== holder.revision
            )
            .map(([engine, { revision, settled }]) => ({ engine, expectedRevision: revision, settled }));
    }

    /**
     * Gives the engines for which this host no longer waits, though their records say that it has to: a process that
     * follows this one on its host would wait once more.
     */
    unsettled(now: ClockReading): readonly Acquisition[] {
        return this.held()
            .filter(({ engine, settled }) => !settled && this.fencingNumber(engine, now) !== undefined)
            .map(acquisition => ({ ...acquisition, settled: true }));
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

    /** Takes note that this host gave an engine an order. */
    recordOrder(engine: string, nowMilliseconds: number): void {
        this.#lastOrders.set(engine, nowMilliseconds);
    }

    /**
     * Gives engines up whose holding can no longer be confirmed, for good under their present records, so that other
     * hosts need not wait for the session to run out.
     *
     * @returns The engines that are given up now.
     */
    relinquishUnconfirmed(now: ClockReading): readonly string[] {
        return this.isConfirmed(now) ? [] : this.relinquishAll();
    }

    /**
     * Gives all engines up, for good under their present records.
     *
     * @returns The engines that are given up now.
     */
    relinquishAll(): readonly string[] {
        const engines = this.held();
        engines.forEach(({ engine, expectedRevision }) => this.#relinquished.set(engine, expectedRevision));
        return engines.map(({ engine }) => engine);
    }

    /** Gives what peers should know of engines that this host gave up. */
    relinquished(nowMilliseconds: number): Relinquishment[] {
        return [...this.#relinquished].map(([engine, revision]) => ({
            engine,
            revision,
            quietMilliseconds: Math.ceil(Math.max(0, this.#clearFrom(engine) - nowMilliseconds)),
        }));
    }

    /** From when on another holder may begin, as far as this host's orders and its own waiting go. */
    #clearFrom(engine: string): number {
        const lastOrder = this.#lastOrders.get(engine);
        const afterOrder = lastOrder === undefined
            ? Number.NEGATIVE_INFINITY
            : lastOrder + this.#bounds.handoverMilliseconds + IN_FLIGHT_MILLISECONDS;
        return Math.max(afterOrder, this.#quietUntil.get(engine) ?? Number.NEGATIVE_INFINITY);
    }

    /** Takes another holder's word that it has stopped. */
    recordRelinquishment(word: Relinquishment, nowMilliseconds: number): void {
        const untilMilliseconds = nowMilliseconds + word.quietMilliseconds;
        this.#told.set(word.engine, { revision: word.revision, untilMilliseconds });
        const holder = this.#holders.get(word.engine);
        const before = this.#before.get(word.engine);
        if (holder?.host === this.#host && before?.revision === word.revision) {
            const until = this.#quietUntilAfter(word.engine, before, nowMilliseconds);
            this.#quietUntil.set(word.engine, Math.min(until, this.#quietUntil.get(word.engine) ?? until));
        }
    }

    #isRelinquished(engine: string, holder: StoredHolder): boolean {
        return this.#told.get(engine)?.revision === holder.revision
            || (holder.host === this.#host && this.#relinquished.get(engine) === holder.revision);
    }

    /** Until when a new holder waits, so that the one before it has stopped for the hand-over time. */
    #quietUntilAfter(engine: string, before: StoredHolder | undefined, nowMilliseconds: number): number {
        return Math.max(this.#lostHoldersUntil, this.#quietUntilAfterKnown(engine, before, nowMilliseconds));
    }

    #quietUntilAfterKnown(engine: string, before: StoredHolder | undefined, nowMilliseconds: number): number {
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        if (before === undefined) {
            return nowMilliseconds;
        }
        if (before.host === this.#host) {
            return this.#ownQuietUntil(engine, before, nowMilliseconds);
        }
        const told = this.#told.get(engine);
        if (told?.revision === before.revision) {
            return Math.max(nowMilliseconds, told.untilMilliseconds);
        }
        const stopsWithin = before.released ? 0 : confirmedMilliseconds;
        return nowMilliseconds + stopsWithin + handoverMilliseconds;
    }

    /**
     * This host's own earlier record ends no waiting that it had begun under it. Of a record that an earlier process of
     * this host wrote it knows only whether that one had to wait at all.
     */
    #ownQuietUntil(engine: string, before: StoredHolder, nowMilliseconds: number): number {
        const begun = this.#quietUntil.get(engine);
        if (begun !== undefined) {
            return Math.max(nowMilliseconds, begun);
        }
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        return before.settled ? nowMilliseconds : nowMilliseconds + confirmedMilliseconds + handoverMilliseconds;
    }
}
