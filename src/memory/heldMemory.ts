/**
 * Memory that several parts of the host hold at once.
 *
 * @module
 */
import { type MemoryReservation } from "./memoryBudget.js";

/**
 * Keeps memory reserved until nobody holds it any more, and frees it then.
 *
 * @example
 * ```ts
 * const memory = new HeldMemory(budget.begin("requests"));
 * const giveUpOfConnection = memory.hold();
 * const giveUpOfCall = memory.hold();
 * giveUpOfConnection();
 * giveUpOfCall(); // It is released now.
 * ```
 */
export class HeldMemory {
    readonly reservation: MemoryReservation;
    #holders = 0;
    #isReleased = false;
    #free: () => void = () => undefined;

    constructor(reservation: MemoryReservation) {
        this.reservation = reservation;
    }

    /** Sets what frees the memory; called at once where nobody holds it any more. */
    setFree(free: () => void): void {
        if (this.#isReleased) {
            free();
        }
        else {
            this.#free = free;
        }
    }

    /**
     * Holds the memory.
     *
     * @returns A function that gives the hold up; it has no effect a second time.
     * @throws Where the memory was released already.
     */
    hold(): () => void {
        if (this.#isReleased) {
            throw new Error("memory was released before it is held");
        }
        this.#holders += 1;
        let isHeld = true;
        return () => {
            if (isHeld) {
                isHeld = false;
                this.#giveUp();
            }
        };
    }

    #giveUp(): void {
        this.#holders -= 1;
        if (this.#holders === 0) {
            this.#isReleased = true;
            this.#free();
            this.reservation.release();
        }
    }
}
