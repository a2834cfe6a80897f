/**
 * How often a request was sent in vain.
 *
 * @module
 */
import { type AttemptFailure, provesNotRun, provesNotSent } from "../../forwarding/index.js";

/** Counts the attempts of a request that have ended without an answer. */
export class SendCounts {
    #mayHaveRun = 0;
    #rejected = 0;

    /** Attempts that an upstream may have run. */
    get mayHaveRun(): number {
        return this.#mayHaveRun;
    }

    /** Attempts that an upstream rejected. */
    get rejected(): number {
        return this.#rejected;
    }

    /** Records that an attempt has failed. */
    recordFailure(failure: AttemptFailure): void {
        if (!provesNotRun(failure)) {
            this.#mayHaveRun += 1;
        }
        else if (!provesNotSent(failure)) {
            this.#rejected += 1;
        }
    }

    /** Records that this host has cancelled an attempt, which the upstream may have been sent. */
    recordCancelled(mayHaveSent: boolean): void {
        this.#mayHaveRun += mayHaveSent ? 1 : 0;
    }
}
