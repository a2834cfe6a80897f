/**
 * Slots of an engine stand-in, with a queue that starts urgent requests first.
 *
 * @module
 */

interface QueuedRequest {
    readonly urgent: boolean;
    readonly start: () => void;
}

/** A bounded number of slots with a bounded queue. */
export class EngineQueue {
    readonly #slots: number;
    readonly #maximumQueueLength: number;
    #queue: QueuedRequest[] = [];
    running = 0;

    constructor(slots: number, maximumQueueLength: number) {
        this.#slots = slots;
        this.#maximumQueueLength = maximumQueueLength;
    }

    get waiting(): number {
        return this.#queue.length;
    }

    /** True where all slots are in use and the queue is full. */
    get isFull(): boolean {
        return this.running >= this.#slots && this.#queue.length >= this.#maximumQueueLength;
    }

    /** Waits for a slot. Returns true once it is acquired, false where `cancelled` aborts the wait first. */
    async acquireSlot(urgent: boolean, cancelled: AbortSignal): Promise<boolean> {
        if (cancelled.aborted) {
            return false;
        }
        if (this.running < this.#slots) {
            this.running += 1;
            return true;
        }
        return new Promise(resolve => {
            const queued: QueuedRequest = {
                urgent,
                start: () => {
                    resolve(true);
                },
            };
            this.#queue.push(queued);
            cancelled.addEventListener("abort", () => {
                this.#queue = this.#queue.filter(other => other !== queued);
                resolve(false);
            });
        });
    }

    /** Passes the slot to the next queued request, or frees it where none is queued. */
    release(): void {
        const next = this.#queue.find(({ urgent }) => urgent) ?? this.#queue[0];
        if (next === undefined) {
            this.running -= 1;
            return;
        }
        this.#queue = this.#queue.filter(other => other !== next);
        next.start();
    }
}
