/**
 * The placement planner: what should be where, and why.
 *
 * @module
 */
import { planAdapters } from "./_adapterPlan.js";
import { beginExchange, continueExchange, placeFurtherCopies } from "./_furtherCopies.js";
import { createPlanContext, type PlanContext } from "./_planContext.js";
import { placeSomewhere, spareCopies } from "./_roomMaking.js";
import { shedOverfull } from "./_shedding.js";
import { enginesWith, enginesWithVersion, openWorkspace, planEvict, type Workspace } from "./_workspace.js";
import { type PlacementModel, type PlacementOptions, type PlacementPlan, type PlacementView } from "./placement.js";

/** Clears what is not wanted: unlisted models, copies in doubt beside proved ones, room under lost orders. */
function clearUnwanted(work: Workspace, context: PlanContext): void {
    for (const engine of work.engines) {
        for (const copy of [...engine.copies]) {
            const listed = context.models.get(copy.name);
            if (listed === undefined && copy.state !== "evicting" && copy.clearable) {
                planEvict(work, engine, copy, "no longer listed");
            }
            else if (copy.state === "stuck" && copy.clearable) {
                planEvict(work, engine, copy, "a lost evict left its room in doubt");
            }
        }
    }
}

/** Gives every model without a copy one; the largest first, for they are the hardest to fit. */
function placeFirstCopies(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        if (enginesWith(work, model.name).length === 0) {
            placeOrExplain(work, model, context, "no other copy stands");
        }
    }
}

function placeOrExplain(work: Workspace, model: PlacementModel, context: PlanContext, reason: string): void {
    const isFirstCopy = enginesWith(work, model.name).length === 0;
    if (!placeSomewhere(work, model, context, { reason, isFirstCopy })) {
        const usable = work.engines.filter(engine => engine.usable);
        const room = usable.map(engine => {
            const doubtful = engine.copies.filter(copy => copy.megabytes > 0 && !copy.clearable).filter(copy =>
                copy.state === "uncertain" || copy.state === "stuck"
            );
            const names = doubtful.map(copy => `${copy.name} ${copy.version}`).join(", ");
            const until = names === "" ? "" : `, in doubt until it restarts: ${names}`;
            return `${engine.engine}: ${engine.freeMegabytes} MB free${until}`;
        });
        context.problems.push({
            name: model.name,
            reason: `${reason}, and no engine can make ${model.megabytes} MB free (${room.join("; ")})`,
        });
    }
}

/** Brings new versions in, one model copy after the other, while old copies still serve. */
function renewVersions(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        const current = enginesWithVersion(work, model);
        if (current.length === 0 && enginesWith(work, model.name).length > 0) {
            placeOrExplain(work, model, context, `version ${model.version} has no copy; an older one still serves`);
        }
        retireOldVersion(work, model);
    }
}

function retireOldVersion(work: Workspace, model: PlacementModel): void {
    const inMotion = work.engines.some(engine =>
        engine.copies.some(copy => copy.name === model.name && copy.state !== "proved" && copy.state !== "uncertain")
    );
    const renewed = work.engines.some(engine =>
        engine.usable
        && engine.copies.some(copy =>
            copy.name === model.name && copy.version === model.version && copy.state === "proved"
        )
    );
    if (inMotion || !renewed) {
        return;
    }
    for (const engine of work.engines) {
        const old = engine.copies.find(copy => copy.name === model.name && copy.version !== model.version);
        if (old?.clearable === true) {
            planEvict(work, engine, old, `replaced by version ${model.version}`);
            return;
        }
    }
}

/** Adds copies up to the number that the operators ask for. */
function placeMinimumCopies(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        const wanted = Math.min(model.minimumCopies, work.engines.filter(engine => engine.usable).length);
        const standing = enginesWith(work, model.name).length;
        for (let copies = standing; copies > 0 && copies < wanted; copies += 1) {
            placeOrExplain(work, model, context, `${copies} of at least ${wanted} copies stand`);
        }
    }
}

function isCalm(work: Workspace): boolean {
    return work.actions.length === 0
        && work.engines.every(engine => engine.copies.every(copy => copy.state === "proved"));
}

/**
 * Plans what has to be loaded, evicted, granted and withdrawn next on the engines of one pool.
 *
 * In this order: a copy of every model; new versions; the copies that the text asks for; adapters; further copies by
 * worth for a megabyte; one exchange of a spare copy, when nothing else is to be done. Run it again after each change.
 *
 * Evicts in a plan are wishes: the caller carries one out only while enough other proved copies stand.
 *
 * @param view Engines, models and demand as they are known.
 * @param options How easily to move.
 * @returns Actions in the order of need, and what can't be done.
 *
 * @example
 * ```ts
 * const { actions, problems } = planPlacement(view, { attainmentWeight: 0.8, moveWeight: 0.2 });
 * ```
 */
export function planPlacement(view: PlacementView, options: PlacementOptions = {}): PlacementPlan {
    const work = openWorkspace(view);
    const context = createPlanContext(view, work, options);
    clearUnwanted(work, context);
    placeFirstCopies(work, context);
    renewVersions(work, context);
    placeMinimumCopies(work, context);
    shedOverfull(work, context);
    const continued = continueExchange(work, context, view.exchange);
    planAdapters(work, view.adapters, {
        moveCost: context.moveCost,
        spareCopies: engine => spareCopies(work, engine, context, {}),
    });
    placeFurtherCopies(work, context);
    const mayBegin = continued === undefined && options.mayMove !== false && isCalm(work);
    const exchange = continued ?? (mayBegin ? beginExchange(work, context) : undefined);
    const { actions } = work;
    return { actions, problems: context.problems, ...(exchange === undefined ? {} : { exchange }) };
}
