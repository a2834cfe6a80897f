/**
 * Defines the interface of all decisions, the deterministic state machines of this project.
 *
 * @module
 */

/**
 * A deterministic state machine that owns its state, handles one message at a time and returns the effects to perform.
 *
 * A decision opens no socket, sets no timer and reads no clock: the time is passed with each message, and a source of
 * random numbers at creation. Equal messages at equal times therefore yield equal effects.
 *
 * @example
 * ```ts
 * const effects = decision.handle({ type: "tick" }, nowMilliseconds);
 * ```
 */
export interface Decision<Message, Effect> {
    /**
     * Handles one message and returns the effects that the caller has to perform, in order.
     *
     * @param message An event or a request.
     * @param nowMilliseconds Reading of a monotonic clock with an arbitrary zero.
     */
    handle(message: Message, nowMilliseconds: number): readonly Effect[];
}

/** Returns a number that is at least 0 and below 1. */
export type RandomSource = () => number;

/** Returns an identifier that no earlier call of any process returned. */
export type IdentifierSource = () => string;
