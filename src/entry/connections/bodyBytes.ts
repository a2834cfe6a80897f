/**
 * Limits the memory of callers' bodies, of all connections together.
 *
 * @module
 */

/** Bodies of all requests that a host holds, in bytes; beside its other memory within the smallest machine's. */
const MAXIMUM_TOTAL_BYTES = 128 * 1024 * 1024;

/** Memory of one request's body; released once. */
export interface BodyReservation {
    /** Reserves memory for a piece of the body; returns `false`, and reserves none, where all bodies leave no room. */
    tryReserve(pieceBytes: number): boolean;
    /** Releases what was reserved; nothing can be reserved after. */
    release(): void;
}

/**
 * Counts the bytes of bodies that were read and are still needed.
 *
 * @example
 * ```ts
 * const reservation = new BodyBytes().begin();
 * reservation.tryReserve(65_536); // true
 * reservation.release();
 * ```
 */
export class BodyBytes {
    #bytes = 0;

    /** Begins the reservation of one request. */
    begin(): BodyReservation {
        let heldBytes = 0;
        let isReleased = false;
        return {
            tryReserve: pieceBytes => {
                if (isReleased || this.#bytes + pieceBytes > MAXIMUM_TOTAL_BYTES) {
                    return false;
                }
                this.#bytes += pieceBytes;
                heldBytes += pieceBytes;
                return true;
            },
            release: () => {
                isReleased = true;
                this.#bytes -= heldBytes;
                heldBytes = 0;
            },
        };
    }
}
