/**
 * Simple placement plans to compare the placement plan with.
 *
 * @module
 */
import { type PlacementInput, type PlacementMove } from "../../src/placement/index.js";

/** Returns no move. */
export function planNoMoves(): undefined {
    return undefined;
}

/**
 * Loads the missing model with the most demand in place of the copy with the least demand.
 *
 * @param input All engines, the models that they hold, and the demand.
 *
 * @example
 * ```ts
 * const { attainment } = simulatePlacement({ site, seed: 1, plan: planLeastRequested, demand });
 * ```
 */
export function planLeastRequested(input: PlacementInput): PlacementMove | undefined {
    const { definition, demand, engines } = input;
    const held = new Set(
        engines.flatMap(({ loading, models }) => loading === undefined ? models : [...models, loading]),
    );
    const demandOf = (model: string): number => demand.get(model) ?? 0;
    const missing = definition.models.filter(({ name }) => !held.has(name) && demandOf(name) > 0);
    const [mostRequested] = missing.sort((left, right) => demandOf(right.name) - demandOf(left.name));
    if (mostRequested === undefined) {
        return undefined;
    }
    const copies = engines.filter(({ loading }) => loading === undefined).flatMap(({ id, models }) =>
        models.map(model => ({ id, model }))
    );
    const [leastRequested] = copies.sort((left, right) => demandOf(left.model) - demandOf(right.model));
    if (leastRequested === undefined || demandOf(leastRequested.model) >= demandOf(mostRequested.name)) {
        return undefined;
    }
    return {
        engine: leastRequested.id,
        model: mostRequested.name,
        dropped: [leastRequested.model],
        reason: "no-copy",
        gain: demandOf(mostRequested.name),
    };
}
