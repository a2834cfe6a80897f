/**
 * Messages and effects of the residency decision of one pool.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type DemandDigest, type ResidencyDigest } from "../generated/peers.js";
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer, type EngineReport } from "../generated/upstreams.js";

/** Input of the residency decision. */
export type ResidencyMessage =
    | { readonly type: "deployment"; readonly deployment: Deployment; readonly revision: number; }
    /** This process acquired the pool's lease, under an epoch that no earlier holder had. */
    | { readonly type: "lease-acquired"; readonly epoch: number; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lease-renewed"; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lease-lost"; }
    /** Result of `read-record`; revision 0 and no record where the key does not exist. */
    | {
        readonly type: "record-read";
        readonly engine: string;
        readonly record: EngineRecord | undefined;
        readonly storeRevision: number;
    }
    | { readonly type: "record-read-failed"; readonly engine: string; }
    | {
        readonly type: "record-written";
        readonly engine: string;
        readonly writeIdentifier: string;
        readonly storeRevision: number;
    }
    | { readonly type: "record-conflict"; readonly engine: string; readonly writeIdentifier: string; }
    /** The write may or may not have taken effect. */
    | { readonly type: "record-write-unknown"; readonly engine: string; readonly writeIdentifier: string; }
    | {
        readonly type: "order-answered";
        readonly engine: string;
        readonly order: EngineOrder;
        readonly answer: EngineOrderAnswer;
    }
    /** The order was not sent, since the connection to that engine incarnation had already ended. */
    | { readonly type: "order-not-sent"; readonly engine: string; readonly order: EngineOrder; }
    /** No answer was received; the order may still arrive or have taken effect. */
    | { readonly type: "order-unanswered"; readonly engine: string; readonly order: EngineOrder; }
    /**
     * `readIdentifier` is that of the `read-report` effect that was executed; missing in reports from other sources.
     */
    | { readonly type: "engine-reported"; readonly report: EngineReport; readonly readIdentifier?: string; }
    | { readonly type: "engine-unreachable"; readonly engine: string; }
    /** Engines that the platform's host list marks as leaving; replaces the previous list. */
    | { readonly type: "engines-leaving"; readonly engines: readonly string[]; }
    | { readonly type: "demand"; readonly demand: readonly DemandDigest[]; }
    | { readonly type: "adapter-wanted"; readonly model: string; readonly adapter: string; }
    | { readonly type: "tick"; };

/** Output of the residency decision: operations for the caller to execute. */
export type ResidencyEffect =
    | { readonly type: "read-record"; readonly engine: string; }
    | {
        readonly type: "write-record";
        readonly engine: string;
        readonly record: EngineRecord;
        readonly expectedStoreRevision: number;
    }
    /**
     * Reads the engine's report now, from the engine itself; the result is `engine-reported` with this identifier, or
     * `engine-unreachable`. Only such a report can show that the engine has restarted.
     */
    | { readonly type: "read-report"; readonly engine: string; readonly readIdentifier: string; }
    /** To be sent only on a connection that was opened to this incarnation, never on a later one. */
    | {
        readonly type: "send-order";
        readonly engine: string;
        readonly incarnation: string;
        readonly order: EngineOrder;
    }
    | { readonly type: "publish-residency"; readonly digest: ResidencyDigest; }
    /** Why a change was or was not made; for logs and `status`. */
    | {
        readonly type: "explain";
        readonly action: "load" | "evict" | "change-role" | "wait" | "none";
        readonly engine: string | undefined;
        readonly name: string;
        readonly reason: string;
    };
