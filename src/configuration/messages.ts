/**
 * Messages and effects of the configuration decision.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord } from "../generated/platform.js";

/** What the configuration decision is told. */
export type ConfigurationMessage =
    /** The key-value service answered a read or a watch. */
    | { readonly type: "store-answered"; readonly record: ConfigurationRecord | undefined; }
    /** The key-value service did not answer. */
    | { readonly type: "store-failed"; }
    /** A peer's heartbeat told its revision and how long ago the store was confirmed to it; -1 for never. */
    | {
        readonly type: "peer-heard";
        readonly host: string;
        readonly revision: number;
        readonly storeConfirmedMillisecondsAgo: number;
    }
    /** A peer sent its record after `fetch-from-peer`. */
    | { readonly type: "peer-answered"; readonly host: string; readonly record: ConfigurationRecord | undefined; }
    | { readonly type: "peer-failed"; readonly host: string; }
    /** What membership sees; told whenever it may have changed. */
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

/** What the configuration decision asks for. */
export type ConfigurationEffect =
    | { readonly type: "read-store"; }
    | { readonly type: "fetch-from-peer"; readonly host: string; }
    /** A higher revision is in force on this host from now on. */
    | { readonly type: "activate"; readonly record: ConfigurationRecord; readonly deployment: Deployment; }
    /** A record that cannot be used, kept out of force. */
    | { readonly type: "reject-record"; readonly revision: number; readonly message: string; }
    /** False while this host can reach neither the store nor a peer that lately confirmed it, and others can. */
    | { readonly type: "advertise"; readonly allowed: boolean; };
