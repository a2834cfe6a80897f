/**
 * Proves that items cannot be packed into bins, where that can be proved with bounded work.
 *
 * Two proofs are tried: the items restricted to some set of bin kinds are larger in total than the free capacity of
 * those bins; and a complete search finds no packing. A search that reaches its step limit is inconclusive.
 *
 * @module
 */

/** A bin, which represents an engine; its kind represents the engine's pool. */
export interface PackingBin {
    readonly kind: number;
    readonly freeCapacity: number;
}

/** An item, which represents a model; each of its copies needs a separate bin. */
export interface PackingItem {
    readonly size: number;
    readonly copies: number;
    readonly kinds: ReadonlySet<number>;
}

const MAXIMUM_SEARCH_STEPS = 2_000_000;
const MAXIMUM_KINDS_FOR_ALL_SUBSETS = 10;

/**
 * Searches for a proof that no packing exists.
 *
 * @param items The items to pack.
 * @param bins The bins to pack them into.
 * @returns A description of the proof; `undefined` where a packing exists or the search was inconclusive.
 */
export function provePackingImpossible(
    items: readonly PackingItem[],
    bins: readonly PackingBin[],
): string | undefined {
    return proveByTotalSize(items, bins) ?? proveBySearch(items, bins);
}

/** Returns the non-empty subsets of the kinds; where these are too many, only the whole set and the single kinds. */
function subsets(kinds: readonly number[]): ReadonlySet<number>[] {
    if (kinds.length > MAXIMUM_KINDS_FOR_ALL_SUBSETS) {
        return [new Set(kinds), ...kinds.map(kind => new Set([kind]))];
    }
    const count = 2 ** kinds.length;
    return Array.from(
        { length: count - 1 },
        (_, index) => new Set(kinds.filter((_kind, bit) => Math.floor((index + 1) / 2 ** bit) % 2 === 1)),
    );
}

/** Compares the total size of the items restricted to a set of kinds with the free capacity of its bins. */
function proveByTotalSize(items: readonly PackingItem[], bins: readonly PackingBin[]): string | undefined {
    const kinds = [...new Set(bins.map(bin => bin.kind))].sort((left, right) => left - right);
    for (const set of subsets(kinds)) {
        const restrictedItems = items.filter(item => [...item.kinds].every(kind => set.has(kind)));
        const needed = restrictedItems.reduce((sum, item) => sum + item.size * item.copies, 0);
        const available = bins.filter(bin => set.has(bin.kind)).reduce((sum, bin) => sum + bin.freeCapacity, 0);
        if (needed > available) {
            return `${needed} megabytes are needed by models restricted to pools with ${available} megabytes available`;
        }
    }
    return undefined;
}

interface SearchBin {
    readonly kind: number;
    freeCapacity: number;
}

const NO_BINS: ReadonlySet<SearchBin> = new Set();

function isFuller(left: SearchBin, right: SearchBin): boolean {
    return left.freeCapacity < right.freeCapacity
        || (left.freeCapacity === right.freeCapacity && left.kind < right.kind);
}

class PackingSearch {
    readonly #copies: readonly PackingItem[];
    readonly #bins: SearchBin[];
    #steps = 0;

    constructor(items: readonly PackingItem[], bins: readonly PackingBin[]) {
        const sorted = [...items].sort((left, right) => right.size - left.size);
        this.#copies = sorted.flatMap(item => Array.from({ length: item.copies }, () => item));
        this.#bins = bins.map(bin => ({ ...bin }));
    }

    /** Returns `found`, `none` after a complete search, or `unknown` at the step limit. */
    run(): "found" | "none" | "unknown" {
        return this.#place(0, NO_BINS);
    }

    /** Places the copies from `index` on; `usedBins` hold earlier copies of the same item. */
    #place(index: number, usedBins: ReadonlySet<SearchBin>): "found" | "none" | "unknown" {
        const item = this.#copies[index];
        if (item === undefined) {
            return "found";
        }
        const nextIsSameItem = this.#copies[index + 1] === item;
        for (let bin = this.#nextBin(item, usedBins); bin !== undefined; bin = this.#nextBin(item, usedBins, bin)) {
            if (this.#steps > MAXIMUM_SEARCH_STEPS) {
                return "unknown";
            }
            bin.freeCapacity -= item.size;
            const outcome = this.#place(index + 1, nextIsSameItem ? new Set([...usedBins, bin]) : NO_BINS);
            bin.freeCapacity += item.size;
            if (outcome !== "none") {
                return outcome;
            }
        }
        return "none";
    }

    /** Returns the fullest eligible bin after `previous`; bins of equal kind and capacity are tried only once. */
    #nextBin(item: PackingItem, usedBins: ReadonlySet<SearchBin>, previous?: SearchBin): SearchBin | undefined {
        this.#steps += this.#bins.length;
        let best: SearchBin | undefined;
        for (const bin of this.#bins) {
            const eligible = bin.freeCapacity >= item.size && item.kinds.has(bin.kind) && !usedBins.has(bin);
            const isAfterPrevious = previous === undefined || isFuller(previous, bin);
            if (eligible && isAfterPrevious && (best === undefined || isFuller(bin, best))) {
                best = bin;
            }
        }
        return best;
    }
}

function proveBySearch(items: readonly PackingItem[], bins: readonly PackingBin[]): string | undefined {
    return new PackingSearch(items, bins).run() === "none"
        ? "a complete search found no placement in which every copy fits on a single engine"
        : undefined;
}
