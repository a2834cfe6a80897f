/**
 * What this host knows of engines: lagging load reports combined with its own attempts, the process incarnation,
 * the leaving flag and proved copies.
 *
 * @module
 */
import { type EngineDigest, type ResidencyDigest } from "../generated/peers.js";
import { createEnginePace, type EnginePace } from "./_enginePace.js";
import { createPrefixMemory, type PrefixMemory } from "./_prefixMemory.js";

const STALE_AFTER_MILLISECONDS = 10_000;
const UNREACHABLE_MILLISECONDS = 3_000;
const BUSY_MILLISECONDS = 250;
const MOST_ENDED_INCARNATIONS = 16;

/** What a new observation of an engine shows about its process. */
export type ObservedChange = "same" | "first" | "crashed" | "restarted" | "outdated";

interface LoadChange {
    readonly atMilliseconds: number;
    readonly own: number;
}

/** One engine as this host sees it. */
export interface EngineState {
    readonly name: string;
    incarnation: string | undefined;
    leaving: boolean;
    observedAtMilliseconds: number | undefined;
    reportedLoad: number;
    /** This host's attempts that have not ended. */
    ownAttempts: number;
    /** Changes of `ownAttempts` since the report in force was observed, oldest first. */
    ownHistory: LoadChange[];
    residency: ResidencyDigest | undefined;
    /** Models and adapters that the engine itself said it lacks, until a newer record. */
    readonly missing: Set<string>;
    /** Processes that ended, with the time at which each was last seen alive. */
    readonly ended: Map<string, number>;
    readonly prefixes: PrefixMemory;
    /** Which part of its slots keeps the target. */
    readonly pace: EnginePace;
    unreachableSinceMilliseconds: number;
    unreachableUntilMilliseconds: number;
    busyUntilMilliseconds: number;
}

/** The engines that this host knows. */
export interface EngineView {
    get(engine: string): EngineState;
    observe(digest: EngineDigest, nowMilliseconds: number): ObservedChange;
    recordResidency(digest: ResidencyDigest): void;
    /** Marks a process as ended; false where that was known. */
    recordEnd(engine: string, incarnation: string): boolean;
    hasEnded(engine: string, incarnation: string): boolean;
    /** Tells when a process that ended was last seen alive. */
    lastSeen(engine: string, incarnation: string): number;
    recordCacheEvent(engine: string, prefixKey: string, cached: boolean): void;
    recordStart(engine: string, nowMilliseconds: number): void;
    recordStop(engine: string, nowMilliseconds: number): void;
    markUnreachable(engine: string, nowMilliseconds: number): void;
    markBusy(engine: string, nowMilliseconds: number): void;
    /** Requests on the engine by now, as far as this host can tell. */
    estimateLoad(engine: string): number;
    holds(engine: string, model: string, adapter: string | undefined): boolean;
    /** True while an engine that refused or lost a connection is left alone, until it is heard of again. */
    isUnreachable(engine: string, nowMilliseconds: number): boolean;
    /** True for an engine not heard of for long. */
    isDoubtful(engine: string, nowMilliseconds: number): boolean;
}

