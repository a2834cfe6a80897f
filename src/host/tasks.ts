/**
 * Starts and closes all tasks of a host.
 *
 * @module
 */
import { type ConfigurationTask, startConfigurationTask } from "./configurationTask.js";
import { type HostContext } from "./context.js";
import { type MembershipTask, startMembershipTask } from "./membershipTask.js";
import { type OrdersTask, startOrdersTask } from "./ordersTask.js";
import { createPoolTasks, type PoolTasks } from "./poolTasks.js";
import { type RequestsTask, startRequestsTask } from "./requestsTask.js";

/** The running tasks of a host. */
export interface Tasks {
    readonly configuration: ConfigurationTask;
    readonly membership: MembershipTask;
    readonly requests: RequestsTask;
    readonly orders: OrdersTask;
    readonly pools: PoolTasks;
}

/**
 * Starts the tasks of a host.
 *
 * @param context Settings, clients and observability of this host.
 *
 * @example
 * ```ts
 * const tasks = startTasks(context);
 * await closeTasks(tasks);
 * ```
 */
export function startTasks(context: HostContext): Tasks {
    const membership = startMembershipTask(context);
    const peersUrlOf = (host: string) =>
        membership.view.knownHosts().find(identity => identity.host === host)?.peersUrl;
    const configuration = startConfigurationTask(context, peersUrlOf);
    const requests = startRequestsTask(context);
    const orders = startOrdersTask(context);
    const liveHosts = () => [context.identity, ...membership.view.livePeers()].map(({ host }) => host);
    const pools = createPoolTasks(context, liveHosts);
    return { configuration, membership, requests, orders, pools };
}

/** Releases the leases of pools first, then stops the other tasks. */
export async function closeTasks(tasks: Tasks): Promise<void> {
    await tasks.pools.close();
    await tasks.configuration.close();
    tasks.requests.close();
    tasks.orders.close();
    tasks.membership.close();
}
