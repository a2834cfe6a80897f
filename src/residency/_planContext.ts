/**
 * State and functions that all steps of the planner share: models, values of copies, weights.
 *
 * @module
 */
import { type RoomContext } from "./_copyPlacement.js";
import { enginesWith, type WorkEngine, type Workspace } from "./_workspace.js";
import { type PlacementModel, type PlacementOptions, type PlacementProblem, type PlacementView } from "./placement.js";

const DEFAULT_WEIGHT = 0.5;
/** Target misses per second that a move has to avoid to be worthwhile, at a move weight of 1. */
const MOVE_COST_PER_SECOND = 0.05;
/** Value of the second and third copy for availability alone: with three, a model survives the loss of two engines. */
const AVAILABILITY_VALUES = [0, 0, 0.2, 0.02] as const;
const MAXIMUM_MOVE_ATTEMPTS = 400;

/** Shared by the steps of one plan. */
export interface PlanContext extends RoomContext {
    readonly moveWeight: number;
    readonly ordered: readonly PlacementModel[];
    readonly problems: PlacementProblem[];
}

/** Returns whether the n-th copy of a model is valuable for availability alone. */
export function isForAvailability(copies: number): boolean {
    return copies < AVAILABILITY_VALUES.length;
}

/** Creates the context of one plan. */
export function createPlanContext(view: PlacementView, work: Workspace, options: PlacementOptions): PlanContext {
    const attainmentWeight = options.attainmentWeight ?? DEFAULT_WEIGHT;
    const models = new Map(view.models.map(model => [model.name, model]));
    const ordered = [...view.models].sort((left, right) =>
        right.megabytes - left.megabytes || (left.name < right.name ? -1 : 1)
    );
    const marginalValueOf = (name: string, copies: number): number => {
        const missed = models.get(name)?.missedPerSecond ?? 0;
        return attainmentWeight * missed / Math.max(1, copies) + (AVAILABILITY_VALUES[copies] ?? 0);
    };
    const expectedLoadOf = (engine: WorkEngine): number =>
        engine.copies.reduce((sum, copy) => {
            const copies = Math.max(1, enginesWith(work, copy.name).length);
            return sum + (models.get(copy.name)?.arrivalsPerSecond ?? 0) / copies;
        }, 0);
    const moveWeight = options.moveWeight ?? DEFAULT_WEIGHT;
    return {
        models,
        marginalValueOf,
        expectedLoadOf,
        remainingAttempts: options.mayMove === false ? 0 : MAXIMUM_MOVE_ATTEMPTS,
        moveWeight,
        moveCost: moveWeight * MOVE_COST_PER_SECOND,
        ordered,
        problems: [],
    };
}
