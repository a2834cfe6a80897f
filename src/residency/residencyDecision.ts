/**
 * The residency decision of one pool: maintains the memory ledgers of its engines, and loads and evicts models and
 * adapters as the placement planner requires.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type IdentifierSource } from "../decision/index.js";
import { type DemandDigest } from "../generated/peers.js";
import { type EngineRecord } from "../generated/platform.js";
import { listMissingGrants, loadRequestedAdapters } from "./_adapterLoads.js";
import { isPoolStateKnown, updateUnconfirmedSince } from "./_copyStatus.js";
import { createDemandTracker } from "./_demand.js";
import { type PoolConfiguration } from "./_drafts.js";
import { type EngineState } from "./_engineState.js";
import { type ActiveHolder, explainIfChanged, type Holder, isActive, synchronizeEngines } from "./_holder.js";
import { expireAwaitedOrders, handleOrderAnswer, handleOrderNotSent, handleOrderUnanswered } from "./_orderOutcomes.js";
import { recordPlan } from "./_planRecording.js";
import { publishIfDue } from "./_publishing.js";
import {
    currentDraft,
    handleReadFailure,
    handleRecordRead,
    handleRecordWritten,
    handleWriteConflict,
    readIfNeeded,
} from "./_recordKeeping.js";
import { handleReport, readReportIfDue, recordUnreachable } from "./_reports.js";
import { createTokenBucket, refillLoads, refillMoves } from "./_tokenBuckets.js";
import { buildView } from "./_view.js";
import { type ResidencyEffect, type ResidencyMessage } from "./messages.js";
import { planPlacement } from "./planPlacement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** Options of `createResidencyDecision`. */
export interface ResidencyOptions {
    /** Pool whose lease `residency/<pool>` this process may acquire. */
    readonly pool: string;
    /** Name of this host. */
    readonly host: string;
    readonly createIdentifier: IdentifierSource;
}

function createHolder({ pool, createIdentifier }: ResidencyOptions): Holder {
    return {
        pool,
        createIdentifier,
        demand: createDemandTracker(),
        requestedAdapters: new Map(),
        explainedReasons: new Map(),
        effects: [],
        configuration: undefined,
        lease: undefined,
        engines: new Map(),
        leavingEngines: new Set(),
        loadBudget: createTokenBucket(0),
        moveBudget: createTokenBucket(0),
        intendedEngines: new Map(),
        exchange: undefined,
        sequence: 0,
    };
}

function poolConfigurationOf(
    message: Extract<ResidencyMessage, { type: "deployment"; }>,
    name: string,
): PoolConfiguration | undefined {
    const pool = message.deployment.pools.find(candidate => candidate.name === name);
    return pool && { deployment: message.deployment, revision: message.revision, pool };
}

function applyDeployment(holder: Holder, message: Extract<ResidencyMessage, { type: "deployment"; }>): void {
    if (holder.configuration === undefined || message.revision >= holder.configuration.revision) {
        holder.configuration = poolConfigurationOf(message, holder.pool);
        synchronizeEngines(holder);
    }
}

/**
 * Starts from an empty state: records and reports known from an earlier lease may be out of date and are read again.
 */
function recordLeaseAcquired(
    holder: Holder,
    epoch: number,
    expiresAtMilliseconds: number,
    nowMilliseconds: number,
): void {
    holder.lease = { epoch, expiresAtMilliseconds };
    holder.engines = new Map();
    holder.explainedReasons.clear();
    holder.loadBudget = createTokenBucket(nowMilliseconds);
    holder.intendedEngines = new Map();
    holder.exchange = undefined;
    synchronizeEngines(holder);
}

function recordLeaseRenewed(holder: Holder, expiresAtMilliseconds: number): void {
    if (holder.lease !== undefined) {
        holder.lease.expiresAtMilliseconds = expiresAtMilliseconds;
    }
}

function recordLeaseLost(holder: Holder): void {
    holder.lease = undefined;
    holder.engines = new Map();
}

type EngineMessage = Extract<ResidencyMessage, { engine: string; } | { type: "engine-reported"; }>;

function handleEngineMessage(holder: Holder, state: EngineState, message: EngineMessage, now: number): void {
    if (holder.lease === undefined || holder.configuration === undefined) {
        return;
    }
    const active: ActiveHolder = Object.assign(holder, {
        lease: holder.lease,
        configuration: holder.configuration,
    });
    match(message)
        .with(
            { type: "record-read" },
            ({ record, storeRevision }) => handleRecordRead(active, state, record, storeRevision, now),
        )
        .with({ type: "record-read-failed" }, () => handleReadFailure(state, now))
        .with(
            { type: "record-written" },
            ({ writeIdentifier, storeRevision }) =>
                handleRecordWritten(active, state, writeIdentifier, storeRevision, now),
        )
        .with(
            { type: "record-conflict" },
            { type: "record-write-unknown" },
            ({ writeIdentifier }) => handleWriteConflict(state, writeIdentifier),
        )
        .with(
            { type: "order-answered" },
            ({ order, answer }) =>
                handleOrderAnswer(state, order, answer, active.configuration.pool.checksFencing, now),
        )
        .with({ type: "order-not-sent" }, ({ order }) => handleOrderNotSent(state, order, now))
        .with({ type: "order-unanswered" }, ({ order }) => handleOrderUnanswered(state, order, now))
        .with(
            { type: "engine-reported" },
            ({ report, readIdentifier }) => handleReport(state, report, readIdentifier, now),
        )
        .with({ type: "engine-unreachable" }, () => recordUnreachable(state))
        .exhaustive();
}

