/**
 * Dependencies that are shared by all requests that a host forwards.
 *
 * @module
 */
import { type Agent } from "node:http";
import { type ConfigurationEvidence } from "../accounts/index.js";
import { type Admission } from "../admission/index.js";
import {
    type EngineMemoryUse,
    type EngineSpeeds,
    type FirstEventForecast,
    type HostRanks,
    type PromptSizes,
} from "../capacity/index.js";
import { type CrashAttribution, type RequestAttributes } from "../crashes/index.js";
import { type RandomSource } from "../decision/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../fleet/index.js";
import {
    type AdapterUse,
    type PrefillBacklog,
    type PromptPrefixIndex,
    type SharedRetryBudget,
    type UpstreamHealth,
    type UpstreamLoads,
    type UpstreamPauses,
} from "../forwarding/index.js";
import { type UpstreamLiveness } from "../hedging/index.js";
import { type MemoryBudget } from "../memory/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type UpstreamContact } from "../partitions/index.js";
import { type ResidencyView, type VersionCopyNeed } from "../placement/index.js";
import { type AccountQuotas } from "../quotas/index.js";
import { type RejectionBounds } from "../rateLimits/index.js";
import { type RouteTable } from "../routes/index.js";
import { type AnswerHead } from "../transport/answers/index.js";
import { type Acts } from "./actQueue.js";
import { type HealthProbes } from "./healthProbes.js";
import { type PagePool } from "./pagePool.js";
import { type RateLimiting } from "./rateLimiting.js";
import { type SiteDemand } from "./siteDemand.js";
import { type HeaderNames } from "./siteProtocol.js";
import { type StreamVersions } from "./streamVersions.js";

/** State, counters and services of one host that its requests share. */
export interface ForwardingContext {
    readonly zone: string;
    /** Where acts wait until what has arrived was read. */
    readonly acts: Acts;
    readonly headers: HeaderNames;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClock: () => number;
    readonly view: UpstreamView;
    readonly residency: ResidencyView;
    readonly loads: UpstreamLoads;
    readonly health: UpstreamHealth;
    readonly pauses: UpstreamPauses;
    readonly rateLimiting: RateLimiting;
    /** Quotas of client accounts. */
    readonly quotas: AccountQuotas;
    readonly rejectionBounds: RejectionBounds;
    /** The order and the expected waits of waiting requests. */
    readonly admission: Admission;
    readonly budget: SharedRetryBudget;
    readonly crashes: CrashAttribution;
    readonly streamVersions: StreamVersions;
    readonly contact: UpstreamContact;
    readonly liveness: UpstreamLiveness;
    readonly probes: HealthProbes;
    readonly prompts: PromptPrefixIndex;
    readonly speeds: EngineSpeeds;
    /** Estimates of what engines' requests hold in their memory. */
    readonly memoryUse: EngineMemoryUse;
    /** Upstreams that this host prefers among those that report how fast they work. */
    readonly hostRanks: HostRanks;
    readonly promptSizes: PromptSizes;
    readonly forecast: FirstEventForecast;
    readonly backlog: PrefillBacklog;
    /** The memory that callers' requests and answers are held in. */
    readonly memory: MemoryBudget;
    readonly pages: PagePool;
    readonly demand: SiteDemand;
    readonly adapterUse: AdapterUse;
    /** `undefined` while no configuration is known. */
    routeTable(): RouteTable | undefined;
    agentFor(service: string): Agent;
    /** Time since this host's view of the key-value service was last confirmed, by its own calls or by those of its cell. */
    viewAgeMilliseconds(): number;
    /** Returns what this host knows of configurations that it may lack. */
    configurationEvidence(): ConfigurationEvidence;
    /** Number of hosts that serve callers, this one included. */
    hostCount(): number;
    /** Requests an adapter from the engine's holder; false where this host knows of no holder. */
    requestAdapter(engine: string, model: string, adapter: string): boolean;
    /** Asks the planner for a copy of a model at upstreams of a version. */
    requestVersionCopy(need: VersionCopyNeed): void;
    /** Publishes to peers that a request was sent to an engine. */
    publishRequestSent(engine: string, promptTokens: number): void;
    /** Reports to the engine's holder that requests of this host began or ceased to use an adapter. */
    reportAdapterUse(engine: string, adapter: string, inUse: boolean): void;
    /** Records that a request found a model absent from an engine. */
    recordModelAbsent(engine: string, model: string): void;
    /** Records that an attempt could not connect to an upstream; `isRefused` where nobody listened there. */
    recordUnreachable(upstream: string, isRefused: boolean): void;
    /** Records that a request is sent. */
    recordSent(attributes: RequestAttributes): void;
    /** Records that a request was lost with its connection before its answer had begun. */
    recordLost(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void;
    /** Records that a request's answer has gone on for a while, or is complete. */
    recordAnswered(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void;
    /** Records the load, pause, leaving and limit that an upstream reports in the headers of an answer. */
    recordAnswerHead(upstream: UpstreamAnnouncement, head: AnswerHead, sentAtMilliseconds: number): void;
    isLeaving(): boolean;
    /** True while this host reaches no upstream although other hosts do. */
    isPartitioned(): boolean;
    /** True where callers should use another host: this one is leaving, or reaches no upstream. */
    closesConnections(): boolean;
    /** True once a leaving host's address has expired at all callers; the host then accepts no further requests. */
    isClosedToCallers(): boolean;
}
