/**
 * This host's view of engines: lagging load reports combined with its own attempts, the process incarnation, the
 * leaving flag and confirmed copies.
 *
 * @module
 */
import { type EngineDigest, type ResidencyDigest } from "../generated/peers.js";
import { createPrefixIndex, type PrefixIndex } from "./_prefixIndex.js";
import { createSlotShareController, type SlotShareController } from "./_slotShareController.js";

const STALE_AFTER_MILLISECONDS = 10_000;
const UNREACHABLE_AVOIDANCE_MILLISECONDS = 3_000;
const BUSY_AVOIDANCE_MILLISECONDS = 250;
const MAXIMUM_ENDED_INCARNATIONS = 16;

/** Change of an engine's process that a load report reveals. */
export type ObservedChange = "same" | "first" | "crashed" | "restarted" | "outdated";

interface AttemptCountChange {
    readonly atMilliseconds: number;
    readonly ownAttempts: number;
}

/** This host's view of one engine. */
export interface EngineState {
    readonly name: string;
    incarnation: string | undefined;
    leaving: boolean;
    observedAtMilliseconds: number | undefined;
    reportedLoad: number;
    /** This host's attempts that have not ended. */
    ownAttempts: number;
    /** Changes of `ownAttempts` since the latest report was observed, oldest first. */
    ownAttemptHistory: AttemptCountChange[];
    residency: ResidencyDigest | undefined;
    /** Models and adapters that the engine reported missing, until a newer residency record. */
    readonly reportedMissing: Set<string>;
    /** Incarnations that ended, with the time when each was last seen alive. */
    readonly endedIncarnations: Map<string, number>;
    readonly prefixes: PrefixIndex;
    /** Share of its slots whose use meets the first-token target. */
    readonly slotShare: SlotShareController;
    unreachableSinceMilliseconds: number;
    unreachableUntilMilliseconds: number;
    busyUntilMilliseconds: number;
}

/** This host's view of all engines. */
export interface EngineView {
    get(engine: string): EngineState;
    observe(digest: EngineDigest, nowMilliseconds: number): ObservedChange;
    recordResidency(digest: ResidencyDigest): void;
    /** Records that an incarnation ended; false where that was known. */
    recordEnd(engine: string, incarnation: string): boolean;
    hasEnded(engine: string, incarnation: string): boolean;
    /** Returns when an ended incarnation was last seen alive. */
    lastSeenAliveMilliseconds(engine: string, incarnation: string): number;
    recordCacheEvent(engine: string, prefixKey: string, cached: boolean): void;
    recordAttemptStart(engine: string, nowMilliseconds: number): void;
    recordAttemptEnd(engine: string, nowMilliseconds: number): void;
    markUnreachable(engine: string, nowMilliseconds: number): void;
    markBusy(engine: string, nowMilliseconds: number): void;
    /** Estimates the number of requests on the engine now. */
    estimateLoad(engine: string): number;
    holds(engine: string, model: string, adapter: string | undefined): boolean;
    /** Returns whether an engine is avoided after it refused or lost a connection, at most until its next report. */
    isUnreachable(engine: string, nowMilliseconds: number): boolean;
    /** Returns whether an engine has no recent report. */
    isReportStale(engine: string, nowMilliseconds: number): boolean;
}

/**
 * Creates an empty view.
 *
 * @returns The view.
 */
export function createEngineView(): EngineView {
    const engines = new Map<string, EngineState>();
    const get = (name: string): EngineState => {
        const known = engines.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = createEngineState(name);
        engines.set(name, created);
        return created;
    };
    const hasEnded = (engine: string, incarnation: string): boolean => get(engine).endedIncarnations.has(incarnation);
    const recordEnd = (engine: string, incarnation: string): boolean => endIncarnation(get(engine), incarnation);
    return {
        get,
        hasEnded,
        lastSeenAliveMilliseconds: (engine, incarnation) =>
            get(engine).endedIncarnations.get(incarnation) ?? Number.NEGATIVE_INFINITY,
        recordEnd,
        observe: (digest, nowMilliseconds) => applyObservation(get(digest.engine), digest, nowMilliseconds),
        recordResidency: digest => applyResidency(get(digest.engine), digest),
        recordCacheEvent: (engine, prefixKey, cached) => {
            const { prefixes } = get(engine);
            if (cached) {
                prefixes.add(prefixKey);
            }
            else {
                prefixes.remove(prefixKey);
            }
        },
        recordAttemptStart: (engine, nowMilliseconds) => changeOwnAttempts(get(engine), 1, nowMilliseconds),
        recordAttemptEnd: (engine, nowMilliseconds) => changeOwnAttempts(get(engine), -1, nowMilliseconds),
        markUnreachable: (engine, nowMilliseconds) => {
            get(engine).unreachableSinceMilliseconds = nowMilliseconds;
            get(engine).unreachableUntilMilliseconds = nowMilliseconds + UNREACHABLE_AVOIDANCE_MILLISECONDS;
        },
        markBusy: (engine, nowMilliseconds) => {
            get(engine).busyUntilMilliseconds = nowMilliseconds + BUSY_AVOIDANCE_MILLISECONDS;
        },
        estimateLoad: engine => estimateLoad(get(engine)),
        holds: (engine, model, adapter) => holdsCopy(get(engine), model, adapter),
        isUnreachable: (engine, nowMilliseconds) => nowMilliseconds < get(engine).unreachableUntilMilliseconds,
        isReportStale: (engine, nowMilliseconds) => isReportStale(get(engine), nowMilliseconds),
    };
}

