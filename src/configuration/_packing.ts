/**
 * Proves that items cannot be packed into bins, where that can be proved with bounded work.
 *
 * Two proofs are tried: more is asked than there is room, counted by sets of bin kinds; and a complete search without
 * result. A search that reaches its bound proves nothing.
 *
 * @module
 */

/** A bin; its kind stands for the pool of the engine. */
export interface PackingBin {
    readonly kind: number;
    readonly room: number;
}

/** An item, each copy of which needs a bin of its own. */
export interface PackingItem {
    readonly size: number;
    readonly copies: number;
    readonly kinds: ReadonlySet<number>;
}

const MOST_SEARCH_STEPS = 2_000_000;
const MOST_KINDS_COUNTED_IN_SETS = 10;

/**
 * Looks for a proof that no packing exists.
 *
 * @param items What has to be packed.
 * @param bins Where to.
 * @returns The proof in words; `undefined` where a packing exists or the bounded search ended without a result.
 */
export function provePackingImpossible(
    items: readonly PackingItem[],
    bins: readonly PackingBin[],
): string | undefined {
    return proveBySum(items, bins) ?? proveBySearch(items, bins);
}

function subsets(kinds: readonly number[]): ReadonlySet<number>[] {
    if (kinds.length > MOST_KINDS_COUNTED_IN_SETS) {
        return [new Set(kinds), ...kinds.map(kind => new Set([kind]))];
    }
    const count = 2 ** kinds.length;
    return Array.from(
        { length: count - 1 },
        (_, index) => new Set(kinds.filter((_kind, bit) => Math.floor((index + 1) / 2 ** bit) % 2 === 1)),
    );
}

/** Items that may only go to a set of kinds must fit into the sum of its rooms. */
function proveBySum(items: readonly PackingItem[], bins: readonly PackingBin[]): string | undefined {
    const kinds = [...new Set(bins.map(bin => bin.kind))].sort((left, right) => left - right);
    for (const set of subsets(kinds)) {
        const bound = items.filter(item => [...item.kinds].every(kind => set.has(kind)));
        const needed = bound.reduce((sum, item) => sum + item.size * item.copies, 0);
        const room = bins.filter(bin => set.has(bin.kind)).reduce((sum, bin) => sum + bin.room, 0);
        if (needed > room) {
            return `${needed} megabytes are needed by models that may only go to pools with ${room} megabytes of room`;
        }
    }
    return undefined;
}

interface OpenBin {
    readonly kind: number;
    room: number;
}

const NO_BINS: ReadonlySet<OpenBin> = new Set();

function isFuller(left: OpenBin, right: OpenBin): boolean {
    return left.room < right.room || (left.room === right.room && left.kind < right.kind);
}

class Search {
    readonly #copies: readonly PackingItem[];
    readonly #bins: OpenBin[];
    #steps = 0;

    constructor(items: readonly PackingItem[], bins: readonly PackingBin[]) {
        const sorted = [...items].sort((left, right) => right.size - left.size);
        this.#copies = sorted.flatMap(item => Array.from({ length: item.copies }, () => item));
        this.#bins = bins.map(bin => ({ ...bin }));
    }

    /** Gives `found`, `none` after a complete search, or `unknown` at the bound. */
    run(): "found" | "none" | "unknown" {
        return this.#place(0, NO_BINS);
    }

    /** Places the copy at `index`; `taken` are the bins that hold earlier copies of the same item. */
    #place(index: number, taken: ReadonlySet<OpenBin>): "found" | "none" | "unknown" {
        const item = this.#copies[index];
        if (item === undefined) {
            return "found";
        }
        const sameNext = this.#copies[index + 1] === item;
        for (let bin = this.#next(item, taken); bin !== undefined; bin = this.#next(item, taken, bin)) {
            if (this.#steps > MOST_SEARCH_STEPS) {
                return "unknown";
            }
            bin.room -= item.size;
            const outcome = this.#place(index + 1, sameNext ? new Set([...taken, bin]) : NO_BINS);
            bin.room += item.size;
            if (outcome !== "none") {
                return outcome;
            }
        }
        return "none";
    }

    /** Gives the fullest bin with room that comes behind another; bins of one kind and room are equal, one is given. */
    #next(item: PackingItem, taken: ReadonlySet<OpenBin>, behind?: OpenBin): OpenBin | undefined {
        this.#steps += this.#bins.length;
        let best: OpenBin | undefined;
        for (const bin of this.#bins) {
            const eligible = bin.room >= item.size && item.kinds.has(bin.kind) && !taken.has(bin);
            const isBehind = behind === undefined || isFuller(behind, bin);
            if (eligible && isBehind && (best === undefined || isFuller(bin, best))) {
                best = bin;
            }
        }
        return best;
    }
}

function proveBySearch(items: readonly PackingItem[], bins: readonly PackingBin[]): string | undefined {
    return new Search(items, bins).run() === "none"
        ? "a complete search found no placement in which every model stands whole on one engine"
        : undefined;
}
