/**
 * Runs actions under a simulated clock, in order of time and, at equal times, of scheduling.
 *
 * @module
 */

interface ScheduledAction {
    readonly atMilliseconds: number;
    readonly sequence: number;
    readonly action: () => void;
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
    return left.atMilliseconds < right.atMilliseconds
        || (left.atMilliseconds === right.atMilliseconds && left.sequence < right.sequence);
}

/** A binary heap of scheduled actions, and the simulated time. */
export class EventScheduler {
    readonly #heap: ScheduledAction[] = [];
    #sequence = 0;
    nowMilliseconds = 0;

    /** Schedules an action. */
    schedule(atMilliseconds: number, action: () => void): void {
        this.#sequence += 1;
        this.#heap.push({ atMilliseconds, sequence: this.#sequence, action });
        this.#siftUp(this.#heap.length - 1);
    }

    /** Runs every action up to and including a time, then sets the clock to that time. */
    runUntil(endMilliseconds: number): void {
        for (let first = this.#heap[0]; first !== undefined; first = this.#heap[0]) {
            if (first.atMilliseconds > endMilliseconds) {
                break;
            }
            this.#removeFirst();
            this.nowMilliseconds = first.atMilliseconds;
            first.action();
        }
        this.nowMilliseconds = endMilliseconds;
    }

    #removeFirst(): void {
        const last = this.#heap.pop();
        if (last !== undefined && this.#heap.length > 0) {
            this.#heap[0] = last;
            this.#siftDown(0);
        }
    }

    #siftUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.#swapIfBefore(index, parent)) {
                return;
            }
            index = parent;
        }
    }

    #siftDown(start: number): void {
        let index = start;
        for (;;) {
            const left = 2 * index + 1;
            const smaller = this.#earlierIndex(left, left + 1);
            if (!this.#swapIfBefore(smaller, index)) {
                return;
            }
            index = smaller;
        }
    }

    #earlierIndex(left: number, right: number): number {
        const [first, second] = [this.#heap[left], this.#heap[right]];
        return first !== undefined && second !== undefined && isBefore(second, first) ? right : left;
    }

    #swapIfBefore(index: number, other: number): boolean {
        const [entry, otherEntry] = [this.#heap[index], this.#heap[other]];
        if (entry === undefined || otherEntry === undefined || !isBefore(entry, otherEntry)) {
            return false;
        }
        this.#heap[index] = otherEntry;
        this.#heap[other] = entry;
        return true;
    }
}
