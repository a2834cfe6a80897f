/**
 * Spreads datagrams over time.
 *
 * A message to all hosts of a cell would leave as one burst. A narrow link drops whatever exceeds its queue, which is
 * always the end of the burst, so the same hosts would never receive the message.
 *
 * @module
 */

/** Bytes sent together; more where the queue would otherwise take longer than the maximum spread. */
const BURST_BYTES = 6 * 1024;

const BURST_INTERVAL_MILLISECONDS = 15;

/** A queue of any size is sent within about this time. */
const MAXIMUM_SPREAD_MILLISECONDS = 250;

/** Datagrams up to this size are sent at once; messages about single requests are this small. */
const MAXIMUM_UNPACED_BYTES = 512;

/** A datagram waiting to be sent. */
export interface QueuedDatagram {
    readonly bytes: Buffer;
    readonly address: string;
}

/** Returns how many datagrams at the head of a queue fit into a number of bytes; at least one. */
function countWithin(queue: readonly QueuedDatagram[], maximumBytes: number): number {
    let count = 0;
    let totalBytes = 0;
    for (const { bytes } of queue) {
        totalBytes += bytes.length;
        if (count > 0 && totalBytes > maximumBytes) {
            break;
        }
        count += 1;
    }
    return count;
}

function bytesOf(queue: readonly QueuedDatagram[]): number {
    return queue.reduce((totalBytes, { bytes }) => totalBytes + bytes.length, 0);
}

/**
 * Sends small datagrams at once and larger ones in bursts at a fixed interval, until closed.
 *
 * @example
 * ```ts
 * const sender = new PacedSender(({ bytes, address }) => socket.send(bytes, ...split(address)));
 * sender.send(bytes, addresses);
 * sender.close();
 * ```
 */
export class PacedSender {
    readonly #sendNow: (datagram: QueuedDatagram) => void;
    #queue: QueuedDatagram[] = [];
    /** Bytes of each burst until the queue is empty. */
    #burstBytes = BURST_BYTES;
    #timer: NodeJS.Timeout | undefined;
    /** Paced messages so far; each starts with a different address, so that no address is always last. */
    #pacedMessages = 0;

    constructor(send: (datagram: QueuedDatagram) => void) {
        this.#sendNow = send;
    }

    /** Sends the same bytes to each address, at once or paced. */
    send(bytes: Buffer, addresses: readonly string[]): void {
        if (bytes.length <= MAXIMUM_UNPACED_BYTES) {
            addresses.forEach(address => this.#sendNow({ bytes, address }));
            return;
        }
        const first = this.#pacedMessages % Math.max(1, addresses.length);
        this.#pacedMessages += 1;
        const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
        this.#queue.push(...rotated.map(address => ({ bytes, address })));
        const bursts = MAXIMUM_SPREAD_MILLISECONDS / BURST_INTERVAL_MILLISECONDS;
        this.#burstBytes = Math.max(this.#burstBytes, bytesOf(this.#queue) / bursts);
        if (this.#timer === undefined) {
            this.#sendBurst();
        }
    }

    /** Drops what is still queued. */
    close(): void {
        clearTimeout(this.#timer);
        this.#queue = [];
    }

    #sendBurst(): void {
        this.#timer = undefined;
        const due = this.#queue.splice(0, countWithin(this.#queue, this.#burstBytes));
        due.forEach(datagram => this.#sendNow(datagram));
        if (this.#queue.length === 0) {
            this.#burstBytes = BURST_BYTES;
        }
        else {
            this.#timer = setTimeout(() => this.#sendBurst(), BURST_INTERVAL_MILLISECONDS);
        }
    }
}
