/**
 * Carries a placement plan out: records the intents that are allowed now, engine by engine.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { capacityOf, endOwnGrant } from "./_drafts.js";
import { type EngineState, isInMotion, orderSubjectKey, subjectKey } from "./_engineState.js";
import { type ActiveHolder, explainOnce, nextFencing } from "./_holder.js";
import { writeDraft } from "./_recordKeeping.js";
import { mayEvictModel } from "./_standing.js";
import { findEntry, isProvedCopy, recordIntent } from "./ledger.js";
import { type PlannedAction } from "./placement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** Others have stopped sending requests to a copy this long after it is told to nobody any more. */
const SHORTEST_DRAIN_MILLISECONDS = 1_000;
/** An evict does not wait longer for an engine that always runs something. */
const LONGEST_DRAIN_MILLISECONDS = 5_000;

/** The next record of an engine as intents are added to it. */
interface OpenDraft {
    readonly state: EngineState;
    record: EngineRecord;
    readonly orders: EngineOrder[];
    hasIntents: boolean;
}

type Outcome = { readonly type: "recorded"; } | { readonly type: "wait"; readonly reason: string; };

const RECORDED: Outcome = { type: "recorded" };

/** Counts loads that may be running; a lost one that is sent again to the same engine counts once. */
function countRunningLoads(
    holder: ActiveHolder,
    drafts: Iterable<OpenDraft>,
    again: { readonly engine: string; readonly subject: string; },
    nowMilliseconds: number,
): number {
    const isLoad = (order: EngineOrder): boolean => order.kind === "load-model";
    let running = 0;
    for (const state of holder.engines.values()) {
        running += [...state.awaited.values()].filter(({ order }) => isLoad(order)).length;
        running += state.pendingWrite?.orders.filter(isLoad).length ?? 0;
        running += [...state.lostLoads].filter(([subject, until]) =>
            until > nowMilliseconds && (state.name !== again.engine || subject !== again.subject)
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
function addIntent(holder: ActiveHolder, draft: OpenDraft, order: EngineOrder): Outcome {
    const recorded = recordIntent(draft.record, order, capacityOf(holder.text, draft.state.name));
    if (recorded.isErr()) {
        return { type: "wait", reason: `${recorded.error.missingMegabytes} MB are not proved free yet` };
    }
    draft.record = recorded.value;
    draft.hasIntents = true;
    return RECORDED;
}

function checkEvict(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, OpenDraft>,
    draft: OpenDraft,
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
    drafts: Iterable<OpenDraft>,
    again: { readonly engine: string; readonly subject: string; },
    nowMilliseconds: number,
): Outcome {
    const share = shareOfWeightStore(holder.text.deployment, holder.pool);
    if (countRunningLoads(holder, drafts, again, nowMilliseconds) >= share.concurrentLoads) {
        return { type: "wait", reason: `the pool's ${share.concurrentLoads} loads at once are running` };
    }
    return holder.budget.tokens >= 1
        ? RECORDED
        : { type: "wait", reason: `the pool's ${share.loadsPerSecond.toFixed(2)} loads a second are used` };
}

/** Stops telling others of a proved copy, and says when requests that still use it have had their time. */
function isDrained({ state, record }: OpenDraft, subject: string, nowMilliseconds: number): boolean {
    const isInUse = record.entries.some(entry => subjectKey(entry) === subject && isProvedCopy(entry));
    if (!isInUse) {
        return true;
    }
    const since = state.draining.get(subject);
    if (since === undefined) {
        state.draining.set(subject, nowMilliseconds);
        state.publishedRevision = undefined;
        return false;
    }
    const drained = nowMilliseconds - since;
    return drained >= (state.running === 0 ? SHORTEST_DRAIN_MILLISECONDS : LONGEST_DRAIN_MILLISECONDS);
}

/** Tells others again of copies whose evict is no longer planned. */
function endDrains(holder: ActiveHolder, actions: readonly PlannedAction[]): void {
    for (const state of holder.engines.values()) {
        const evicts = actions.filter(({ action, engine }) => action === "evict" && engine === state.name);
        const planned = new Set(evicts.map(({ name, version }) => subjectKey({ kind: "model", name, version })));
        for (const subject of [...state.draining.keys()]) {
            if (!planned.has(subject) && !isInMotion(state, subject)) {
                state.draining.delete(subject);
                state.publishedRevision = undefined;
            }
        }
    }
}

function carryOutOne(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, OpenDraft>,
    draft: OpenDraft,
    action: PlannedAction,
    nowMilliseconds: number,
): Outcome {
    const order = orderOf(holder, action);
    const subject = orderSubjectKey(order);
    if (isInMotion(draft.state, subject) || draft.orders.some(other => orderSubjectKey(other) === subject)) {
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
        holder.budget.tokens -= action.action === "load" ? 1 : 0;
        holder.moves.tokens -= action.isMove ? 1 : 0;
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
        explainOnce(holder, "wait", engine, name, `${action.action}: ${reason}; ${outcome.reason}`);
        return;
    }
    holder.explained.delete(`${engine} ${name}`);
    holder.effects.push({ type: "explain", action: isLoad ? "load" : "evict", engine, name, reason });
}

/** Changes the role of one engine at a time, where the pool asks for one and there is room. */
function changeRole(
    holder: ActiveHolder,
    drafts: ReadonlyMap<string, OpenDraft>,
    nowMilliseconds: number,
): void {
    const role = holder.text.pool.role;
    const isUnderWay = [...holder.engines.values()].some(state => isInMotion(state, "role"));
    if (role === undefined || isUnderWay) {
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
            explainOnce(holder, "wait", draft.state.name, role, outcome.reason);
            continue;
        }
        draft.orders.push(order);
        const reason = `the pool's role; was ${draft.record.role.current || "none"}`;
        holder.effects.push({ type: "explain", action: "change-role", engine: draft.state.name, name: role, reason });
        return;
    }
}

/**
 * Records what of a plan is allowed now, and everything learned, in one write for each engine.
 *
 * @param holder The holder, active.
 * @param actions The plan, in the order of need.
 * @param records The draft of each engine.
 * @param nowMilliseconds The time.
 */
export function carryOut(
    holder: ActiveHolder,
    actions: readonly PlannedAction[],
    records: ReadonlyMap<string, EngineRecord>,
    nowMilliseconds: number,
): void {
    const drafts = new Map<string, OpenDraft>();
    for (const state of holder.engines.values()) {
        const record = records.get(state.name);
        if (state.phase === "ready" && record !== undefined) {
            drafts.set(state.name, { state, record, orders: [], hasIntents: false });
        }
    }
    endDrains(holder, actions);
    for (const action of actions) {
        const draft = drafts.get(action.engine);
        if (draft?.state.stamped === true && draft.state.newIncarnation === undefined) {
            explain(holder, action, carryOutOne(holder, drafts, draft, action, nowMilliseconds));
        }
    }
    const roleDrafts = [...drafts].filter(([, { state }]) => state.stamped && state.newIncarnation === undefined);
    changeRole(holder, new Map(roleDrafts), nowMilliseconds);
    for (const draft of drafts.values()) {
        writeDraft(holder, draft.state, draft.record, draft.orders, draft.hasIntents);
    }
}
