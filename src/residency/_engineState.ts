/**
 * What the residency decision keeps of one engine while it holds the lease.
 *
 * @module
 */
import { type EngineRecord, type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer, type EngineReport } from "../generated/upstreams.js";
import { orderSubject } from "./ledger.js";

/** Something learned of an order that the record does not say yet. */
export interface LedgerFact {
    readonly order: EngineOrder;
    readonly incarnation: string;
    /** `not-sent` for an order that was recorded and never left this process. */
    readonly outcome: EngineOrderAnswer["outcome"] | "not-sent";
}

/** A write whose outcome is not known yet. */
export interface PendingWrite {
    readonly record: EngineRecord;
    /** Sent once the write is known to have taken effect. */
    readonly orders: readonly EngineOrder[];
    /** How many of the oldest facts the record contains. */
    readonly factCount: number;
}

/** An order that was handed to the shell and whose answer is awaited. */
export interface AwaitedOrder {
    readonly order: EngineOrder;
    readonly incarnation: string;
    readonly sentAtMilliseconds: number;
}

/** A direct read of the engine's report that is under way. */
export interface PendingReport {
    readonly readIdentifier: string;
    /** What the record said when the read began. */
    readonly knownIncarnation: string | undefined;
    readonly sentAtMilliseconds: number;
}

/** When an order about a subject may be tried again. */
export interface Backoff {
    readonly untilMilliseconds: number;
    readonly failures: number;
    /** True where the engine answered and could not do it, so that another engine is the better choice. */
    readonly answered: boolean;
}

/** State of one engine under one lease. */
export interface EngineState {
    readonly name: string;
    phase: "unread" | "reading" | "ready" | "writing";
    readAgainAtMilliseconds: number;
    record: EngineRecord | undefined;
    storeRevision: number;
    /** True once a record with this holder's epoch is known to be stored: no earlier holder can change it any more. */
    stamped: boolean;
    pendingWrite: PendingWrite | undefined;
    facts: LedgerFact[];
    readonly awaited: Map<string, AwaitedOrder>;
    /** Subjects of loads without an answer, with the time until which they count as running at the weight store. */
    readonly lostLoads: Map<string, number>;
    /** Adapters with a load that was sent under this epoch and never answered. */
    readonly lostAdapters: Set<string>;
    readonly backoffs: Map<string, Backoff>;
    /** When a proved copy was first published, by subject. */
    readonly provedSince: Map<string, number>;
    /** Copies that are told to nobody any more, so that requests finish before the evict; since when. */
    readonly draining: Map<string, number>;
    /** Proved copies that the engine's own reports do not name; since when. */
    readonly unreported: Map<string, number>;
    /** Requests that the engine ran at its last direct report. */
    running: number;
    pendingReport: PendingReport | undefined;
    nextReportAtMilliseconds: number;
    /** A direct report of an incarnation that the record does not speak of. */
    newIncarnation: EngineReport | undefined;
    confirmedAtMilliseconds: number | undefined;
    /** Since when its copies have not counted; `undefined` while they do. */
    missingSinceMilliseconds: number | undefined;
    reachable: boolean;
    leaving: boolean;
    /** Record revision last published; `undefined` where it has to be published again. */
    publishedRevision: number | undefined;
    publishedAtMilliseconds: number;
}

/** Creates the state of an engine of which nothing is known. */
export function createEngineState(name: string): EngineState {
    return {
        name,
        phase: "unread",
        readAgainAtMilliseconds: 0,
        record: undefined,
        storeRevision: 0,
        stamped: false,
        pendingWrite: undefined,
        facts: [],
        awaited: new Map(),
        lostLoads: new Map(),
        lostAdapters: new Set(),
        backoffs: new Map(),
        provedSince: new Map(),
        draining: new Map(),
        unreported: new Map(),
        running: 0,
        pendingReport: undefined,
        nextReportAtMilliseconds: 0,
        newIncarnation: undefined,
        confirmedAtMilliseconds: undefined,
        missingSinceMilliseconds: undefined,
        reachable: true,
        leaving: false,
        publishedRevision: 0,
        publishedAtMilliseconds: 0,
    };
}

/** Names an order among those of its engine. */
export function orderKey({ fencing }: EngineOrder): string {
    return `${fencing.epoch}/${fencing.sequence}`;
}

/** Names a model version or adapter of an engine. */
export function subjectKey({ kind, name, version }: Pick<LedgerEntry, "kind" | "name" | "version">): string {
    return `${kind} ${name} ${version}`;
}

/** Names what an order is about; all changes of role are about one thing. */
export function orderSubjectKey(order: EngineOrder): string {
    const subject = orderSubject(order);
    return subject === undefined ? "role" : subjectKey(subject);
}

/** Tells whether an order about a subject is awaited, or waits for its intent to be written. */
export function isInMotion(state: EngineState, key: string): boolean {
    return findAwaited(state, key) !== undefined
        || state.pendingWrite?.orders.some(order => orderSubjectKey(order) === key) === true;
}

/** Finds the awaited order about a subject. */
export function findAwaited(state: EngineState, key: string): AwaitedOrder | undefined {
    return [...state.awaited.values()].find(({ order }) => orderSubjectKey(order) === key);
}