/**
 * Creates an empty view.
 *
 * @returns The view; it learns from what it is told.
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
    const hasEnded = (engine: string, incarnation: string): boolean => get(engine).ended.has(incarnation);
    const recordEnd = (engine: string, incarnation: string): boolean => endIncarnation(get(engine), incarnation);
    return {
        get,
        hasEnded,
        lastSeen: (engine, incarnation) => get(engine).ended.get(incarnation) ?? Number.NEGATIVE_INFINITY,
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
        recordStart: (engine, nowMilliseconds) => changeOwnAttempts(get(engine), 1, nowMilliseconds),
        recordStop: (engine, nowMilliseconds) => changeOwnAttempts(get(engine), -1, nowMilliseconds),
        markUnreachable: (engine, nowMilliseconds) => {
            get(engine).unreachableSinceMilliseconds = nowMilliseconds;
            get(engine).unreachableUntilMilliseconds = nowMilliseconds + UNREACHABLE_MILLISECONDS;
        },
        markBusy: (engine, nowMilliseconds) => {
            get(engine).busyUntilMilliseconds = nowMilliseconds + BUSY_MILLISECONDS;
        },
        estimateLoad: engine => estimateLoad(get(engine)),
        holds: (engine, model, adapter) => holdsCopy(get(engine), model, adapter),
        isUnreachable: (engine, nowMilliseconds) => nowMilliseconds < get(engine).unreachableUntilMilliseconds,
        isDoubtful: (engine, nowMilliseconds) => isDoubtful(get(engine), nowMilliseconds),
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
        ownHistory: [],
        residency: undefined,
        missing: new Set(),
        ended: new Map(),
        prefixes: createPrefixMemory(),
        pace: createEnginePace(),
        unreachableSinceMilliseconds: 0,
        unreachableUntilMilliseconds: 0,
        busyUntilMilliseconds: 0,
    };
}

function endIncarnation(state: EngineState, incarnation: string): boolean {
    if (state.ended.has(incarnation)) {
        return false;
    }
    const isCurrent = state.incarnation === incarnation;
    const seenAt = isCurrent ? state.observedAtMilliseconds : undefined;
    state.ended.set(incarnation, seenAt ?? Number.NEGATIVE_INFINITY);
    const oldest = state.ended.keys().next().value;
    if (state.ended.size > MOST_ENDED_INCARNATIONS && oldest !== undefined) {
        state.ended.delete(oldest);
    }
    if (isCurrent) {
        state.incarnation = undefined;
        state.reportedLoad = 0;
        state.prefixes.clear();
        state.missing.clear();
    }
    return true;
}

function applyObservation(state: EngineState, digest: EngineDigest, nowMilliseconds: number): ObservedChange {
    const observedAt = nowMilliseconds - digest.observedMillisecondsAgo;
    if (state.ended.has(digest.incarnation)) {
        return "outdated";
    }
    if (state.observedAtMilliseconds !== undefined && observedAt < state.observedAtMilliseconds) {
        return "outdated";
    }
    const before = state.incarnation;
    const wasLeaving = state.leaving;
    if (before !== undefined && before !== digest.incarnation) {
        endIncarnation(state, before);
    }
    state.incarnation = digest.incarnation;
    state.leaving = digest.leaving;
    state.observedAtMilliseconds = observedAt;
    if (observedAt > state.unreachableSinceMilliseconds) {
        state.unreachableUntilMilliseconds = 0;
    }
    state.reportedLoad = digest.running + digest.waiting;
    state.ownHistory = keepSince(state.ownHistory, observedAt);
    if (before === undefined) {
        return "first";
    }
    if (before === digest.incarnation) {
        return "same";
    }
    return wasLeaving ? "restarted" : "crashed";
}

/** Keeps the last change before a moment and all that follow. */
function keepSince(history: readonly LoadChange[], sinceMilliseconds: number): LoadChange[] {
    const later = history.findIndex(change => change.atMilliseconds > sinceMilliseconds);
    const first = later === -1 ? history.length - 1 : later - 1;
    return history.slice(Math.max(0, first));
}

function applyResidency(state: EngineState, digest: ResidencyDigest): void {
    if (state.ended.has(digest.incarnation)) {
        return;
    }
    if (state.residency !== undefined && digest.recordRevision < state.residency.recordRevision) {
        return;
    }
    if (state.residency === undefined || digest.recordRevision > state.residency.recordRevision) {
        state.missing.clear();
    }
    state.residency = digest;
}

function changeOwnAttempts(state: EngineState, difference: number, nowMilliseconds: number): void {
    if (state.ownHistory.length === 0) {
        state.ownHistory.push({ atMilliseconds: Number.NEGATIVE_INFINITY, own: state.ownAttempts });
    }
    state.ownAttempts += difference;
    state.ownHistory.push({ atMilliseconds: nowMilliseconds, own: state.ownAttempts });
}

/** Takes this host's attempts at the time of the report out of it, and adds those of now. */
function estimateLoad(state: EngineState): number {
    if (state.observedAtMilliseconds === undefined) {
        return state.ownAttempts;
    }
    const atReport = state.ownHistory[0];
    const reportedOfOthers = atReport === undefined || atReport.atMilliseconds > state.observedAtMilliseconds
        ? state.reportedLoad
        : state.reportedLoad - atReport.own;
    return Math.max(0, reportedOfOthers) + state.ownAttempts;
}

function holdsCopy(state: EngineState, model: string, adapter: string | undefined): boolean {
    const { residency } = state;
    if (residency === undefined || state.ended.has(residency.incarnation)) {
        return false;
    }
    if (state.incarnation !== undefined && residency.incarnation !== state.incarnation) {
        return false;
    }
    if (state.missing.has(model) || !residency.models.some(resident => resident.name === model)) {
        return false;
    }
    if (adapter === undefined) {
        return true;
    }
    const qualified = `${model}:${adapter}`;
    if (state.missing.has(qualified)) {
        return false;
    }
    return residency.adapters.includes(adapter) || residency.adapters.includes(qualified);
}

function isDoubtful(state: EngineState, nowMilliseconds: number): boolean {
    return state.observedAtMilliseconds === undefined
        || nowMilliseconds - state.observedAtMilliseconds > STALE_AFTER_MILLISECONDS;
}
