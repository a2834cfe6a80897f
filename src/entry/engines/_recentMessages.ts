/**
 * Bounds how often this host repeats the same message to the same host.
 *
 * @module
 */

/**
 * Remembers for an interval which messages were sent.
 *
 * @example
 * ```ts
 * const recent = new RecentMessages(100);
 * if (!recent.has(["entry-2", "engine-3"], now)) {
 *     recent.record(["entry-2", "engine-3"], now);
 * }
 * ```
 */
export class RecentMessages {
    readonly #intervalMilliseconds: number;
    /** When each message was sent, the earliest first. */
    readonly #sentAtMilliseconds = new Map<string, number>();

    constructor(intervalMilliseconds: number) {
        this.#intervalMilliseconds = intervalMilliseconds;
    }

    /** Returns whether the message with these parts was sent within the interval. */
    has(parts: readonly string[], nowMilliseconds: number): boolean {
        this.#forget(nowMilliseconds);
        return this.#sentAtMilliseconds.has(JSON.stringify(parts));
    }

    /** Records that the message with these parts is sent now. */
    record(parts: readonly string[], nowMilliseconds: number): void {
        const key = JSON.stringify(parts);
        this.#sentAtMilliseconds.delete(key);
        this.#sentAtMilliseconds.set(key, nowMilliseconds);
    }

    #forget(nowMilliseconds: number): void {
        for (const [key, atMilliseconds] of this.#sentAtMilliseconds) {
            if (nowMilliseconds - atMilliseconds < this.#intervalMilliseconds) {
                return;
            }
            this.#sentAtMilliseconds.delete(key);
        }
    }
}
