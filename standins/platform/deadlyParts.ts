/**
 * Prompt parts that crash each engine which begins to write an answer on them.
 *
 * @module
 */

/** An arrival of a request with a deadly part at an engine, or the crash of an engine by it. */
export interface DeadlyPartRecord {
    readonly part: string;
    readonly requestId: string;
    readonly engine: string;
    readonly atMilliseconds: number;
}

/** Returns the identifiers of a prompt's parts, in order. */
function promptPartsOf(header: string | string[] | undefined): string[] {
    return String(header ?? "").split(",").map(pair => pair.split(":")[0] ?? "");
}

/**
 * The deadly parts of a fleet; the engines that share it record here which requests with such a part reached them and
 * which crashed them.
 *
 * @example
 * ```ts
 * const deadlyParts = new DeadlyParts(["91bd3f06"]);
 * deadlyParts.find("5c1e07a2:800,91bd3f06:410,e4402b7d:250"); // "91bd3f06"
 * ```
 */
export class DeadlyParts {
    readonly arrivals: DeadlyPartRecord[] = [];
    readonly crashes: DeadlyPartRecord[] = [];
    readonly #parts: ReadonlySet<string>;

    constructor(parts: readonly string[]) {
        this.#parts = new Set(parts);
    }

    /** Returns the first deadly part of a prompt; its last part is never deadly. */
    find(promptHeader: string | string[] | undefined): string | undefined {
        return promptPartsOf(promptHeader).slice(0, -1).find(part => this.#parts.has(part));
    }

    arrivalsOf(part: string): readonly DeadlyPartRecord[] {
        return this.arrivals.filter(record => record.part === part);
    }

    crashesBy(part: string): readonly DeadlyPartRecord[] {
        return this.crashes.filter(record => record.part === part);
    }

    recordArrival(part: string, requestId: string, engine: string): void {
        this.arrivals.push({ part, requestId, engine, atMilliseconds: performance.now() });
    }

    recordCrash(part: string, requestId: string, engine: string): void {
        this.crashes.push({ part, requestId, engine, atMilliseconds: performance.now() });
    }
}
