/**
 * What every task of a host shares.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity } from "../generated/peers.js";
import { type Settings } from "../generated/settings.js";
import { type Logger, type Metrics } from "../observability/index.js";
import { type PeerClient } from "../peers/index.js";
import { type HostList, type KeyValueService } from "../platform/index.js";
import { type EngineClient, type PlainServiceClient } from "../upstreams/index.js";
import { type ClientDirectory } from "./clientDirectory.js";
import { type Clock } from "./clock.js";
import { type HostEvents } from "./events.js";
import { type TraceLog } from "./traceLog.js";

/** What every task of a host shares. */
export interface HostContext {
    readonly settings: Settings;
    readonly identity: HostIdentity;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly traces: TraceLog;
    readonly metrics: Metrics;
    readonly events: HostEvents;
    readonly keyValue: KeyValueService;
    readonly hostList: HostList;
    readonly peers: ClientDirectory<PeerClient>;
    readonly engines: ClientDirectory<EngineClient>;
    readonly plainServices: PlainServiceClient;
}

/** An engine of the deployment, with the pool that it belongs to. */
export interface PlacedEngine {
    readonly name: string;
    readonly url: string;
    readonly zone: string;
    readonly pool: string;
}

/**
 * Lists the engines of a deployment.
 *
 * @param deployment The deployment, or none.
 *
 * @example
 * ```ts
 * const names = listEngines(deployment).map(({ name }) => name);
 * ```
 */
export function listEngines(deployment: Deployment | undefined): PlacedEngine[] {
    const pools = deployment?.pools ?? [];
    return pools.flatMap(pool => pool.engines.map(({ name, url, zone }) => ({ name, url, zone, pool: pool.name })));
}
