/**
 * Interfaces to the site that an entry host runs on: its names, record formats and engines. Each site implements them.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineOrder, type EngineReport, type OrderOutcome } from "../placement/index.js";
import { type RoutingConfiguration } from "../routes/index.js";
import { type AnswerStatusAndHeaders } from "./_answerHead.js";

/** Header names of the site, in lower case. */
export interface HeaderNames {
    /** Identifier of a request; the answer repeats it. */
    readonly requestId: string;
    /** Caller time limit in milliseconds. */
    readonly deadline: string;
    /** The last event of a stream that the caller received. */
    readonly lastEventId: string;
    /** Identifier of the caller's request that brought the first event of the stream that this one resumes. */
    readonly resumedRequest: string;
    /** Name of the model, followed by a slash and the adapter where one is needed. */
    readonly model: string;
    /** Prompt tokens and maximum output tokens, separated by a comma. */
    readonly tokenCount: string;
    /** Parts of the prompt in order; the leading ones may be shared with other requests. */
    readonly promptParts: string;
    /** Incarnation of the upstream that a request is addressed to. */
    readonly expectedUpstream: string;
    /** Incarnation of the upstream that answered. */
    readonly answeringUpstream: string;
    /** Proves that an upstream, and no other server, made the answer. */
    readonly receipt: string;
    /** Running requests, waiting requests and slots of the upstream that answered. */
    readonly load: string;
    /** "1" in the answers of an upstream that is leaving. */
    readonly upstreamLeaving: string;
    /** Requests a second that the upstream that answered accepts from all hosts together. */
    readonly rateLimit: string;
    /** Requests a second, of all hosts together, that the upstream that answered may reject before it fails. */
    readonly rejectionTolerance: string;
    /** Present where an upstream did not run the request. */
    readonly notRun: string;
    /** Priority of a request at an engine; 0 is the most urgent. */
    readonly priority: string;
    /** The key of the caller's account. */
    readonly authorization: string;
    /** Name of the account that a request belongs to, for engines. */
    readonly account: string;
    /** Headers that only the system may set; dropped from callers' requests. */
    readonly reserved: readonly string[];
}

/** Keys that the site writes in the key-value service. */
export interface SiteKeys {
    readonly configuration: string;
    /** Prefix of the keys of upstreams' announcements; the upstream's identifier follows. */
    readonly upstreamPrefix: string;
}

/** A record of the site that could not be decoded. */
export interface DecodeError {
    readonly message: string;
}

/** Handles the status and headers of an engine's answer to an order or a report request. */
export type EngineAnswerHandler = (head: AnswerStatusAndHeaders) => void;

/** Sends orders to engines and reads their state. */
export interface EngineControl {
    order(
        target: EngineTarget,
        order: EngineOrder,
        fencing: OrderFencing,
        onAnswer?: EngineAnswerHandler,
    ): Promise<OrderOutcome>;
    /** Reads an engine's report; `undefined` where no readable one was received. */
    report(target: EngineTarget, onAnswer?: EngineAnswerHandler): Promise<EngineReport | undefined>;
    close(): void;
}

/** One incarnation of an engine's process. */
export interface EngineTarget {
    readonly id: string;
    readonly address: string;
}

/** The holder that sends an order, and the fencing number of its duty. */
export interface OrderFencing {
    readonly holder: string;
    readonly fencingNumber: number;
}

/** A caller's query for host addresses. */
export interface AddressQuery {
    readonly zone: string | undefined;
}

/** An HTTP answer to one of the auxiliary calls, such as readiness, that the site defines. */
export interface AuxiliaryAnswer {
    readonly status: number;
    readonly body: string;
}

/** Auxiliary calls that the site makes to every entry host. */
export interface AuxiliaryCalls {
    /** Parses an address query; `undefined` where the URL is that of another call. */
    parseAddressQuery(url: string): AddressQuery | undefined;
    renderAddresses(addresses: readonly string[], keepSeconds: number): AuxiliaryAnswer;
    isReadinessRequest(url: string): boolean;
}

/** Names and record formats of the site. */
export interface SiteProtocol {
    readonly headers: HeaderNames;
    readonly keys: SiteKeys;
    readonly calls: AuxiliaryCalls;
    decodeConfiguration(value: string): Result<RoutingConfiguration, DecodeError>;
    decodeUpstream(id: string, value: string): Result<UpstreamAnnouncement, DecodeError>;
}
