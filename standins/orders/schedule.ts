/**
 * A clock and its events, for driving several decisions in one process.
 *
 * @module
 */

/** Events in the order of their time; equal times keep the order in which they were added. */
export interface Schedule {
    readonly now: number;
    after(delayMilliseconds: number, run: () => void): void;
    /** Runs every event up to a time. */
    runUntil(endMilliseconds: number): void;
}

interface Event {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

function isBefore(left: Event, right: Event): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

/** Creates a schedule whose clock begins at a time. */
export function createSchedule(startMilliseconds: number): Schedule {
    const heap: Event[] = [];
    let now = startMilliseconds;
    let sequence = 0;

    function swap(left: number, right: number): void {
        [heap[left], heap[right]] = [heap[right] as Event, heap[left] as Event];
    }

    function after(delayMilliseconds: number, run: () => void): void {
        sequence += 1;
        heap.push({ at: now + delayMilliseconds, sequence, run });
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index] as Event, heap[parent] as Event)) {
                return;
            }
            swap(index, parent);
            index = parent;
        }
    }

    function takeFirst(): Event | undefined {
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        heap[0] = last;
        sink();
        return first;
    }

    function sink(): void {
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
            const least = children.reduce(
                (best, child) => isBefore(heap[child] as Event, heap[best] as Event) ? child : best,
                index,
            );
            if (least === index) {
                return;
            }
            swap(index, least);
            index = least;
        }
    }

    function runUntil(endMilliseconds: number): void {
        while (heap[0] !== undefined && heap[0].at <= endMilliseconds) {
            const event = takeFirst() as Event;
            now = event.at;
            event.run();
        }
        now = endMilliseconds;
    }

    return {
        after,
        runUntil,
        get now() {
            return now;
        },
    };
}
