/**
 * Executes a placement plan: records, engine by engine, the intents of those orders that may be sent now.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { mayEvictModel } from "./_copyStatus.js";
import { capacityOf, endOwnGrant } from "./_drafts.js";
import { type EngineState, hasOrderInProgress, orderSubjectKey, subjectKey } from "./_engineState.js";
import { type ActiveHolder, explainIfChanged, nextFencing } from "./_holder.js";
import { writeDraft } from "./_recordKeeping.js";
import { findEntry, isProvedCopy, recordIntent } from "./ledger.js";
import { type PlannedAction } from "./placement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** Time in which all hosts have received that a copy is no longer published, and send it no further requests. */
const MINIMUM_DRAIN_MILLISECONDS = 1_000;
/** Limit of the wait for running requests, since an engine under constant load is never idle. */
const MAXIMUM_DRAIN_MILLISECONDS = 5_000;

/** The next record of an engine, to which intents are added. */
interface RecordDraft {
    readonly state: EngineState;
    record: EngineRecord;
    readonly orders: EngineOrder[];
    hasIntents: boolean;
}

type Outcome = { readonly type: "recorded"; } | { readonly type: "wait"; readonly reason: string; };

const RECORDED: Outcome = { type: "recorded" };

/** Counts loads that may be running; an unanswered load and its retry on the same engine count as one. */
function countRunningLoads(
    holder: ActiveHolder,
    drafts: Iterable<RecordDraft>,
    retried: { readonly engine: string; readonly subject: string; },
    nowMilliseconds: number,
): number {
    const isLoad = (order: EngineOrder): boolean => order.kind === "load-model";
    let running = 0;
    for (const state of holder.engines.values()) {
        running += [...state.awaitedOrders.values()].filter(({ order }) => isLoad(order)).length;
        running += state.pendingWrite?.orders.filter(isLoad).length ?? 0;
        running += [...state.unansweredLoads].filter(([subject, until]) =>
            until > nowMilliseconds && (state.name !== retried.engine || subject !== retried.subject)
        ).length;
    }
    for (const draft of drafts) {
        running += draft.orders.filter(isLoad).length;
    }
    return running;
}

function orderOf(holder: ActiveHolder, action: PlannedAction): EngineOrder {
    const { name, version, megabytes } = action;
    const fencing = nextFencing(holder);
    return match(action.action)
        .with("load", () => ({ kind: "load-model" as const, name, version, megabytes, fencing }))
        .with("evict", () => ({ kind: "evict-model" as const, name, version, fencing }))
        .with("grant", () => ({ kind: "load-adapter" as const, name, model: version, megabytes, fencing }))
        .with("withdraw", () => ({ kind: "evict-adapter" as const, name, model: version, fencing }))
        .exhaustive();
}

/** Adds an order's intent to a draft if the ledger has room for it. */
function addIntent(holder: ActiveHolder, draft: RecordDraft, order: EngineOrder): Outcome {
    const recorded = recordIntent(draft.record, order, capacityOf(holder.configuration, draft.state.name));
    if (recorded.isErr()) {
        return { type: "wait", reason: `${recorded.error.missingMegabytes} MB are not confirmed free yet` };
    }
    draft.record = recorded.value;
    draft.hasIntents = true;
    return RECORDED;
}

function checkEvict(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, RecordDraft>,
    draft: RecordDraft,
    order: EngineOrder,
    nowMilliseconds: number,
): Outcome {
    const entry = findEntry(draft.record, "model", order.name, order.version ?? "");
    if (entry === undefined) {
        return { type: "wait", reason: "nothing is recorded there" };
    }
    const records = new Map([...drafts].map(([name, { record }]) => [name, record]));
    return mayEvictModel(holder, draft.state, entry, order, records, nowMilliseconds)
        ? RECORDED
        : { type: "wait", reason: "no other proved copy stands yet" };
}

function checkLoad(
    holder: ActiveHolder,
    drafts: Iterable<RecordDraft>,
    retried: { readonly engine: string; readonly subject: string; },
    nowMilliseconds: number,
): Outcome {
    const share = shareOfWeightStore(holder.configuration.deployment, holder.pool);
    if (countRunningLoads(holder, drafts, retried, nowMilliseconds) >= share.concurrentLoads) {
        return { type: "wait", reason: `the pool's limit of ${share.concurrentLoads} concurrent loads is reached` };
    }
    return holder.loadBudget.tokens >= 1
        ? RECORDED
        : { type: "wait", reason: `the pool's rate of ${share.loadsPerSecond.toFixed(2)} loads per second is used up` };
}

/**
 * Stops publishing a proved copy, and returns whether requests that still use it have had time to finish. A copy that
 * is not proved is not published and need not be drained.
 */
function isDrained({ state, record }: RecordDraft, subject: string, nowMilliseconds: number): boolean {
    const isInUse = record.entries.some(entry => subjectKey(entry) === subject && isProvedCopy(entry));
    if (!isInUse) {
        return true;
    }
    const since = state.drainingSince.get(subject);
    if (since === undefined) {
        state.drainingSince.set(subject, nowMilliseconds);
        state.publishedRevision = undefined;
        return false;
    }
    const drained = nowMilliseconds - since;
    return drained >= (state.runningRequests === 0 ? MINIMUM_DRAIN_MILLISECONDS : MAXIMUM_DRAIN_MILLISECONDS);
}

