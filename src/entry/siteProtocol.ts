/**
 * What an entry host needs to know of the site that it runs on; an adapter provides it.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineOrder, type EngineReport, type OrderOutcome } from "../placement/index.js";
import { type RoutingConfiguration } from "../routes/index.js";

/** Header names of the site, in lower case. */
export interface HeaderNames {
    /** Identifies one request; the answer repeats it. */
    readonly requestId: string;
    /** How long the caller waits, in milliseconds. */
    readonly deadline: string;
    /** The last event that the caller has of a stream. */
    readonly lastEventId: string;
    /** The model, with an adapter behind a slash. */
    readonly model: string;
    /** Prompt tokens and most output tokens, separated by a comma. */
    readonly tokenCount: string;
    /** Parts of the prompt. */
    readonly promptParts: string;
    /** The run of an upstream that a request is meant for. */
    readonly expectedUpstream: string;
    /** The run of the upstream that answered. */
    readonly answeringUpstream: string;
    /** Proof that an upstream made the answer. */
    readonly receipt: string;
    /** Running requests, waiting requests and slots of the upstream that answered. */
    readonly load: string;
    /** "1" in the answers of an upstream that leaves. */
    readonly upstreamLeaves: string;
    /** Present where an upstream did not run the request. */
    readonly notRun: string;
    /** Urgency of a request for an engine, 0 first. */
    readonly priority: string;
    /** Headers that only the system may set; dropped from callers' requests. */
    readonly reserved: readonly string[];
}

/** Keys of the key-value service that the site writes. */
export interface SiteKeys {
    readonly configuration: string;
    /** Begins the keys of upstreams' announcements; the rest of the key is the upstream's identifier. */
    readonly upstreamPrefix: string;
}

/** A record of the site that does not fit its form. */
export interface DecodeError {
    readonly message: string;
}

/** Gives an engine orders and reads its state. */
export interface EngineControl {
    order(target: EngineTarget, order: EngineOrder, fencing: OrderFencing): Promise<OrderOutcome>;
    /** `undefined` where no readable report came. */
    report(target: EngineTarget): Promise<EngineReport | undefined>;
    close(): void;
}

/** One run of an engine's process. */
export interface EngineTarget {
    readonly id: string;
    readonly address: string;
}

/** Who gives an order. */
export interface OrderFencing {
    readonly holder: string;
    readonly fencingNumber: number;
}

/** A caller's question for addresses. */
export interface AddressQuestion {
    readonly zone: string | undefined;
}

/** An answer over HTTP to one of the small calls that the site defines. */
export interface SmallAnswer {
    readonly status: number;
    readonly body: string;
}

/** The small calls that the site makes to every entry host. */
export interface SmallCalls {
    /** Reads a question for addresses; `undefined` where the call is another. */
    readAddressQuestion(url: string): AddressQuestion | undefined;
    renderAddresses(addresses: readonly string[], keepSeconds: number): SmallAnswer;
    isReadinessQuestion(url: string): boolean;
}

/** The site's forms and names. */
export interface SiteProtocol {
    readonly headers: HeaderNames;
    readonly keys: SiteKeys;
    readonly calls: SmallCalls;
    decodeConfiguration(value: string): Result<RoutingConfiguration, DecodeError>;
    decodeUpstream(id: string, value: string): Result<UpstreamAnnouncement, DecodeError>;
}
