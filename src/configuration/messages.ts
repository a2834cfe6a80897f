/**
 * Messages and effects of the configuration decision.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord } from "../generated/platform.js";

/** Inputs of the configuration decision. */
export type ConfigurationMessage =
    /** The key-value service answered a read or a watch. */
    | { readonly type: "store-answered"; readonly record: ConfigurationRecord | undefined; }
    /** The key-value service did not answer. */
    | { readonly type: "store-failed"; }
    /** A peer's heartbeat, with its revision and the age of its latest store confirmation; -1 for never. */
    | {
        readonly type: "peer-heard";
        readonly host: string;
        readonly revision: number;
        readonly storeConfirmedMillisecondsAgo: number;
    }
    /** A peer sent its record after `fetch-from-peer`. */
    | { readonly type: "peer-answered"; readonly host: string; readonly record: ConfigurationRecord | undefined; }
    | { readonly type: "peer-failed"; readonly host: string; }
    /** The live hosts according to membership; sent whenever they may have changed. */
    | {
        readonly type: "presence";
        /** Live hosts of this host's zone, this host among them. */
        readonly liveInZone: readonly string[];
        /** Number of live hosts of this host's region, this host among them. */
        readonly liveInRegion: number;
        /** Number of live hosts in the platform's list of hosts, where that could be read within the last minute. */
        readonly listedLive?: number;
    }
    | { readonly type: "tick"; };

/** Effects that the configuration decision requests. */
export type ConfigurationEffect =
    | { readonly type: "read-store"; }
    | { readonly type: "fetch-from-peer"; readonly host: string; }
    /** A higher revision is in force on this host from now on. */
    | { readonly type: "activate"; readonly record: ConfigurationRecord; readonly deployment: Deployment; }
    /** A record was not activated, because it is invalid or its revision is lower than the one in force. */
    | { readonly type: "reject-record"; readonly revision: number; readonly message: string; }
    /**
     * False before the first activation, and while this host is isolated: neither it nor a peer that it reaches has a
     * recent store confirmation, and other hosts probably have one.
     */
    | { readonly type: "advertise"; readonly allowed: boolean; };
