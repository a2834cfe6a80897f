/**
 * The memory ledger of one engine: pure functions from one `EngineRecord` to the next.
 *
 * An open order is one whose outcome is unknown. A model with an open load is charged, since the load may still take
 * effect; a model with an open evict does not count as a copy, since the evict may still remove it.
 *
 * @module
 */
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results-es";
import { type Role } from "../generated/deployment.js";
import { type EngineRecord, type FencingNumber, type LedgerEntry, type OpenOrder } from "../generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer } from "../generated/upstreams.js";

/** Memory of one engine, and the memory that each role needs. */
export interface EngineCapacity {
    readonly memoryMegabytes: number;
    readonly roles: readonly Role[];
}

/** Compares fencing numbers: negative where the first is older, 0 where they are equal. */
export function compareFencing(left: FencingNumber, right: FencingNumber): number {
    return left.epoch - right.epoch || left.sequence - right.sequence;
}

/**
 * Returns whether an entry's memory is charged: an adapter's always, a model's while it is resident or has an open
 * load.
 */
export function isCharged(entry: LedgerEntry): boolean {
    return entry.kind === "adapter" || entry.resident || entry.openOrders.some(open => open.kind === "load");
}

/** Returns whether an entry is confirmed to be resident and no open evict can remove it. */
export function isProvedCopy(entry: LedgerEntry): boolean {
    return entry.resident && !entry.openOrders.some(open => open.kind === "evict");
}

/** Finds the entry of one model version or adapter. */
export function findEntry(
    record: EngineRecord,
    kind: LedgerEntry["kind"],
    name: string,
    version: string,
): LedgerEntry | undefined {
    return record.entries.find(entry => entry.kind === kind && entry.name === name && entry.version === version);
}

/** Returns the megabytes of a role; a role that the configuration does not list counts as the largest one. */
export function roleMegabytes(name: string, roles: readonly Role[]): number {
    const listed = roles.find(role => role.name === name);
    if (listed !== undefined) {
        return listed.megabytes;
    }
    return name === "" ? 0 : Math.max(0, ...roles.map(role => role.megabytes));
}

/**
 * Returns the memory that the engine uses or may come to use: the largest possible role and every charged entry.
 *
 * @param record The engine's ledger.
 * @param roles Roles of its pool.
 *
 * @example
 * ```ts
 * const free = capacity.memoryMegabytes - chargedMegabytes(record, capacity.roles);
 * ```
 */
export function chargedMegabytes(record: EngineRecord, roles: readonly Role[]): number {
    const possible = [record.role.current, ...record.role.open.map(open => open.role)];
    const role = Math.max(...possible.map(name => roleMegabytes(name, roles)));
    const charged = record.entries.filter(entry => isCharged(entry));
    return charged.reduce((sum, entry) => sum + entry.megabytes, role);
}

/** Returns the model version or adapter that an order loads or evicts; `undefined` for a change of role. */
export function orderSubject(order: EngineOrder): Pick<LedgerEntry, "kind" | "name" | "version"> | undefined {
    return match(order)
        .with({ kind: "load-model" }, { kind: "evict-model" }, ({ name, version }) => ({
            kind: "model" as const,
            name,
            version: version ?? "",
        }))
        .with({ kind: "load-adapter" }, { kind: "evict-adapter" }, ({ name, model }) => ({
            kind: "adapter" as const,
            name,
            version: model ?? "",
        }))
        .with({ kind: "change-role" }, () => undefined)
        .exhaustive();
}

function openOrderOf(order: EngineOrder): OpenOrder {
    const isEvict = order.kind === "evict-model" || order.kind === "evict-adapter";
    return { fencing: order.fencing, kind: isEvict ? "evict" : "load" };
}

function withRoleIntent(record: EngineRecord, order: EngineOrder): EngineRecord {
    const open = [...record.role.open, { fencing: order.fencing, role: order.name }];
    return { ...record, role: { ...record.role, open } };
}

function withEntryIntent(record: EngineRecord, order: EngineOrder): EngineRecord {
    const subject = orderSubject(order);
    if (subject === undefined) {
        return withRoleIntent(record, order);
    }
    const known = findEntry(record, subject.kind, subject.name, subject.version);
    const before = known ?? { ...subject, megabytes: 0, resident: false, openOrders: [] };
    const after: LedgerEntry = {
        ...before,
        megabytes: Math.max(before.megabytes, order.megabytes ?? 0),
        openOrders: [...before.openOrders, openOrderOf(order)],
    };
    return { ...record, entries: [...record.entries.filter(entry => entry !== known), after] };
}

