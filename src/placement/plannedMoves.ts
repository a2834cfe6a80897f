/**
 * Tracks the moves requested from holders until engines' records show them.
 *
 * @module
 */
import { type PlacementMove, type PlannedEngine } from "./placementInput.js";

/** A move that no record shows as begun within this time is abandoned, so that another engine can make it. */
const BEGIN_TIMEOUT_MILLISECONDS = 1_000;

/** An engine whose holder did not begin a move is excluded from planning for this time. */
const EXCLUSION_MILLISECONDS = 4_000;

/** A move requested from an engine's holder. */
interface RequestedMove {
    readonly move: PlacementMove;
    readonly requestedAtMilliseconds: number;
    /** How long the load takes; `undefined` where it does not use the weight store. */
    readonly storeLoadMilliseconds: number | undefined;
    /** True once the engine's record has shown the model as loading. */
    begun: boolean;
}

/** Maximum number of loads from the weight store that one engine may begin in a window. */
export interface EngineLoadBound {
    readonly windowMilliseconds: number;
    readonly maximumLoads: number;
}

/**
 * Tracks moves from the time they are planned until engines' records show them, so that the next plan neither repeats
 * them nor counts a copy that is about to be unloaded.
 *
 * @example
 * ```ts
 * const planned = new PlannedMoves();
 * const { engines } = planned.reconcile(recordedEngines, now);
 * const moves = planMoves({ ...input, engines, excludedEngines: planned.excludedEngines(now) });
 * moves.forEach(move => planned.recordRequested(move, 5_000, now));
 * ```
 */
export class PlannedMoves {
    readonly #requested = new Map<string, RequestedMove>();
    readonly #excludedUntilMilliseconds = new Map<string, number>();
    /** When each engine began its recent loads from the weight store, as far as records show. */
    readonly #storeLoadStarts = new Map<string, number[]>();

    /**
     * Records that a holder is requested to begin a move.
     *
     * @param move The move.
     * @param storeLoadMilliseconds How long its load takes; `undefined` where the engine has the weights locally.
     * @param nowMilliseconds The time.
     */
    recordRequested(move: PlacementMove, storeLoadMilliseconds: number | undefined, nowMilliseconds: number): void {
        const requestedAtMilliseconds = nowMilliseconds;
        this.#requested.set(move.engine, {
            move,
            requestedAtMilliseconds,
            storeLoadMilliseconds,
            begun: false,
        });
    }

    /**
     * Compares the requested moves with engines' records, and returns the engines in the state that they will have once
     * these moves are made.
     *
     * @returns The engines, and the moves that are abandoned because no record shows them as begun in time.
     */
    reconcile(
        engines: readonly PlannedEngine[],
        nowMilliseconds: number,
    ): { readonly engines: readonly PlannedEngine[]; readonly givenUp: readonly PlacementMove[]; } {
        const givenUp: PlacementMove[] = [];
        const known = new Set(engines.map(({ id }) => id));
        for (const engine of this.#requested.keys()) {
            if (!known.has(engine)) {
                this.#requested.delete(engine);
            }
        }
        for (const engine of engines) {
            const abandoned = this.#applyRecord(engine, nowMilliseconds);
            givenUp.push(...abandoned === undefined ? [] : [abandoned]);
        }
        return { engines: engines.map(engine => this.#withRequestedMove(engine)), givenUp };
    }

    /** Returns the moves that no record shows yet; they are requested again, since datagrams may be lost. */
    unconfirmedMoves(): PlacementMove[] {
        return [...this.#requested.values()].filter(({ begun }) => !begun).map(({ move }) => move);
    }

    /** Returns the engines that are excluded from planning now. */
    excludedEngines(nowMilliseconds: number): ReadonlySet<string> {
        for (const [engine, untilMilliseconds] of this.#excludedUntilMilliseconds) {
            if (nowMilliseconds >= untilMilliseconds) {
                this.#excludedUntilMilliseconds.delete(engine);
            }
        }
        return new Set(this.#excludedUntilMilliseconds.keys());
    }

    /** Returns the engines that may begin no load from the weight store now. */
    enginesAtStoreLoadLimit(
        { maximumLoads, windowMilliseconds }: EngineLoadBound,
        nowMilliseconds: number,
    ): ReadonlySet<string> {
        const atLimit = new Set<string>();
        for (const [engine, times] of this.#storeLoadStarts) {
            const recent = times.filter(at => nowMilliseconds - at < windowMilliseconds);
            this.#storeLoadStarts.set(engine, recent);
            if (recent.length === 0) {
                this.#storeLoadStarts.delete(engine);
            }
            else if (recent.length >= maximumLoads) {
                atLimit.add(engine);
            }
        }
        return atLimit;
    }

    /** Compares an engine's record with its requested move; returns the move if it is abandoned. */
    #applyRecord({ id, loading, models }: PlannedEngine, nowMilliseconds: number): PlacementMove | undefined {
        const requested = this.#requested.get(id);
        if (requested === undefined) {
            return undefined;
        }
        const { move, requestedAtMilliseconds } = requested;
        if (loading === move.model) {
            requested.begun = true;
            return undefined;
        }
        if (requested.begun || models.includes(move.model)) {
            this.#requested.delete(id);
            this.#recordLoadEnd(id, requested.storeLoadMilliseconds, nowMilliseconds);
            return undefined;
        }
        if (nowMilliseconds - requestedAtMilliseconds < BEGIN_TIMEOUT_MILLISECONDS) {
            return undefined;
        }
        this.#requested.delete(id);
        this.#excludedUntilMilliseconds.set(id, nowMilliseconds + EXCLUSION_MILLISECONDS);
        return move;
    }

    /** Computes the start of a load from its end: it is ordered only once the engine has room, at an unknown time. */
    #recordLoadEnd(engine: string, storeLoadMilliseconds: number | undefined, nowMilliseconds: number): void {
        if (storeLoadMilliseconds !== undefined) {
            const startedAtMilliseconds = nowMilliseconds - storeLoadMilliseconds;
            this.#storeLoadStarts.set(engine, [...this.#storeLoadStarts.get(engine) ?? [], startedAtMilliseconds]);
        }
    }

    /**
     * Returns an engine in the state after its requested move. Unloaded models no longer count, even while requests
     * keep them in the engine's memory.
     */
    #withRequestedMove(engine: PlannedEngine): PlannedEngine {
        const move = this.#requested.get(engine.id)?.move;
        if (move === undefined) {
            return engine;
        }
        return { ...engine, loading: move.model, models: engine.models.filter(model => !move.dropped.includes(model)) };
    }
}
