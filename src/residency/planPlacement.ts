/**
 * The placement planner: what should be where, and why.
 *
 * @module
 */
import { planAdapters } from "./_adapterPlan.js";
import { placeSomewhere, rankHosts, type RoomContext, spareCopies } from "./_roomMaking.js";
import {
    cloneWorkspace,
    enginesWith,
    enginesWithVersion,
    missingMegabytes,
    openWorkspace,
    planEvict,
    planLoad,
    type WorkEngine,
    type Workspace,
} from "./_workspace.js";
import {
    type PlacementModel,
    type PlacementOptions,
    type PlacementPlan,
    type PlacementProblem,
    type PlacementView,
} from "./placement.js";

const DEFAULT_WEIGHT = 0.5;
/** Missed targets a second that a move has to avoid at a move weight of 1. */
const MOVE_COST_PER_SECOND = 0.05;
/** Worth of the second and third copy for reach alone: with three, two engines may fail together. */
const REACH_WORTH = [0, 0, 0.2, 0.02] as const;
/** A copy replaces another only if it is worth this many times as much at a move weight of 1, beyond equality. */
const REPLACEMENT_FACTOR = 2;
const MOST_TRIES = 400;

interface PlanContext extends RoomContext {
    readonly moveWeight: number;
    readonly ordered: readonly PlacementModel[];
    readonly problems: PlacementProblem[];
}

function createContext(view: PlacementView, work: Workspace, options: PlacementOptions): PlanContext {
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
        ordered,
        problems: [],
    };
}

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
    if (!placeSomewhere(work, model, context, { reason })) {
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

interface FurtherCopy {
    readonly model: PlacementModel;
    readonly copies: number;
    readonly gain: number;
}

function rankFurtherCopies(work: Workspace, context: PlanContext): FurtherCopy[] {
    const candidates = context.ordered.flatMap(model => {
        const copies = enginesWith(work, model.name).length + 1;
        const cost = copies < REACH_WORTH.length ? 0 : context.moveWeight * MOVE_COST_PER_SECOND;
        const gain = context.worthOf(model.name, copies) - cost;
        return copies > 1 && gain > 0 ? [{ model, copies, gain }] : [];
    });
    return candidates.sort((left, right) =>
        right.gain / right.model.megabytes - left.gain / left.model.megabytes
        || (left.model.name < right.model.name ? -1 : 1)
    );
}

/** Fills free room with the further copies that are worth most for a megabyte. */
function placeFurtherCopies(work: Workspace, context: PlanContext): void {
    for (;;) {
        const best = rankFurtherCopies(work, context).flatMap(further => {
            const host = rankHosts(work, further.model, context).find(engine =>
                !engine.copies.some(copy => copy.name === further.model.name)
                && missingMegabytes(engine, further.model) <= 0
            );
            return host === undefined ? [] : [{ ...further, host }];
        })[0];
        if (best === undefined) {
            return;
        }
        const reason = best.copies < REACH_WORTH.length
            ? `copy ${best.copies}, for reach when engines fail`
            : `copy ${best.copies}, for missed targets`;
        planLoad(work, best.host, best.model, reason);
    }
}

function isCalm(work: Workspace): boolean {
    return work.actions.length === 0
        && work.engines.every(engine => engine.copies.every(copy => copy.state === "proved"));
}

/** Exchanges spare copies for one that is worth clearly more. */
function replaceOneCopy(work: Workspace, context: PlanContext): void {
    const factor = 1 + REPLACEMENT_FACTOR * context.moveWeight;
    for (const { model, copies, gain } of rankFurtherCopies(work, context)) {
        for (const host of rankHosts(work, model, context)) {
            const tried = cloneWorkspace(work);
            const engine = tried.engines.find(candidate => candidate.engine === host.engine);
            if (engine === undefined || engine.copies.some(copy => copy.name === model.name)) {
                continue;
            }
            let lost = 0;
            for (const spare of spareCopies(tried, engine, context)) {
                if (missingMegabytes(engine, model) <= 0 || spare.settling) {
                    break;
                }
                lost += context.worthOf(spare.name, enginesWith(tried, spare.name).length);
                planEvict(tried, engine, spare, `${model.name} is worth more here`);
            }
            if (missingMegabytes(engine, model) <= 0 && gain > lost * factor) {
                planLoad(tried, engine, model, `copy ${copies}, worth more than what it replaces`, true);
                work.engines = tried.engines;
                work.actions = tried.actions;
                return;
            }
        }
    }
}

/** Takes spare copies off engines whose memory is not enough for what they hold. */
function shedOverfull(work: Workspace, context: PlanContext): void {
    for (const engine of work.engines) {
        const reason = "the engine's role or memory needs the room";
        for (const spare of spareCopies(work, engine, context)) {
            if (engine.freeMegabytes < 0) {
                planEvict(work, engine, spare, reason);
            }
        }
        moveSinglesOff(work, engine.engine, context, reason);
    }
}

function moveSinglesOff(work: Workspace, name: string, context: PlanContext, reason: string): void {
    const find = (): WorkEngine | undefined => work.engines.find(({ engine, usable }) => usable && engine === name);
    const singles = find()?.copies.filter(copy => copy.state === "proved" && context.models.has(copy.name)) ?? [];
    for (const single of singles.sort((left, right) => left.megabytes - right.megabytes)) {
        const model = context.models.get(single.name);
        const isOverfull = (find()?.freeMegabytes ?? 0) < 0;
        if (model === undefined || !isOverfull || !placeSomewhere(work, model, context, { reason, excluded: name })) {
            continue;
        }
        const engine = find();
        if (engine !== undefined) {
            planEvict(work, engine, single, reason);
        }
    }
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
    const context = createContext(view, work, options);
    clearUnwanted(work, context);
    placeFirstCopies(work, context);
    renewVersions(work, context);
    placeMinimumCopies(work, context);
    shedOverfull(work, context);
    planAdapters(work, view.adapters, {
        moveCost: context.moveWeight * MOVE_COST_PER_SECOND,
        spareCopies: engine => spareCopies(work, engine, context),
    });
    placeFurtherCopies(work, context);
    if (options.mayMove !== false && isCalm(work)) {
        replaceOneCopy(work, context);
    }
    return { actions: work.actions, problems: context.problems };
}
