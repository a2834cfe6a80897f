/**
 * Assigns engines to holders, the hosts with the exclusive right to send an engine orders.
 *
 * A record in the key-value service, changed by compare-and-swap only, names an engine's holder. It is valid while its
 * host's session, which is bound to a lease, exists. Engines do not check fencing numbers, so a new holder waits until
 * the previous holder must have stopped.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { FleetSessions } from "./_fleetSessions.js";
import { OwnSession } from "./_ownSession.js";
import { firstCandidates, possibleTakers } from "./candidates.js";
import { type ClockReading } from "./clockReading.js";

/** Acquisition delay for each rank, so that the highest-ranked host writes first. */
const RANK_DELAY_MILLISECONDS = 300;

/** Added to the hand-over time after a holder's last order, for orders that were still in flight. */
const IN_FLIGHT_MILLISECONDS = 200;

/** Time limits of holding an engine. */
export interface DutyBounds {
    /** A holder may send orders for this long after it sent a renewal that succeeded. */
    readonly confirmedMilliseconds: number;
    /** Minimum time between the last order of a holder and the first order of the next. */
    readonly handoverMilliseconds: number;
}

/** An engine's holder, as stored in the key-value service. */
export interface HolderRecord {
    readonly host: string;
    readonly session: string;
    /** True where the holder has relinquished the engine and has sent its last order. */
    readonly released: boolean;
    /** True where the holder need not wait, or no longer waits, for a previous holder. */
    readonly settled: boolean;
}

/** A holder's record and the revision at which it was written. */
export interface StoredHolder extends HolderRecord {
    readonly revision: number;
}

/** A holder record that this host should write. */
export interface Acquisition {
    readonly engine: string;
    /** Revision of the record that the write replaces; 0 where there is none. */
    readonly expectedRevision: number;
    /** True where there is no previous holder to wait for. */
    readonly settled: boolean;
}

/** A holder's report that it sends an engine no more orders under a record. */
export interface Relinquishment {
    readonly engine: string;
    /** Revision of the holder's record. */
    readonly revision: number;
    /** Time during which no other holder may send orders; covers the last orders of this and all earlier holders. */
    readonly quietMilliseconds: number;
}

/** Earliest time at which another holder may send orders, as a previous holder reported it. */
interface ReportedQuietTime {
    readonly revision: number;
    readonly untilMilliseconds: number;
}

/** A new holder and the previous one, which may not yet know that it was replaced. */
export interface Succession {
    readonly engine: string;
    /** Host of the previous holder. */
    readonly previousHost: string;
    readonly holder: StoredHolder;
}

/** Time for which this host has known that an engine has no holder. */
interface Vacancy {
    readonly sinceMilliseconds: number;
}

/**
 * Decides which engines this host acquires, and when it may send them orders.
 *
 * @example
 * ```ts
 * const duties = new EngineDuties("entry-1", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
 * duties.recordRenewal("77120", reading);
 * const missing = duties.dueAcquisitions(engines, now);
 * ```
 */
export class EngineDuties {
    readonly #host: string;
    readonly #bounds: DutyBounds;
    readonly #fleet = new FleetSessions();
    readonly #own: OwnSession;
    readonly #holders = new Map<string, StoredHolder>();
    readonly #vacancies = new Map<string, Vacancy>();
    /** When this host may begin to send an engine orders; kept also after it lost the engine. */
    readonly #waitsUntil = new Map<string, number>();
    /** Latest time at which holders on other hosts begin to send orders, as derived from their records. */
    readonly #otherHoldersWaitUntil = new Map<string, number>();
    /** The most recent record of another host, by engine, that a later record replaced. */
    readonly #previousHolders = new Map<string, StoredHolder>();
    /** Revisions of the records under which this host sends no more orders, by engine. */
    readonly #relinquishedRevisions = new Map<string, number>();
    /** When this host last sent an engine an order. */
    readonly #lastOrderTimes = new Map<string, number>();
    /** Reports of holders that relinquished engines, by engine. */
    readonly #reportedQuietTimes = new Map<string, ReportedQuietTime>();
    /** End of the wait for holders whose records a restore of the service may have lost. */
    #waitsForLostHoldersUntil = Number.NEGATIVE_INFINITY;
    #isCandidate = true;
    /** The number of engines that hosts could acquire when the service last answered. */
    #engineCount = 0;

    constructor(host: string, bounds: DutyBounds) {
        this.#host = host;
        this.#bounds = bounds;
        this.#own = new OwnSession(bounds.confirmedMilliseconds);
    }

