/**
 * The peers that rely on this host for changes in the key-value service.
 *
 * @module
 */
import { STATEMENT_LIFETIME_MILLISECONDS } from "../store/index.js";

/** A peer may read a digest this long after it was sent; only then does the lifetime of its statement begin. */
const LATE_READING_MILLISECONDS = 2_000;

/**
 * Keeps the peers to which this host has lately said that it watches the service. Each relies on that for the lifetime
 * of the statement, also where it has come into another cell meanwhile and has not heard of that.
 *
 * @example
 * ```ts
 * const fedPeers = new FedPeers();
 * fedPeers.recordStatement(["entry-7", "entry-9"], now);
 * fedPeers.relying(now + 800); // ["entry-7", "entry-9"]
 * ```
 */
export class FedPeers {
    readonly #toldAtMilliseconds = new Map<string, number>();

    /** Records that hosts were told that this host watches the service. */
    recordStatement(hosts: readonly string[], nowMilliseconds: number): void {
        hosts.forEach(host => this.#toldAtMilliseconds.set(host, nowMilliseconds));
    }

    /** Returns the hosts that may rely on a statement, and drops the others. */
    relying(nowMilliseconds: number): string[] {
        for (const [host, toldAtMilliseconds] of this.#toldAtMilliseconds) {
            if (nowMilliseconds - toldAtMilliseconds > LATE_READING_MILLISECONDS + STATEMENT_LIFETIME_MILLISECONDS) {
                this.#toldAtMilliseconds.delete(host);
            }
        }
        return [...this.#toldAtMilliseconds.keys()];
    }
}
