/**
 * Messages and effects of the residency decision of one pool.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type DemandDigest, type ResidencyDigest } from "../generated/peers.js";
import { type EngineRecord } from "../generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer, type EngineReport } from "../generated/upstreams.js";

/** What the residency decision is told. */
export type ResidencyMessage =
    | { readonly type: "deployment"; readonly deployment: Deployment; readonly revision: number; }
    /** This process holds the pool's lease under an epoch that no earlier holder had. */
    | { readonly type: "lease-acquired"; readonly epoch: number; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lease-renewed"; readonly expiresAtMilliseconds: number; }
    | { readonly type: "lease-lost"; }
    /** Answer to `read-record`; revision 0 and no record where the key does not exist. */
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
    /** The order was not sent at all: its connection to that engine incarnation had ended before. */
    | { readonly type: "order-not-sent"; readonly engine: string; readonly order: EngineOrder; }
    /** No answer came; the order may still arrive or have taken effect. */
    | { readonly type: "order-unanswered"; readonly engine: string; readonly order: EngineOrder; }
    /** `readIdentifier` is that of the `read-report` effect that this answers; missing in reports from elsewhere. */
    | { readonly type: "engine-reported"; readonly report: EngineReport; readonly readIdentifier?: string; }
    | { readonly type: "engine-unreachable"; readonly engine: string; }
    /** Engines that the platform's host list names as leaving; replaces the list given before. */
    | { readonly type: "engines-leaving"; readonly engines: readonly string[]; }
    | { readonly type: "demand"; readonly demand: readonly DemandDigest[]; }
    | { readonly type: "adapter-wanted"; readonly model: string; readonly adapter: string; }
    | { readonly type: "tick"; };

/** What the residency decision asks for. */
export type ResidencyEffect =
    | { readonly type: "read-record"; readonly engine: string; }
    | {
        readonly type: "write-record";
        readonly engine: string;
        readonly record: EngineRecord;
        readonly expectedStoreRevision: number;
    }
    /**
     * Reads the engine's report now, from the engine itself; answered by `engine-reported` with this identifier or by
     * `engine-unreachable`. Only such an answer can tell that the engine has restarted.
     */
    | { readonly type: "read-report"; readonly engine: string; readonly readIdentifier: string; }
    /** Sent only on a connection that was opened to this incarnation; never on a new one. */
    | {
        readonly type: "send-order";
        readonly engine: string;
        readonly incarnation: string;
        readonly order: EngineOrder;
    }
    | { readonly type: "publish-residency"; readonly digest: ResidencyDigest; }
    /** Why something was moved, or was not; for logs and `status`. */
    | {
        readonly type: "explain";
        readonly action: "load" | "evict" | "change-role" | "wait" | "none";
        readonly engine: string | undefined;
        readonly name: string;
        readonly reason: string;
    };
