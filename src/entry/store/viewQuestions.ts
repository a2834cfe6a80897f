/**
 * Asks the key-value service for changes where nobody in the cell has confirmed this host's view for a while.
 *
 * A watch whose answer is lost looks like one without changes, and so do the hosts that it feeds.
 *
 * @module
 */
import { type Logger, runInBackground } from "../../observability/index.js";
import { ViewAge } from "../../staleness/index.js";
import { type Acts } from "../actQueue.js";

/** Minimum time between two looks whether a question is due. */
const STEP_MILLISECONDS = 150;

/** Options of {@linkcode ViewQuestions}. */
export interface ViewQuestionsOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly logger: Logger;
    /** Returns the time for which this host could hear others, by which their silence is measured. */
    readonly listened: () => number;
    /** Returns the number of hosts of the cell that ask before this one. */
    readonly turn: () => number;
    /** Returns whether this host has a view, and the service answers its other calls. */
    readonly mayAsk: () => boolean;
    /** Reads the changes that this host has not heard of, and forwards them; resolves to whether the service answered. */
    readonly ask: () => Promise<boolean>;
}

/**
 * Asks when it is this host's turn, until closed.
 *
 * @example
 * ```ts
 * const questions = new ViewQuestions(options);
 * questions.start();
 * questions.recordConfirmed(batch.ageMilliseconds);
 * questions.close();
 * ```
 */
export class ViewQuestions {
    readonly #options: ViewQuestionsOptions;
    readonly #view: ViewAge;
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: ViewQuestionsOptions) {
        this.#options = options;
        this.#view = new ViewAge(options.listened());
    }

    /** Time since this host's view was confirmed. */
    get viewAgeMilliseconds(): number {
        return this.#view.ageMilliseconds(this.#options.listened());
    }

    start(): void {
        this.#schedule();
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    /**
     * Records that this host knows all changes up to an answer of the service.
     *
     * @param ageMilliseconds The service answered at most this long ago.
     */
    recordConfirmed(ageMilliseconds: number): void {
        this.#view.recordConfirmed(this.#options.listened() - ageMilliseconds);
    }

    #remainingMilliseconds(): number {
        const { listened, turn } = this.#options;
        return this.#view.askAtMilliseconds(turn()) - listened();
    }

    #schedule(): void {
        if (!this.#closed) {
            const milliseconds = Math.max(STEP_MILLISECONDS, this.#remainingMilliseconds());
            this.#timer = setTimeout(() => this.#options.acts.afterReading(() => this.#check()), milliseconds);
        }
    }

    #check(): void {
        if (this.#closed || this.#remainingMilliseconds() > 0 || !this.#options.mayAsk()) {
            this.#schedule();
            return;
        }
        runInBackground(this.#options.logger, "question about the view", () => this.#ask());
    }

    async #ask(): Promise<void> {
        let isAnswered = false;
        try {
            isAnswered = await this.#options.ask();
        }
        finally {
            this.#view.recordOutcome(isAnswered, this.#options.listened());
            this.#schedule();
        }
    }
}
