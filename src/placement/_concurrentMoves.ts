/**
 * Selects moves that may run at the same time.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";
import { type CandidateMove, isUrgent, type PlanContext } from "./_moveEvaluation.js";

/** Share of the engines that may change at once when busy models are unloaded, which accept no requests meanwhile. */
const MAXIMUM_CHANGING_SHARE = 0.25;

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns how many loads from the weight store can run at full speed: those it can start in the time of one load. */
function maximumStoreLoads({ loadsPerSecond, models }: EngineDefinition): number {
    const total = models.reduce((sum, { storeLoadMilliseconds }) => sum + storeLoadMilliseconds, 0);
    return Math.max(1, Math.ceil(loadsPerSecond * total / Math.max(1, models.length) / MILLISECONDS_PER_SECOND));
}

/** Selects moves within the limits that remain beside the loads already in progress. */
export class ConcurrentMoves {
    readonly chosen: CandidateMove[] = [];
    readonly #context: PlanContext;
    readonly #engines = new Set<string>();
    readonly #models = new Set<string>();
    #remainingStoreLoads: number;
    #remainingBusyUnloads: number;

    constructor(context: PlanContext) {
        this.#context = context;
        const { definition, engines } = context.input;
        const changing = engines.filter(({ loading }) => loading !== undefined);
        const fromStore = changing.filter(({ locallyStoredModels, loading }) =>
            !locallyStoredModels.includes(loading ?? "")
        );
        this.#remainingStoreLoads = maximumStoreLoads(definition) - fromStore.length;
        this.#remainingBusyUnloads = Math.max(1, Math.floor(engines.length * MAXIMUM_CHANGING_SHARE)) - changing.length;
    }

    get mayUnloadBusy(): boolean {
        return this.#remainingBusyUnloads > 0;
    }

    /**
     * Adds a move, unless it changes an engine or a model of one already chosen, or exceeds a limit. Moves are offered
     * in order of decreasing gain.
     */
    addIfCompatible(move: CandidateMove): void {
        const { unload, engine, model } = move;
        const models = [model.name, ...unload.models];
        const isFromStore = !engine.locallyStoredModels.includes(model.name);
        const unloadsBusy = !unload.isIdle;
        const conflicts = this.#engines.has(engine.id) || models.some(name => this.#models.has(name));
        const exceedsLimit = (isFromStore && this.#remainingStoreLoads <= 0)
            || (unloadsBusy && !isUrgent(this.#context, move) && this.#remainingBusyUnloads <= 0);
        if (conflicts || exceedsLimit) {
            return;
        }
        this.chosen.push(move);
        this.#engines.add(engine.id);
        models.forEach(name => this.#models.add(name));
        this.#remainingStoreLoads -= isFromStore ? 1 : 0;
        this.#remainingBusyUnloads -= unloadsBusy ? 1 : 0;
    }
}
