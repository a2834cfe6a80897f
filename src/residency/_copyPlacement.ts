/**
 * Finds memory for a required copy: first free memory, then that of spare copies and adapters, and last that of models'
 * only copies, which are first loaded on another engine.
 *
 * @module
 */
import {
    adoptWorkspace,
    canLoad,
    cloneWorkspace,
    enginesWith,
    missingMegabytes,
    planEvict,
    planLoad,
    planWithdrawal,
    type WorkEngine,
    type Workspace,
} from "./_workspace.js";
import { type PlacementCopy, type PlacementModel } from "./placement.js";

const MAXIMUM_CHAINED_MOVES = 2;
/** Cost of moving an adapter, as a fraction of the cost of moving a model. */
const ADAPTER_MOVE_COST_SHARE = 0.1;

/** What the search for memory needs to know besides the workspace. */
export interface RoomContext {
    readonly models: ReadonlyMap<string, PlacementModel>;
    /** Returns the value of the last of `copies` copies of a model, in avoided target misses per second. */
    readonly marginalValueOf: (name: string, copies: number) => number;
    /** Target misses per second that a move has to avoid to be worthwhile. */
    readonly moveCost: number;
    /** Returns the expected arrivals per second on an engine; breaks ties between engines. */
    readonly expectedLoadOf: (engine: WorkEngine) => number;
    /** How many more moves of models' only copies may be attempted; bounds the planner's time where nothing fits. */
    remainingAttempts: number;
}

/**
 * Orders engines for a new copy: first those that already charge memory for it, then the one that the previous plan
 * chose, then other zones, lower load and more free memory.
 */
export function rankEngines(work: Workspace, model: PlacementModel, context: RoomContext): WorkEngine[] {
    const zones = new Set(enginesWith(work, model.name).map(engine => engine.zone));
    const ranked = work.engines.filter(engine => canLoad(engine, model)).map(engine => ({
        engine,
        unintended: work.intendedEngines.get(model.name) === engine.engine ? 0 : 1,
        sameZone: zones.has(engine.zone) ? 1 : 0,
        charged: engine.copies.some(copy => copy.name === model.name && copy.version === model.version) ? 0 : 1,
        load: context.expectedLoadOf(engine),
    }));
    ranked.sort((left, right) =>
        left.charged - right.charged
        || left.unintended - right.unintended
        || left.sameZone - right.sameZone
        || left.load - right.load
        || right.engine.freeMegabytes - left.engine.freeMegabytes
        || (left.engine.engine < right.engine.engine ? -1 : 1)
    );
    return ranked.map(({ engine }) => engine);
}

/** Which copies may be evicted below their minimum count. */
export interface RoomPurpose {
    /** Model to be placed; its own copies may fall below their minimum count, as when its version changes. */
    readonly name?: string;
    /** True for a model without any copy: copies of other models may fall below their minimum count for it. */
    readonly isFirstCopy?: boolean;
}

function isAboveMinimum(work: Workspace, copy: PlacementCopy, context: RoomContext, purpose: RoomPurpose): boolean {
    const minimum = context.models.get(copy.name)?.minimumCopies ?? 0;
    return purpose.isFirstCopy === true
        || purpose.name === copy.name
        || copy.state !== "proved"
        || enginesWith(work, copy.name).length > minimum;
}

/** Returns the value that evicting a spare copy loses, including the cost of loading its adapters elsewhere. */
export function evictionCost(work: Workspace, engine: WorkEngine, copy: PlacementCopy, context: RoomContext): number {
    const adapters = engine.grants.filter(grant => grant.model === copy.name).length;
    const copies = enginesWith(work, copy.name).length;
    return context.marginalValueOf(copy.name, copies) + adapters * context.moveCost * ADAPTER_MOVE_COST_SHARE;
}

/**
 * Returns copies of an engine that another engine also has and that exceed the model's minimum, least valuable first.
 */
export function spareCopies(
    work: Workspace,
    engine: WorkEngine,
    context: RoomContext,
    purpose: RoomPurpose,
): PlacementCopy[] {
    const spares = engine.copies.filter(copy =>
        isAboveMinimum(work, copy, context, purpose)
        && (copy.state === "proved" || (copy.state === "uncertain" && copy.clearable))
        && enginesWith(work, copy.name).some(other => other !== engine)
    );
    const valuePerMegabyte = (copy: PlacementCopy): number =>
        copy.state === "uncertain" || copy.draining === true
            ? 0
            : evictionCost(work, engine, copy, context) / copy.megabytes;
    return spares.sort((left, right) =>
        valuePerMegabyte(left) - valuePerMegabyte(right) || (left.name < right.name ? -1 : 1)
    );
}

