/**
 * The shape that every decision of this project has.
 *
 * @module
 */

/**
 * A deterministic state machine: it owns its state, takes one message at a time and returns what has to be done.
 *
 * A decision opens no socket, sets no timer and reads no clock; time comes with each message and random numbers
 * from a function given at its creation. Equal messages at equal times therefore give equal effects.
 *
 * @example
 * ```ts
 * const effects = decision.handle({ type: "tick" }, nowMilliseconds);
 * ```
 */
export interface Decision<Message, Effect> {
    /**
     * Takes one message and returns the effects that the caller has to carry out, in order.
     *
     * @param message What happened.
     * @param nowMilliseconds A clock that never goes back; its zero is arbitrary.
     */
    handle(message: Message, nowMilliseconds: number): readonly Effect[];
}

/** Returns a number that is at least 0 and below 1. */
export type RandomSource = () => number;

/** Returns an identifier that no earlier call of any process returned. */
export type IdentifierSource = () => string;
