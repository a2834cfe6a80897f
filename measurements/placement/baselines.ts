/**
 * Simple plans that the placement plan is compared with.
 *
 * @module
 */
import { type PlacementInput, type PlacementMove } from "../../src/placement/index.js";

/** Moves nothing. */
export function planNothing(): undefined {
    return undefined;
}

/**
 * Loads the missing model that is asked for most, in place of the copies that are asked for least.
 *
 * @param situation All engines, what they hold, and the demand.
 *
 * @example
 * ```ts
 * const { attainment } = playPlacement({ site, seed: 1, plan: planLeastAsked, demand });
 * ```
 */
export function planLeastAsked(situation: PlacementInput): PlacementMove | undefined {
    const { definition, demand, engines } = situation;
    const held = new Set(
        engines.flatMap(({ loading, models }) => loading === undefined ? models : [...models, loading]),
    );
    const asked = (model: string): number => demand.get(model) ?? 0;
    const missing = definition.models.filter(({ name }) => !held.has(name) && asked(name) > 0);
    const [wanted] = missing.sort((left, right) => asked(right.name) - asked(left.name));
    if (wanted === undefined) {
        return undefined;
    }
    const copies = engines.filter(({ loading }) => loading === undefined).flatMap(({ id, models }) =>
        models.map(model => ({ id, model }))
    );
    const [least] = copies.sort((left, right) => asked(left.model) - asked(right.model));
    if (least === undefined || asked(least.model) >= asked(wanted.name)) {
        return undefined;
    }
    return {
        engine: least.id,
        model: wanted.name,
        dropped: [least.model],
        reason: "no-copy",
        gain: asked(wanted.name),
    };
}
