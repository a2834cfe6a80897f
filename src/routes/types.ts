/**
 * Routes and services as operators configure them, independent of the configuration's text format.
 *
 * @module
 */
import { type Account } from "../accounts/index.js";

/** How often a request of a route may be executed. */
export type RequestKind =
    /** May be executed more than once. */
    | "idempotent"
    /** May be executed at most once for each identifier. */
    | "non-idempotent"
    /** Answered by a stream of events; may be executed again only where the route is resumable. */
    | "event-stream";

/** A service of a route, with the weight that sets its share of the requests. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** Maps requests of one host name and path prefix to services, with their time and retry limits. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Maximum time that a caller is kept waiting. */
    readonly timeoutMilliseconds: number;
    /** Maximum time to a whole answer, or to the first event of a stream, that meets the target. */
    readonly targetLatencyMilliseconds: number;
    /** Maximum gap between events of a stream that meets the target. */
    readonly targetGapMilliseconds: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly services: readonly WeightedService[];
    /** Maximum number of upstreams that one request may be sent to. */
    readonly maximumAttempts: number;
    /** True where another upstream may resume a stream after the last delivered event. */
    readonly resumable: boolean;
    /** True where callers need no key, also if accounts are configured. */
    readonly isPublic?: boolean | undefined;
}

/** A model that the engines of a service can run. */
export interface ModelDefinition {
    readonly name: string;
    readonly weightMegabytes: number;
    readonly adapterCount: number;
    readonly adapterMegabytes: number;
    /** Time to load it from the weight store. */
    readonly storeLoadMilliseconds: number;
}

/** Properties that all engines of a service share. */
export interface EngineDefinition {
    /** Requests that an engine runs concurrently. */
    readonly slots: number;
    /** Tokens that fit in the prompt cache. */
    readonly cacheTokens: number;
    /** Memory for weights and adapters together. */
    readonly weightMegabytes: number;
    readonly adapterSlots: number;
    /** Loads per second that the weight store allows for all engines together. */
    readonly loadsPerSecond: number;
    readonly models: readonly ModelDefinition[];
}

/** A service that routes send requests to. */
export interface ServiceDefinition {
    readonly name: string;
    /** Maximum connections that one upstream accepts from all callers together. */
    readonly maximumConnections: number;
    /** Path on which its upstreams answer health checks; `undefined` where none is configured. */
    readonly healthPath?: string | undefined;
    /** `undefined` for plain services. */
    readonly engine: EngineDefinition | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** One version of the operators' configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceDefinition[];
    readonly limits: CallerLimits;
    /** `undefined` where no accounts are configured: callers then need no key. */
    readonly accounts?: readonly Account[] | undefined;
}
