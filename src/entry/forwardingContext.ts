/**
 * What all requests that a host forwards have in common.
 *
 * @module
 */
import { type Agent } from "node:http";
import { type RandomSource } from "../decision/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../fleet/index.js";
import {
    type AdapterUse,
    type CrashSuspects,
    type HeldBytes,
    type PrefillBacklog,
    type PromptPrefixIndex,
    type SharedRetryBudget,
    type UpstreamHealth,
    type UpstreamLoads,
    type UpstreamPauses,
} from "../forwarding/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type ResidencyView } from "../placement/index.js";
import { type RouteTable } from "../routes/index.js";
import { type SiteDemand } from "./siteDemand.js";
import { type HeaderNames } from "./siteProtocol.js";
import { type AnswerHead } from "./upstreamCall.js";

/** Beliefs, books and tools of one host that its requests share. */
export interface ForwardingContext {
    readonly zone: string;
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
    readonly budget: SharedRetryBudget;
    readonly suspects: CrashSuspects;
    readonly prompts: PromptPrefixIndex;
    readonly backlog: PrefillBacklog;
    readonly heldBytes: HeldBytes;
    readonly demand: SiteDemand;
    readonly adapterUse: AdapterUse;
    /** `undefined` while no configuration is known. */
    routeTable(): RouteTable | undefined;
    agentFor(service: string): Agent;
    /** Hosts that serve callers, this one included. */
    hostCount(): number;
    /** Asks the engine's holder to load an adapter; false where the engine has no holder that this host knows. */
    requestAdapter(engine: string, model: string, adapter: string): boolean;
    /** Tells peers that a request was sent to an engine. */
    publishRequestSent(engine: string, promptTokens: number): void;
    /** Tells the engine's holder that requests of this host began or ceased to use an adapter. */
    reportAdapterUse(engine: string, adapter: string, inUse: boolean): void;
    /** A request found that the engine does not hold a model. */
    recordModelAbsent(engine: string, model: string): void;
    /** An attempt on this upstream met no listener, or another process. */
    recordUnreachable(upstream: string): void;
    /** Takes what an upstream says of itself with an answer. */
    recordAnswerHead(upstream: UpstreamAnnouncement, head: AnswerHead): void;
    isLeaving(): boolean;
    /** True once callers must have forgotten a host that leaves; it takes no further requests. */
    isClosedToCallers(): boolean;
}
