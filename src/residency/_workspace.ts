/**
 * The planner's scratch copy of a pool: what each engine would hold after the actions planned so far.
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

/** One engine as it would be. */
export interface WorkEngine extends Omit<PlacementEngine, "copies" | "grants" | "freeMegabytes"> {
    freeMegabytes: number;
    copies: PlacementCopy[];
    grants: PlacementGrant[];
}

/** The pool as it would be, and the actions that bring it about. */
export interface Workspace {
    engines: WorkEngine[];
    actions: PlannedAction[];
    readonly intended: ReadonlyMap<string, string>;
}

/** Copies a view, in a defined order of engines. */
export function openWorkspace(view: PlacementView): Workspace {
    const engines = view.engines.map(engine => ({
        ...engine,
        copies: [...engine.copies],
        grants: [...engine.grants],
    }));
    engines.sort((left, right) => left.engine < right.engine ? -1 : 1);
    return { engines, actions: [], intended: view.intended ?? new Map() };
}

/** Copies a workspace, so that a try can be dropped. */
export function cloneWorkspace(work: Workspace): Workspace {
    const engines = work.engines.map(engine => ({
        ...engine,
        copies: [...engine.copies],
        grants: [...engine.grants],
    }));
    return { engines, actions: [...work.actions], intended: work.intended };
}

/** Puts the outcome of a try in place of what it began with. */
export function adoptWorkspace(work: Workspace, tried: Workspace): void {
    work.engines = tried.engines;
    work.actions = tried.actions;
}

function isStanding(copy: PlacementCopy): boolean {
    return copy.state === "proved" || copy.state === "loading";
}

/** Lists usable engines with a copy of any version that stands or is on its way. */
export function enginesWith(work: Workspace, name: string): WorkEngine[] {
    return work.engines.filter(engine =>
        engine.usable && engine.copies.some(copy => copy.name === name && isStanding(copy))
    );
}

/** Lists usable engines with a copy of this very version that stands or is on its way. */
export function enginesWithVersion(work: Workspace, model: PlacementModel): WorkEngine[] {
    return work.engines.filter(engine => engine.usable && hasVersion(engine, model));
}

/** Tells whether an engine has, or gets, this very version. */
export function hasVersion(engine: WorkEngine, model: PlacementModel): boolean {
    return engine.copies.some(copy => copy.name === model.name && copy.version === model.version && isStanding(copy));
}

/** Tells whether a copy of this version can be brought about on an engine. */
export function canHost(engine: WorkEngine, model: PlacementModel): boolean {
    const known = engine.copies.find(copy => copy.name === model.name && copy.version === model.version);
    const isUnfit = engine.unfit.has(`model ${model.name} ${model.version}`);
    return engine.usable && !isUnfit && (known === undefined || known.state === "uncertain");
}

/** Returns the room that a load would need beyond what is charged already. */
export function missingMegabytes(engine: WorkEngine, model: PlacementModel): number {
    const known = engine.copies.find(copy => copy.name === model.name && copy.version === model.version);
    const needed = Math.max(0, model.megabytes - (known?.megabytes ?? 0));
    return needed - engine.freeMegabytes;
}

/** Plans a load. */
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
    engine.copies.push({ name, version, megabytes, state: "loading", clearable: false, settling: true });
    work.actions.push({ action: "load", engine: engine.engine, name, version, megabytes, reason, isMove });
}

/** Plans an evict; its room counts as free for the rest of the plan, but not for the same version again. */
export function planEvict(work: Workspace, engine: WorkEngine, copy: PlacementCopy, reason: string): void {
    const { name, version, megabytes } = copy;
    const leaving: PlacementCopy = { ...copy, megabytes: 0, state: "evicting", clearable: false };
    engine.copies = engine.copies.map(known => known === copy ? leaving : known);
    engine.freeMegabytes += megabytes;
    work.actions.push({ action: "evict", engine: engine.engine, name, version, megabytes, reason, isMove: false });
}

/** Plans to withdraw an adapter from an engine; its room counts as free for the rest of the plan. */
export function planWithdrawal(work: Workspace, engine: WorkEngine, grant: PlacementGrant, reason: string): void {
    engine.grants = engine.grants.filter(known => known !== grant);
    engine.freeMegabytes += grant.megabytes;
    const { adapter: name, model: version, megabytes } = grant;
    work.actions.push({ action: "withdraw", engine: engine.engine, name, version, megabytes, reason, isMove: false });
}
