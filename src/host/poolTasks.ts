/**
 * Starts a residency task for each pool of the deployment, and passes wanted adapters to their holders.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity } from "../generated/peers.js";
import { listDutyCandidates } from "../leases/index.js";
import { type WantedAdapter } from "../peers/index.js";
import { type HostContext } from "./context.js";
import { type Explanation, type ResidencyTask, startResidencyTask } from "./residencyTask.js";

/** The residency tasks of all pools. */
export interface PoolTasks {
    status(): Readonly<Record<string, { readonly holds: boolean; readonly explanations: readonly Explanation[]; }>>;
    close(): Promise<void>;
}

/**
 * Creates the residency tasks; they follow the deployment in force.
 *
 * @param context What the tasks of this host share.
 * @param liveHosts Names of the live hosts, this one among them.
 *
 * @example
 * ```ts
 * const pools = createPoolTasks(context, () => ["entry-1", "entry-2"]);
 * await pools.close();
 * ```
 */
export function createPoolTasks(context: HostContext, liveHosts: () => readonly string[]): PoolTasks {
    const tasks = new Map<string, ResidencyTask>();
    let live: readonly HostIdentity[] = [];
    let inForce: { readonly deployment: Deployment; readonly revision: number; } | undefined;
    let leaving = false;

    context.events.subscribe(event => {
        if (event.type === "deployment-activated") {
            inForce = { deployment: event.deployment, revision: event.record.revision };
            followCandidates();
        }
        else if (event.type === "peers-changed") {
            live = event.live;
            followCandidates();
        }
        else if (event.type === "adapter-wanted" && event.origin === "own") {
            passToHolders(event.wanted);
        }
        else if (event.type === "leaving") {
            leaving = true;
            void closeAll();
        }
    });

    /** One of these holds the pool's lease, but for a moment after the live hosts changed. */
    function candidatesFor(pool: string): string[] {
        return listDutyCandidates(`residency/${pool}`, liveHosts());
    }

    /** Runs the tasks of the pools that this host may come to hold; a host is a candidate for few of many pools. */
    function followCandidates(): void {
        if (leaving || inForce === undefined) {
            return;
        }
        const { deployment, revision } = inForce;
        const listed = new Set(deployment.pools.map(({ name }) => name));
        const mine = new Set([...listed].filter(pool => candidatesFor(pool).includes(context.identity.host)));
        for (const [pool, task] of [...tasks]) {
            if (!listed.has(pool) || (!mine.has(pool) && !task.holds)) {
                tasks.delete(pool);
                void task.close();
            }
        }
        for (const pool of [...mine].filter(name => !tasks.has(name))) {
            tasks.set(pool, startResidencyTask(context, { pool, deployment, revision, hosts: liveHosts() }));
        }
    }

    /** Gives up the leases, so that other hosts take them at once. */
    async function closeAll(): Promise<void> {
        const closing = [...tasks.values()];
        tasks.clear();
        await Promise.all(closing.map(task => task.close()));
    }

    /** Tells the hosts that may hold a pool of the adapter's model; those that do not hold it ignore it. */
    function passToHolders(wanted: WantedAdapter): void {
        const pools = inForce?.deployment.models.find(({ name }) => name === wanted.model)?.pools ?? [];
        const hosts = new Set(pools.flatMap(pool => candidatesFor(pool)));
        for (const peer of live.filter(({ host }) => hosts.has(host))) {
            void context.peers.get(peer.peersUrl, peer.peersUrl).wantAdapter(wanted);
        }
    }

    return {
        status: () =>
            Object.fromEntries(
                [...tasks].map(([pool, task]) => [pool, { holds: task.holds, explanations: task.explanations() }]),
            ),
        close: closeAll,
    };
}
