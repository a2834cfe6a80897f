/**
 * The planner's working copy of a pool: what each engine would hold after the actions planned so far.
 *
 * @module
 */
import {
    type PlacementCopy,
    type PlacementEngine,
    type PlacementGrant,
    type PlacementModel,
    type PlacementView,
    type PlannedAction,
} from "./placement.js";

/** One engine as it would be after the planned actions. */
export interface WorkEngine extends Omit<PlacementEngine, "copies" | "grants" | "freeMegabytes"> {
    freeMegabytes: number;
    copies: PlacementCopy[];
    grants: PlacementGrant[];
}

/** The pool as it would be after the planned actions, and these actions. */
export interface Workspace {
    engines: WorkEngine[];
    actions: PlannedAction[];
    readonly intendedEngines: ReadonlyMap<string, string>;
}

/** Copies a view, with engines sorted by name so that plans are deterministic. */
export function openWorkspace(view: PlacementView): Workspace {
    const engines = view.engines.map(engine => ({
        ...engine,
        copies: [...engine.copies],
        grants: [...engine.grants],
    }));
    engines.sort((left, right) => left.engine < right.engine ? -1 : 1);
    return { engines, actions: [], intendedEngines: view.intendedEngines ?? new Map() };
}

/** Copies a workspace, so that an attempt can be discarded. */
export function cloneWorkspace(work: Workspace): Workspace {
    const engines = work.engines.map(engine => ({
        ...engine,
        copies: [...engine.copies],
        grants: [...engine.grants],
    }));
    return { engines, actions: [...work.actions], intendedEngines: work.intendedEngines };
}

/** Replaces a workspace's content with that of a successful attempt. */
export function adoptWorkspace(work: Workspace, scratch: Workspace): void {
    work.engines = scratch.engines;
    work.actions = scratch.actions;
}

function isProvedOrLoading(copy: PlacementCopy): boolean {
    return copy.state === "proved" || copy.state === "loading";
}

/** Returns usable engines with a proved or loading copy of any version. */
export function enginesWith(work: Workspace, name: string): WorkEngine[] {
    return work.engines.filter(engine =>
        engine.usable && engine.copies.some(copy => copy.name === name && isProvedOrLoading(copy))
    );
}

/** Returns usable engines with a proved or loading copy of the model's configured version. */
export function enginesWithVersion(work: Workspace, model: PlacementModel): WorkEngine[] {
    return work.engines.filter(engine => engine.usable && hasVersion(engine, model));
}

/** Returns whether an engine has a proved or loading copy of the model's configured version. */
export function hasVersion(engine: WorkEngine, model: PlacementModel): boolean {
    return engine.copies.some(copy =>
        copy.name === model.name && copy.version === model.version && isProvedOrLoading(copy)
    );
}

/** Returns whether a load of the model's configured version can be ordered on an engine, regardless of free memory. */
export function canLoad(engine: WorkEngine, model: PlacementModel): boolean {
    const known = engine.copies.find(copy => copy.name === model.name && copy.version === model.version);
    const isUnfit = engine.modelsWithFailedLoad.has(`model ${model.name} ${model.version}`);
    return engine.usable && !isUnfit && (known === undefined || known.state === "uncertain");
}

/** Returns the memory that a load needs beyond what is free or already charged for it; 0 or less where it fits. */
export function missingMegabytes(engine: WorkEngine, model: PlacementModel): number {
    const known = engine.copies.find(copy => copy.name === model.name && copy.version === model.version);
    const needed = Math.max(0, model.megabytes - (known?.megabytes ?? 0));
    return needed - engine.freeMegabytes;
}

export function planLoad(
    work: Workspace,
    engine: WorkEngine,
    model: PlacementModel,
    reason: string,
    isMove = false,
): void {
    const { name, version, megabytes } = model;
    const known = engine.copies.find(copy => copy.name === name && copy.version === version);
    engine.freeMegabytes -= Math.max(0, megabytes - (known?.megabytes ?? 0));
    engine.copies = engine.copies.filter(copy => copy !== known);
    engine.copies.push({ name, version, megabytes, state: "loading", clearable: false, isSettling: true });
    work.actions.push({ action: "load", engine: engine.engine, name, version, megabytes, reason, isMove });
}

/** Plans an evict; its memory counts as free for the rest of the plan, but not for a load of the same version. */
export function planEvict(work: Workspace, engine: WorkEngine, copy: PlacementCopy, reason: string): void {
    const { name, version, megabytes } = copy;
    const leaving: PlacementCopy = { ...copy, megabytes: 0, state: "evicting", clearable: false };
    engine.copies = engine.copies.map(known => known === copy ? leaving : known);
    engine.freeMegabytes += megabytes;
    work.actions.push({ action: "evict", engine: engine.engine, name, version, megabytes, reason, isMove: false });
}

/** Plans to withdraw an adapter from an engine; its memory counts as free for the rest of the plan. */
export function planWithdrawal(work: Workspace, engine: WorkEngine, grant: PlacementGrant, reason: string): void {
    engine.grants = engine.grants.filter(known => known !== grant);
    engine.freeMegabytes += grant.megabytes;
    const { adapter: name, model: version, megabytes } = grant;
    work.actions.push({ action: "withdraw", engine: engine.engine, name, version, megabytes, reason, isMove: false });
}
