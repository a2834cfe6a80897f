/**
 * Publishes to other hosts which copies are proved.
 *
 * @module
 */
import { type ResidencyDigest } from "../generated/peers.js";
import { isMissingFromReports } from "./_copyStatus.js";
import { type EngineState, subjectKey } from "./_engineState.js";
import { type Holder } from "./_holder.js";
import { isProvedCopy } from "./ledger.js";

const PUBLISH_INTERVAL_MILLISECONDS = 5_000;

function createDigest(state: EngineState, nowMilliseconds: number): ResidencyDigest | undefined {
    if (state.record === undefined) {
        return undefined;
    }
    const proved = state.record.entries.filter(entry =>
        isProvedCopy(entry) && !state.drainingSince.has(subjectKey(entry))
        && !isMissingFromReports(state, entry, nowMilliseconds)
    );
    const models = proved.filter(entry => entry.kind === "model").map(({ name, version }) => ({ name, version }));
    const adapters = proved.filter(entry => entry.kind === "adapter").map(({ name }) => name);
    const { engine, incarnation } = state.record;
    return { engine, incarnation, recordRevision: state.storeRevision, models, adapters };
}

/** Records since when each copy has been proved. */
function recordProvedCopies(state: EngineState, nowMilliseconds: number): void {
    const proved = (state.record?.entries ?? []).filter(entry => isProvedCopy(entry)).map(entry => subjectKey(entry));
    for (const key of [...state.provedSince.keys()].filter(known => !proved.includes(known))) {
        state.provedSince.delete(key);
    }
    for (const key of proved.filter(found => !state.provedSince.has(found))) {
        state.provedSince.set(key, nowMilliseconds);
    }
}

/** Publishes an engine's proved copies when its stored record has changed, and otherwise at intervals. */
export function publishIfDue(holder: Holder, state: EngineState, nowMilliseconds: number): void {
    const isDue = nowMilliseconds - state.publishedAtMilliseconds >= PUBLISH_INTERVAL_MILLISECONDS;
    if (!state.hasStoredEpoch || (state.storeRevision === state.publishedRevision && !isDue)) {
        return;
    }
    recordProvedCopies(state, nowMilliseconds);
    const digest = createDigest(state, nowMilliseconds);
    if (digest !== undefined) {
        state.publishedRevision = state.storeRevision;
        state.publishedAtMilliseconds = nowMilliseconds;
        holder.effects.push({ type: "publish-residency", digest });
    }
}