function createEngineState(name: string): EngineState {
    return {
        name,
        incarnation: undefined,
        leaving: false,
        observedAtMilliseconds: undefined,
        reportedLoad: 0,
        ownAttempts: 0,
        ownAttemptHistory: [],
        residency: undefined,
        reportedMissing: new Set(),
        endedIncarnations: new Map(),
        prefixes: createPrefixIndex(),
        slotShare: createSlotShareController(),
        unreachableSinceMilliseconds: 0,
        unreachableUntilMilliseconds: 0,
        busyUntilMilliseconds: 0,
    };
}

function endIncarnation(state: EngineState, incarnation: string): boolean {
    if (state.endedIncarnations.has(incarnation)) {
        return false;
    }
    const isCurrent = state.incarnation === incarnation;
    const seenAt = isCurrent ? state.observedAtMilliseconds : undefined;
    state.endedIncarnations.set(incarnation, seenAt ?? Number.NEGATIVE_INFINITY);
    const oldest = state.endedIncarnations.keys().next().value;
    if (state.endedIncarnations.size > MAXIMUM_ENDED_INCARNATIONS && oldest !== undefined) {
        state.endedIncarnations.delete(oldest);
    }
    if (isCurrent) {
        state.incarnation = undefined;
        state.reportedLoad = 0;
        state.prefixes.clear();
        state.reportedMissing.clear();
    }
    return true;
}

function applyObservation(state: EngineState, digest: EngineDigest, nowMilliseconds: number): ObservedChange {
    const observedAt = nowMilliseconds - digest.observedMillisecondsAgo;
    if (state.endedIncarnations.has(digest.incarnation)) {
        return "outdated";
    }
    if (state.observedAtMilliseconds !== undefined && observedAt < state.observedAtMilliseconds) {
        return "outdated";
    }
    const previousIncarnation = state.incarnation;
    const wasLeaving = state.leaving;
    if (previousIncarnation !== undefined && previousIncarnation !== digest.incarnation) {
        endIncarnation(state, previousIncarnation);
    }
    state.incarnation = digest.incarnation;
    state.leaving = digest.leaving;
    state.observedAtMilliseconds = observedAt;
    if (observedAt > state.unreachableSinceMilliseconds) {
        state.unreachableUntilMilliseconds = 0;
    }
    state.reportedLoad = digest.running + digest.waiting;
    state.ownAttemptHistory = keepSince(state.ownAttemptHistory, observedAt);
    if (previousIncarnation === undefined) {
        return "first";
    }
    if (previousIncarnation === digest.incarnation) {
        return "same";
    }
    return wasLeaving ? "restarted" : "crashed";
}

/** Returns the last change up to a time and all later ones. */
function keepSince(history: readonly AttemptCountChange[], sinceMilliseconds: number): AttemptCountChange[] {
    const later = history.findIndex(change => change.atMilliseconds > sinceMilliseconds);
    const first = later === -1 ? history.length - 1 : later - 1;
    return history.slice(Math.max(0, first));
}

function applyResidency(state: EngineState, digest: ResidencyDigest): void {
    if (state.endedIncarnations.has(digest.incarnation)) {
        return;
    }
    if (state.residency !== undefined && digest.recordRevision < state.residency.recordRevision) {
        return;
    }
    if (state.residency === undefined || digest.recordRevision > state.residency.recordRevision) {
        state.reportedMissing.clear();
    }
    state.residency = digest;
}

function changeOwnAttempts(state: EngineState, difference: number, nowMilliseconds: number): void {
    if (state.ownAttemptHistory.length === 0) {
        state.ownAttemptHistory.push({ atMilliseconds: Number.NEGATIVE_INFINITY, ownAttempts: state.ownAttempts });
    }
    state.ownAttempts += difference;
    state.ownAttemptHistory.push({ atMilliseconds: nowMilliseconds, ownAttempts: state.ownAttempts });
}

/** Subtracts this host's attempts at the time of the report from the reported load, and adds its current ones. */
function estimateLoad(state: EngineState): number {
    if (state.observedAtMilliseconds === undefined) {
        return state.ownAttempts;
    }
    const ownAtReport = state.ownAttemptHistory[0];
    const loadOfOthers = ownAtReport === undefined || ownAtReport.atMilliseconds > state.observedAtMilliseconds
        ? state.reportedLoad
        : state.reportedLoad - ownAtReport.ownAttempts;
    return Math.max(0, loadOfOthers) + state.ownAttempts;
}

function holdsCopy(state: EngineState, model: string, adapter: string | undefined): boolean {
    const { residency } = state;
    if (residency === undefined || state.endedIncarnations.has(residency.incarnation)) {
        return false;
    }
    if (state.incarnation !== undefined && residency.incarnation !== state.incarnation) {
        return false;
    }
    if (state.reportedMissing.has(model) || !residency.models.some(resident => resident.name === model)) {
        return false;
    }
    if (adapter === undefined) {
        return true;
    }
    const qualified = `${model}:${adapter}`;
    if (state.reportedMissing.has(qualified)) {
        return false;
    }
    return residency.adapters.includes(adapter) || residency.adapters.includes(qualified);
}

function isReportStale(state: EngineState, nowMilliseconds: number): boolean {
    return state.observedAtMilliseconds === undefined
        || nowMilliseconds - state.observedAtMilliseconds > STALE_AFTER_MILLISECONDS;
}
