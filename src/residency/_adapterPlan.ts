/**
 * Which engines are granted which adapters.
 *
 * @module
 */
import { planWithdrawal, type WorkEngine, type Workspace } from "./_workspace.js";
import { type PlacementAdapter, type PlacementGrant } from "./placement.js";

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

/** Withdraws adapters that were wanted longer ago until the wanted one fits. */
function makeRoom(work: Workspace, engine: WorkEngine, adapter: PlacementAdapter): boolean {
    const older = engine.grants.filter(grant =>
        grant.clearable && grant.lastWantedMilliseconds < adapter.lastWantedMilliseconds
    );
    older.sort((left, right) => left.lastWantedMilliseconds - right.lastWantedMilliseconds);
    const freed = older.reduce((sum, grant: PlacementGrant) => sum + grant.megabytes, engine.freeMegabytes);
    if (freed < adapter.megabytes) {
        return false;
    }
    for (const grant of older) {
        if (engine.freeMegabytes < adapter.megabytes) {
            planWithdrawal(work, engine, grant, `${adapter.name} was wanted later`);
        }
    }
    return true;
}

/** Grants every adapter to one engine that holds its model where it fits; the ones wanted last come first. */
export function planAdapters(work: Workspace, adapters: readonly PlacementAdapter[]): void {
    withdrawOrphans(work, adapters);
    const ordered = [...adapters].sort((left, right) =>
        right.lastWantedMilliseconds - left.lastWantedMilliseconds || (left.name < right.name ? -1 : 1)
    );
    for (const adapter of ordered) {
        const hosts = provedHosts(work, adapter);
        if (hosts.some(engine => engine.grants.some(grant => grant.adapter === adapter.name))) {
            continue;
        }
        hosts.sort((left, right) => right.freeMegabytes - left.freeMegabytes || (left.engine < right.engine ? -1 : 1));
        const roomy = hosts.find(engine => engine.freeMegabytes >= adapter.megabytes);
        const host = roomy ?? (adapter.lastWantedMilliseconds > 0
            ? hosts.find(engine => makeRoom(work, engine, adapter))
            : undefined);
        if (host !== undefined) {
            grantOn(work, host, adapter);
        }
    }
}
