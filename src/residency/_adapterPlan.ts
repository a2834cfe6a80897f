/**
 * Which engines are granted which adapters.
 *
 * @module
 */
import { planEvict, planWithdrawal, type WorkEngine, type Workspace } from "./_workspace.js";
import { type PlacementAdapter, type PlacementCopy, type PlacementGrant } from "./placement.js";

function provedHosts(work: Workspace, adapter: PlacementAdapter): WorkEngine[] {
    return work.engines.filter(engine =>
        engine.usable && engine.copies.some(copy => copy.name === adapter.model && copy.state === "proved")
    );
}

/** Withdraws adapters whose model is gone from the engine or that the text no longer lists. */
function withdrawOrphans(work: Workspace, adapters: readonly PlacementAdapter[]): void {
    const listed = new Set(adapters.map(adapter => adapter.name));
    for (const engine of work.engines) {
        for (const grant of [...engine.grants]) {
            const hasModel = engine.copies.some(copy => copy.name === grant.model);
            if (grant.clearable && (!listed.has(grant.adapter) || !hasModel)) {
                planWithdrawal(work, engine, grant, hasModel ? "no longer listed" : `${grant.model} is not here`);
            }
        }
    }
}

function grantOn(work: Workspace, engine: WorkEngine, adapter: PlacementAdapter): void {
    const { name, model, megabytes, lastWantedMilliseconds } = adapter;
    engine.freeMegabytes -= megabytes;
    engine.grants.push({ adapter: name, model, megabytes, clearable: false, lastWantedMilliseconds });
    const reason = `adapter of ${model}, which is here`;
    work.actions.push({
        action: "grant",
        engine: engine.engine,
        name,
        version: model,
        megabytes,
        reason,
        isMove: false,
    });
}

/** Withdraws adapters that were wanted longer ago, or else drops spare copies of other models, until one fits. */
function makeRoom(
    work: Workspace,
    engine: WorkEngine,
    adapter: PlacementAdapter,
    context: AdapterContext,
): boolean {
    const older = engine.grants.filter(grant =>
        grant.clearable && grant.lastWantedMilliseconds < adapter.lastWantedMilliseconds
    );
    older.sort((left, right) => left.lastWantedMilliseconds - right.lastWantedMilliseconds);
    const freed = older.reduce((sum, grant: PlacementGrant) => sum + grant.megabytes, engine.freeMegabytes);
    if (freed < adapter.megabytes) {
        return dropSpareCopies(work, engine, adapter, context);
    }
    for (const grant of older) {
        if (engine.freeMegabytes < adapter.megabytes) {
            planWithdrawal(work, engine, grant, `${adapter.name} was wanted later`);
        }
    }
    return true;
}

function dropSpareCopies(
    work: Workspace,
    engine: WorkEngine,
    adapter: PlacementAdapter,
    context: AdapterContext,
): boolean {
    const spares = context.spareCopies(engine).filter(copy => copy.name !== adapter.model);
    const freed = spares.reduce((sum, copy) => sum + copy.megabytes, engine.freeMegabytes);
    if (freed < adapter.megabytes) {
        return false;
    }
    for (const spare of spares) {
        if (engine.freeMegabytes < adapter.megabytes) {
            planEvict(work, engine, spare, `makes room for adapter ${adapter.name}; other copies stand`);
        }
    }
    return true;
}

/** What the planner of adapters needs to know besides the workspace. */
export interface AdapterContext {
    /** Missed targets a second that a move has to avoid. */
    readonly moveCost: number;
    /** Copies of an engine that another copy stands beside, the least worth first. */
    readonly spareCopies: (engine: WorkEngine) => readonly PlacementCopy[];
}

/** One engine for each adapter, and a second one where its requests miss their targets. */
function wantedHosts(adapter: PlacementAdapter, context: AdapterContext): number {
    return (adapter.missedPerSecond ?? 0) > context.moveCost ? 2 : 1;
}

/** Grants every adapter to one engine that holds its model where it fits; the ones wanted last come first. */
export function planAdapters(
    work: Workspace,
    adapters: readonly PlacementAdapter[],
    context: AdapterContext,
): void {
    withdrawOrphans(work, adapters);
    const ordered = [...adapters].sort((left, right) =>
        right.lastWantedMilliseconds - left.lastWantedMilliseconds || (left.name < right.name ? -1 : 1)
    );
    for (const adapter of ordered) {
        const hosts = provedHosts(work, adapter);
        const granted = hosts.filter(engine => engine.grants.some(grant => grant.adapter === adapter.name));
        if (granted.length >= Math.min(hosts.length, wantedHosts(adapter, context))) {
            continue;
        }
        const open = hosts.filter(engine => !granted.includes(engine));
        open.sort((left, right) => right.freeMegabytes - left.freeMegabytes || (left.engine < right.engine ? -1 : 1));
        const roomy = open.find(engine => engine.freeMegabytes >= adapter.megabytes);
        const host = roomy ?? (adapter.lastWantedMilliseconds > 0 && granted.length === 0
            ? open.find(engine => makeRoom(work, engine, adapter, context))
            : undefined);
        if (host !== undefined) {
            grantOn(work, host, adapter);
        }
    }
}