    /** Records the session of a host; `undefined` where it has ended. */
    setSession(host: string, session: string | undefined, nowMilliseconds: number): void {
        this.#fleet.set(host, session, nowMilliseconds);
    }

    /** Records an engine's holder, as read from the service or written by this host; ignores outdated records. */
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
            this.#previousHolders.set(engine, known);
        }
        this.#holders.set(engine, holder);
        if (holder.host === this.#host && holder.session === this.session) {
            this.#waitsUntil.set(engine, this.#waitEndAfter(engine, known, nowMilliseconds));
        }
        else if (known !== undefined && !holder.settled) {
            this.#otherHoldersWaitUntil.set(engine, this.#waitEndAfter(engine, known, nowMilliseconds));
        }
        else {
            this.#otherHoldersWaitUntil.delete(engine);
        }
    }

    /** Returns whether an engine has a holder that no longer waits for the previous one. */
    hasActiveHolder(engine: string, nowMilliseconds: number): boolean {
        const holder = this.holderOf(engine);
        const waitsUntil = holder === this.#host ? this.#waitsUntil : this.#otherHoldersWaitUntil;
        return holder !== undefined && nowMilliseconds >= (waitsUntil.get(engine) ?? Number.NEGATIVE_INFINITY);
    }

    /** Records that the service renewed this host's session, by a call that was sent at the reading. */
    recordRenewal(session: string, sentAt: ClockReading): void {
        this.#own.confirm(session, sentAt);
    }

    /**
     * Records the consent of all other hosts, given in reply to a digest that was sent at the reading. It replaces a
     * renewal while this host's session is not known to have ended.
     */
    recordPeerConsent(sentAt: ClockReading): void {
        this.#own.extend(sentAt);
    }

    /**
     * Records that the service was restored from an older snapshot. Engines may have holders whose records it lost;
     * these stop once their last renewals, which were sent before the restore, no longer confirm them.
     */
    recordRestore(nowMilliseconds: number): void {
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        this.#waitsForLostHoldersUntil = nowMilliseconds + confirmedMilliseconds + handoverMilliseconds;
    }

    /** Records another host's finding that holders whose records were lost have stopped. */
    recordRestoreSettled(): void {
        this.#waitsForLostHoldersUntil = Number.NEGATIVE_INFINITY;
    }

    /** Returns whether new holders still wait for holders whose records may be lost. */
    waitsForLostHolders(nowMilliseconds: number): boolean {
        return nowMilliseconds < this.#waitsForLostHoldersUntil;
    }

    /** This host's session; `undefined` while there is none. */
    get session(): string | undefined {
        return this.#own.session;
    }

    /**
     * Records that this host's session has ended or may have ended, and relinquishes all its engines.
     *
     * @returns The engines that this call relinquished.
     */
    loseSession(): readonly string[] {
        const engines = this.relinquishAll();
        this.#own.end();
        return engines;
    }

    /** Returns the host that holds an engine; `undefined` where none does. */
    holderOf(engine: string): string | undefined {
        const holder = this.#holders.get(engine);
        const isValid = holder !== undefined && !holder.released && !this.#isRelinquished(engine, holder)
            && this.#fleet.sessionOf(holder.host) === holder.session;
        return isValid ? holder.host : undefined;
    }

    /** Returns whether this host's session was confirmed recently; false where its clocks diverge (suspension). */
    isConfirmed(now: ClockReading): boolean {
        return this.#own.isConfirmed(now);
    }

    /** Returns the records that this host should write now to acquire engines without a holder. */
    dueAcquisitions(engines: readonly string[], nowMilliseconds: number): readonly Acquisition[] {
        this.#engineCount = engines.length;
        if (this.session === undefined || this.#fleet.sessionOf(this.#host) !== this.session) {
            return [];
        }
        const hosts = this.candidates(engines.length);
        this.#isCandidate = hosts.includes(this.#host);
        if (!this.#isCandidate) {
            return [];
        }
        this.#fleet.forgetEnded(nowMilliseconds);
        let mayTakeOver: boolean | undefined;
        return engines.flatMap(engine => {
            if (this.holderOf(engine) !== undefined) {
                this.#vacancies.delete(engine);
                return [];
            }
            if (this.#mayHaveOtherHolder(engine, nowMilliseconds)) {
                mayTakeOver ??= this.#mayTakeOver();
                if (!mayTakeOver) {
                    return [];
                }
            }
            const vacancy = this.#vacancies.get(engine) ?? { sinceMilliseconds: nowMilliseconds };
            this.#vacancies.set(engine, vacancy);
            const rank = this.#rankOfThisHost(engine, hosts);
            const dueAtMilliseconds = vacancy.sinceMilliseconds + rank * RANK_DELAY_MILLISECONDS;
            const previous = this.#holders.get(engine);
            const settled = this.#waitEndAfter(engine, previous, nowMilliseconds) <= nowMilliseconds;
            return nowMilliseconds >= dueAtMilliseconds
                ? [{ engine, expectedRevision: previous?.revision ?? 0, settled }]
                : [];
        });
    }

    /** The number of engines that hosts could acquire when the service last answered. */
    get engineCount(): number {
        return this.#engineCount;
    }

    /** Returns whether all holders that may go on by consent need that of this host; ranks the whole fleet. */
    #mayTakeOver(): boolean {
        return possibleTakers(this.#fleet.presentAndEnded(), this.#engineCount).includes(this.#host);
    }

    /** Returns whether another host may still order an engine under a record whose session has ended. */
    #mayHaveOtherHolder(engine: string, nowMilliseconds: number): boolean {
        const previous = this.#holders.get(engine);
        return previous === undefined
            ? this.waitsForLostHolders(nowMilliseconds)
            : previous.host !== this.#host && !previous.released && !this.#isRelinquished(engine, previous);
    }

    /** True where this host holds engines, or is a candidate to acquire them. */
    get mayHold(): boolean {
        return this.#isCandidate || this.held().length > 0;
    }

    /** Returns the hosts that may acquire engines; hosts that know the same sessions return the same list. */
    candidates(engineCount: number): string[] {
        return firstCandidates(this.#fleet.ranked(), engineCount);
    }

    /** Returns the fencing number for orders to an engine; `undefined` where this host may send none now. */
    fencingNumber(engine: string, now: ClockReading): number | undefined {
        const holder = this.#holders.get(engine);
        if (holder === undefined || holder.released || holder.host !== this.#host) {
            return undefined;
        }
        const isRelinquished = this.#relinquishedRevisions.get(engine) === holder.revision;
        if (holder.session !== this.session || isRelinquished || !this.isConfirmed(now)) {
            return undefined;
        }
        return now.steadyMilliseconds >= (this.#waitsUntil.get(engine) ?? Number.POSITIVE_INFINITY)
            ? holder.revision
            : undefined;
    }

    /** Returns the engines that this host holds but may not order yet, as the previous holder may not have stopped. */
    pendingSuccessions(nowMilliseconds: number): Succession[] {
        return this.held().flatMap(({ engine }) => {
            const previous = this.#previousHolders.get(engine);
            const holder = this.#holders.get(engine);
            const isWaiting = (this.#waitsUntil.get(engine) ?? Number.NEGATIVE_INFINITY) > nowMilliseconds;
            return isWaiting && previous !== undefined && holder !== undefined
                ? [{ engine, previousHost: previous.host, holder }]
                : [];
        });
    }

    /** Returns the revision of the latest holder record that this host knows, by engine. */
    holderRevisions(): ReadonlyMap<string, number> {
        return new Map([...this.#holders].map(([engine, { revision }]) => [engine, revision]));
    }

    /** Returns the engines that this host holds under its present session, with the revisions of their records. */
    held(): readonly Acquisition[] {
        return [...this.#holders]
            .filter(([engine, holder]) =>
                holder.host === this.#host && holder.session === this.session && !holder.released
                && this.#relinquishedRevisions.get(engine) !== holder.revision
            )
            .map(([engine, { revision, settled }]) => ({ engine, expectedRevision: revision, settled }));
    }

    /**
     * Returns the records of engines whose wait is over but not yet recorded as such. Unless they are written, the next
     * process on this host waits again.
     */
    acquisitionsToSettle(now: ClockReading): readonly Acquisition[] {
        return this.held()
            .filter(({ engine, settled }) => !settled && this.fencingNumber(engine, now) !== undefined)
            .map(acquisition => ({ ...acquisition, settled: true }));
    }

    /** Ranks this host for an engine; its last holder ranks first, since it has no other holder to wait for. */
    #rankOfThisHost(engine: string, hosts: readonly string[]): number {
        const lastHolder = this.#holders.get(engine);
        if (lastHolder !== undefined && !lastHolder.released && hosts.includes(lastHolder.host)) {
            const others = hosts.filter(host => host !== lastHolder.host);
            return lastHolder.host === this.#host ? 0 : 1 + rankByRendezvous(engine, others).indexOf(this.#host);
        }
        return rankByRendezvous(engine, hosts).indexOf(this.#host);
    }

    /** Records that this host sent an engine an order. */
    recordOrder(engine: string, nowMilliseconds: number): void {
        this.#lastOrderTimes.set(engine, nowMilliseconds);
    }

    /**
     * Relinquishes all engines where this host's session is not confirmed, so that other hosts need not wait until the
     * session expires. It sends no more orders under their present records, also where the session is confirmed later.
     *
     * @returns The engines that this call relinquished.
     */
    relinquishUnconfirmed(now: ClockReading): readonly string[] {
        return this.isConfirmed(now) ? [] : this.relinquishAll();
    }

    /**
     * Relinquishes all engines; this host sends no more orders under their present records.
     *
     * @returns The engines that this call relinquished.
     */
    relinquishAll(): readonly string[] {
        const held = this.held();
        held.forEach(({ engine, expectedRevision }) => this.#relinquishedRevisions.set(engine, expectedRevision));
        return held.map(({ engine }) => engine);
    }

    /** Returns the reports, for peers, on engines that this host relinquished. */
    relinquishments(nowMilliseconds: number): Relinquishment[] {
        return [...this.#relinquishedRevisions].map(([engine, revision]) => ({
            engine,
            revision,
            quietMilliseconds: Math.ceil(Math.max(0, this.#successorMayBeginAt(engine) - nowMilliseconds)),
        }));
    }

    /** Returns when another holder may begin, after the hand-over time of this host's last order and its own wait. */
    #successorMayBeginAt(engine: string): number {
        const lastOrder = this.#lastOrderTimes.get(engine);
        const afterOrder = lastOrder === undefined
            ? Number.NEGATIVE_INFINITY
            : lastOrder + this.#bounds.handoverMilliseconds + IN_FLIGHT_MILLISECONDS;
        return Math.max(afterOrder, this.#waitsUntil.get(engine) ?? Number.NEGATIVE_INFINITY);
    }

    /** Records a holder's report that it has stopped; shortens this host's wait where it is the next holder. */
    recordRelinquishment(relinquishment: Relinquishment, nowMilliseconds: number): void {
        const untilMilliseconds = nowMilliseconds + relinquishment.quietMilliseconds;
        this.#reportedQuietTimes.set(relinquishment.engine, { revision: relinquishment.revision, untilMilliseconds });
        const holder = this.#holders.get(relinquishment.engine);
        const previous = this.#previousHolders.get(relinquishment.engine);
        if (holder?.host === this.#host && previous?.revision === relinquishment.revision) {
            const waitEnd = this.#waitEndAfter(relinquishment.engine, previous, nowMilliseconds);
            this.#waitsUntil.set(
                relinquishment.engine,
                Math.min(waitEnd, this.#waitsUntil.get(relinquishment.engine) ?? waitEnd),
            );
        }
    }

    #isRelinquished(engine: string, holder: StoredHolder): boolean {
        return this.#reportedQuietTimes.get(engine)?.revision === holder.revision
            || (holder.host === this.#host && this.#relinquishedRevisions.get(engine) === holder.revision);
    }

    /** Returns when a new holder may begin: the hand-over time after the previous, or a lost, holder has stopped. */
    #waitEndAfter(engine: string, previous: StoredHolder | undefined, nowMilliseconds: number): number {
        return Math.max(this.#waitsForLostHoldersUntil, this.#waitEndAfterKnown(engine, previous, nowMilliseconds));
    }

    #waitEndAfterKnown(engine: string, previous: StoredHolder | undefined, nowMilliseconds: number): number {
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        if (previous === undefined) {
            return nowMilliseconds;
        }
        if (previous.host === this.#host) {
            return this.#waitEndAfterOwnRecord(engine, previous, nowMilliseconds);
        }
        const reported = this.#reportedQuietTimes.get(engine);
        if (reported?.revision === previous.revision) {
            return Math.max(nowMilliseconds, reported.untilMilliseconds);
        }
        const hasStopped = previous.released && previous.settled;
        const stopsWithin = hasStopped ? 0 : confirmedMilliseconds;
        return nowMilliseconds + stopsWithin + handoverMilliseconds;
    }

    /**
     * Returns when this host may begin after a record of its own. A wait that began under that record continues. Of a
     * record that an earlier process of this host wrote, only `settled` is known: if false, this host waits the full
     * time.
     */
    #waitEndAfterOwnRecord(engine: string, previous: StoredHolder, nowMilliseconds: number): number {
        const ongoingWaitEnd = this.#waitsUntil.get(engine);
        if (ongoingWaitEnd !== undefined) {
            return Math.max(nowMilliseconds, ongoingWaitEnd);
        }
        const { confirmedMilliseconds, handoverMilliseconds } = this.#bounds;
        return previous.settled ? nowMilliseconds : nowMilliseconds + confirmedMilliseconds + handoverMilliseconds;
    }
}
