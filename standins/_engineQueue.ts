/**
 * The slots of an engine stand-in, with a queue that takes urgent work first.
 *
 * @module
 */

interface Waiting {
    readonly urgent: boolean;
    readonly start: () => void;
}

/** A bounded number of slots with a bounded queue before them. */
export class EngineQueue {
    readonly #slots: number;
    readonly #longest: number;
    #waiting: Waiting[] = [];
    running = 0;

    constructor(slots: number, longest: number) {
        this.#slots = slots;
        this.#longest = longest;
    }

    get waiting(): number {
        return this.#waiting.length;
    }

    /** True where neither a slot nor a place in the queue is free. */
    get full(): boolean {
        return this.running >= this.#slots && this.#waiting.length >= this.#longest;
    }

    /** Waits for a slot; true once it is taken, false when `abandoned` ends the wait first. */
    async take(urgent: boolean, abandoned: AbortSignal): Promise<boolean> {
        if (abandoned.aborted) {
            return false;
        }
        if (this.running < this.#slots) {
            this.running += 1;
            return true;
        }
        return new Promise(resolve => {
            const waiting: Waiting = {
                urgent,
                start: () => {
                    resolve(true);
                },
            };
            this.#waiting.push(waiting);
            abandoned.addEventListener("abort", () => {
                this.#waiting = this.#waiting.filter(other => other !== waiting);
                resolve(false);
            });
        });
    }

    /** Hands the slot to the next in the queue. */
    release(): void {
        const next = this.#waiting.find(({ urgent }) => urgent) ?? this.#waiting[0];
        if (next === undefined) {
            this.running -= 1;
            return;
        }
        this.#waiting = this.#waiting.filter(other => other !== next);
        next.start();
    }
}
