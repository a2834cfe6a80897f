/**
 * Compares the resident memory of the process with the machine's, and logs when it comes near.
 *
 * @module
 */
import { type Logger } from "../observability/index.js";
import { type MemoryBudget } from "./memoryBudget.js";

/** Shares of the machine's memory at which resident memory counts as near it, and as far from it again. */
const NEAR_SHARE = 0.85;
const FAR_SHARE = 0.75;

/** Options of {@linkcode MemoryWatch}. */
export interface MemoryWatchOptions {
    readonly logger: Logger;
    readonly memory: MemoryBudget;
    /** Returns the resident memory of the process. */
    readonly readResidentBytes: () => number;
}

/**
 * Logs each time that resident memory comes near the machine's, and each time that it is far from it again, with what
 * is reserved for each use.
 *
 * @example
 * ```ts
 * const watch = new MemoryWatch({ logger, memory, readResidentBytes: () => process.memoryUsage.rss() });
 * watch.check();
 * ```
 */
export class MemoryWatch {
    readonly #options: MemoryWatchOptions;
    #isNear = false;

    constructor(options: MemoryWatchOptions) {
        this.#options = options;
    }

    /** Returns the resident memory of the process. */
    readResidentBytes(): number {
        return this.#options.readResidentBytes();
    }

    /** Compares the resident memory of now; called at regular intervals. */
    check(): void {
        const { logger, memory } = this.#options;
        const residentBytes = this.readResidentBytes();
        const share = residentBytes / memory.machineBytes;
        const isNear = share > (this.#isNear ? FAR_SHARE : NEAR_SHARE);
        if (isNear === this.#isNear) {
            return;
        }
        this.#isNear = isNear;
        const fields = {
            residentBytes,
            machineBytes: memory.machineBytes,
            budgetBytes: memory.budgetBytes,
            ...Object.fromEntries([...memory.reservedByUse()].map(([use, bytes]) => [`${use}Bytes`, bytes])),
        };
        if (isNear) {
            logger.warn("memory is near the machine's limit", fields);
        }
        else {
            logger.info("memory is far from the machine's limit again", fields);
        }
    }
}
