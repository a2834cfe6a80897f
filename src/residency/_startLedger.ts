/**
 * The first ledger of an engine incarnation.
 *
 * @module
 */
import { type Adapter, type Model } from "../generated/deployment.js";
import { type EngineRecord, type FencingNumber, type LedgerEntry } from "../generated/platform.js";
import { type EngineReport } from "../generated/upstreams.js";
import { chargedMegabytes, type EngineCapacity } from "./ledger.js";

/** Options of `startLedger`. */
export interface StartLedgerOptions {
    readonly report: EngineReport;
    readonly lastFencing: FencingNumber;
    readonly capacity: EngineCapacity;
    readonly models: readonly Model[];
    readonly adapters: readonly Adapter[];
}

function reportedEntries(options: StartLedgerOptions): LedgerEntry[] {
    const { report, models, adapters } = options;
    const resident = { resident: true, openOrders: [] };
    const modelEntries = report.models.map(({ name, version }): LedgerEntry => {
        const megabytes = models.find(model => model.name === name)?.megabytes ?? 0;
        return { kind: "model", name, version, megabytes, ...resident };
    });
    const adapterEntries = report.adapters.map((name): LedgerEntry => {
        const listed = adapters.find(adapter => adapter.name === name);
        return { kind: "adapter", name, version: listed?.model ?? "", megabytes: listed?.megabytes ?? 0, ...resident };
    });
    return [...modelEntries, ...adapterEntries];
}

/**
 * Returns the first ledger of an engine incarnation that was sent no order; its entries are those of the engine's
 * report.
 *
 * A reported model or adapter of unknown size is charged all the remaining memory, until its evict is confirmed.
 */
export function startLedger(options: StartLedgerOptions): EngineRecord {
    const { report, capacity } = options;
    const record: EngineRecord = {
        engine: report.engine,
        incarnation: report.incarnation,
        lastFencing: options.lastFencing,
        writeIdentifier: "",
        role: { current: report.role, open: [] },
        entries: reportedEntries(options),
    };
    const free = Math.max(0, capacity.memoryMegabytes - chargedMegabytes(record, capacity.roles));
    const sized = record.entries.map(entry => entry.megabytes === 0 ? { ...entry, megabytes: free } : entry);
    return { ...record, entries: sized };
}
