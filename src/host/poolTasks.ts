/**
 * Runs residency tasks for the pools that this host may hold, and forwards adapter requests to the holders of pools.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity } from "../generated/peers.js";
import { listDutyCandidates } from "../leases/index.js";
import { type AdapterRequest } from "../peers/index.js";
import { type HostContext } from "./context.js";
import { type Explanation, type ResidencyTask, startResidencyTask } from "./residencyTask.js";

/** The residency tasks of this host. */
export interface PoolTasks {
    /** Returns, by pool, whether this host holds the lease, and the latest explanations. */
    status(): Readonly<Record<string, { readonly holds: boolean; readonly explanations: readonly Explanation[]; }>>;
    close(): Promise<void>;
}

/**
 * Creates residency tasks, and reconciles them with each change of the deployment in force or of the live hosts.
 *
 * @param context Settings, clients and observability of this host.
 * @param liveHosts Returns the names of the live hosts, this one included.
 *
 * @example
 * ```ts
 * const pools = createPoolTasks(context, () => ["entry-1", "entry-2"]);
 * await pools.close();
 * ```
 */
export function createPoolTasks(context: HostContext, liveHosts: () => readonly string[]): PoolTasks {
    const tasks = new Map<string, ResidencyTask>();
    let livePeers: readonly HostIdentity[] = [];
    let activeDeployment: { readonly deployment: Deployment; readonly revision: number; } | undefined;
    let leaving = false;

    context.events.subscribe(event => {
        if (event.type === "deployment-activated") {
            activeDeployment = { deployment: event.deployment, revision: event.record.revision };
            reconcileTasks();
        }
        else if (event.type === "peers-changed") {
            livePeers = event.live;
            reconcileTasks();
        }
        else if (event.type === "adapter-wanted" && event.origin === "own") {
            forwardToHolders(event.adapterRequest);
        }
        else if (event.type === "leaving") {
            leaving = true;
            void closeAll();
        }
    });

    /** Lists the candidates for a pool's lease; its holder is one of them, except briefly after live hosts change. */
    function candidatesFor(pool: string): string[] {
        return listDutyCandidates(`residency/${pool}`, liveHosts());
    }

    /** Runs tasks only for pools that this host holds or is a candidate for, which are few in a large deployment. */
    function reconcileTasks(): void {
        if (leaving || activeDeployment === undefined) {
            return;
        }
        const { deployment, revision } = activeDeployment;
        const deployedPools = new Set(deployment.pools.map(({ name }) => name));
        const candidatePools = new Set(
            [...deployedPools].filter(pool => candidatesFor(pool).includes(context.identity.host)),
        );
        for (const [pool, task] of [...tasks]) {
            if (!deployedPools.has(pool) || (!candidatePools.has(pool) && !task.holdsLease)) {
                tasks.delete(pool);
                void task.close();
            }
        }
        for (const pool of [...candidatePools].filter(name => !tasks.has(name))) {
            tasks.set(pool, startResidencyTask(context, { pool, deployment, revision, hosts: liveHosts() }));
        }
    }

    /** Closes the tasks, which releases their leases, so that other hosts can acquire them at once. */
    async function closeAll(): Promise<void> {
        const closing = [...tasks.values()];
        tasks.clear();
        await Promise.all(closing.map(task => task.close()));
    }

    /** Forwards an adapter request to the candidates for the pools of its model; those that hold none ignore it. */
    function forwardToHolders(adapterRequest: AdapterRequest): void {
        const pools = activeDeployment?.deployment.models.find(({ name }) => name === adapterRequest.model)?.pools
            ?? [];
        const hosts = new Set(pools.flatMap(pool => candidatesFor(pool)));
        for (const peer of livePeers.filter(({ host }) => hosts.has(host))) {
            void context.peers.get(peer.peersUrl, peer.peersUrl).requestAdapter(adapterRequest);
        }
    }

    return {
        status: () =>
            Object.fromEntries(
                [...tasks].map(([pool, task]) => [pool, { holds: task.holdsLease, explanations: task.explanations() }]),
            ),
        close: closeAll,
    };
}
