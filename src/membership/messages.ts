/**
 * Messages and effects of the membership decision.
 *
 * @module
 */
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";

/** What the membership decision is told. */
export type MembershipMessage =
    /** A peer's heartbeat arrived, with what that peer knows of others. */
    | {
        readonly type: "heartbeat-received";
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        readonly progress?: PeerProgress | undefined;
    }
    /** The platform's list of live and leaving hosts, which lags. */
    | {
        readonly type: "host-list";
        readonly live: readonly { readonly host: string; readonly peersUrl: string; }[];
        readonly leaving: readonly string[];
    }
    /** Heartbeats to a peer got no answer in time. */
    | { readonly type: "send-failed"; readonly host: string; }
    /** This host's own state, for its next heartbeat. */
    | {
        readonly type: "own-state";
        readonly configurationRevision: number;
        readonly storeConfirmedMillisecondsAgo: number;
        readonly advertise: boolean;
    }
    /** This host begins its graceful shutdown. */
    | { readonly type: "leave"; }
    /** Something in the digest must not wait for the next heartbeat. */
    | { readonly type: "share-now"; }
    | { readonly type: "tick"; };

/** What the membership decision asks for. */
export type MembershipEffect =
    /** Send this host's digest to a peer; the shell adds engine, residency, suspect and demand parts. */
    | {
        readonly type: "send-heartbeat";
        readonly peersUrl: string;
        /** Missing for a peer known only from the host list. */
        readonly host: string | undefined;
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        /** Counters of further hosts, whose identities the peer was told before; only where hosts are many. */
        readonly progress?: PeerProgress;
    }
    /** Answers one peer about identities, at once and apart from the heartbeats of a round. */
    | {
        readonly type: "send-reply";
        readonly peersUrl: string;
        readonly host: string;
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        readonly progress?: PeerProgress;
    }
    | { readonly type: "peer-up"; readonly identity: HostIdentity; }
    /** No heartbeat within the failure timeout, or another incarnation took its name. */
    | { readonly type: "peer-down"; readonly identity: HostIdentity; }
    | { readonly type: "peer-leaving"; readonly identity: HostIdentity; };
