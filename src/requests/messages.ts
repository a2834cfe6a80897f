/**
 * Messages and effects of the requests decision.
 *
 * @module
 */
import { type RefusalReason } from "../generated/callers.js";
import { type Deployment, type RequestClass } from "../generated/deployment.js";
import { type EngineDigest, type ResidencyDigest, type SuspectDigest } from "../generated/peers.js";

/** A caller's request for a model, as far as deciding on it needs. */
export interface ModelRequest {
    readonly identifier: string;
    readonly model: string;
    readonly adapter?: string;
    readonly class: RequestClass;
    /** Hash of model and body; equal for a request that its caller sends again. */
    readonly fingerprint: string;
    /** Hashes of ever longer prefixes of the prompt, shortest first. */
    readonly prefixKeys: readonly string[];
}

/** Why an attempt on an engine ended without a whole answer. */
export type AttemptFailure =
    /** The engine took nothing: connection refused, or its refusal says so. */
    | "not-started"
    /** The connection ended before the end marker. */
    | "connection-lost"
    /** No byte within the silence bound. */
    | "silent"
    /** The engine has no room for the request now. */
    | "engine-busy"
    /** The engine does not hold the model or adapter. */
    | "not-resident"
    /** The answer is another request's, or misses its end marker. */
    | "incomplete"
    /** The engine found the request invalid; another would too. */
    | "rejected";

/** What the requests decision is told. */
export type RequestsMessage =
    | { readonly type: "deployment"; readonly deployment: Deployment; readonly revision: number; }
    | { readonly type: "submit"; readonly request: ModelRequest; }
    /** The caller has gone. */
    | { readonly type: "cancel"; readonly identifier: string; }
    | { readonly type: "attempt-first-token"; readonly identifier: string; readonly attempt: number; }
    | { readonly type: "attempt-finished"; readonly identifier: string; readonly attempt: number; }
    | {
        readonly type: "attempt-failed";
        readonly identifier: string;
        readonly attempt: number;
        readonly failure: AttemptFailure;
        /** Tokens that the caller has by now; a new attempt resumes behind them. */
        readonly deliveredTokens: number;
    }
    /** A load report, by this host's own poll or a peer's digest. */
    | { readonly type: "engine-observed"; readonly digest: EngineDigest; }
    /** Proved copies on an engine, by its holder. */
    | { readonly type: "residency"; readonly digest: ResidencyDigest; }
    /** An engine's process ended without leaving first. */
    | { readonly type: "engine-crashed"; readonly engine: string; readonly incarnation: string; }
    | { readonly type: "suspects"; readonly digests: readonly SuspectDigest[]; }
    /** Names of the other live hosts. */
    | { readonly type: "peers"; readonly hosts: readonly string[]; }
    /** The engine's prefix cache gained or lost an entry. */
    | { readonly type: "cache-event"; readonly engine: string; readonly prefixKey: string; readonly cached: boolean; }
    /** This host begins its graceful shutdown. */
    | { readonly type: "leave"; }
    | { readonly type: "tick"; };

/** What the requests decision asks for. */
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
    /** Tell every peer at once, before a suspect is tried again. */
    | { readonly type: "share-suspects"; readonly digests: readonly SuspectDigest[]; }
    /** Read this engine's report at once: a connection to it was lost, and a crash has to be told from a cut. */
    | { readonly type: "probe-engine"; readonly engine: string; }
    /** An adapter that requests wait for is not loaded anywhere. */
    | { readonly type: "want-adapter"; readonly model: string; readonly adapter: string; }
    /** Count a retry under its reason. */
    | { readonly type: "count-retry"; readonly reason: AttemptFailure | "engine-crashed"; readonly model: string; }
    /** A request ended; for demand digests and metrics. */
    | {
        readonly type: "ended";
        readonly identifier: string;
        readonly model: string;
        readonly adapter?: string;
        readonly class: RequestClass;
        readonly withinTarget: boolean;
        readonly waitedMilliseconds: number;
    };
