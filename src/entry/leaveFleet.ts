/**
 * How a host leaves the fleet within its grace period.
 *
 * @module
 */
import { type EngineOrders } from "./engines/index.js";
import { type Forwarder } from "./forwarder.js";
import { type HostContext } from "./hostContext.js";
import { ADDRESS_KEEP_SECONDS, type HostServers } from "./hostServers.js";
import { type HostStore } from "./store/index.js";

/** Some callers cache a directory answer for three times as long as it permits. */
const MAXIMUM_KEEP_FACTOR = 3;

/** Reserved at the end of the grace period for the last answers and the exit. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** Time in which the last answers leave the host. */
const LAST_ANSWERS_MILLISECONDS = 100;

/** Time in which the last digest leaves the host. */
const LAST_DIGEST_MILLISECONDS = 150;

/** Interval at which a leaving host checks whether its last requests have ended, and its last digest has left. */
const LEAVING_CHECK_INTERVAL_MILLISECONDS = 20;

const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a host that take part in its leaving. */
export interface LeavingHost {
    readonly context: HostContext;
    readonly store: HostStore;
    readonly orders: EngineOrders;
    readonly forwarder: Forwarder;
    readonly servers: HostServers;
    /** Publishes a digest to peers. */
    readonly publishDigest: () => void;
    /** Returns how long digests that wait take to leave at least; 0 where none waits. */
    readonly backlogMilliseconds: () => number;
    /** Closes everything. */
    readonly close: () => Promise<void>;
}

/**
 * Ends advertising, serves requests that still arrive, lets all requests finish, then closes the host.
 *
 * @param host The host's parts.
 *
 * @example
 * ```ts
 * await leaveFleet({ context, store, orders, forwarder, servers, publishDigest, backlogMilliseconds, close });
 * ```
 */
export async function leaveFleet(host: LeavingHost): Promise<void> {
    const { context, forwarder, orders, publishDigest, servers, store } = host;
    const { lifecycle, logger, readClock } = context;
    const startedAt = readClock();
    lifecycle.leave();
    logger.info("stopping", { open: servers.openRequestCount });
    publishDigest();
    await orders.leave();
    await store.endSession();
    const keptMilliseconds = ADDRESS_KEEP_SECONDS * MAXIMUM_KEEP_FACTOR * MILLISECONDS_PER_SECOND;
    const finalMilliseconds = context.settings().bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
    await waitUntil(startedAt + Math.min(keptMilliseconds, finalMilliseconds), readClock);
    lifecycle.closeToCallers();
    logger.info("closed to callers", { open: servers.openRequestCount });
    await waitForRequests(host, startedAt + finalMilliseconds);
    servers.refuseWaiting();
    forwarder.abortAll();
    await waitForRequests(host, readClock() + LAST_ANSWERS_MILLISECONDS);
    servers.closeToCallers();
    await leavePeers(host);
    await host.close();
    logger.info("stopped", { tookMilliseconds: Math.round(readClock() - startedAt) });
}

/** Waits until no request is open, or until the given time. */
function waitForRequests({ context, servers }: LeavingHost, untilMilliseconds: number): Promise<void> {
    return waitFor(() => servers.openRequestCount === 0, untilMilliseconds, context.readClock);
}

/** Relinquishes the engines that could not be handed over, publishes that to peers, and ends the session. */
async function leavePeers({ backlogMilliseconds, context, orders, publishDigest, store }: LeavingHost): Promise<void> {
    const { readClock } = context;
    orders.stop();
    publishDigest();
    const untilMilliseconds = readClock() + LAST_DIGEST_MILLISECONDS;
    await store.endSession();
    await waitFor(() => backlogMilliseconds() === 0, untilMilliseconds, readClock);
}

/** Waits until a condition holds, or until the given time. */
async function waitFor(holds: () => boolean, untilMilliseconds: number, readClock: () => number): Promise<void> {
    while (!holds() && readClock() < untilMilliseconds) {
        await waitUntil(readClock() + LEAVING_CHECK_INTERVAL_MILLISECONDS, readClock);
    }
}

function waitUntil(atMilliseconds: number, readClock: () => number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, atMilliseconds - readClock())));
}
