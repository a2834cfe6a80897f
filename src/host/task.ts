/**
 * Runs a decision: sends it messages one at a time and performs the effects that it returns.
 *
 * @module
 */
import { type Decision } from "../decision/index.js";
import { type Clock } from "./clock.js";

/** A decision that is being run. */
export interface Task<Message> {
    /** Handles a message at once; one sent while another is handled is queued. */
    send(message: Message): void;
    /** Stops the task; drops queued and later messages. */
    close(): void;
}

/** Options of `createTask`. */
export interface TaskOptions<Message, Effect> {
    readonly clock: Clock;
    /** Performs the effects of one message, in order. */
    readonly perform: (effects: readonly Effect[]) => void;
    /** A message that the task sends itself at intervals; by default none. */
    readonly tick?: TickOptions<Message>;
}

/** Message that a task sends itself, and its intervals. */
export interface TickOptions<Message> {
    readonly message: Message;
    readonly intervalMilliseconds: number;
    /** Returns whether no work depends on the passing of time; by default the task is never idle. */
    readonly isIdle?: () => boolean;
    /** Interval while the task is idle; by default 1,000. */
    readonly idleIntervalMilliseconds?: number;
}

const DEFAULT_IDLE_TICK_INTERVAL_MILLISECONDS = 1000;

/** Sends ticks, at the longer interval while the task is idle. */
class Ticker<Message> {
    readonly #options: TickOptions<Message>;
    readonly #send: (message: Message) => void;
    #timer: NodeJS.Timeout | undefined;
    #isIdleIntervalScheduled = false;

    constructor(options: TickOptions<Message>, send: (message: Message) => void) {
        this.#options = options;
        this.#send = send;
        this.#schedule();
    }

    /** Reschedules the next tick at the short interval where the task is no longer idle. */
    wake(): void {
        if (this.#isIdleIntervalScheduled && !this.#isIdle()) {
            clearTimeout(this.#timer);
            this.#schedule();
        }
    }

    close(): void {
        clearTimeout(this.#timer);
    }

    #isIdle(): boolean {
        return this.#options.isIdle?.() ?? false;
    }

    #schedule(): void {
        const { intervalMilliseconds, idleIntervalMilliseconds = DEFAULT_IDLE_TICK_INTERVAL_MILLISECONDS } =
            this.#options;
        this.#isIdleIntervalScheduled = this.#isIdle();
        this.#timer = setTimeout(() => {
            this.#schedule();
            this.#send(this.#options.message);
        }, this.#isIdleIntervalScheduled ? idleIntervalMilliseconds : intervalMilliseconds);
    }
}

/**
 * Creates a task that runs a decision.
 *
 * @param decision The decision; only this task may pass messages to it.
 * @param options The clock, the function that performs effects, and an optional tick.
 *
 * @example
 * ```ts
 * const task = createTask(decision, { clock: processClock, perform, tick: { message: { type: "tick" }, intervalMilliseconds: 100 } });
 * task.send({ type: "tick" });
 * task.close();
 * ```
 */
export function createTask<Message, Effect>(
    decision: Decision<Message, Effect>,
    options: TaskOptions<Message, Effect>,
): Task<Message> {
    const queue: Message[] = [];
    let handling = false;
    let closed = false;
    const ticker = options.tick === undefined ? undefined : new Ticker(options.tick, send);

    function send(message: Message): void {
        if (closed) {
            return;
        }
        queue.push(message);
        if (!handling) {
            handleQueue();
            ticker?.wake();
        }
    }

    function handleQueue(): void {
        handling = true;
        try {
            for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
                options.perform(decision.handle(next, options.clock()));
            }
        }
        finally {
            handling = false;
        }
    }

    return {
        send,
        close() {
            closed = true;
            queue.length = 0;
            ticker?.close();
        },
    };
}
