/**
 * Creates what the requests that a host forwards share, from the host's parts.
 *
 * @module
 */
import { type Agent } from "node:http";
import { Admission } from "../admission/index.js";
import { type SharedRetryBudget } from "../forwarding/index.js";
import { isOverFairShare } from "../quotas/index.js";
import { type Acts } from "./actQueue.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { type HealthProbes } from "./healthProbes.js";
import { type HostParts } from "./hostParts.js";
import { PagePool } from "./pagePool.js";
import { type UpstreamTracker } from "./upstreamTracker.js";

/** Time within which each change of the configuration is in force, where the settings name none. */
const CONFIGURATION_DEADLINE_MILLISECONDS = 3_000;

/** The parts of a host that its requests use. */
export interface ForwardingParts extends Omit<HostParts, "duties"> {
    readonly acts: Acts;
    readonly probes: HealthProbes;
    readonly budget: SharedRetryBudget;
    /** Returns the connection pool of a service. */
    readonly agentFor: (service: string) => Agent;
}

/**
 * Creates the context of forwarding.
 *
 * @param parts The parts of a host that its requests use.
 *
 * @example
 * ```ts
 * const forwarder = createForwarder(createForwardingContext(parts));
 * ```
 */
export function createForwardingContext(parts: ForwardingParts): ForwardingContext {
    const { context, engines, gossip, interCellGossip, partitionWatch, peers, store, upstreams } = parts;
    const { acts, agentFor, budget, demand, probes, quotas, rateLimiting, streamVersions } = parts;
    const { lifecycle, readClock } = context;
    return {
        ...context,
        ...upstreamState(upstreams),
        acts,
        admission: new Admission({
            isInForce: service =>
                store.configuration.table?.accounts !== undefined || upstreams.speeds.isReportingService(service),
            isOverFairShare: account => isOverFairShare(account, quotas.admittedRates(readClock())),
        }),
        agentFor,
        budget,
        demand,
        probes,
        quotas,
        rateLimiting,
        streamVersions,
        headers: context.protocol.headers,
        pages: new PagePool(),
        adapterUse: engines.adapters.use,
        routeTable: () => store.configuration.table,
        viewAgeMilliseconds: () => store.viewAgeMilliseconds,
        configurationEvidence: () => {
            const { version } = store.configuration;
            const newerPeer = peers.withNewerConfiguration(version, readClock());
            return {
                knowsNewer: newerPeer !== undefined || interCellGossip.newerConfigurationAddress(version) !== undefined,
                millisecondsSinceConfirmed: store.millisecondsSinceConfirmed,
                deadlineMilliseconds: context.settings().bounds.configurationDeadlineMilliseconds
                    ?? CONFIGURATION_DEADLINE_MILLISECONDS,
            };
        },
        hostCount: () => peers.live(readClock()).length + 1,
        requestAdapter: (engine, model, adapter) => engines.adapters.request(engine, model, adapter),
        requestVersionCopy: need => engines.requestVersionCopy(need),
        publishRequestSent: (engine, promptTokens) =>
            gossip.publishRequestSent(
                engine,
                promptTokens,
                peer => upstreams.loads.usesUpstream(peer, engine, readClock()),
            ),
        reportAdapterUse: (engine, adapter, inUse) => engines.adapters.reportUse(engine, adapter, inUse),
        recordModelAbsent: (engine, model) => engines.orders.recordModelAbsent(engine, model),
        isPartitioned: () => partitionWatch.isPartitioned,
        closesConnections: () => lifecycle.isLeaving || partitionWatch.isPartitioned,
        isClosedToCallers: () => lifecycle.isClosedToCallers,
    };
}

/** The part of the context that shows the upstreams and records what requests learn of them. */
type UpstreamState = Pick<
    ForwardingContext,
    | "backlog"
    | "contact"
    | "crashes"
    | "forecast"
    | "health"
    | "liveness"
    | "loads"
    | "memoryUse"
    | "pauses"
    | "rejectionBounds"
    | "hostRanks"
    | "promptSizes"
    | "prompts"
    | "residency"
    | "speeds"
    | "view"
    | "recordAnswered"
    | "recordAnswerHead"
    | "recordLost"
    | "recordSent"
    | "recordUnreachable"
>;

function upstreamState(upstreams: UpstreamTracker): UpstreamState {
    const { backlog, contact, crashes, health, liveness, loads, pauses, prompts, rejectionBounds, residency, view } =
        upstreams;
    return {
        forecast: upstreams.forecast,
        memoryUse: upstreams.memoryUse,
        hostRanks: upstreams.hostRanks,
        promptSizes: upstreams.promptSizes,
        speeds: upstreams.speeds,
        backlog,
        contact,
        crashes,
        health,
        liveness,
        loads,
        pauses,
        prompts,
        rejectionBounds,
        residency,
        view,
        recordAnswered: (attributes, upstream) => upstreams.recordAnswered(attributes, upstream),
        recordAnswerHead: (upstream, head, sentAtMilliseconds) =>
            upstreams.recordAnswerHead(upstream, head, sentAtMilliseconds),
        recordLost: (attributes, upstream) => upstreams.recordLost(attributes, upstream),
        recordSent: attributes => upstreams.recordSent(attributes),
        recordUnreachable: (upstream, isRefused) => upstreams.recordUnreachable(upstream, isRefused),
    };
}
