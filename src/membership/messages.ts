/**
 * Messages and effects of the membership decision.
 *
 * @module
 */
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";

/** Inputs of the membership decision. */
export type MembershipMessage =
    /** A peer's heartbeat was received, with the statuses and counters that the peer has of other hosts. */
    | {
        readonly type: "heartbeat-received";
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        readonly progress?: PeerProgress | undefined;
    }
    /** The platform's list of live and leaving hosts was read; it lags behind the hosts' actual states. */
    | {
        readonly type: "host-list";
        readonly live: readonly { readonly host: string; readonly peersUrl: string; }[];
        readonly leaving: readonly string[];
    }
    /** A heartbeat to a peer was not acknowledged in time. */
    | { readonly type: "send-failed"; readonly host: string; }
    /** This host's current state, to be published with its next heartbeat. */
    | {
        readonly type: "own-state";
        readonly configurationRevision: number;
        readonly storeConfirmedMillisecondsAgo: number;
        readonly advertise: boolean;
    }
    /** This host starts its graceful shutdown. */
    | { readonly type: "leave"; }
    /** The digest contains a change that must be sent before the next regular heartbeat. */
    | { readonly type: "share-now"; }
    | { readonly type: "tick"; };

/** Outputs of the membership decision, carried out by its caller. */
export type MembershipEffect =
    /** Sends this host's digest to a peer; the caller adds the engine, residency, suspect and demand parts. */
    | {
        readonly type: "send-heartbeat";
        readonly peersUrl: string;
        /** Missing for a peer known only from the host list. */
        readonly host: string | undefined;
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        /** Counters of further hosts, whose identities the peer was sent before; only beyond the full mesh. */
        readonly progress?: PeerProgress;
    }
    /** Requests identities from a peer, or sends it identities or counters, at once and outside the heartbeat rounds. */
    | {
        readonly type: "send-reply";
        readonly peersUrl: string;
        readonly host: string;
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        readonly progress?: PeerProgress;
    }
    | { readonly type: "peer-up"; readonly identity: HostIdentity; }
    /** The peer's counter did not rise within the failure timeout, or a later incarnation replaced the peer. */
    | { readonly type: "peer-down"; readonly identity: HostIdentity; }
    | { readonly type: "peer-leaving"; readonly identity: HostIdentity; };
