/**
 * The residency decision of one pool: keeps the engines' ledgers, and moves models and adapters to where the plan wants
 * them.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type IdentifierSource } from "../decision/index.js";
import { type DemandDigest } from "../generated/peers.js";
import { type EngineRecord } from "../generated/platform.js";
import { loadWantedAdapters, missingGrants } from "./_adapterLoads.js";
import { expireAwaited, takeAnswer, takeNotSent, takeSilence } from "./_answers.js";
import { carryOut } from "./_carryOut.js";
import { createDemandTracker } from "./_demand.js";
import { type PoolText } from "./_drafts.js";
import { type EngineState } from "./_engineState.js";
import { type ActiveHolder, alignEngines, explainOnce, type Holder, isActive } from "./_holder.js";
import { publishIfDue } from "./_publishing.js";
import {
    currentDraft,
    readIfNeeded,
    takeConflict,
    takeReadFailure,
    takeRecord,
    takeWritten,
} from "./_recordKeeping.js";
import { readReportIfDue, takeReport, takeUnreachable } from "./_reports.js";
import { isPoolKnown, noteStanding } from "./_standing.js";
import { createStoreBudget, refillBudget, refillMoves } from "./_storeBudget.js";
import { buildView } from "./_view.js";
import { type ResidencyEffect, type ResidencyMessage } from "./messages.js";
import { planPlacement } from "./planPlacement.js";
import { shareOfWeightStore } from "./storeShare.js";

/** What a residency decision is made of. */
export interface ResidencyOptions {
    /** Pool whose lease `residency/<pool>` this process may come to hold. */
    readonly pool: string;
    /** This host. */
    readonly host: string;
    readonly createIdentifier: IdentifierSource;
}

function createHolder({ pool, createIdentifier }: ResidencyOptions): Holder {
    return {
        pool,
        createIdentifier,
        demand: createDemandTracker(),
        wantedAdapters: new Map(),
        explained: new Map(),
        effects: [],
        text: undefined,
        lease: undefined,
        engines: new Map(),
        leavingEngines: new Set(),
        budget: createStoreBudget(0),
        moves: createStoreBudget(0),
        intended: new Map(),
        exchange: undefined,
        sequence: 0,
    };
}

function poolText(message: Extract<ResidencyMessage, { type: "deployment"; }>, name: string): PoolText | undefined {
    const pool = message.deployment.pools.find(candidate => candidate.name === name);
    return pool && { deployment: message.deployment, revision: message.revision, pool };
}

function takeText(holder: Holder, message: Extract<ResidencyMessage, { type: "deployment"; }>): void {
    if (holder.text === undefined || message.revision >= holder.text.revision) {
        holder.text = poolText(message, holder.pool);
        alignEngines(holder);
    }
}

/** Begins anew: everything known of the engines may be out of date, and is read again. */
function acquire(holder: Holder, epoch: number, expiresAtMilliseconds: number, nowMilliseconds: number): void {
    holder.lease = { epoch, expiresAtMilliseconds };
    holder.engines = new Map();
    holder.explained.clear();
    holder.budget = createStoreBudget(nowMilliseconds);
    holder.intended = new Map();
    holder.exchange = undefined;
    alignEngines(holder);
}

function renew(holder: Holder, expiresAtMilliseconds: number): void {
    if (holder.lease !== undefined) {
        holder.lease.expiresAtMilliseconds = expiresAtMilliseconds;
    }
}

function drop(holder: Holder): void {
    holder.lease = undefined;
    holder.engines = new Map();
}

type EngineMessage = Extract<ResidencyMessage, { engine: string; } | { type: "engine-reported"; }>;

function takeEngineMessage(holder: Holder, state: EngineState, message: EngineMessage, now: number): void {
    if (holder.lease === undefined || holder.text === undefined) {
        return;
    }
    const active: ActiveHolder = Object.assign(holder, { lease: holder.lease, text: holder.text });
    match(message)
        .with(
            { type: "record-read" },
            ({ record, storeRevision }) => takeRecord(active, state, record, storeRevision, now),
        )
        .with({ type: "record-read-failed" }, () => takeReadFailure(state, now))
        .with(
            { type: "record-written" },
            ({ writeIdentifier, storeRevision }) => takeWritten(active, state, writeIdentifier, storeRevision, now),
        )
        .with(
            { type: "record-conflict" },
            { type: "record-write-unknown" },
            ({ writeIdentifier }) => takeConflict(state, writeIdentifier),
        )
        .with(
            { type: "order-answered" },
            ({ order, answer }) => takeAnswer(state, order, answer, active.text.pool.checksFencing, now),
        )
        .with({ type: "order-not-sent" }, ({ order }) => takeNotSent(state, order, now))
        .with({ type: "order-unanswered" }, ({ order }) => takeSilence(state, order, now))
        .with(
            { type: "engine-reported" },
            ({ report, readIdentifier }) => takeReport(state, report, readIdentifier, now),
        )
        .with({ type: "engine-unreachable" }, () => takeUnreachable(state))
        .exhaustive();
}

