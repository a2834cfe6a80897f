/**
 * Spreads datagrams over time, so that messages to peers leave room on this host's link.
 *
 * What exceeds the capacity of a link waits before it, and with it everything else that the host sends: requests, new
 * connections, answers. Datagrams that exceed the queue before the link are dropped.
 *
 * @module
 */

/** Time between two bursts. */
const BURST_INTERVAL_MILLISECONDS = 15;

/** A burst makes up for at most this much time, also where the host did not run for longer. */
const MAXIMUM_BURST_MILLISECONDS = 45;

/** Datagrams up to this size are sent at once; messages about single requests are this small. */
const MAXIMUM_UNPACED_BYTES = 512;

/** Part of the rate that datagrams sent at once take from larger ones at most. */
const MAXIMUM_UNPACED_SHARE = 0.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** A datagram to be sent. */
export interface QueuedDatagram {
    readonly bytes: Buffer;
    readonly address: string;
}

/** A message of which some datagrams wait. */
interface QueuedMessage {
    readonly bytes: Buffer;
    readonly addresses: readonly string[];
    /** Index of the next address. */
    next: number;
    /** Bytes sent of this message, counted from those of the messages that waited when it came. */
    sentBytes: number;
}

/** Options of {@linkcode PacedSender}. */
export interface PacedSenderOptions {
    readonly send: (datagram: QueuedDatagram) => void;
    /** Bytes that leave in a second at most. */
    readonly bytesPerSecond: number;
    readonly readClock: () => number;
}

/** Returns the message of which least was sent, the one that came first among equals. */
function leastSent(messages: readonly QueuedMessage[]): QueuedMessage | undefined {
    return messages.reduce<QueuedMessage | undefined>(
        (least, message) => least === undefined || message.sentBytes < least.sentBytes ? message : least,
        undefined,
    );
}

function waitingBytesOf({ addresses, bytes, next }: QueuedMessage): number {
    return (addresses.length - next) * bytes.length;
}

/**
 * Sends small datagrams at once and larger ones at a limited rate, until closed. Messages that wait share the rate, so
 * that a large one does not hold up the others.
 *
 * @example
 * ```ts
 * const sender = new PacedSender({
 *     send: ({ bytes, address }) => socket.send(bytes, ...split(address)),
 *     bytesPerSecond: 500_000,
 *     readClock: () => performance.now(),
 * });
 * sender.send(bytes, addresses);
 * sender.close();
 * ```
 */
export class PacedSender {
    readonly #options: PacedSenderOptions;
    #messages: QueuedMessage[] = [];
    /** Bytes that may leave now; below zero after a datagram that was larger than that. */
    #credit = 0;
    /** Bytes that were sent at once and are not yet taken off the credit. */
    #unpacedBytes = 0;
    #creditedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #timer: NodeJS.Timeout | undefined;
    /** Paced messages so far; each starts with a different address, so that no address is always last. */
    #pacedMessages = 0;

    constructor(options: PacedSenderOptions) {
        this.#options = options;
    }

    /** Time until what waits has left. */
    get backlogMilliseconds(): number {
        const waitingBytes = this.#messages.reduce((total, message) => total + waitingBytesOf(message), 0);
        return waitingBytes * MILLISECONDS_PER_SECOND / this.#options.bytesPerSecond;
    }

    /** Sends the same bytes to each address, at once or paced. */
    send(bytes: Buffer, addresses: readonly string[]): void {
        if (bytes.length <= MAXIMUM_UNPACED_BYTES) {
            this.#unpacedBytes += bytes.length * addresses.length;
            addresses.forEach(address => this.#options.send({ bytes, address }));
            return;
        }
        const first = this.#pacedMessages % Math.max(1, addresses.length);
        this.#pacedMessages += 1;
        const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
        const sentBytes = leastSent(this.#messages)?.sentBytes ?? 0;
        this.#messages.push({ bytes, addresses: rotated, next: 0, sentBytes });
        if (this.#timer === undefined) {
            this.#sendBurst();
        }
    }

    /** Drops what still waits. */
    close(): void {
        clearTimeout(this.#timer);
        this.#messages = [];
    }

    #sendBurst(): void {
        this.#timer = undefined;
        this.#addCredit();
        while (this.#credit > 0 && this.#messages.length > 0) {
            this.#sendNext();
        }
        if (this.#messages.length > 0) {
            this.#timer = setTimeout(() => this.#sendBurst(), BURST_INTERVAL_MILLISECONDS);
        }
    }

    #addCredit(): void {
        const { bytesPerSecond, readClock } = this.#options;
        const now = readClock();
        const maximumCredit = bytesPerSecond * MAXIMUM_BURST_MILLISECONDS / MILLISECONDS_PER_SECOND;
        const earned = bytesPerSecond * (now - this.#creditedAtMilliseconds) / MILLISECONDS_PER_SECOND;
        const unpaced = Math.min(this.#unpacedBytes, earned * MAXIMUM_UNPACED_SHARE);
        this.#unpacedBytes = Math.min(this.#unpacedBytes - unpaced, maximumCredit);
        this.#credit = Math.min(maximumCredit, this.#credit + earned - unpaced);
        this.#creditedAtMilliseconds = now;
    }

    #sendNext(): void {
        const message = leastSent(this.#messages);
        const address = message?.addresses[message.next];
        if (message !== undefined && address !== undefined) {
            message.next += 1;
            message.sentBytes += message.bytes.length;
            this.#credit -= message.bytes.length;
            this.#options.send({ bytes: message.bytes, address });
        }
        this.#messages = this.#messages.filter(({ addresses, next }) => next < addresses.length);
    }
}
