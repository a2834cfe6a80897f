/**
 * Decides whether acts may rest on a host's view of the key-value service.
 *
 * @module
 */

/** `current`: acts may go on. `ask`: a question to the service is due. `asked`: its answer is awaited. */
export type ViewState = "current" | "ask" | "asked";

/**
 * Counts gaps in reading, and the questions that were asked since. A view from before a gap is current again once the
 * service has answered a question that was asked after the gap, or has left it unanswered for the time that acts wait.
 *
 * @example
 * ```ts
 * const confirmations = new ViewConfirmations();
 * confirmations.recordGap();
 * confirmations.state; // "ask"
 * confirmations.recordAsked();
 * confirmations.recordEnded();
 * confirmations.state; // "current"
 * ```
 */
export class ViewConfirmations {
    #gaps = 0;
    /** Gaps before the last question that has ended. */
    #settledGaps = 0;
    /** Gaps before the question that is open; `undefined` where none is. */
    #askedGaps: number | undefined;

    get state(): ViewState {
        if (this.#askedGaps !== undefined) {
            return "asked";
        }
        return this.#gaps === this.#settledGaps ? "current" : "ask";
    }

    /** True where the host did not read for a while after the open question was asked. */
    get hasGapSinceAsked(): boolean {
        return this.#askedGaps !== undefined && this.#askedGaps < this.#gaps;
    }

    /** Records that the host did not read for so long that its view may be too old. */
    recordGap(): void {
        this.#gaps += 1;
    }

    recordAsked(): void {
        this.#askedGaps = this.#gaps;
    }

    /** Records that the open question was answered, or that acts wait no longer for its answer. */
    recordEnded(): void {
        this.#settledGaps = this.#askedGaps ?? this.#settledGaps;
        this.#askedGaps = undefined;
    }
}