function takeForEngine(holder: Holder, name: string, message: EngineMessage, nowMilliseconds: number): void {
    const state = holder.engines.get(name);
    if (state !== undefined) {
        takeEngineMessage(holder, state, message, nowMilliseconds);
    }
}

/** An adapter that is in use counts as wanted. */
function takeDemand(holder: Holder, demand: readonly DemandDigest[], now: number): void {
    holder.demand.add(demand, now);
    for (const { model, adapter, arrivals } of demand) {
        if (adapter !== undefined && arrivals > 0) {
            holder.wantedAdapters.set(`${model}:${adapter}`, now);
        }
    }
}

function take(holder: Holder, message: ResidencyMessage, now: number): void {
    match(message)
        .with({ type: "deployment" }, text => takeText(holder, text))
        .with(
            { type: "lease-acquired" },
            ({ epoch, expiresAtMilliseconds }) => acquire(holder, epoch, expiresAtMilliseconds, now),
        )
        .with({ type: "lease-renewed" }, ({ expiresAtMilliseconds }) => renew(holder, expiresAtMilliseconds))
        .with({ type: "lease-lost" }, () => drop(holder))
        .with({ type: "engines-leaving" }, ({ engines }) => {
            holder.leavingEngines = new Set(engines);
        })
        .with({ type: "demand" }, ({ demand }) => takeDemand(holder, demand, now))
        .with({ type: "adapter-wanted" }, ({ model, adapter }) => {
            holder.wantedAdapters.set(`${model}:${adapter}`, now);
        })
        .with({ type: "tick" }, () => {
            for (const state of holder.engines.values()) {
                expireAwaited(state, now);
            }
        })
        .with({ type: "engine-reported" }, reported => takeForEngine(holder, reported.report.engine, reported, now))
        .otherwise(other => takeForEngine(holder, other.engine, other, now));
}

function draftsOf(holder: ActiveHolder): Map<string, EngineRecord> {
    return new Map([...holder.engines.values()].flatMap(state => {
        const draft = state.phase === "writing" ? state.pendingWrite?.record : currentDraft(holder, state);
        return draft === undefined || state.phase === "unread" || state.phase === "reading"
            ? []
            : [[state.name, draft] as const];
    }));
}

function plan(holder: ActiveHolder, nowMilliseconds: number): void {
    const { deployment } = holder.text;
    refillBudget(holder.budget, shareOfWeightStore(deployment, holder.pool), nowMilliseconds);
    const drafts = draftsOf(holder);
    noteStanding(holder, nowMilliseconds);
    if (!isPoolKnown(holder, nowMilliseconds)) {
        carryOut(holder, [], drafts, nowMilliseconds);
        return;
    }
    refillMoves(holder.moves, holder.engines.size, nowMilliseconds);
    const view = buildView(holder, drafts, nowMilliseconds);
    const options = { ...deployment.placement, mayMove: holder.moves.tokens >= 1 };
    const { actions, problems, exchange } = planPlacement(view, options);
    holder.exchange = exchange;
    const loads = actions.filter(({ action }) => action === "load");
    holder.intended = new Map(loads.reverse().map(({ name, engine }) => [name, engine]));
    for (const { name, reason } of problems) {
        explainOnce(holder, "none", undefined, name, reason);
    }
    carryOut(holder, [...missingGrants(holder, nowMilliseconds), ...actions], drafts, nowMilliseconds);
}

/** A report that confirms what is known, or demand, changes the plan no sooner than the next tick. */
function isPlannedFor(holder: Holder, message: ResidencyMessage): boolean {
    if (message.type === "engine-reported") {
        return holder.engines.get(message.report.engine)?.newIncarnation !== undefined;
    }
    return message.type !== "demand" && message.type !== "lease-renewed";
}

function act(holder: ActiveHolder, message: ResidencyMessage, nowMilliseconds: number): void {
    for (const state of holder.engines.values()) {
        readIfNeeded(holder, state, nowMilliseconds);
        readReportIfDue(holder, state, nowMilliseconds);
    }
    if (isPlannedFor(holder, message)) {
        plan(holder, nowMilliseconds);
    }
    loadWantedAdapters(holder, nowMilliseconds);
    for (const state of holder.engines.values()) {
        publishIfDue(holder, state, nowMilliseconds);
    }
}

/**
 * Creates the residency decision of one pool. It acts only between `lease-acquired` and the end of that lease.
 *
 * Accelerator memory stays within its bounds whoever else acts at the same time: every order is recorded by
 * compare-and-swap before it is sent, and charged until it is proved finished or dead.
 *
 * @param options The pool, this host and a source of identifiers that nobody else makes.
 * @returns A decision to be driven with messages and a clock.
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
            take(holder, message, nowMilliseconds);
            if (isActive(holder, nowMilliseconds)) {
                act(holder, message, nowMilliseconds);
            }
            return holder.effects.splice(0);
        },
    };
}
