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
    /** A message sent at each interval. */
    readonly tick?: { readonly message: Message; readonly intervalMilliseconds: number; };
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
    const { tick } = options;
    const timer = tick === undefined ? undefined : setInterval(() => send(tick.message), tick.intervalMilliseconds);

    function send(message: Message): void {
        if (closed) {
            return;
        }
        waiting.push(message);
        if (!handling) {
            handleWaiting();
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
            clearInterval(timer);
        },
    };
}
