/**
 * Messages and effects of the orders decision.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import {
    type HostIdentity,
    type OrderOutcome,
    type OrderResult,
    type WitnessAnswer,
    type WitnessRequest,
} from "../generated/peers.js";

/** One call of a plain service, with the key that its caller chose. */
export interface Order {
    readonly key: string;
    readonly service: string;
    readonly call: string;
    readonly body: string;
    readonly contentType: string;
    readonly bodyHash: string;
}

/** Messages that the orders decision handles. */
export type OrdersMessage =
    | { readonly type: "deployment"; readonly deployment: Deployment; readonly revision: number; }
    /** All processes with a recent digest; `leaving` names the hosts of those that leave and have not ended yet. */
    | {
        readonly type: "peers";
        readonly identities: readonly HostIdentity[];
        readonly leaving?: readonly string[];
    }
    /** An order of a caller, received directly or forwarded by a peer; `identifier` identifies the pending reply. */
    | {
        readonly type: "order-received";
        readonly identifier: string;
        readonly order: Order;
        readonly from: "caller" | "peer";
    }
    /** The caller or peer no longer waits for this reply. */
    | { readonly type: "abandoned"; readonly identifier: string; }
    /** `bodyHash` is that of the forwarded order; with it, an answer to an earlier order of the key is ignored. */
    | {
        readonly type: "forward-answered";
        readonly key: string;
        readonly outcome: OrderOutcome;
        readonly bodyHash?: string;
    }
    /** `notSent` is true only where no byte can have reached the peer. */
    | { readonly type: "forward-failed"; readonly key: string; readonly notSent: boolean; readonly bodyHash?: string; }
    | {
        readonly type: "witness-answered";
        readonly key: string;
        readonly request: WitnessRequest["type"];
        readonly answer: WitnessAnswer;
        /** The process that answered, as in the effect; needed to prove that a key without a ticket has not run. */
        readonly witness?: { readonly host: string; readonly incarnation: string; };
    }
    | { readonly type: "witness-failed"; readonly key: string; readonly request: WitnessRequest["type"]; }
    /** A request of another host to this host as the witness. */
    | { readonly type: "witness-asked"; readonly identifier: string; readonly request: WitnessRequest; }
    | { readonly type: "dispatch-answered"; readonly key: string; readonly result: OrderResult; }
    /** `notSent` is true only where no byte of the call can have reached the plain service. */
    | { readonly type: "dispatch-failed"; readonly key: string; readonly notSent: boolean; readonly message: string; }
    /** The key-value service answered a claim. */
    | {
        readonly type: "claim-answered";
        readonly key: string;
        readonly outcome: "claimed" | "claimed-by-another" | "other-body" | "not-claimed";
        /** With `claimed-by-another`: the process that may run the order and that knows its outcome. */
        readonly claimedBy?: { readonly host: string; readonly incarnation: string; };
        /** With `not-claimed`: when the shard's record was last read and lacked the key. */
        readonly absentSinceMilliseconds?: number;
    }
    /** The service is unreachable, or it is unknown whether the claim took effect. */
    | { readonly type: "claim-failed"; readonly key: string; readonly absentSinceMilliseconds?: number; }
    | { readonly type: "leave"; }
    | { readonly type: "tick"; };

/** Reason why a call, a forward or a witness request is sent again; each has its own counter. */
export type OrderRetryReason = "not-sent" | "owner-unreachable" | "witness-unreachable" | "idempotent-call-failed";

/** Actions that the orders decision requests of its caller. */
export type OrdersEffect =
    | { readonly type: "reply"; readonly identifier: string; readonly outcome: OrderOutcome; }
    | { readonly type: "forward"; readonly order: Order; readonly to: HostIdentity; }
    | {
        readonly type: "ask-witness";
        readonly key: string;
        readonly witness: { readonly host: string; readonly incarnation: string; };
        readonly request: WitnessRequest;
    }
    | { readonly type: "answer-witness"; readonly identifier: string; readonly answer: WitnessAnswer; }
    | { readonly type: "dispatch"; readonly order: Order; readonly url: string; readonly timeoutMilliseconds: number; }
    | { readonly type: "claim"; readonly key: string; readonly bodyHash: string; }
    | { readonly type: "count-retry"; readonly reason: OrderRetryReason; readonly service: string; };