/**
 * Records the intent to send an order; fails where the engine's memory could then be overcommitted.
 *
 * An order that needs no more memory than is charged already always succeeds, so that a load whose answer was lost can
 * be retried within the memory that is charged for it.
 *
 * @param record The current ledger.
 * @param order The order that is to be sent once the new ledger is written.
 * @param capacity The engine's memory and the sizes of its roles.
 * @returns The ledger to write, or by how many megabytes the memory is too small.
 */
export function recordIntent(
    record: EngineRecord,
    order: EngineOrder,
    capacity: EngineCapacity,
): Result<EngineRecord, { readonly missingMegabytes: number; }> {
    const after = withEntryIntent(record, order);
    const before = chargedMegabytes(record, capacity.roles);
    const charged = chargedMegabytes(after, capacity.roles);
    if (charged > before && charged > capacity.memoryMegabytes) {
        return Err({ missingMegabytes: charged - capacity.memoryMegabytes });
    }
    return Ok({ ...after, lastFencing: laterFencing(record.lastFencing, order.fencing) });
}

function laterFencing(left: FencingNumber, right: FencingNumber): FencingNumber {
    return compareFencing(left, right) < 0 ? right : left;
}

function updateEntry(
    record: EngineRecord,
    order: EngineOrder,
    update: (entry: LedgerEntry) => LedgerEntry,
): EngineRecord {
    const subject = orderSubject(order);
    const known = subject && findEntry(record, subject.kind, subject.name, subject.version);
    if (known === undefined) {
        return record;
    }
    const updated = update(known);
    const isEmpty = !updated.resident && updated.openOrders.length === 0;
    const isEvicted = updated.kind === "model" || order.kind === "evict-adapter";
    const entries = record.entries.flatMap(entry => entry !== known ? [entry] : isEmpty && isEvicted ? [] : [updated]);
    return { ...record, entries };
}

/**
 * Removes an order that had no effect and can have none later: refused, failed, or never sent.
 *
 * Other open orders of the same model stay, since their outcomes are still unknown.
 */
export function closeWithoutEffect(record: EngineRecord, order: EngineOrder): EngineRecord {
    if (order.kind === "change-role") {
        const open = record.role.open.filter(known => compareFencing(known.fencing, order.fencing) !== 0);
        return { ...record, role: { ...record.role, open } };
    }
    return updateEntry(record, order, entry => ({
        ...entry,
        openOrders: entry.openOrders.filter(known => compareFencing(known.fencing, order.fencing) !== 0),
    }));
}

/** How engines treat orders that arrive out of order. */
export interface FencingRule {
    /** True where engines refuse an order with a lower fencing number than one that they have answered. */
    readonly checksFencing: boolean;
}

function closeDone(record: EngineRecord, order: EngineOrder, { checksFencing }: FencingRule): EngineRecord {
    const stillOpen = ({ fencing }: { readonly fencing: FencingNumber; }): boolean => {
        const age = compareFencing(fencing, order.fencing);
        return checksFencing ? age > 0 : age !== 0;
    };
    if (order.kind === "change-role") {
        return { ...record, role: { current: order.name, open: record.role.open.filter(stillOpen) } };
    }
    const resident = openOrderOf(order).kind === "load";
    return updateEntry(record, order, entry => ({
        ...entry,
        resident,
        openOrders: entry.openOrders.filter(stillOpen),
    }));
}

/**
 * Records the engine's answer to an order.
 *
 * On engines that check fencing numbers, `done` also closes all older orders for the same model or adapter: the engine
 * now refuses them, and any effect they had is overwritten by this order. Orders for other models or adapters stay
 * open: they may have taken effect earlier, with their answers lost. On other engines only the answered order is
 * closed.
 *
 * The order must have been sent by this holder, and no opposite order for the same model or adapter may have been
 * awaiting its answer at the same time; otherwise the answer would not show which of the two took effect last.
 *
 * @param record The current ledger.
 * @param order The order that was answered.
 * @param outcome Outcome that the engine reported.
 * @param rule Whether the engine checks fencing numbers.
 */
export function recordAnswer(
    record: EngineRecord,
    order: EngineOrder,
    outcome: EngineOrderAnswer["outcome"],
    rule: FencingRule,
): EngineRecord {
    return match(outcome)
        .with("done", () => closeDone(record, order, rule))
        .with("refused-fencing", "refused-memory", "failed", () => closeWithoutEffect(record, order))
        .exhaustive();
}
