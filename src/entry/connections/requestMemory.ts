/**
 * The memory of the requests of all connections.
 *
 * @module
 */
import { type MemoryBudget, type MemoryReservation } from "../../memory/index.js";
import { type ReadTimes } from "../../staleness/index.js";

/** A body that brings fewer bytes than these in this time makes no progress. */
const PROGRESS_BYTES = 16 * 1024;
const PROGRESS_MILLISECONDS = 1_000;

/** Bodies up to this length need no room beside what others still bring. */
const SMALL_BODY_BYTES = 256 * 1024;

/** Options of {@linkcode RequestMemory}. */
export interface RequestMemoryOptions {
    readonly memory: MemoryBudget;
    readonly reads: Pick<ReadTimes, "readUntilMilliseconds">;
    readonly readClock: () => number;
}

/** A body of which a part was read. */
export interface BodyInProgress {
    readonly reservation: MemoryReservation;
    /** Length that its head states; 0 where it states none. */
    readonly lengthBytes: number;
    /** Refuses it, and releases its memory. */
    readonly refuse: () => void;
}

/** Follows one body until it was read or given up. */
export interface BodyProgress {
    /** Records bytes that came. */
    record(bytes: number): void;
    close(): void;
}

interface FollowedBody extends BodyInProgress {
    receivedBytes: number;
    /** Bytes at the last time that it had made progress, and when that was. */
    markedBytes: number;
    markedAtMilliseconds: number;
}

/**
 * Reserves the memory of requests. Where it is short, bodies that hold some and make no progress are refused, those that
 * made none for longest first.
 *
 * @example
 * ```ts
 * const requests = new RequestMemory({ memory, reads, readClock });
 * const reservation = requests.begin();
 * reservation.tryReserve(20_480); // true
 * const progress = requests.follow({ reservation, lengthBytes: 4_194_304, refuse });
 * progress.record(65_536);
 * ```
 */
export class RequestMemory {
    readonly #options: RequestMemoryOptions;
    readonly #bodies = new Set<FollowedBody>();

    constructor(options: RequestMemoryOptions) {
        this.#options = options;
    }

    /** True while less than half of what requests may take is left. */
    get isShort(): boolean {
        return this.#options.memory.isShortFor("requests");
    }

    /** Begins the reservation of one request. */
    begin(): MemoryReservation {
        const reservation = this.#options.memory.begin("requests");
        const requestReservation: MemoryReservation = {
            get bytes() {
                return reservation.bytes;
            },
            tryReserve: bytes => this.#makeRoom(bytes, requestReservation) && reservation.tryReserve(bytes),
            reserve: bytes => reservation.reserve(bytes),
            release: bytes => reservation.release(bytes),
        };
        return requestReservation;
    }

    /**
     * Returns whether a body of a stated length is likely to find room as it arrives: beside what is held, and what other
     * bodies that make progress still bring.
     */
    expectsRoomFor(lengthBytes: number): boolean {
        return this.#makeRoom(lengthBytes + (lengthBytes > SMALL_BODY_BYTES ? this.#expectedBytes() : 0), undefined);
    }

    /** Follows a body from its head on. */
    follow(body: BodyInProgress): BodyProgress {
        const { readClock } = this.#options;
        const followed = { ...body, receivedBytes: 0, markedBytes: 0, markedAtMilliseconds: readClock() };
        this.#bodies.add(followed);
        return {
            record: bytes => {
                followed.receivedBytes += bytes;
                if (followed.receivedBytes - followed.markedBytes >= PROGRESS_BYTES) {
                    followed.markedBytes = followed.receivedBytes;
                    followed.markedAtMilliseconds = readClock();
                }
            },
            close: () => void this.#bodies.delete(followed),
        };
    }

    #expectedBytes(): number {
        return [...this.#bodies].filter(body => !this.#isStalled(body))
            .reduce((total, { lengthBytes, reservation }) => total + Math.max(0, lengthBytes - reservation.bytes), 0);
    }

    /** What a host that did not run has not read yet is no lack of progress. */
    #isStalled({ markedAtMilliseconds }: FollowedBody): boolean {
        return this.#options.reads.readUntilMilliseconds - markedAtMilliseconds > PROGRESS_MILLISECONDS;
    }

    /** Refuses stalled bodies of others where that makes enough room; returns whether there is room. */
    #makeRoom(bytes: number, requester: MemoryReservation | undefined): boolean {
        const { memory } = this.#options;
        const hasRoom = (): boolean => memory.hasRoomFor("requests", bytes);
        if (hasRoom()) {
            return true;
        }
        const stalled = [...this.#bodies].filter(body => body.reservation !== requester && this.#isStalled(body))
            .sort((one, other) => one.markedAtMilliseconds - other.markedAtMilliseconds);
        const stalledBytes = stalled.reduce((total, { reservation }) => total + reservation.bytes, 0);
        if (!memory.hasRoomFor("requests", bytes - stalledBytes)) {
            return false;
        }
        for (const body of stalled) {
            if (hasRoom()) {
                break;
            }
            this.#bodies.delete(body);
            body.refuse();
        }
        return hasRoom();
    }
}
