/**
 * Plans which engines are granted which adapters. A grant reserves memory for an adapter, so that it can be loaded on
 * request.
 *
 * @module
 */
import { planEvict, planWithdrawal, type WorkEngine, type Workspace } from "./_workspace.js";
import { type PlacementAdapter, type PlacementCopy, type PlacementGrant } from "./placement.js";

function enginesWithProvedModel(work: Workspace, adapter: PlacementAdapter): WorkEngine[] {
    return work.engines.filter(engine =>
        engine.usable && engine.copies.some(copy => copy.name === adapter.model && copy.state === "proved")
    );
}

/** Withdraws adapters whose model the engine no longer holds or that the configuration no longer lists. */
function withdrawUnusable(work: Workspace, adapters: readonly PlacementAdapter[]): void {
    const listed = new Set(adapters.map(adapter => adapter.name));
    for (const engine of work.engines) {
        for (const grant of [...engine.grants]) {
            const hasModel = engine.copies.some(copy => copy.name === grant.model);
            if (grant.clearable && (!listed.has(grant.adapter) || !hasModel)) {
                planWithdrawal(
                    work,
                    engine,
                    grant,
                    hasModel ? "no longer in the configuration" : `the engine does not hold ${grant.model}`,
                );
            }
        }
    }
}

function planGrant(work: Workspace, engine: WorkEngine, adapter: PlacementAdapter): void {
    const { name, model, megabytes, lastRequestedMilliseconds } = adapter;
    engine.freeMegabytes -= megabytes;
    engine.grants.push({
        adapter: name,
        model,
        megabytes,
        clearable: false,
        lastRequestedMilliseconds,
    });
    const reason = `the engine holds its model ${model}`;
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

/**
 * Withdraws adapters that were requested less recently, or else evicts spare copies of other models, until one fits.
 */
function makeRoom(
    work: Workspace,
    engine: WorkEngine,
    adapter: PlacementAdapter,
    context: AdapterContext,
): boolean {
    const older = engine.grants.filter(grant =>
        grant.clearable && grant.lastRequestedMilliseconds < adapter.lastRequestedMilliseconds
    );
    older.sort((left, right) => left.lastRequestedMilliseconds - right.lastRequestedMilliseconds);
    const freed = older.reduce((sum, grant: PlacementGrant) => sum + grant.megabytes, engine.freeMegabytes);
    if (freed < adapter.megabytes) {
        return evictSpareCopies(work, engine, adapter, context);
    }
    for (const grant of older) {
        if (engine.freeMegabytes < adapter.megabytes) {
            planWithdrawal(work, engine, grant, `${adapter.name} was requested more recently`);
        }
    }
    return true;
}

function evictSpareCopies(
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
            planEvict(work, engine, spare, `makes room for adapter ${adapter.name}; other copies remain`);
        }
    }
    return true;
}

/** What adapter planning needs to know besides the workspace. */
export interface AdapterContext {
    /** Target misses per second that a move has to avoid to be worthwhile. */
    readonly moveCost: number;
    /** Returns copies of an engine that another engine also has, least valuable first. */
    readonly spareCopies: (engine: WorkEngine) => readonly PlacementCopy[];
}

/** Returns how many engines should be granted an adapter: 1, or 2 where its requests miss their targets. */
function targetEngineCount(adapter: PlacementAdapter, context: AdapterContext): number {
    return (adapter.missedPerSecond ?? 0) > context.moveCost ? 2 : 1;
}

/**
 * Grants each adapter to an engine that holds its model and has memory for it, most recently requested adapters first.
 */
export function planAdapters(
    work: Workspace,
    adapters: readonly PlacementAdapter[],
    context: AdapterContext,
): void {
    withdrawUnusable(work, adapters);
    const ordered = [...adapters].sort((left, right) =>
        right.lastRequestedMilliseconds - left.lastRequestedMilliseconds || (left.name < right.name ? -1 : 1)
    );
    for (const adapter of ordered) {
        const candidates = enginesWithProvedModel(work, adapter);
        const granted = candidates.filter(engine => engine.grants.some(grant => grant.adapter === adapter.name));
        if (granted.length >= Math.min(candidates.length, targetEngineCount(adapter, context))) {
            continue;
        }
        const others = candidates.filter(engine => !granted.includes(engine));
        others.sort((left, right) => right.freeMegabytes - left.freeMegabytes || (left.engine < right.engine ? -1 : 1));
        const engineWithMemory = others.find(engine => engine.freeMegabytes >= adapter.megabytes);
        const chosen = engineWithMemory ?? (adapter.lastRequestedMilliseconds > 0 && granted.length === 0
            ? others.find(engine => makeRoom(work, engine, adapter, context))
            : undefined);
        if (chosen !== undefined) {
            planGrant(work, chosen, adapter);
        }
    }
}
