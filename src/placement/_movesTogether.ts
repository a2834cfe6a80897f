/**
 * Which of several moves may begin together.
 *
 * @module
 */
import { type EngineDefinition } from "../routes/index.js";
import { type Candidate, type Fleet, isUrgent } from "./_weighMoves.js";

/** Part of the engines that may be changing at once where busy models are dropped, which take no requests meanwhile. */
const CHANGING_SHARE = 0.25;

const MILLISECONDS_PER_SECOND = 1_000;

/** Loads from the weight store that run at full speed together: what it hands out in the time of one. */
function mostStoreLoads({ loadsPerSecond, models }: EngineDefinition): number {
    const total = models.reduce((sum, { storeLoadMilliseconds }) => sum + storeLoadMilliseconds, 0);
    return Math.max(1, Math.ceil(loadsPerSecond * total / Math.max(1, models.length) / MILLISECONDS_PER_SECOND));
}

/** Keeps account of what may still begin beside what has begun. */
export class MovesTogether {
    readonly chosen: Candidate[] = [];
    readonly #fleet: Fleet;
    readonly #engines = new Set<string>();
    readonly #models = new Set<string>();
    #storeLoadsLeft: number;
    #busyDropsLeft: number;

    constructor(fleet: Fleet) {
        this.#fleet = fleet;
        const { definition, engines } = fleet.situation;
        const changing = engines.filter(({ loading }) => loading !== undefined);
        const fromStore = changing.filter(({ locallyStoredModels: atHand, loading }) =>
            !atHand.includes(loading ?? "")
        );
        this.#storeLoadsLeft = mostStoreLoads(definition) - fromStore.length;
        this.#busyDropsLeft = Math.max(1, Math.floor(engines.length * CHANGING_SHARE)) - changing.length;
    }

    get mayDropBusy(): boolean {
        return this.#busyDropsLeft > 0;
    }

    /** Takes a move, unless it bears on what a better one changes, or too many begin already. */
    offer(move: Candidate): void {
        const { drop, engine, model } = move;
        const models = [model.name, ...drop.dropped];
        const isFromStore = !engine.locallyStoredModels.includes(model.name);
        const dropsBusy = !drop.isIdle;
        const bearsOnOther = this.#engines.has(engine.id) || models.some(name => this.#models.has(name));
        const isTooMuch = (isFromStore && this.#storeLoadsLeft <= 0)
            || (dropsBusy && !isUrgent(this.#fleet, move) && this.#busyDropsLeft <= 0);
        if (bearsOnOther || isTooMuch) {
            return;
        }
        this.chosen.push(move);
        this.#engines.add(engine.id);
        models.forEach(name => this.#models.add(name));
        this.#storeLoadsLeft -= isFromStore ? 1 : 0;
        this.#busyDropsLeft -= dropsBusy ? 1 : 0;
    }
}
