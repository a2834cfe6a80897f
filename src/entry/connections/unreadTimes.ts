/**
 * How long what is read from callers' connections may have lain unread.
 *
 * A host that did not run reads requests late, and a connection tells nothing of when its bytes arrived. They arrived
 * after everything before was read. A connection that waited to be accepted had not been read at all; the event loop
 * accepts one in each iteration.
 *
 * @module
 */
import { type Duplex } from "node:stream";
import { type ReadTimes } from "../../staleness/index.js";
import { type Acts } from "../actQueue.js";

/** Options of {@linkcode UnreadTimes}. */
export interface UnreadTimesOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly reads: Pick<ReadTimes, "readUntilMilliseconds">;
    readonly readClock: () => number;
}

/** When a connection was accepted, and since when it may have waited for that. */
interface Acceptance {
    readonly atMilliseconds: number;
    readonly waitingSinceMilliseconds: number;
}

/**
 * Bounds the time for which requests have lain in their sockets.
 *
 * @example
 * ```ts
 * const unread = new UnreadTimes({ acts, reads, readClock });
 * server.on("connection", socket => unread.recordAccepted(socket));
 * server.on("request", message => unread.longestMilliseconds(message.socket)); // 3400 after a stop of 3.4 s
 * ```
 */
export class UnreadTimes {
    readonly #options: UnreadTimesOptions;
    readonly #acceptances = new WeakMap<Duplex, Acceptance>();
    #acceptedCount = 0;
    /** Since when connections may wait to be accepted; `undefined` where none does. */
    #waitingSinceMilliseconds: number | undefined;

    constructor(options: UnreadTimesOptions) {
        this.#options = options;
    }

    /** Records that a connection was accepted, before anything is read from it. */
    recordAccepted(socket: Duplex): void {
        const { readClock, reads } = this.#options;
        this.#acceptedCount += 1;
        if (this.#waitingSinceMilliseconds === undefined) {
            this.#waitingSinceMilliseconds = reads.readUntilMilliseconds;
            this.#watchForLast();
        }
        this.#acceptances.set(socket, {
            atMilliseconds: readClock(),
            waitingSinceMilliseconds: this.#waitingSinceMilliseconds,
        });
    }

    /** Returns the longest time for which what is now being read from a connection may have lain unread. */
    longestMilliseconds(socket: Duplex): number {
        const { readClock, reads: { readUntilMilliseconds } } = this.#options;
        const acceptance = this.#acceptances.get(socket);
        const isFirstRead = acceptance !== undefined && acceptance.atMilliseconds >= readUntilMilliseconds;
        return readClock() - (isFirstRead ? acceptance.waitingSinceMilliseconds : readUntilMilliseconds);
    }

    /** Notices that the sockets were polled and no connection waited any more. */
    #watchForLast(): void {
        const countBefore = this.#acceptedCount;
        this.#options.acts.afterReading(() => {
            if (this.#acceptedCount === countBefore) {
                this.#waitingSinceMilliseconds = undefined;
            }
            else {
                this.#watchForLast();
            }
        });
    }
}
