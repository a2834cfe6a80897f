/**
 * The memory that a host may use for what it holds for others: callers' requests, upstreams' answers, messages of peers.
 *
 * @module
 */

/** Memory of a machine whose settings do not name it. */
export const DEFAULT_MACHINE_BYTES = 256 * 1024 * 1024;

/** Memory of the program itself under load: code, the heap of JavaScript, and the runtime's own. */
const PROGRAM_BYTES = 100 * 1024 * 1024;

/** The budget of a machine that has hardly more memory than the program needs, as a share of it. */
const MINIMUM_BUDGET_SHARE = 1 / 8;

/** Resident bytes for each byte that is reserved: memory that is free again stays resident until it is collected. */
const RESIDENT_BYTES_PER_RESERVED_BYTE = 1.5;

/** What memory is reserved for. */
export type MemoryUse =
    /** Requests that were read, and their bodies. */
    | "requests"
    /** Answers on their way to callers. */
    | "answers"
    /** What calls under way are expected to bring, beyond what they have brought. */
    | "calls"
    /** Messages of peers that wait to be handled. */
    | "peers";

/**
 * The share of the budget up to which a use may take memory, whatever holds the rest. Requests that have not run are
 * refused while there is still room for the answers of those that have. What calls are only expected to bring does not
 * count for requests, since whether there is room for a call is decided when the request is sent, nor for others up to
 * the minimum of calls.
 */
const SHARE_OF_BUDGET: Readonly<Record<MemoryUse, number>> = {
    requests: 0.6,
    calls: 0.7,
    answers: 0.9,
    peers: 1,
};

/** The part of its share beyond which memory is short for a use. */
const SHORT_PART = 0.5;

/**
 * Memory that a use always finds, whatever the others hold: hosts that hear nothing of each other serve worse, and one
 * that calls no upstream serves nobody.
 */
const MINIMUM_BYTES: Readonly<Record<MemoryUse, number>> = {
    requests: 0,
    answers: 0,
    calls: 6 * 1024 * 1024,
    peers: 1024 * 1024,
};

/** Memory that one holder has reserved; it is released whole or in parts. */
export interface MemoryReservation {
    /** Bytes that are reserved now. */
    readonly bytes: number;
    /** Reserves memory that is not in use yet; returns `false`, and reserves none, where there is no room. */
    tryReserve(bytes: number): boolean;
    /** Reserves memory that is in use already; the budget may be exceeded. */
    reserve(bytes: number): void;
    /** Releases a part; all that is reserved by default. */
    release(bytes?: number): void;
}

/** Options of {@linkcode MemoryBudget}. */
export interface MemoryBudgetOptions {
    /** Memory of the machine, in bytes; {@linkcode DEFAULT_MACHINE_BYTES} where it is not known. */
    readonly machineBytes: number | undefined;
}

/** Returns the bytes that can be reserved on a machine, beside the memory of the program itself. */
function budgetOf(machineBytes: number): number {
    const beyondProgram = (machineBytes - PROGRAM_BYTES) / RESIDENT_BYTES_PER_RESERVED_BYTE;
    return Math.floor(Math.max(beyondProgram, machineBytes * MINIMUM_BUDGET_SHARE));
}

/**
 * Counts the memory that is reserved, and refuses what the machine has no room for.
 *
 * @example
 * ```ts
 * const budget = new MemoryBudget({ machineBytes: 350_000_000 });
 * const reservation = budget.begin("requests");
 * reservation.tryReserve(65_536); // true
 * reservation.release();
 * ```
 */
export class MemoryBudget {
    #machineBytes: number;
    #budgetBytes: number;
    readonly #reservedBytes: Record<MemoryUse, number> = { requests: 0, answers: 0, calls: 0, peers: 0 };
    #totalBytes = 0;

    constructor({ machineBytes = DEFAULT_MACHINE_BYTES }: MemoryBudgetOptions) {
        this.#machineBytes = machineBytes;
        this.#budgetBytes = budgetOf(machineBytes);
    }

    /** Memory of the machine, beyond which the process is killed. */
    get machineBytes(): number {
        return this.#machineBytes;
    }

    /** Bytes that can be reserved, of all uses together. */
    get budgetBytes(): number {
        return this.#budgetBytes;
    }

    /** Bytes that are reserved for a use. */
    reservedBytes(use: MemoryUse): number {
        return this.#reservedBytes[use];
    }

    /** Bytes that are reserved, by their use. */
    reservedByUse(): ReadonlyMap<MemoryUse, number> {
        return new Map(Object.entries(this.#reservedBytes) as [MemoryUse, number][]);
    }

    /** Applies the memory of the machine, from changed settings; what is reserved stays so. */
    setMachineBytes(machineBytes: number = DEFAULT_MACHINE_BYTES): void {
        this.#machineBytes = machineBytes;
        this.#budgetBytes = budgetOf(machineBytes);
    }

    /** Returns the bytes of the budget up to which a use may take memory. */
    shareBytes(use: MemoryUse): number {
        return this.#budgetBytes * SHARE_OF_BUDGET[use];
    }

    /** Returns whether there is room for a use. */
    hasRoomFor(use: MemoryUse, bytes: number): boolean {
        const { calls } = this.#reservedBytes;
        const uncountedBytes = use === "requests" ? calls : Math.min(calls, MINIMUM_BYTES.calls);
        return this.#totalBytes - uncountedBytes + bytes <= this.shareBytes(use)
            || this.#reservedBytes[use] + bytes <= MINIMUM_BYTES[use];
    }

    /** Returns whether less than half of what a use may take is left for it. */
    isShortFor(use: MemoryUse): boolean {
        return !this.hasRoomFor(use, this.shareBytes(use) * SHORT_PART);
    }

    /** Begins the reservation of one holder. */
    begin(use: MemoryUse): MemoryReservation {
        let heldBytes = 0;
        const reserve = (bytes: number): void => {
            heldBytes += bytes;
            this.#add(use, bytes);
        };
        return {
            get bytes() {
                return heldBytes;
            },
            tryReserve: bytes => {
                const hasRoom = this.hasRoomFor(use, bytes);
                if (hasRoom) {
                    reserve(bytes);
                }
                return hasRoom;
            },
            reserve,
            release: (bytes = heldBytes) => {
                const releasedBytes = Math.min(bytes, heldBytes);
                heldBytes -= releasedBytes;
                this.#add(use, -releasedBytes);
            },
        };
    }

    #add(use: MemoryUse, bytes: number): void {
        this.#reservedBytes[use] += bytes;
        this.#totalBytes += bytes;
    }
}
