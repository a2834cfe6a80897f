/**
 * Loads wanted adapters within the grants of the engine records, without a write for each.
 *
 * @module
 */
import { type LedgerEntry } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { type EngineState, isInMotion, subjectKey } from "./_engineState.js";
import { type ActiveHolder, nextFencing } from "./_holder.js";
import { sendOrder } from "./_recordKeeping.js";
import { isDoubted, isStandingEngine } from "./_standing.js";
import { isProvedCopy } from "./ledger.js";
import { type PlannedAction } from "./placement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** An adapter that was wanted within this time is loaded again where it was lost. */
const WANTED_LIFETIME_MILLISECONDS = 600_000;

function isWanted(holder: ActiveHolder, entry: LedgerEntry, nowMilliseconds: number): boolean {
    const wantedAt = holder.wantedAdapters.get(`${entry.version}:${entry.name}`);
    return wantedAt !== undefined && nowMilliseconds - wantedAt < WANTED_LIFETIME_MILLISECONDS;
}

function isOpenForLoads(
    holder: ActiveHolder,
    state: EngineState,
    entry: LedgerEntry,
    nowMilliseconds: number,
): boolean {
    const backoff = state.backoffs.get(subjectKey(entry))?.untilMilliseconds ?? 0;
    return entry.kind === "adapter"
        && (!entry.resident || isDoubted(state, entry, nowMilliseconds))
        && !entry.openOrders.some(open => open.kind === "evict")
        && !isInMotion(state, subjectKey(entry))
        && !state.facts.some(fact => fact.order.name === entry.name && fact.outcome === "done")
        && backoff <= nowMilliseconds
        && isWanted(holder, entry, nowMilliseconds);
}

function hasGrant(holder: ActiveHolder, entry: LedgerEntry): boolean {
    return entry.openOrders.some(open => open.kind === "load" && open.fencing.epoch === holder.lease.epoch);
}

function wantedEntries(
    holder: ActiveHolder,
    nowMilliseconds: number,
): { readonly state: EngineState; readonly entry: LedgerEntry; }[] {
    const states = [...holder.engines.values()].filter(state => isStandingEngine(holder, state, nowMilliseconds));
    return states.flatMap(state => {
        const entries = state.record?.entries ?? [];
        const models = new Set(
            entries.filter(entry => entry.kind === "model" && isProvedCopy(entry)).map(({ name }) => name),
        );
        const open = entries.filter(entry =>
            models.has(entry.version) && isOpenForLoads(holder, state, entry, nowMilliseconds)
        );
        return open.map(entry => ({ state, entry }));
    });
}

/** Sends loads of wanted adapters that are granted, as many at once as the pool's share allows. */
export function loadWantedAdapters(holder: ActiveHolder, nowMilliseconds: number): void {
    const share = shareOfWeightStore(holder.text.deployment, holder.pool).concurrentAdapterLoads;
    const isLoad = ({ order }: { readonly order: EngineOrder; }): boolean => order.kind === "load-adapter";
    let running = [...holder.engines.values()].reduce(
        (sum, state) => sum + [...state.awaited.values()].filter(isLoad).length,
        0,
    );
    for (const { state, entry } of wantedEntries(holder, nowMilliseconds)) {
        if (running >= share) {
            return;
        }
        if (hasGrant(holder, entry)) {
            const { name, version: model, megabytes } = entry;
            const fencing = nextFencing(holder);
            sendOrder(holder, state, { kind: "load-adapter", name, model, megabytes, fencing }, nowMilliseconds);
            running += 1;
        }
    }
}

/** Lists wanted adapters whose grant is an earlier holder's, so that this holder has to record its own. */
export function missingGrants(holder: ActiveHolder, nowMilliseconds: number): PlannedAction[] {
    return wantedEntries(holder, nowMilliseconds).filter(({ entry }) => !hasGrant(holder, entry)).map((
        { state, entry },
    ) => ({
        action: "grant" as const,
        engine: state.name,
        name: entry.name,
        version: entry.version,
        megabytes: entry.megabytes,
        reason: "wanted, and granted by an earlier holder",
        isMove: false,
    }));
}
