/**
 * Cells: small groups of hosts whose members tell each other everything.
 *
 * What all hosts tell all others grows with the square of their number. Inside a cell it is bounded; between cells only
 * sums pass. A fleet no larger than a cell is one cell.
 *
 * @module
 */

/** Most hosts of a cell. */
export const MOST_HOSTS_OF_CELL = 12;

/** A host and its availability zone. */
export interface PlacedHost {
    readonly host: string;
    readonly zone: string;
}

function compareText(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

function comparePlaces(left: PlacedHost, right: PlacedHost): number {
    return compareText(left.zone, right.zone) || compareText(left.host, right.host);
}

/**
 * Divides hosts into cells of about equal size. Hosts that know the same fleet find the same cells; a host that comes or
 * goes moves few of the others. Cells keep to a zone where its size allows it, so that most of what is told stays there.
 *
 * @param hosts All hosts of the fleet, in any order.
 * @returns The cells, each in the order of its members.
 *
 * @example
 * ```ts
 * divideIntoCells([{ host: "entry-2", zone: "a" }, { host: "entry-1", zone: "a" }]); // one cell, entry-1 first
 * ```
 */
export function divideIntoCells<Host extends PlacedHost>(hosts: readonly Host[]): Host[][] {
    const ordered = [...hosts].sort(comparePlaces);
    const count = Math.ceil(ordered.length / MOST_HOSTS_OF_CELL);
    return Array.from({ length: count }, (_, index) => {
        const begin = Math.floor(index * ordered.length / count);
        const end = Math.floor((index + 1) * ordered.length / count);
        return ordered.slice(begin, end);
    });
}
