/**
 * Cells: small groups of hosts that exchange full digests.
 *
 * Gossip among all hosts grows with the square of their number. The size of a cell bounds it, and cells exchange only
 * aggregates. A fleet no larger than a cell is one cell.
 *
 * @module
 */

export const MAXIMUM_HOSTS_PER_CELL = 12;

/** A host and its availability zone. */
export interface HostWithZone {
    readonly host: string;
    readonly zone: string;
}

function compareText(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

function compareZonesAndHosts(left: HostWithZone, right: HostWithZone): number {
    return compareText(left.zone, right.zone) || compareText(left.host, right.host);
}

/**
 * Divides hosts into cells of about equal size. Hosts that know the same fleet compute the same cells, and adding or
 * removing a host moves few others. Cells stay within a zone where its size allows, which keeps most gossip there.
 *
 * @param hosts All hosts of the fleet, in any order.
 * @returns The cells, each in the order of its members.
 *
 * @example
 * ```ts
 * divideIntoCells([{ host: "entry-2", zone: "a" }, { host: "entry-1", zone: "a" }]); // one cell, entry-1 first
 * ```
 */
export function divideIntoCells<Host extends HostWithZone>(hosts: readonly Host[]): Host[][] {
    const ordered = [...hosts].sort(compareZonesAndHosts);
    const count = Math.ceil(ordered.length / MAXIMUM_HOSTS_PER_CELL);
    return Array.from({ length: count }, (_, index) => {
        const begin = Math.floor(index * ordered.length / count);
        const end = Math.floor((index + 1) * ordered.length / count);
        return ordered.slice(begin, end);
    });
}
