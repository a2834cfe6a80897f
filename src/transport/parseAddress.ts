/**
 * Parses addresses that others write.
 *
 * @module
 */
import { isIP } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";

const LAST_PORT = 65_535;

/** IP number and port of an address. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/** Returns whether a text is a port that can be connected to. */
function isPort(text: string): boolean {
    const port = Number(text);
    return /^[1-9]\d*$/.test(text) && port <= LAST_PORT;
}

/**
 * Parses an IP number and a port, separated by the last colon. Node throws where it is to connect to anything else.
 *
 * @param address The text.
 * @returns The parts; an error with what is wrong for a text that nothing can connect to.
 *
 * @example
 * ```ts
 * parseAddress("10.128.0.9:8080").unwrap(); // { host: "10.128.0.9", port: 8080 }
 * parseAddress("10.128.0.9:99999").isErr(); // true
 * ```
 */
export function parseAddress(address: string): Result<HostAndPort, string> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator);
    const port = address.slice(separator + 1);
    return separator !== -1 && isIP(host) !== 0 && isPort(port)
        ? Ok({ host, port: Number(port) })
        : Err(`${JSON.stringify(address)} is not an IP number and a port`);
}
