/**
 * What the planner has asked holders to do, until it is seen to be done.
 *
 * @module
 */
import { type PlacementMove, type PlannedEngine } from "./placementInput.js";

/** A move that its holder was not seen to begin for this long is left to another engine. */
const STUCK_MILLISECONDS = 1_000;

/** An engine whose holder did not act is passed over for this long. */
const PASSED_OVER_MILLISECONDS = 4_000;

/** A move that was asked for. */
interface AskedMove {
    readonly move: PlacementMove;
    readonly sinceMilliseconds: number;
    /** How long the load takes, where it is one from the weight store. */
    readonly storeLoadMilliseconds: number | undefined;
    /** True once the engine's record has named the model. */
    begun: boolean;
}

/** Bound on loads from the weight store that one engine begins. */
export interface EngineLoadBound {
    readonly windowMilliseconds: number;
    readonly mostLoads: number;
}

/**
 * Keeps account of moves between the moment at which a plan decides them and the moment at which engines' records show
 * them, so that the next plan does not decide them again and counts no copy that is about to be dropped.
 *
 * @example
 * ```ts
 * const planned = new PlannedMoves();
 * const engines = planned.follow(enginesAsRecorded, now);
 * planMoves({ ...situation, engines, passedOver: planned.passedOver(now) }).forEach(move => planned.ask(move, now));
 * ```
 */
export class PlannedMoves {
    readonly #asked = new Map<string, AskedMove>();
    readonly #passedOver = new Map<string, number>();
    /** When each engine began its loads from the weight store, as far as records tell. */
    readonly #storeLoads = new Map<string, number[]>();

    /**
     * Takes note that a holder is asked to begin a move.
     *
     * @param move The move.
     * @param storeLoadMilliseconds How long its load takes; `undefined` where the weights are at hand.
     * @param nowMilliseconds The time.
     */
    recordRequested(move: PlacementMove, storeLoadMilliseconds: number | undefined, nowMilliseconds: number): void {
        const sinceMilliseconds = nowMilliseconds;
        this.#asked.set(move.engine, { move, sinceMilliseconds, storeLoadMilliseconds, begun: false });
    }

    /**
     * Compares what was asked for with what engines' records show, and gives the engines as they will be once the moves
     * that were asked for are made.
     *
     * @returns The engines, and the moves that are given up.
     */
    reconcile(
        engines: readonly PlannedEngine[],
        nowMilliseconds: number,
    ): { readonly engines: readonly PlannedEngine[]; readonly givenUp: readonly PlacementMove[]; } {
        const givenUp: PlacementMove[] = [];
        const known = new Set(engines.map(({ id }) => id));
        for (const engine of this.#asked.keys()) {
            if (!known.has(engine)) {
                this.#asked.delete(engine);
            }
        }
        for (const engine of engines) {
            const stuck = this.#takeRecord(engine, nowMilliseconds);
            givenUp.push(...stuck === undefined ? [] : [stuck]);
        }
        return { engines: engines.map(engine => this.#expected(engine)), givenUp };
    }

    /** Gives the moves that no record shows yet; holders are asked again, since datagrams may be lost. */
    open(): PlacementMove[] {
        return [...this.#asked.values()].filter(({ begun }) => !begun).map(({ move }) => move);
    }

    /** Gives the engines that begin no move now. */
    excludedEngines(nowMilliseconds: number): ReadonlySet<string> {
        for (const [engine, until] of this.#passedOver) {
            if (nowMilliseconds >= until) {
                this.#passedOver.delete(engine);
            }
        }
        return new Set(this.#passedOver.keys());
    }

    /** Gives the engines that may begin no load from the weight store now. */
    enginesAtStoreLoadLimit(
        { mostLoads, windowMilliseconds }: EngineLoadBound,
        nowMilliseconds: number,
    ): ReadonlySet<string> {
        const full = new Set<string>();
        for (const [engine, times] of this.#storeLoads) {
            const recent = times.filter(at => nowMilliseconds - at < windowMilliseconds);
            this.#storeLoads.set(engine, recent);
            if (recent.length === 0) {
                this.#storeLoads.delete(engine);
            }
            else if (recent.length >= mostLoads) {
                full.add(engine);
            }
        }
        return full;
    }

    /** Gives the move that is given up, if its holder did not act. */
    #takeRecord({ id, loading, models }: PlannedEngine, nowMilliseconds: number): PlacementMove | undefined {
        const asked = this.#asked.get(id);
        if (asked === undefined) {
            return undefined;
        }
        const { move, sinceMilliseconds } = asked;
        if (loading === move.model) {
            asked.begun = true;
            return undefined;
        }
        if (asked.begun || models.includes(move.model)) {
            this.#asked.delete(id);
            this.#noteEnded(id, asked.storeLoadMilliseconds, nowMilliseconds);
            return undefined;
        }
        if (nowMilliseconds - sinceMilliseconds < STUCK_MILLISECONDS) {
            return undefined;
        }
        this.#asked.delete(id);
        this.#passedOver.set(id, nowMilliseconds + PASSED_OVER_MILLISECONDS);
        return move;
    }

    /** A load is ordered only once there is room, so when it began follows from when it has ended. */
    #noteEnded(engine: string, storeLoadMilliseconds: number | undefined, nowMilliseconds: number): void {
        if (storeLoadMilliseconds !== undefined) {
            const begunAt = nowMilliseconds - storeLoadMilliseconds;
            this.#storeLoads.set(engine, [...this.#storeLoads.get(engine) ?? [], begunAt]);
        }
    }

    /** What a move drops no longer counts, also while requests keep it in the engine's memory. */
    #expected(engine: PlannedEngine): PlannedEngine {
        const move = this.#asked.get(engine.id)?.move;
        if (move === undefined) {
            return engine;
        }
        return { ...engine, loading: move.model, models: engine.models.filter(model => !move.dropped.includes(model)) };
    }
}
