/**
 * Lets what has arrived be read before a step is taken.
 *
 * @module
 */

/**
 * Runs a step once the event loop has polled all sockets in full. A timer that fires late, on a host that did not run,
 * fires before the answer that it waits for is read, though it has arrived.
 *
 * @param step Runs two iterations of the event loop later; what arrived before is read in between.
 *
 * @example
 * ```ts
 * setTimeout(() => afterPolling(() => fail("no answer")), 900);
 * ```
 */
export function afterPolling(step: () => void): void {
    setImmediate(() => setImmediate(step));
}
