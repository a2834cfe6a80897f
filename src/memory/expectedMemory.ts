/**
 * Memory that one holder is expected to need, and what of it is in use.
 *
 * @module
 */
import { type MemoryBudget, type MemoryReservation, type MemoryUse } from "./memoryBudget.js";

/**
 * Reserves what a call is expected to bring before it has; what is then reserved for the answer counts against that
 * first, so that the sum is the larger of the two.
 *
 * @example
 * ```ts
 * const memory = new ExpectedMemory(budget);
 * memory.expect(196_608);
 * const answer = memory.begin("answers");
 * answer.tryReserve(65_536); // 196,608 bytes are reserved, as before.
 * ```
 */
export class ExpectedMemory {
    readonly #budget: MemoryBudget;
    /** What is expected and not in use. */
    readonly #unused: MemoryReservation;
    #expectedBytes = 0;
    #usedBytes = 0;

    constructor(budget: MemoryBudget) {
        this.#budget = budget;
        this.#unused = budget.begin("calls");
    }

    /** Sets what is expected from now on; reserved whether there is room or not. */
    expect(bytes: number): void {
        this.#expectedBytes = bytes;
        this.#update();
    }

    /** Begins a reservation that counts against what is expected. */
    begin(use: MemoryUse): MemoryReservation {
        const used = this.#budget.begin(use);
        const release = (bytes = used.bytes): void => {
            const releasedBytes = Math.min(bytes, used.bytes);
            used.release(releasedBytes);
            this.#recordUsed(-releasedBytes);
        };
        return {
            get bytes() {
                return used.bytes;
            },
            tryReserve: bytes => this.#tryUse(used, bytes),
            reserve: bytes => {
                used.reserve(bytes);
                this.#recordUsed(bytes);
            },
            release,
        };
    }

    #tryUse(used: MemoryReservation, bytes: number): boolean {
        this.#recordUsed(bytes);
        const hasRoom = used.tryReserve(bytes);
        if (!hasRoom) {
            this.#recordUsed(-bytes);
        }
        return hasRoom;
    }

    #recordUsed(bytes: number): void {
        this.#usedBytes += bytes;
        this.#update();
    }

    #update(): void {
        this.#unused.release();
        this.#unused.reserve(Math.max(0, this.#expectedBytes - this.#usedBytes));
    }
}
