/**
 * Messages and effects of the requests decision.
 *
 * @module
 */
import { type RefusalReason } from "../generated/callers.js";
import { type Deployment, type RequestClass } from "../generated/deployment.js";
import { type EngineDigest, type ResidencyDigest, type SuspectDigest } from "../generated/peers.js";

/** The parts of a caller's request for a model that the decision uses. */
export interface ModelRequest {
    readonly identifier: string;
    readonly model: string;
    readonly adapter?: string;
    readonly class: RequestClass;
    /** Hash of the model and the body; the same when the caller sends the request again. */
    readonly fingerprint: string;
    /** Hashes of prompt prefixes of increasing length, shortest first. */
    readonly prefixKeys: readonly string[];
}

/** Why an attempt on an engine ended without a complete answer. */
export type AttemptFailure =
    /** The engine executed nothing: it refused the connection, or stated so in its refusal. */
    | "not-started"
    /** The connection ended before the end marker. */
    | "connection-lost"
    /** The engine sent no byte within the inactivity timeout. */
    | "silent"
    /** The engine has no room for the request now. */
    | "engine-busy"
    /** The engine does not hold the model or adapter. */
    | "not-resident"
    /** The answer belongs to another request, or lacks its end marker. */
    | "incomplete"
    /** The engine rejected the request as invalid, as any other engine would. */
    | "rejected";

/** Input messages of the requests decision. */
export type RequestsMessage =
    | { readonly type: "deployment"; readonly deployment: Deployment; readonly revision: number; }
    | { readonly type: "submit"; readonly request: ModelRequest; }
    /** The caller disconnected. */
    | { readonly type: "cancel"; readonly identifier: string; }
    | { readonly type: "attempt-first-token"; readonly identifier: string; readonly attempt: number; }
    | { readonly type: "attempt-finished"; readonly identifier: string; readonly attempt: number; }
    | {
        readonly type: "attempt-failed";
        readonly identifier: string;
        readonly attempt: number;
        readonly failure: AttemptFailure;
        /** Tokens delivered to the caller so far; a retry resumes after them. */
        readonly deliveredTokens: number;
    }
    /** An engine's load report, from this host's poll or a peer's digest. */
    | { readonly type: "engine-observed"; readonly digest: EngineDigest; }
    /** Confirmed copies on an engine, as published by its holder. */
    | { readonly type: "residency"; readonly digest: ResidencyDigest; }
    /** An engine's process ended without a graceful shutdown. */
    | { readonly type: "engine-crashed"; readonly engine: string; readonly incarnation: string; }
    | { readonly type: "suspects"; readonly digests: readonly SuspectDigest[]; }
    /** Names of the other live hosts. */
    | { readonly type: "peers"; readonly hosts: readonly string[]; }
    /** The engine's prefix cache gained or lost an entry. */
    | { readonly type: "cache-event"; readonly engine: string; readonly prefixKey: string; readonly cached: boolean; }
    /** This host begins its graceful shutdown. */
    | { readonly type: "leave"; }
    | { readonly type: "tick"; };

/** Effects that the requests decision returns for the host to carry out. */
export type RequestsEffect =
    | {
        readonly type: "dispatch";
        readonly identifier: string;
        readonly attempt: number;
        readonly engine: string;
        readonly resumeAtToken: number;
        readonly class: RequestClass;
    }
    | {
        readonly type: "cancel-attempt";
        readonly identifier: string;
        readonly attempt: number;
        readonly engine: string;
    }
    | {
        readonly type: "refuse";
        readonly identifier: string;
        readonly reason: RefusalReason;
        readonly ran: "not-run" | "may-have-run";
        readonly message: string;
        readonly retryAfterMilliseconds?: number;
    }
    /** Publishes suspects to all peers at once, so that they know of them before a suspect is retried. */
    | { readonly type: "share-suspects"; readonly digests: readonly SuspectDigest[]; }
    /**
     * Reads the engine's report at once: to distinguish a crash from a connection failure, or to detect that an engine
     * claimed for a suspect has drained.
     */
    | { readonly type: "probe-engine"; readonly engine: string; }
    /** Requests the load of an adapter that queued requests need and no usable engine has. */
    | { readonly type: "want-adapter"; readonly model: string; readonly adapter: string; }
    /** Counts a retry by its reason. */
    | { readonly type: "count-retry"; readonly reason: AttemptFailure | "engine-crashed"; readonly model: string; }
    /** Reports the end of a request, for demand digests and metrics. */
    | {
        readonly type: "ended";
        readonly identifier: string;
        readonly model: string;
        readonly adapter?: string;
        readonly class: RequestClass;
        readonly withinTarget: boolean;
        readonly waitedMilliseconds: number;
    };
