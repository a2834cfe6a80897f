/**
 * Actions at moments of a simulated clock, in a defined order.
 *
 * @module
 */

interface Entry {
    readonly atMilliseconds: number;
    readonly sequence: number;
    readonly action: () => void;
}

function isBefore(left: Entry, right: Entry): boolean {
    return left.atMilliseconds < right.atMilliseconds
        || (left.atMilliseconds === right.atMilliseconds && left.sequence < right.sequence);
}

/** A binary heap of actions, with the time that the last one brought. */
export class Agenda {
    readonly #heap: Entry[] = [];
    #sequence = 0;
    nowMilliseconds = 0;

    /** Adds an action. */
    at(atMilliseconds: number, action: () => void): void {
        this.#sequence += 1;
        this.#heap.push({ atMilliseconds, sequence: this.#sequence, action });
        this.#raise(this.#heap.length - 1);
    }

    /** Runs every action up to a time. */
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
            this.#sink(0);
        }
    }

    #raise(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.#swapIfBefore(index, parent)) {
                return;
            }
            index = parent;
        }
    }

    #sink(start: number): void {
        let index = start;
        for (;;) {
            const left = 2 * index + 1;
            const smaller = this.#earlier(left, left + 1);
            if (!this.#swapIfBefore(smaller, index)) {
                return;
            }
            index = smaller;
        }
    }

    #earlier(left: number, right: number): number {
        const [first, second] = [this.#heap[left], this.#heap[right]];
        return first !== undefined && second !== undefined && isBefore(second, first) ? right : left;
    }

    #swapIfBefore(index: number, other: number): boolean {
        const [entry, against] = [this.#heap[index], this.#heap[other]];
        if (entry === undefined || against === undefined || !isBefore(entry, against)) {
            return false;
        }
        this.#heap[index] = against;
        this.#heap[other] = entry;
        return true;
    }
}
