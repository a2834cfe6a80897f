/**
 * A clock that runs callbacks in the order of their times, and in the order of scheduling where times are equal.
 *
 * @module
 */

interface ScheduledEvent {
    readonly atMilliseconds: number;
    readonly sequence: number;
    readonly run: () => void;
}

/** A seeded run's clock. */
export interface EventQueue {
    now(): number;
    schedule(afterMilliseconds: number, run: () => void): void;
    /** Runs events up to and including a time. */
    runUntil(endMilliseconds: number): void;
}

/**
 * Creates a clock at zero without events.
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
    const kept = heap[left];
    const other = heap[right];
    if (kept !== undefined && other !== undefined) {
        heap[left] = other;
        heap[right] = kept;
    }
}

function push(heap: ScheduledEvent[], event: ScheduledEvent): void {
    heap.push(event);
    for (let place = heap.length - 1; place > 0;) {
        const parent = (place - 1) >>> 1;
        if (!isBefore(heap[place], heap[parent])) {
            return;
        }
        swap(heap, place, parent);
        place = parent;
    }
}

function pop(heap: ScheduledEvent[]): void {
    swap(heap, 0, heap.length - 1);
    heap.pop();
    for (let place = 0;;) {
        const left = 2 * place + 1;
        const right = left + 1;
        const smaller = isBefore(heap[right], heap[left]) ? right : left;
        if (!isBefore(heap[smaller], heap[place])) {
            return;
        }
        swap(heap, place, smaller);
        place = smaller;
    }
}