function routeToEngine(holder: Holder, name: string, message: EngineMessage, nowMilliseconds: number): void {
    const state = holder.engines.get(name);
    if (state !== undefined) {
        handleEngineMessage(holder, state, message, nowMilliseconds);
    }
}

/** Records demand; an adapter that requests arrived for counts as requested. */
function recordDemand(holder: Holder, demand: readonly DemandDigest[], now: number): void {
    holder.demand.add(demand, now);
    for (const { model, adapter, arrivals } of demand) {
        if (adapter !== undefined && arrivals > 0) {
            holder.requestedAdapters.set(`${model}:${adapter}`, now);
        }
    }
}

function applyMessage(holder: Holder, message: ResidencyMessage, now: number): void {
    match(message)
        .with({ type: "deployment" }, received => applyDeployment(holder, received))
        .with(
            { type: "lease-acquired" },
            ({ epoch, expiresAtMilliseconds }) => recordLeaseAcquired(holder, epoch, expiresAtMilliseconds, now),
        )
        .with(
            { type: "lease-renewed" },
            ({ expiresAtMilliseconds }) => recordLeaseRenewed(holder, expiresAtMilliseconds),
        )
        .with({ type: "lease-lost" }, () => recordLeaseLost(holder))
        .with({ type: "engines-leaving" }, ({ engines }) => {
            holder.leavingEngines = new Set(engines);
        })
        .with({ type: "demand" }, ({ demand }) => recordDemand(holder, demand, now))
        .with({ type: "adapter-wanted" }, ({ model, adapter }) => {
            holder.requestedAdapters.set(`${model}:${adapter}`, now);
        })
        .with({ type: "tick" }, () => {
            for (const state of holder.engines.values()) {
                expireAwaitedOrders(state, now);
            }
        })
        .with({ type: "engine-reported" }, reported => routeToEngine(holder, reported.report.engine, reported, now))
        .otherwise(other => routeToEngine(holder, other.engine, other, now));
}

function composeDrafts(holder: ActiveHolder): Map<string, EngineRecord> {
    return new Map([...holder.engines.values()].flatMap(state => {
        const draft = state.phase === "writing" ? state.pendingWrite?.record : currentDraft(holder, state);
        return draft === undefined || state.phase === "unread" || state.phase === "reading"
            ? []
            : [[state.name, draft] as const];
    }));
}

function planAndRecord(holder: ActiveHolder, nowMilliseconds: number): void {
    const { deployment } = holder.configuration;
    refillLoads(holder.loadBudget, shareOfWeightStore(deployment, holder.pool), nowMilliseconds);
    const drafts = composeDrafts(holder);
    updateUnconfirmedSince(holder, nowMilliseconds);
    if (!isPoolStateKnown(holder, nowMilliseconds)) {
        recordPlan(holder, [], drafts, nowMilliseconds);
        return;
    }
    refillMoves(holder.moveBudget, holder.engines.size, nowMilliseconds);
    const view = buildView(holder, drafts, nowMilliseconds);
    const options = { ...deployment.placement, mayMove: holder.moveBudget.tokens >= 1 };
    const { actions, problems, exchange } = planPlacement(view, options);
    holder.exchange = exchange;
    const loads = actions.filter(({ action }) => action === "load");
    holder.intendedEngines = new Map(loads.reverse().map(({ name, engine }) => [name, engine]));
    for (const { name, reason } of problems) {
        explainIfChanged(holder, "none", undefined, name, reason);
    }
    recordPlan(holder, [...listMissingGrants(holder, nowMilliseconds), ...actions], drafts, nowMilliseconds);
}

/**
 * Returns whether a message calls for a new plan at once. Demand, lease renewals and reports of a known incarnation are
 * considered at the next tick.
 */
function requiresPlanning(holder: Holder, message: ResidencyMessage): boolean {
    if (message.type === "engine-reported") {
        return holder.engines.get(message.report.engine)?.newIncarnation !== undefined;
    }
    return message.type !== "demand" && message.type !== "lease-renewed";
}

function proceed(holder: ActiveHolder, message: ResidencyMessage, nowMilliseconds: number): void {
    for (const state of holder.engines.values()) {
        readIfNeeded(holder, state, nowMilliseconds);
        readReportIfDue(holder, state, nowMilliseconds);
    }
    if (requiresPlanning(holder, message)) {
        planAndRecord(holder, nowMilliseconds);
    }
    loadRequestedAdapters(holder, nowMilliseconds);
    for (const state of holder.engines.values()) {
        publishIfDue(holder, state, nowMilliseconds);
    }
}

/**
 * Creates the residency decision of one pool. It has effects only between `lease-acquired` and the end of that lease.
 *
 * Accelerator memory is never overcommitted, even if an earlier holder still acts: every order is recorded by
 * compare-and-swap before it is sent, and its memory is charged until the order is known to have finished or to have
 * no effect any more.
 *
 * @param options The pool, this host and a source of globally unique identifiers.
 * @returns A decision that is given messages and the time.
 *
 * @example
 * ```ts
 * const residency = createResidencyDecision({ pool: "bag-llm", host: "host-1", createIdentifier: randomUUID });
 * residency.handle({ type: "deployment", deployment, revision: 1 }, now);
 * const effects = residency.handle({ type: "lease-acquired", epoch: 1, expiresAtMilliseconds: now + 10_000 }, now);
 * ```
 */
export function createResidencyDecision(
    options: ResidencyOptions,
): Decision<ResidencyMessage, ResidencyEffect> {
    const holder = createHolder(options);
    return {
        handle(message, nowMilliseconds) {
            applyMessage(holder, message, nowMilliseconds);
            if (isActive(holder, nowMilliseconds)) {
                proceed(holder, message, nowMilliseconds);
            }
            return holder.effects.splice(0);
        },
    };
}
