/**
 * Finds room for a copy that has to exist: free room, spare copies, adapters, then moves of single copies.
 *
 * @module
 */
import {
    adoptWorkspace,
    canHost,
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

const MOST_CHAINED_MOVES = 2;
/** Cost of moving an adapter, as a share of that of a model. */
const ADAPTER_MOVE_SHARE = 0.1;

/** What room-making needs to know besides the workspace. */
export interface RoomContext {
    readonly models: ReadonlyMap<string, PlacementModel>;
    /** Worth of the last of `copies` copies of a model. */
    readonly worthOf: (name: string, copies: number) => number;
    /** Missed targets a second that a move has to avoid. */
    readonly moveCost: number;
    /** Expected load of an engine, for a choice between equals. */
    readonly loadOf: (engine: WorkEngine) => number;
    /** Moves of single copies that may still be tried; bounds the planner's time where nothing fits. */
    triesLeft: number;
}

/** Orders engines for a new copy: another zone first, then the least loaded, then the emptiest. */
export function rankEngines(work: Workspace, model: PlacementModel, context: RoomContext): WorkEngine[] {
    const zones = new Set(enginesWith(work, model.name).map(engine => engine.zone));
    const ranked = work.engines.filter(engine => canHost(engine, model)).map(engine => ({
        engine,
        unintended: work.intended.get(model.name) === engine.engine ? 0 : 1,
        sameZone: zones.has(engine.zone) ? 1 : 0,
        charged: engine.copies.some(copy => copy.name === model.name && copy.version === model.version) ? 0 : 1,
        load: context.loadOf(engine),
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

/** For whom room is made. */
export interface RoomPurpose {
    /** Model whose own copies may go below their minimum, as when its version changes. */
    readonly name?: string;
    /** True for a model without any copy: others' copies may go below their minimum for it. */
    readonly isFirstCopy?: boolean;
}

function isAboveMinimum(work: Workspace, copy: PlacementCopy, context: RoomContext, purpose: RoomPurpose): boolean {
    const minimum = context.models.get(copy.name)?.minimumCopies ?? 0;
    return purpose.isFirstCopy === true
        || purpose.name === copy.name
        || copy.state !== "proved"
        || enginesWith(work, copy.name).length > minimum;
}

/** Worth of a spare copy, with what it costs to load its adapters elsewhere. */
export function worthOfSpare(work: Workspace, engine: WorkEngine, copy: PlacementCopy, context: RoomContext): number {
    const adapters = engine.grants.filter(grant => grant.model === copy.name).length;
    const copies = enginesWith(work, copy.name).length;
    return context.worthOf(copy.name, copies) + adapters * context.moveCost * ADAPTER_MOVE_SHARE;
}

/** Lists copies that another copy stands beside and that the operators' minimum spares, the least worth first. */
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
    const worth = (copy: PlacementCopy): number =>
        copy.state === "uncertain" || copy.draining === true
            ? 0
            : worthOfSpare(work, engine, copy, context) / copy.megabytes;
    return spares.sort((left, right) => worth(left) - worth(right) || (left.name < right.name ? -1 : 1));
}

function dropSpares(
    work: Workspace,
    engine: WorkEngine,
    model: PlacementModel,
    context: RoomContext,
    isFirstCopy: boolean,
): boolean {
    const reason = `makes room for ${model.name}`;
    const idleGrants = [...engine.grants].filter(grant => grant.clearable).sort((left, right) =>
        left.lastWantedMilliseconds - right.lastWantedMilliseconds || (left.adapter < right.adapter ? -1 : 1)
    );
    for (const copy of spareCopies(work, engine, context, { name: model.name, isFirstCopy })) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        planEvict(work, engine, copy, `${reason}; other copies stand`);
    }
    for (const grant of idleGrants) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        planWithdrawal(work, engine, grant, reason);
    }
    return missingMegabytes(engine, model) <= 0;
}

/** Adds up the room that evicts under way will free. */
export function pendingMegabytes(engine: WorkEngine): number {
    const leaving = engine.copies.filter(copy => copy.state === "evicting");
    return leaving.reduce((sum, copy) => sum + copy.megabytes, 0);
}

function moveSinglesAway(
    work: Workspace,
    engine: WorkEngine,
    model: PlacementModel,
    context: RoomContext,
    { depth, isFirstCopy }: { readonly depth: number; readonly isFirstCopy: boolean; },
): boolean {
    const singles = engine.copies
        .filter(copy => copy.state === "proved" && copy.name !== model.name && context.models.has(copy.name))
        .sort((left, right) => left.megabytes - right.megabytes || (left.name < right.name ? -1 : 1));
    const enough = singles.filter(copy => copy.megabytes >= missingMegabytes(engine, model));
    for (const copy of [...enough, ...singles.reverse().filter(single => !enough.includes(single))]) {
        if (missingMegabytes(engine, model) <= 0) {
            return true;
        }
        const moved = context.models.get(copy.name);
        if (moved === undefined || context.triesLeft <= 0) {
            continue;
        }
        context.triesLeft -= 1;
        const tried = cloneWorkspace(work);
        const placed = placeSomewhere(tried, moved, context, {
            depth: depth + 1,
            isFirstCopy,
            excluded: engine.engine,
            reason: `moves ${copy.name} off ${engine.engine} so that ${model.name} fits there`,
        });
        const after = tried.engines.find(other => other.engine === engine.engine);
        if (!placed || after === undefined) {
            continue;
        }
        planEvict(tried, after, copy, `moved to make room for ${model.name}`);
        adoptWorkspace(work, tried);
        engine = after;
    }
    return missingMegabytes(engine, model) <= 0;
}

/** How a copy may be placed. */
export interface PlaceOptions {
    readonly reason: string;
    /** True for a model without any copy: others' copies may go below their minimum for it. */
    readonly isFirstCopy?: boolean;
    /** Moves already made for its sake. */
    readonly depth?: number;
    /** Engine that must not take it. */
    readonly excluded?: string;
}

type Attempt = (work: Workspace, engine: WorkEngine) => boolean;

function tryOn(
    work: Workspace,
    engines: readonly string[],
    model: PlacementModel,
    attempt: Attempt,
): WorkEngine | undefined {
    for (const name of engines) {
        const tried = cloneWorkspace(work);
        const engine = tried.engines.find(candidate => candidate.engine === name);
        if (engine === undefined || !attempt(tried, engine)) {
            continue;
        }
        adoptWorkspace(work, tried);
        const found = work.engines.find(candidate => candidate.engine === name);
        if (found !== undefined && missingMegabytes(found, model) <= 0) {
            return found;
        }
    }
    return undefined;
}

/**
 * Plans a copy of a model on some engine, making room where none is free.
 *
 * @returns False where no engine can take it, with the workspace as it was.
 */
export function placeSomewhere(
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
            engine.freeMegabytes += pendingMegabytes(engine);
            return missingMegabytes(engine, model) <= 0;
        },
        (tried, engine) => dropSpares(tried, engine, model, context, isFirstCopy),
    ];
    if (depth < MOST_CHAINED_MOVES) {
        attempts.push((tried, engine) => {
            dropSpares(tried, engine, model, context, isFirstCopy);
            const after = tried.engines.find(other => other.engine === engine.engine) ?? engine;
            return moveSinglesAway(tried, after, model, context, { depth, isFirstCopy });
        });
    }
    for (const attempt of attempts) {
        const engine = tryOn(work, ranked, model, attempt);
        if (engine !== undefined) {
            planLoad(work, engine, model, options.reason, depth > 0);
            return true;
        }
    }
    return false;
}
