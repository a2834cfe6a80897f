/**
 * Context shared by the tasks of a host.
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

/** Settings, identity, clients, logs and metrics shared by the tasks of a host. */
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

/** An engine of the deployment, with the name of its pool. */
export interface PoolEngine {
    readonly name: string;
    readonly url: string;
    readonly zone: string;
    readonly pool: string;
}

/**
 * Lists the engines of all pools of a deployment.
 *
 * @param deployment The deployment; without one the list is empty.
 *
 * @example
 * ```ts
 * const names = listEngines(deployment).map(({ name }) => name);
 * ```
 */
export function listEngines(deployment: Deployment | undefined): PoolEngine[] {
    const pools = deployment?.pools ?? [];
    return pools.flatMap(pool => pool.engines.map(({ name, url, zone }) => ({ name, url, zone, pool: pool.name })));
}
