/**
 * The attempts of a request that run at a moment: usually one, and a hedge beside it while its answer has stalled.
 *
 * @module
 */
import { type Attempt } from "./attempt.js";

/** Attempts in the order in which they were sent. */
export class RunningAttempts {
    readonly #attempts: Attempt[] = [];
    #sentCount = 0;
    #lastUpstream: string | undefined;

    /** Attempts so far, with those that have ended. */
    get sentCount(): number {
        return this.#sentCount;
    }

    /** Upstream of the last attempt that runs, or of the one that ended last; `undefined` before the first. */
    get lastUpstream(): string | undefined {
        return this.#lastUpstream;
    }

    /** Attempts that run. */
    get count(): number {
        return this.#attempts.length;
    }

    /** The attempt that was sent last. */
    get last(): Attempt | undefined {
        return this.#attempts.at(-1);
    }

    /** True where an upstream may have received the request. */
    get mayHaveSent(): boolean {
        return this.#attempts.some(({ call }) => call?.mayHaveSent === true);
    }

    /** Time since a byte was last received by any attempt, or since the request was last sent. */
    get quietMilliseconds(): number {
        return Math.min(...this.#attempts.map(attempt => attempt.quietMilliseconds));
    }

    /** Returns a copy, in the order in which the attempts were sent. */
    list(): readonly Attempt[] {
        return [...this.#attempts];
    }

    add(attempt: Attempt): void {
        this.#attempts.push(attempt);
        this.#sentCount += 1;
        this.#lastUpstream = attempt.upstream.id;
    }

    has(attempt: Attempt): boolean {
        return this.#attempts.includes(attempt);
    }

    /** Cancels an attempt, and releases what it uses. */
    cancel(attempt: Attempt): void {
        this.#remove(attempt);
        attempt.cancel();
    }

    /** Releases what an attempt uses whose call has ended, or is left to end at its upstream. */
    release(attempt: Attempt): void {
        this.#remove(attempt);
        attempt.release();
    }

    cancelAll(): void {
        for (const attempt of this.list()) {
            this.cancel(attempt);
        }
    }

    #remove(attempt: Attempt): void {
        const index = this.#attempts.indexOf(attempt);
        if (index >= 0) {
            this.#attempts.splice(index, 1);
            this.#lastUpstream = this.last?.upstream.id ?? this.#lastUpstream;
        }
    }
}
