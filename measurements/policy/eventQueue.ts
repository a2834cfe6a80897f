/**
 * A simulated clock that runs callbacks in order of time and, at equal times, of scheduling.
 *
 * @module
 */

interface ScheduledEvent {
    readonly atMilliseconds: number;
    readonly sequence: number;
    readonly run: () => void;
}

/** The simulated clock of a run. */
export interface EventQueue {
    now(): number;
    schedule(afterMilliseconds: number, run: () => void): void;
    /** Runs events up to and including a time, then sets the clock to that time. */
    runUntil(endMilliseconds: number): void;
}

/**
 * Creates a clock at time zero without events.
 *
 * @returns The clock.
 *
 * @example
 * ```ts
 * const events = createEventQueue();
 * events.schedule(10, () => console.log(events.now())); // 10
 * events.runUntil(100);
 * ```
 */
export function createEventQueue(): EventQueue {
    const heap: ScheduledEvent[] = [];
    let nowMilliseconds = 0;
    let sequence = 0;
    return {
        now: () => nowMilliseconds,
        schedule: (afterMilliseconds, run) => {
            sequence += 1;
            push(heap, { atMilliseconds: nowMilliseconds + Math.max(0, afterMilliseconds), sequence, run });
        },
        runUntil: endMilliseconds => {
            for (let next = heap[0]; next !== undefined && next.atMilliseconds <= endMilliseconds; next = heap[0]) {
                pop(heap);
                nowMilliseconds = next.atMilliseconds;
                next.run();
            }
            nowMilliseconds = endMilliseconds;
        },
    };
}

function isBefore(left: ScheduledEvent | undefined, right: ScheduledEvent | undefined): boolean {
    if (left === undefined || right === undefined) {
        return left !== undefined;
    }
    return left.atMilliseconds - right.atMilliseconds < 0
        || (left.atMilliseconds === right.atMilliseconds && left.sequence < right.sequence);
}

function swap(heap: ScheduledEvent[], left: number, right: number): void {
    const entry = heap[left];
    const other = heap[right];
    if (entry !== undefined && other !== undefined) {
        heap[left] = other;
        heap[right] = entry;
    }
}

function push(heap: ScheduledEvent[], event: ScheduledEvent): void {
    heap.push(event);
    for (let index = heap.length - 1; index > 0;) {
        const parent = (index - 1) >>> 1;
        if (!isBefore(heap[index], heap[parent])) {
            return;
        }
        swap(heap, index, parent);
        index = parent;
    }
}

function pop(heap: ScheduledEvent[]): void {
    swap(heap, 0, heap.length - 1);
    heap.pop();
    for (let index = 0;;) {
        const left = 2 * index + 1;
        const right = left + 1;
        const smaller = isBefore(heap[right], heap[left]) ? right : left;
        if (!isBefore(heap[smaller], heap[index])) {
            return;
        }
        swap(heap, index, smaller);
        index = smaller;
    }
}
