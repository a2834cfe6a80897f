/**
 * Splits addresses into host and port.
 *
 * @module
 */

/** IP number and port of an address. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address at its last colon.
 *
 * @param address IP number and port, separated by a colon.
 *
 * @example
 * ```ts
 * const { host, port } = splitAddress("10.128.0.9:8080");
 * ```
 */
export function splitAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
