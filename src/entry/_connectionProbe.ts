/**
 * Tests whether a connection to an upstream can be established.
 *
 * @module
 */
import { connect } from "node:net";
import { afterPolling, parseAddress } from "../transport/index.js";

/** Connecting within a region takes a few milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 250;

/**
 * Connects to an address and closes the connection at once.
 *
 * @param address IP number and port.
 * @returns Whether the connection was established in time.
 *
 * @example
 * ```ts
 * const isReachable = await canConnect("10.128.0.9:8080");
 * ```
 */
export function canConnect(address: string): Promise<boolean> {
    const parsed = parseAddress(address);
    if (parsed.isErr()) {
        return Promise.resolve(false);
    }
    return new Promise(resolve => {
        const socket = connect(parsed.value);
        const timer = setTimeout(() => afterPolling(() => finish(false)), PROBE_TIMEOUT_MILLISECONDS);
        const finish = (isConnected: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isConnected);
        };
        socket.once("connect", () => finish(true));
        socket.on("error", () => finish(false));
    });
}
