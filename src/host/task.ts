/**
 * Runs a decision: feeds it messages one at a time and performs its effects.
 *
 * @module
 */
import { type Decision } from "../decision/index.js";
import { type Clock } from "./clock.js";

/** A running decision. */
export interface Task<Message> {
    /** Takes a message; messages sent while another is handled wait for their turn. */
    send(message: Message): void;
    /** Stops the task; later messages are dropped. */
    close(): void;
}

/** Options of `createTask`. */
export interface TaskOptions<Message, Effect> {
    readonly clock: Clock;
    /** Performs the effects of one message, in order. */
    readonly perform: (effects: readonly Effect[]) => void;
    /** A message sent regularly; by default none is. */
    readonly tick?: TickOptions<Message>;
}

/** When a task sends itself a message. */
export interface TickOptions<Message> {
    readonly message: Message;
    readonly intervalMilliseconds: number;
    /** Tells whether nothing waits for time to pass; by default something always does. */
    readonly isIdle?: () => boolean;
    /** Interval while idle; by default 1,000. */
    readonly idleIntervalMilliseconds?: number;
}

const DEFAULT_IDLE_INTERVAL_MILLISECONDS = 1000;

/** Sends ticks, fewer while the task is idle. */
class Ticker<Message> {
    readonly #options: TickOptions<Message>;
    readonly #send: (message: Message) => void;
    #timer: NodeJS.Timeout | undefined;
    #waitsIdle = false;

    constructor(options: TickOptions<Message>, send: (message: Message) => void) {
        this.#options = options;
        this.#send = send;
        this.#schedule();
    }

    /** Returns to the short interval when the task is no longer idle. */
    wake(): void {
        if (this.#waitsIdle && !this.#isIdle()) {
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
        const { intervalMilliseconds, idleIntervalMilliseconds = DEFAULT_IDLE_INTERVAL_MILLISECONDS } = this.#options;
        this.#waitsIdle = this.#isIdle();
        this.#timer = setTimeout(() => {
            this.#schedule();
            this.#send(this.#options.message);
        }, this.#waitsIdle ? idleIntervalMilliseconds : intervalMilliseconds);
    }
}

/**
 * Creates a task that owns a decision.
 *
 * @param decision The decision; nothing else may send to it.
 * @param options Clock, effects and an optional tick.
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
    const waiting: Message[] = [];
    let handling = false;
    let closed = false;
    const ticker = options.tick === undefined ? undefined : new Ticker(options.tick, send);

    function send(message: Message): void {
        if (closed) {
            return;
        }
        waiting.push(message);
        if (!handling) {
            handleWaiting();
            ticker?.wake();
        }
    }

    function handleWaiting(): void {
        handling = true;
        try {
            for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
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
            waiting.length = 0;
            ticker?.close();
        },
    };
}
