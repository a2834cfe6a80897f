/**
 * What all steps of the planner share: models, worth of copies, weights.
 *
 * @module
 */
import { type RoomContext } from "./_roomMaking.js";
import { enginesWith, type WorkEngine, type Workspace } from "./_workspace.js";
import { type PlacementModel, type PlacementOptions, type PlacementProblem, type PlacementView } from "./placement.js";

const DEFAULT_WEIGHT = 0.5;
/** Missed targets a second that a move has to avoid at a move weight of 1. */
const MOVE_COST_PER_SECOND = 0.05;
/** Worth of the second and third copy for reach alone: with three, two engines may fail together. */
const REACH_WORTH = [0, 0, 0.2, 0.02] as const;
const MOST_TRIES = 400;

/** What the steps of one plan share. */
export interface PlanContext extends RoomContext {
    readonly moveWeight: number;
    readonly ordered: readonly PlacementModel[];
    readonly problems: PlacementProblem[];
}

/** Tells whether the n-th copy of a model is worth having for reach alone. */
export function isForReach(copies: number): boolean {
    return copies < REACH_WORTH.length;
}

/** Creates what the steps of one plan share. */
export function createPlanContext(view: PlacementView, work: Workspace, options: PlacementOptions): PlanContext {
    const attainmentWeight = options.attainmentWeight ?? DEFAULT_WEIGHT;
    const models = new Map(view.models.map(model => [model.name, model]));
    const ordered = [...view.models].sort((left, right) =>
        right.megabytes - left.megabytes || (left.name < right.name ? -1 : 1)
    );
    const worthOf = (name: string, copies: number): number => {
        const missed = models.get(name)?.missedPerSecond ?? 0;
        return attainmentWeight * missed / Math.max(1, copies) + (REACH_WORTH[copies] ?? 0);
    };
    const loadOf = (engine: WorkEngine): number =>
        engine.copies.reduce((sum, copy) => {
            const copies = Math.max(1, enginesWith(work, copy.name).length);
            return sum + (models.get(copy.name)?.arrivalsPerSecond ?? 0) / copies;
        }, 0);
    const moveWeight = options.moveWeight ?? DEFAULT_WEIGHT;
    return {
        models,
        worthOf,
        loadOf,
        triesLeft: options.mayMove === false ? 0 : MOST_TRIES,
        moveWeight,
        moveCost: moveWeight * MOVE_COST_PER_SECOND,
        ordered,
        problems: [],
    };
}
