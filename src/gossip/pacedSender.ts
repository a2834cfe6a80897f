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

/** Datagrams of one kind that wait, in order. */
interface KindQueue {
    readonly kind: string;
    readonly datagrams: QueuedDatagram[];
    /** Bytes sent of this kind, counted from those of the kinds that waited when the first of these came. */
    sentBytes: number;
}

/** Options of {@linkcode PacedSender}. */
export interface PacedSenderOptions {
    readonly send: (datagram: QueuedDatagram) => void;
    /** Bytes that leave in a second at most. */
    readonly bytesPerSecond: number;
    readonly readClock: () => number;
}

/** Returns the queue of which least was sent, the one that came first among equals. */
function leastSent(queues: ReadonlyMap<string, KindQueue>): KindQueue | undefined {
    return [...queues.values()].reduce<KindQueue | undefined>(
        (least, queue) => least === undefined || queue.sentBytes < least.sentBytes ? queue : least,
        undefined,
    );
}

function bytesOf({ datagrams }: KindQueue): number {
    return datagrams.reduce((total, { bytes }) => total + bytes.length, 0);
}

/**
 * Sends small datagrams at once and larger ones at a limited rate, until closed. Kinds of messages that wait share the
 * rate, so that much of one does not hold up the others; those of one kind leave in their order.
 *
 * @example
 * ```ts
 * const sender = new PacedSender({
 *     send: ({ bytes, address }) => socket.send(bytes, ...split(address)),
 *     bytesPerSecond: 500_000,
 *     readClock: () => performance.now(),
 * });
 * sender.send("digest", bytes, addresses);
 * sender.close();
 * ```
 */
export class PacedSender {
    readonly #options: PacedSenderOptions;
    readonly #queues = new Map<string, KindQueue>();
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

    /**
     * Returns how long what waits of some kinds takes to leave, at least one interval between bursts; 0 where none waits.
     * It takes longer where other kinds share the rate.
     */
    backlogMilliseconds(kinds: readonly string[]): number {
        const waitingBytes = kinds.reduce((total, kind) => total + this.#waitingBytes(kind), 0);
        return waitingBytes === 0
            ? 0
            : Math.max(
                BURST_INTERVAL_MILLISECONDS,
                waitingBytes * MILLISECONDS_PER_SECOND / this.#options.bytesPerSecond,
            );
    }

    /** Sends the same bytes to each address, at once or paced; `kind` names the messages with which it keeps its order. */
    send(kind: string, bytes: Buffer, addresses: readonly string[]): void {
        if (addresses.length === 0) {
            return;
        }
        if (bytes.length <= MAXIMUM_UNPACED_BYTES) {
            this.#unpacedBytes += bytes.length * addresses.length;
            addresses.forEach(address => this.#options.send({ bytes, address }));
            return;
        }
        const first = this.#pacedMessages % addresses.length;
        this.#pacedMessages += 1;
        const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
        this.#queueOf(kind).datagrams.push(...rotated.map(address => ({ bytes, address })));
        if (this.#timer === undefined) {
            this.#sendBurst();
        }
    }

    /** Drops what still waits. */
    close(): void {
        clearTimeout(this.#timer);
        this.#queues.clear();
    }

    #waitingBytes(kind: string): number {
        const queue = this.#queues.get(kind);
        return queue === undefined ? 0 : bytesOf(queue);
    }

    /** Returns the queue of a kind; a new one has been sent as much of as the others that wait. */
    #queueOf(kind: string): KindQueue {
        const queue = this.#queues.get(kind)
            ?? { kind, datagrams: [], sentBytes: leastSent(this.#queues)?.sentBytes ?? 0 };
        this.#queues.set(kind, queue);
        return queue;
    }

    #sendBurst(): void {
        this.#timer = undefined;
        this.#addCredit();
        while (this.#credit > 0 && this.#queues.size > 0) {
            this.#sendNext();
        }
        if (this.#queues.size > 0) {
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
        const queue = leastSent(this.#queues);
        const datagram = queue?.datagrams.shift();
        if (queue !== undefined && datagram !== undefined) {
            queue.sentBytes += datagram.bytes.length;
            this.#credit -= datagram.bytes.length;
            this.#options.send(datagram);
            if (queue.datagrams.length === 0) {
                this.#queues.delete(queue.kind);
            }
        }
    }
}
