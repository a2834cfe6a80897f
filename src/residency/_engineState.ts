/**
 * State of one engine, kept by the residency decision while it holds the lease.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer, type EngineReport } from "../generated/upstreams.js";
import { orderSubject } from "./ledger.js";

/** Outcome of an order that the stored record does not contain yet. */
export interface UnrecordedOutcome {
    readonly order: EngineOrder;
    readonly incarnation: string;
    /** `not-sent` for an order whose intent was recorded and that this process never sent. */
    readonly outcome: EngineOrderAnswer["outcome"] | "not-sent";
}

/** A write whose outcome is not known yet. */
export interface PendingWrite {
    readonly record: EngineRecord;
    /** Orders to be sent once the write is known to have taken effect. */
    readonly orders: readonly EngineOrder[];
    /** How many of the oldest unrecorded outcomes the record contains. */
    readonly outcomeCount: number;
}

/** An order that was emitted as an effect and is not answered yet. */
export interface AwaitedOrder {
    readonly order: EngineOrder;
    readonly incarnation: string;
    readonly sentAtMilliseconds: number;
}

/** A direct read of the engine's report that is in progress. */
export interface PendingReport {
    readonly readIdentifier: string;
    /** Incarnation in the record when the read began. */
    readonly knownIncarnation: string | undefined;
    readonly sentAtMilliseconds: number;
}

/** When an order for a model, adapter or role may be retried. */
export interface Backoff {
    readonly untilMilliseconds: number;
    readonly failures: number;
    /** True where the engine answered with a failure, so that another engine is preferred. */
    readonly answered: boolean;
}

/** State of one engine under one lease. */
export interface EngineState {
    readonly name: string;
    phase: "unread" | "reading" | "ready" | "writing";
    readAgainAtMilliseconds: number;
    record: EngineRecord | undefined;
    storeRevision: number;
    /** True once a record with this holder's epoch is known to be stored, so that no earlier holder can change it. */
    hasStoredEpoch: boolean;
    pendingWrite: PendingWrite | undefined;
    unrecordedOutcomes: UnrecordedOutcome[];
    readonly awaitedOrders: Map<string, AwaitedOrder>;
    /** Loads without an answer, by subject key, with the time until which they count as running at the weight store. */
    readonly unansweredLoads: Map<string, number>;
    /** Subject keys of adapters with a load that was sent under this epoch and never answered. */
    readonly unansweredAdapterLoads: Set<string>;
    readonly backoffs: Map<string, Backoff>;
    /** When each proved copy was first published, by subject key. */
    readonly provedSince: Map<string, number>;
    /** Since when copies are not published, by subject key, so that requests finish before the evict. */
    readonly drainingSince: Map<string, number>;
    /** Since when the engine's reports do not list a proved copy, by subject key. */
    readonly unreportedSince: Map<string, number>;
    /** Requests running at the engine's last direct report. */
    runningRequests: number;
    pendingReport: PendingReport | undefined;
    nextReportAtMilliseconds: number;
    /** A direct report of another incarnation than the record's, whose first ledger is still to be written. */
    newIncarnation: EngineReport | undefined;
    confirmedAtMilliseconds: number | undefined;
    /** Since when the record is not confirmed, so that its copies do not count; `undefined` while it is. */
    unconfirmedSinceMilliseconds: number | undefined;
    reachable: boolean;
    leaving: boolean;
    /** Record revision published last; `undefined` where it has to be published again. */
    publishedRevision: number | undefined;
    publishedAtMilliseconds: number;
}

/** Creates the state of an engine whose record has not been read. */
export function createEngineState(name: string): EngineState {
    return {
        name,
        phase: "unread",
        readAgainAtMilliseconds: 0,
        record: undefined,
        storeRevision: 0,
        hasStoredEpoch: false,
        pendingWrite: undefined,
        unrecordedOutcomes: [],
        awaitedOrders: new Map(),
        unansweredLoads: new Map(),
        unansweredAdapterLoads: new Set(),
        backoffs: new Map(),
        provedSince: new Map(),
        drainingSince: new Map(),
        unreportedSince: new Map(),
        runningRequests: 0,
        pendingReport: undefined,
        nextReportAtMilliseconds: 0,
        newIncarnation: undefined,
        confirmedAtMilliseconds: undefined,
        unconfirmedSinceMilliseconds: undefined,
        reachable: true,
        leaving: false,
        publishedRevision: 0,
        publishedAtMilliseconds: 0,
    };
}

/** Returns a key that is unique among the orders of an engine. */
export function orderKey({ fencing }: EngineOrder): string {
    return `${fencing.epoch}/${fencing.sequence}`;
}

/** Returns a key that is unique among the model versions and adapters of an engine. */
export function subjectKey({ kind, name, version }: Pick<LedgerEntry, "kind" | "name" | "version">): string {
    return `${kind} ${name} ${version}`;
}

/** Returns the key of the model version or adapter of an order; all changes of role share one key. */
export function orderSubjectKey(order: EngineOrder): string {
    const subject = orderSubject(order);
    return subject === undefined ? "role" : subjectKey(subject);
}

/** Returns whether an order with this subject key awaits its answer or the write of its intent. */
export function hasOrderInProgress(state: EngineState, key: string): boolean {
    return findAwaited(state, key) !== undefined
        || state.pendingWrite?.orders.some(order => orderSubjectKey(order) === key) === true;
}

/** Finds the order with this subject key that awaits its answer. */
export function findAwaited(state: EngineState, key: string): AwaitedOrder | undefined {
    return [...state.awaitedOrders.values()].find(({ order }) => orderSubjectKey(order) === key);
}
