/**
 * The requests decision: admits, routes, retries and refuses the model requests of one host's callers.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type EngineDigest } from "../generated/peers.js";
import { handleCancel, handleFailed, handleFinished, handleFirstToken, retry } from "./_attempts.js";
import { shareAllSuspects, shareSuspects } from "./_claims.js";
import { type ChooseEngine, type Context, drawName } from "./_context.js";
import {
    attributeCrash,
    expireVerdictWaits,
    handleCrash,
    handleSuspects,
    releaseAfterLiveReport,
    releaseAfterRestart,
} from "./_crashes.js";
import { dispatchQueued, refuseAllOverdue } from "./_dispatching.js";
import { createEngineView } from "./_engineView.js";
import { createQuarantine } from "./_quarantine.js";
import { createRequestQueue } from "./_queue.js";
import { createRetryBudget } from "./_retryBudget.js";
import { chooseByPrefixWithinLoadBound } from "./_routing.js";
import { createServiceTimes } from "./_serviceTimes.js";
import { handleDeployment, handleSubmit } from "./_submission.js";
import { createTrials } from "./_trials.js";
import { runTrials } from "./_trialScheduling.js";
import { type RequestsEffect, type RequestsMessage } from "./messages.js";

const DEFAULT_MAXIMUM_QUEUED_REQUESTS = 2_000;

/** Options of a requests decision. */
export interface RequestsDecisionOptions {
    /** Name of this host, as peers know it. */
    readonly host: string;
    readonly random: RandomSource;
    /**
     * Maximum number of requests that wait at a time.
     *
     * @default 2000
     */
    readonly queuedRequests?: number;
    /**
     * Chooses among engines that can accept a request.
     *
     * @default chooseByPrefixWithinLoadBound
     */
    readonly chooseEngine?: ChooseEngine;
}

/**
 * Creates the requests decision of one host.
 *
 * Expects a `tick` about every 50 ms, which drives backoff, deadlines and trials.
 *
 * @param options The host's name, its random source and limits.
 * @returns The decision.
 *
 * @example
 * ```ts
 * const decision = createRequestsDecision({ host: "host-1", random: createSeededRandom(1) });
 * decision.handle({ type: "deployment", deployment, revision: 1 }, 0);
 * const effects = decision.handle({ type: "submit", request }, 10);
 * ```
 */
export function createRequestsDecision(options: RequestsDecisionOptions): Decision<RequestsMessage, RequestsEffect> {
    const context = createContext(options);
    return {
        handle: (message, nowMilliseconds) => {
            context.nowMilliseconds = nowMilliseconds;
            context.effects = [];
            handleMessage(context, message);
            runTrials(context);
            dispatchQueued(context);
            shareSuspects(context);
            return context.effects;
        },
    };
}

function createContext(options: RequestsDecisionOptions): Context {
    return {
        host: options.host,
        random: options.random,
        maximumQueuedRequests: options.queuedRequests ?? DEFAULT_MAXIMUM_QUEUED_REQUESTS,
        chooseEngine: options.chooseEngine ?? chooseByPrefixWithinLoadBound,
        requests: new Map(),
        inFlight: new Map(),
        cancelledAttempts: [],
        awaitingVerdict: new Set(),
        awaitingTrial: new Set(),
        queue: createRequestQueue(),
        view: createEngineView(),
        budget: createRetryBudget(),
        quarantine: createQuarantine(`${options.host}-${drawName(options.random)}`),
        trials: createTrials(options.host),
        serviceTimes: createServiceTimes(),
        agedDispatchCredits: new Map(),
        adapterRequestTimes: new Map(),
        catalog: undefined,
        peers: [],
        leaving: false,
        nowMilliseconds: 0,
        lastPeriodicShareAtMilliseconds: Number.NEGATIVE_INFINITY,
        effects: [],
    };
}

function handleMessage(context: Context, message: RequestsMessage): void {
    match(message)
        .with({ type: "deployment" }, deployment => handleDeployment(context, deployment))
        .with({ type: "submit" }, ({ request }) => handleSubmit(context, request))
        .with({ type: "cancel" }, ({ identifier }) => handleCancel(context, identifier))
        .with({ type: "attempt-first-token" }, firstToken => handleFirstToken(context, firstToken))
        .with({ type: "attempt-finished" }, finished => handleFinished(context, finished))
        .with({ type: "attempt-failed" }, failed => handleFailed(context, failed))
        .with({ type: "engine-observed" }, ({ digest }) => handleObserved(context, digest))
        .with({ type: "residency" }, ({ digest }) => context.view.recordResidency(digest))
        .with({ type: "engine-crashed" }, ({ engine, incarnation }) => handleCrash(context, engine, incarnation))
        .with({ type: "suspects" }, ({ digests }) => handleSuspects(context, digests))
        .with({ type: "peers" }, ({ hosts }) => {
            handlePeers(context, hosts);
        })
        .with({ type: "cache-event" }, ({ engine, prefixKey, cached }) => {
            context.view.recordCacheEvent(engine, prefixKey, cached);
        })
        .with({ type: "leave" }, () => {
            context.leaving = true;
        })
        .with({ type: "tick" }, () => {
            expireVerdictWaits(context);
            refuseAllOverdue(context);
        })
        .exhaustive();
}

/** Records the live peers, and publishes all suspects where a peer is new. */
function handlePeers(context: Context, hosts: readonly string[]): void {
    const previousPeers = new Set(context.peers);
    context.peers = hosts.filter(host => host !== context.host);
    if (context.peers.some(host => !previousPeers.has(host))) {
        shareAllSuspects(context);
    }
}

/** Records a load report, and handles a crash or restart of the engine's process that it reveals. */
function handleObserved(context: Context, digest: EngineDigest): void {
    const previousIncarnation = context.view.get(digest.engine).incarnation;
    const change = context.view.observe(digest, context.nowMilliseconds);
    match(change)
        .with("same", "first", () => releaseAfterLiveReport(context, digest, tracked => retry(context, tracked)))
        .with("crashed", () => attributeCrash(context, digest.engine, previousIncarnation ?? ""))
        .with("restarted", () => releaseAfterRestart(context, digest, tracked => retry(context, tracked)))
        .with("outdated", () => undefined)
        .exhaustive();
}
