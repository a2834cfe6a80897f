/**
 * What operators say of routes and the services behind them, independent of the text it was written in.
 *
 * @module
 */

/** What may be done again with a request of a route. */
export type RequestKind =
    /** May run more than once. */
    | "idempotent"
    /** May run at most once for each identifier. */
    | "non-idempotent"
    /** Answered by a stream of events; may run again only where the route says that it can be resumed. */
    | "event-stream";

/** A service that a route sends to, with its share of the requests. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** Where requests of one host name and path prefix go, and within which bounds. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMilliseconds: number;
    /** Time within which an answer, or the first event of a stream, is in time. */
    readonly targetLatencyMilliseconds: number;
    /** Longest pause between events of a stream that is in time. */
    readonly targetGapMilliseconds: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly services: readonly WeightedService[];
    /** Most upstreams that one request may be sent to. */
    readonly maximumAttempts: number;
    /** True where a stream may go on at another upstream behind the last delivered event. */
    readonly resumable: boolean;
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

/** What the engines of a service have in common. */
export interface EngineDefinition {
    /** Requests that run at once. */
    readonly slots: number;
    /** Tokens that fit the memory for prompts. */
    readonly cacheTokens: number;
    /** Room for weights and adapters together. */
    readonly weightMegabytes: number;
    readonly adapterSlots: number;
    /** Loads that the weight store allows over all engines. */
    readonly loadsPerSecond: number;
    readonly models: readonly ModelDefinition[];
}

/** A service behind the routes. */
export interface ServiceDefinition {
    readonly name: string;
    /** Connections that one upstream accepts from all callers together. */
    readonly maximumConnections: number;
    /** Missing for plain services. */
    readonly engine: EngineDefinition | undefined;
}

/** Bounds on what callers may send. */
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
}
