/**
 * Spreads datagrams over time.
 *
 * What is told to a whole cell at once leaves a host as one burst. A narrow link drops what goes beyond its queue, always
 * the last of the burst, so that the same hosts would never hear of it.
 *
 * @module
 */

/** Bytes that leave together. */
const STEP_BYTES = 6 * 1024;

/** Time between two steps. */
const STEP_MILLISECONDS = 15;

/** What is queued leaves within about this time, however much it is. */
const LONGEST_SPREAD_MILLISECONDS = 250;

/** A datagram up to this size leaves at once; what one request causes is told in such. */
const SMALL_BYTES = 512;

/** A datagram that has yet to leave. */
export interface QueuedDatagram {
    readonly bytes: Buffer;
    readonly address: string;
}

/** Gives how many datagrams at the head of a queue are within a bound on their bytes; one at least. */
function countWithin(queue: readonly QueuedDatagram[], mostBytes: number): number {
    let count = 0;
    let sum = 0;
    for (const { bytes } of queue) {
        sum += bytes.length;
        if (count > 0 && sum > mostBytes) {
            break;
        }
        count += 1;
    }
    return count;
}

function bytesOf(queue: readonly QueuedDatagram[]): number {
    return queue.reduce((sum, { bytes }) => sum + bytes.length, 0);
}

/**
 * Sends small datagrams at once and larger ones step by step, until closed.
 *
 * @example
 * ```ts
 * const sends = new PacedSends((bytes, address) => socket.send(bytes, ...split(address)));
 * sends.offer(bytes, addresses);
 * sends.close();
 * ```
 */
export class PacedSends {
    readonly #send: (datagram: QueuedDatagram) => void;
    #queue: QueuedDatagram[] = [];
    /** Bytes of each step until the queue is empty. */
    #stepBytes = STEP_BYTES;
    #timer: NodeJS.Timeout | undefined;
    /** Offers so far; each begins with another address, so that none is always the last. */
    #offers = 0;

    constructor(send: (datagram: QueuedDatagram) => void) {
        this.#send = send;
    }

    /** Sends the same bytes to each address. */
    offer(bytes: Buffer, addresses: readonly string[]): void {
        if (bytes.length <= SMALL_BYTES) {
            addresses.forEach(address => this.#send({ bytes, address }));
            return;
        }
        const first = this.#offers % Math.max(1, addresses.length);
        this.#offers += 1;
        const inTurn = [...addresses.slice(first), ...addresses.slice(0, first)];
        this.#queue.push(...inTurn.map(address => ({ bytes, address })));
        const steps = LONGEST_SPREAD_MILLISECONDS / STEP_MILLISECONDS;
        this.#stepBytes = Math.max(this.#stepBytes, bytesOf(this.#queue) / steps);
        if (this.#timer === undefined) {
            this.#step();
        }
    }

    close(): void {
        clearTimeout(this.#timer);
        this.#queue = [];
    }

    #step(): void {
        this.#timer = undefined;
        const due = this.#queue.splice(0, countWithin(this.#queue, this.#stepBytes));
        due.forEach(datagram => this.#send(datagram));
        if (this.#queue.length === 0) {
            this.#stepBytes = STEP_BYTES;
        }
        else {
            this.#timer = setTimeout(() => this.#step(), STEP_MILLISECONDS);
        }
    }
}
