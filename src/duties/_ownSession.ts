/**
 * The session of this host, and until when it counts as confirmed.
 *
 * @module
 */
import { type ClockReading } from "./clockReading.js";

/** A larger difference between the wall clock and the monotonic clock is treated as a suspension of the host. */
const CLOCK_TOLERANCE_MILLISECONDS = 250;

/** This host's session, which counts as confirmed for a limited time after each confirmation. */
export class OwnSession {
    readonly #confirmedMilliseconds: number;
    #session: string | undefined;
    #confirmedAt: ClockReading | undefined;

    /** @param confirmedMilliseconds For how long a confirmation counts. */
    constructor(confirmedMilliseconds: number) {
        this.#confirmedMilliseconds = confirmedMilliseconds;
    }

    /** The session; `undefined` while there is none. */
    get session(): string | undefined {
        return this.#session;
    }

    /** Records the session, confirmed by a call that was sent at the reading. */
    confirm(session: string, sentAt: ClockReading): void {
        this.#session = session;
        this.#confirmedAt = sentAt;
    }

    /** Records a later confirmation of the session, if there is one. */
    extend(sentAt: ClockReading): void {
        const confirmedAt = this.#confirmedAt;
        if (confirmedAt !== undefined && sentAt.steadyMilliseconds > confirmedAt.steadyMilliseconds) {
            this.#confirmedAt = sentAt;
        }
    }

    end(): void {
        this.#session = undefined;
        this.#confirmedAt = undefined;
    }

    /** Returns whether the session was confirmed recently; false where the clocks diverge (suspension). */
    isConfirmed(now: ClockReading): boolean {
        if (this.#confirmedAt === undefined) {
            return false;
        }
        const steadyElapsed = now.steadyMilliseconds - this.#confirmedAt.steadyMilliseconds;
        const timeOfDayElapsed = now.timeOfDayMilliseconds - this.#confirmedAt.timeOfDayMilliseconds;
        return steadyElapsed <= this.#confirmedMilliseconds
            && Math.abs(timeOfDayElapsed - steadyElapsed) <= CLOCK_TOLERANCE_MILLISECONDS;
    }
}