function evictForRoom(
    work: Workspace,
    engine: WorkEngine,
    model: PlacementModel,
    context: RoomContext,
    isFirstCopy: boolean,
): boolean {
    const reason = `makes room for ${model.name}`;
    const idleGrants = [...engine.grants].filter(grant => grant.clearable).sort((left, right) =>
        left.lastRequestedMilliseconds - right.lastRequestedMilliseconds || (left.adapter < right.adapter ? -1 : 1)
    );
    for (const copy of spareCopies(work, engine, context, { name: model.name, isFirstCopy })) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        planEvict(work, engine, copy, `${reason}; other copies remain`);
    }
    for (const grant of idleGrants) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        planWithdrawal(work, engine, grant, reason);
    }
    return missingMegabytes(engine, model) <= 0;
}

/** Returns the memory that evicts in progress will free. */
export function megabytesBeingFreed(engine: WorkEngine): number {
    const leaving = engine.copies.filter(copy => copy.state === "evicting");
    return leaving.reduce((sum, copy) => sum + copy.megabytes, 0);
}

function moveOnlyCopiesAway(
    work: Workspace,
    engine: WorkEngine,
    model: PlacementModel,
    context: RoomContext,
    { depth, isFirstCopy }: { readonly depth: number; readonly isFirstCopy: boolean; },
): boolean {
    const onlyCopies = engine.copies
        .filter(copy => copy.state === "proved" && copy.name !== model.name && context.models.has(copy.name))
        .sort((left, right) => left.megabytes - right.megabytes || (left.name < right.name ? -1 : 1));
    const largeEnough = onlyCopies.filter(copy => copy.megabytes >= missingMegabytes(engine, model));
    for (const copy of [...largeEnough, ...onlyCopies.reverse().filter(only => !largeEnough.includes(only))]) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        const moved = context.models.get(copy.name);
        if (moved === undefined || context.remainingAttempts <= 0) {
            continue;
        }
        context.remainingAttempts -= 1;
        const scratch = cloneWorkspace(work);
        const placed = placeCopy(scratch, moved, context, {
            depth: depth + 1,
            isFirstCopy,
            excluded: engine.engine,
            reason: `moves ${copy.name} off ${engine.engine} so that ${model.name} fits there`,
        });
        const after = scratch.engines.find(other => other.engine === engine.engine);
        if (!placed || after === undefined) {
            continue;
        }
        planEvict(scratch, after, copy, `moved to make room for ${model.name}`);
        adoptWorkspace(work, scratch);
        engine = after;
    }
    return missingMegabytes(engine, model) <= 0;
}

/** Constraints on placing a copy, and the reason that is given for it. */
export interface PlaceOptions {
    readonly reason: string;
    /** True for a model without any copy: copies of other models may fall below their minimum count for it. */
    readonly isFirstCopy?: boolean;
    /** Number of moves that this one is nested in; bounded by `MAXIMUM_CHAINED_MOVES`. */
    readonly depth?: number;
    /** Engine that the copy must not be placed on. */
    readonly excluded?: string;
}

type Attempt = (work: Workspace, engine: WorkEngine) => boolean;

function tryEngines(
    work: Workspace,
    engines: readonly string[],
    model: PlacementModel,
    attempt: Attempt,
): WorkEngine | undefined {
    for (const name of engines) {
        const scratch = cloneWorkspace(work);
        const engine = scratch.engines.find(candidate => candidate.engine === name);
        if (engine === undefined || !attempt(scratch, engine)) {
            continue;
        }
        adoptWorkspace(work, scratch);
        const found = work.engines.find(candidate => candidate.engine === name);
        if (found !== undefined && missingMegabytes(found, model) <= 0) {
            return found;
        }
    }
    return undefined;
}

/**
 * Plans a copy of a model on some engine, and evicts or moves other copies where no engine has enough free memory.
 *
 * @returns False where no engine can hold the copy; the workspace is then unchanged.
 */
export function placeCopy(
    work: Workspace,
    model: PlacementModel,
    context: RoomContext,
    options: PlaceOptions,
): boolean {
    const depth = options.depth ?? 0;
    const isFirstCopy = options.isFirstCopy === true;
    const ranked = rankEngines(work, model, context).map(engine => engine.engine).filter(name =>
        name !== options.excluded
    );
    const attempts: Attempt[] = [
        (_, engine) => missingMegabytes(engine, model) <= 0,
        (_, engine) => {
            engine.freeMegabytes += megabytesBeingFreed(engine);
            return missingMegabytes(engine, model) <= 0;
        },
        (scratch, engine) => evictForRoom(scratch, engine, model, context, isFirstCopy),
    ];
    if (depth < MAXIMUM_CHAINED_MOVES) {
        attempts.push((scratch, engine) => {
            evictForRoom(scratch, engine, model, context, isFirstCopy);
            const after = scratch.engines.find(other => other.engine === engine.engine) ?? engine;
            return moveOnlyCopiesAway(scratch, after, model, context, { depth, isFirstCopy });
        });
    }
    for (const attempt of attempts) {
        const engine = tryEngines(work, ranked, model, attempt);
        if (engine !== undefined) {
            planLoad(work, engine, model, options.reason, depth > 0);
            return true;
        }
    }
    return false;
}