/** Publishes copies again whose evict is no longer planned. */
function cancelUnplannedDrains(holder: ActiveHolder, actions: readonly PlannedAction[]): void {
    for (const state of holder.engines.values()) {
        const evicts = actions.filter(({ action, engine }) => action === "evict" && engine === state.name);
        const planned = new Set(evicts.map(({ name, version }) => subjectKey({ kind: "model", name, version })));
        for (const subject of [...state.drainingSince.keys()]) {
            if (!planned.has(subject) && !hasOrderInProgress(state, subject)) {
                state.drainingSince.delete(subject);
                state.publishedRevision = undefined;
            }
        }
    }
}

function recordAction(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, RecordDraft>,
    draft: RecordDraft,
    action: PlannedAction,
    nowMilliseconds: number,
): Outcome {
    const order = orderOf(holder, action);
    const subject = orderSubjectKey(order);
    if (hasOrderInProgress(draft.state, subject) || draft.orders.some(other => orderSubjectKey(other) === subject)) {
        return { type: "wait", reason: "an order about it is under way" };
    }
    const check = match(action.action)
        .with("load", () => checkLoad(holder, drafts.values(), { engine: action.engine, subject }, nowMilliseconds))
        .with("evict", () => checkEvict(holder, drafts, draft, order, nowMilliseconds))
        .with("grant", "withdraw", () => RECORDED)
        .exhaustive();
    if (check.type === "wait") {
        return check;
    }
    if (action.action === "withdraw") {
        const entry = findEntry(draft.record, "adapter", action.name, action.version);
        draft.record = entry === undefined
            ? draft.record
            : endOwnGrant(draft.state, draft.record, entry, holder.lease.epoch);
    }
    if (action.action === "evict" && !isDrained(draft, subject, nowMilliseconds)) {
        return { type: "wait", reason: "requests that use it finish first" };
    }
    const outcome = addIntent(holder, draft, order);
    if (outcome.type === "recorded") {
        holder.loadBudget.tokens -= action.action === "load" ? 1 : 0;
        holder.moveBudget.tokens -= action.isMove ? 1 : 0;
        if (action.action !== "grant") {
            draft.orders.push(order);
        }
    }
    return outcome;
}

function explain(holder: ActiveHolder, action: PlannedAction, outcome: Outcome): void {
    const { engine, name, reason } = action;
    const isLoad = action.action === "load" || action.action === "grant";
    if (outcome.type === "wait") {
        explainIfChanged(holder, "wait", engine, name, `${action.action}: ${reason}; ${outcome.reason}`);
        return;
    }
    holder.explainedReasons.delete(`${engine} ${name}`);
    holder.effects.push({ type: "explain", action: isLoad ? "load" : "evict", engine, name, reason });
}

/** Changes the role of one engine at a time, where the pool is configured with a role and the memory suffices. */
function changeRole(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, RecordDraft>,
    nowMilliseconds: number,
): void {
    const role = holder.configuration.pool.role;
    const isChanging = [...holder.engines.values()].some(state => hasOrderInProgress(state, "role"));
    if (role === undefined || isChanging) {
        return;
    }
    for (const draft of drafts.values()) {
        const backoff = draft.state.backoffs.get("role")?.untilMilliseconds ?? 0;
        if (draft.record.role.current === role || backoff > nowMilliseconds) {
            continue;
        }
        const order: EngineOrder = { kind: "change-role", name: role, fencing: nextFencing(holder) };
        const outcome = addIntent(holder, draft, order);
        if (outcome.type === "wait") {
            explainIfChanged(holder, "wait", draft.state.name, role, outcome.reason);
            continue;
        }
        draft.orders.push(order);
        const reason = `the pool is configured with this role; was ${draft.record.role.current || "none"}`;
        holder.effects.push({ type: "explain", action: "change-role", engine: draft.state.name, name: role, reason });
        return;
    }
}

/**
 * Writes one record for each engine, with the planned orders that may be sent now and all new outcomes of earlier
 * orders.
 *
 * @param holder State of the decision, with a valid lease.
 * @param actions The plan, most urgent action first.
 * @param records Each engine's record, with the outcomes of orders received so far.
 * @param nowMilliseconds The current time.
 */
export function recordPlan(
    holder: ActiveHolder,
    actions: readonly PlannedAction[],
    records: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): void {
    const drafts = new Map<string, RecordDraft>();
    for (const state of holder.engines.values()) {
        const record = records.get(state.name);
        if (state.phase === "ready" && record !== undefined) {
            drafts.set(state.name, { state, record, orders: [], hasIntents: false });
        }
    }
    cancelUnplannedDrains(holder, actions);
    for (const action of actions) {
        const draft = drafts.get(action.engine);
        if (draft?.state.hasStoredEpoch === true && draft.state.newIncarnation === undefined) {
            explain(holder, action, recordAction(holder, drafts, draft, action, nowMilliseconds));
        }
    }
    const roleDrafts = [...drafts].filter(([, { state }]) =>
        state.hasStoredEpoch && state.newIncarnation === undefined
    );
    changeRole(holder, new Map(roleDrafts), nowMilliseconds);
    for (const draft of drafts.values()) {
        writeDraft(holder, draft.state, draft.record, draft.orders, draft.hasIntents);
    }
}
