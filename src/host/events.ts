/**
 * Events that the tasks of one host publish to each other.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import {
    type DemandDigest,
    type EngineDigest,
    type HostIdentity,
    type PeerStatus,
    type ResidencyDigest,
    type SuspectDigest,
} from "../generated/peers.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { type AdapterRequest } from "../peers/index.js";

/** An event that one task publishes to the others. */
export type HostEvent =
    | { readonly type: "deployment-activated"; readonly deployment: Deployment; readonly record: ConfigurationRecord; }
    | { readonly type: "advertise-changed"; readonly allowed: boolean; }
    /** Peers with a recent heartbeat: `live` without the leaving ones, `liveIncludingLeaving` with them. */
    | {
        readonly type: "peers-changed";
        readonly live: readonly HostIdentity[];
        readonly liveIncludingLeaving: readonly HostIdentity[];
    }
    | { readonly type: "peer-heard"; readonly status: PeerStatus; }
    | { readonly type: "engine-observed"; readonly digest: EngineDigest; readonly origin: "own-poll" | "peer"; }
    | { readonly type: "engine-crashed"; readonly engine: string; readonly incarnation: string; }
    /** An attempt lost its connection; the poller of this host probes the engine at once. */
    | { readonly type: "engine-suspected"; readonly engine: string; }
    /** The platform's list of hosts was read; `engines` are all engines that it lists as leaving. */
    | { readonly type: "engines-leaving"; readonly engines: readonly string[]; }
    | { readonly type: "residency"; readonly digest: ResidencyDigest; readonly origin: "holder" | "peer"; }
    | { readonly type: "suspects"; readonly digests: readonly SuspectDigest[]; readonly origin: "own" | "peer"; }
    | { readonly type: "demand"; readonly demand: readonly DemandDigest[]; readonly origin: "own" | "peer"; }
    | { readonly type: "adapter-wanted"; readonly adapterRequest: AdapterRequest; readonly origin: "own" | "peer"; }
    | { readonly type: "leaving"; };

/** Event bus between the tasks of a host. */
export interface HostEvents {
    publish(event: HostEvent): void;
    /** Returns a function that ends the subscription. */
    subscribe(listener: (event: HostEvent) => void): () => void;
}

/**
 * Creates the event bus of a host, which calls listeners synchronously in the order of their subscription.
 *
 * @example
 * ```ts
 * const events = createHostEvents();
 * events.subscribe(event => console.log(event.type));
 * events.publish({ type: "leaving" });
 * ```
 */
export function createHostEvents(): HostEvents {
    const listeners = new Set<(event: HostEvent) => void>();
    return {
        publish: event => {
            for (const listener of [...listeners]) {
                listener(event);
            }
        },
        subscribe: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
    };
}
