/**
 * The placement planner: decides which models and adapters each engine should hold, with a reason for each change.
 *
 * @module
 */
import { planAdapters } from "./_adapterPlan.js";
import { placeCopy, spareCopies } from "./_copyPlacement.js";
import { beginExchange, continueExchange, placeFurtherCopies } from "./_furtherCopies.js";
import { evictFromOverfull } from "./_overfullEngines.js";
import { createPlanContext, type PlanContext } from "./_planContext.js";
import { enginesWith, enginesWithVersion, openWorkspace, planEvict, type Workspace } from "./_workspace.js";
import { type PlacementModel, type PlacementOptions, type PlacementPlan, type PlacementView } from "./placement.js";

/** Evicts unlisted models, and copies that an unanswered evict may still remove, so that their memory is free again. */
function evictUnwanted(work: Workspace, context: PlanContext): void {
    for (const engine of work.engines) {
        for (const copy of [...engine.copies]) {
            const listed = context.models.get(copy.name);
            if (listed === undefined && copy.state !== "evicting" && copy.clearable) {
                planEvict(work, engine, copy, "no longer in the configuration");
            }
            else if (copy.state === "stuck" && copy.clearable) {
                planEvict(work, engine, copy, "an evict without an answer may still remove it");
            }
        }
    }
}

/** Places a copy of each model that has none; the largest first, since they are the hardest to fit. */
function placeFirstCopies(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        if (enginesWith(work, model.name).length === 0) {
            placeOrExplain(work, model, context, "no engine has a copy");
        }
    }
}

function placeOrExplain(work: Workspace, model: PlacementModel, context: PlanContext, reason: string): void {
    const isFirstCopy = enginesWith(work, model.name).length === 0;
    if (!placeCopy(work, model, context, { reason, isFirstCopy })) {
        const usable = work.engines.filter(engine => engine.usable);
        const freeByEngine = usable.map(engine => {
            const uncertain = engine.copies.filter(copy => copy.megabytes > 0 && !copy.clearable).filter(copy =>
                copy.state === "uncertain" || copy.state === "stuck"
            );
            const names = uncertain.map(copy => `${copy.name} ${copy.version}`).join(", ");
            const until = names === "" ? "" : `, uncertain until it restarts: ${names}`;
            return `${engine.engine}: ${engine.freeMegabytes} MB free${until}`;
        });
        context.problems.push({
            name: model.name,
            reason: `${reason}, and no engine can make ${model.megabytes} MB free (${freeByEngine.join("; ")})`,
        });
    }
}

/** Loads new versions and evicts old ones, one copy of a model at a time, so that old copies serve until then. */
function rollOutVersions(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        const current = enginesWithVersion(work, model);
        if (current.length === 0 && enginesWith(work, model.name).length > 0) {
            placeOrExplain(work, model, context, `version ${model.version} has no copy; an older one is still in use`);
        }
        retireOldVersion(work, model);
    }
}

function retireOldVersion(work: Workspace, model: PlacementModel): void {
    const isChanging = work.engines.some(engine =>
        engine.copies.some(copy => copy.name === model.name && copy.state !== "proved" && copy.state !== "uncertain")
    );
    const hasNewVersion = work.engines.some(engine =>
        engine.usable
        && engine.copies.some(copy =>
            copy.name === model.name && copy.version === model.version && copy.state === "proved"
        )
    );
    if (isChanging || !hasNewVersion) {
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

/** Adds copies up to the configured minimum, or the number of usable engines. */
function placeMinimumCopies(work: Workspace, context: PlanContext): void {
    for (const model of context.ordered) {
        const required = Math.min(model.minimumCopies, work.engines.filter(engine => engine.usable).length);
        const present = enginesWith(work, model.name).length;
        for (let copies = present; copies > 0 && copies < required; copies += 1) {
            placeOrExplain(work, model, context, `${copies} of at least ${required} copies stand`);
        }
    }
}

function isStable(work: Workspace): boolean {
    return work.actions.length === 0
        && work.engines.every(engine => engine.copies.every(copy => copy.state === "proved"));
}

/**
 * Plans the next loads, evicts, adapter grants and withdrawals on the engines of one pool.
 *
 * In this order: a copy of every model; new versions; the configured minimum of copies; adapters; further copies by
 * value per megabyte; one exchange of a spare copy, when nothing else is to be done. Call it again after each change.
 *
 * Evicts in a plan are only proposed: the caller executes one only while the model keeps another proved copy.
 *
 * @param view Engines, models and demand as the holder knows them.
 * @param options Weights of missed targets and of moves.
 * @returns Actions, most urgent first, and the problems that no action solves.
 *
 * @example
 * ```ts
 * const { actions, problems } = planPlacement(view, { attainmentWeight: 0.8, moveWeight: 0.2 });
 * ```
 */
export function planPlacement(view: PlacementView, options: PlacementOptions = {}): PlacementPlan {
    const work = openWorkspace(view);
    const context = createPlanContext(view, work, options);
    evictUnwanted(work, context);
    placeFirstCopies(work, context);
    rollOutVersions(work, context);
    placeMinimumCopies(work, context);
    evictFromOverfull(work, context);
    const continued = continueExchange(work, context, view.exchange);
    planAdapters(work, view.adapters, {
        moveCost: context.moveCost,
        spareCopies: engine => spareCopies(work, engine, context, {}),
    });
    placeFurtherCopies(work, context);
    const mayBegin = continued === undefined && options.mayMove !== false && isStable(work);
    const exchange = continued ?? (mayBegin ? beginExchange(work, context) : undefined);
    const { actions } = work;
    return { actions, problems: context.problems, ...(exchange === undefined ? {} : { exchange }) };
}
