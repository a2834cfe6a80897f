/**
 * Simulated clock with scheduled events, for running several decisions in one process.
 *
 * @module
 */

/** Runs events in the order of their times; those of equal times in the order in which they were added. */
export interface Schedule {
    readonly now: number;
    after(delayMilliseconds: number, run: () => void): void;
    /** Runs all events up to a time and sets the clock to it. */
    runUntil(endMilliseconds: number): void;
}

interface ScheduledEvent {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

/** Creates a schedule whose clock starts at a given time. */
export function createSchedule(startMilliseconds: number): Schedule {
    const heap: ScheduledEvent[] = [];
    let now = startMilliseconds;
    let sequence = 0;

    function swap(left: number, right: number): void {
        [heap[left], heap[right]] = [heap[right] as ScheduledEvent, heap[left] as ScheduledEvent];
    }

    function after(delayMilliseconds: number, run: () => void): void {
        sequence += 1;
        heap.push({ at: now + delayMilliseconds, sequence, run });
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index] as ScheduledEvent, heap[parent] as ScheduledEvent)) {
                return;
            }
            swap(index, parent);
            index = parent;
        }
    }

    function removeFirst(): ScheduledEvent | undefined {
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        heap[0] = last;
        siftDown();
        return first;
    }

    function siftDown(): void {
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
            const earliest = children.reduce(
                (earlier, child) =>
                    isBefore(heap[child] as ScheduledEvent, heap[earlier] as ScheduledEvent) ? child : earlier,
                index,
            );
            if (earliest === index) {
                return;
            }
            swap(index, earliest);
            index = earliest;
        }
    }

    function runUntil(endMilliseconds: number): void {
        while (heap[0] !== undefined && heap[0].at <= endMilliseconds) {
            const event = removeFirst() as ScheduledEvent;
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
