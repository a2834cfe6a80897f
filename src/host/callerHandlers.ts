/**
 * Handlers of the callers' API, backed by the tasks of the host.
 *
 * @module
 */
import { type CallerHandlers, createRefusal } from "../callers/index.js";
import { type AddressesAnswer, type Refusal } from "../generated/callers.js";
import { createIdentifier } from "./clock.js";
import { type HostContext } from "./context.js";
import { type Tasks } from "./tasks.js";

const LEAVING_RETRY_AFTER_MILLISECONDS = 200;

/** Operations of the host itself that the callers' API uses. */
export interface HostControl {
    acceptsRequests(): boolean;
    drain(): void;
}

/**
 * Creates the handlers of the callers' API.
 *
 * @param context Settings, clients and observability of this host.
 * @param options The tasks of the host, and its control.
 *
 * @example
 * ```ts
 * const handlers = createCallerHandlers(context, { tasks, control });
 * ```
 */
export function createCallerHandlers(
    context: HostContext,
    options: { readonly tasks: Tasks; readonly control: HostControl; },
): CallerHandlers {
    const { tasks, control } = options;
    return {
        deployment: () => tasks.configuration.view.deployment(),
        newWorkRefusal: () => control.acceptsRequests() ? undefined : createLeavingRefusal(),
        submit: (request, sink) => tasks.requests.submit(request, sink),
        order: (order, onOutcome) => tasks.orders.submit(order, onOutcome),
        addresses: caller => renderAddresses(context, tasks, caller),
        status: () => renderStatus(context, tasks),
        drain: () => control.drain(),
        createIdentifier,
        recordRefusal: refusal => context.metrics.increment(`refusals.${refusal.reason}`),
    };
}

/** Creates the refusal of a leaving host, which applies once the addresses that callers keep have expired. */
function createLeavingRefusal(): Refusal {
    return createRefusal("host-leaving", "this host is leaving; ask another address", {
        retryAfterMilliseconds: LEAVING_RETRY_AFTER_MILLISECONDS,
    });
}

function renderAddresses(
    context: HostContext,
    tasks: Tasks,
    caller: Parameters<CallerHandlers["addresses"]>[0],
): AddressesAnswer {
    const callerLocation = {
        ...(caller.zone === undefined ? {} : { zone: caller.zone }),
        ...(caller.region === undefined ? {} : { region: caller.region }),
    };
    const hosts = tasks.membership.view.rankAddresses(callerLocation);
    return {
        keepMilliseconds: context.settings.addressKeepMilliseconds,
        addresses: hosts.map(host => ({ url: host.callersUrl, zone: host.zone, ticket: tasks.orders.ticketFor(host) })),
    };
}

function renderStatus(context: HostContext, tasks: Tasks): Readonly<Record<string, unknown>> {
    return {
        identity: context.identity,
        configuration: tasks.configuration.view.heartbeatState(context.clock()),
        peers: tasks.membership.view.livePeers().map(({ host, zone, incarnation }) => ({ host, zone, incarnation })),
        openRequests: tasks.requests.openRequests(),
        openOrders: tasks.orders.openOrders(),
        pools: tasks.pools.status(),
        process: renderProcess(),
        totals: context.metrics.totals(),
    };
}

function renderProcess(): Readonly<Record<string, number>> {
    const { heapUsed, rss } = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    return { heapBytes: heapUsed, residentBytes: rss, processorMicroseconds: user + system };
}
