/**
 * Datagrams that were received and wait to be decoded and handled.
 *
 * Changes in the key-value service and of engines' memory go first: a request that is dispatched before them may go to an
 * engine that has left. The queue is bounded: a newer message that states everything that an older one of the same host stated takes its
 * place, and the other messages of each sender are limited in number.
 *
 * @module
 */

import { type MemoryReservation } from "../memory/index.js";

/** Limit of the bytes that wait; a part of the 64 MB that a host may use for control. */
const MAXIMUM_WAITING_BYTES = 4 * 1024 * 1024;

/** Limit of the messages of one sender that wait and that no newer one replaces. */
const MAXIMUM_WAITING_PER_SENDER = 64;

/**
 * Beginnings of the messages that state everything that the sender's earlier ones of the kind stated. An aggregate of
 * scope `rest` is not among them: each one describes other engines.
 */
const STATE_BEGINNINGS = ["{\"type\":\"digest\",", "{\"type\":\"summary\",\"scope\":\"cell\","];

/** Beginning of the requests that a host repeats until they are met; handling one of two equal ones meets both. */
const REPEATED_BEGINNING = "{\"type\":\"wish\",";

/** Beginning of changes in the key-value service, which are numbered and overtake all else that their sender said. */
const CHANGES_BEGINNING = "{\"type\":\"changes\",";

/** Beginning of an engine's memory, which overtakes all but an earlier digest of its sender, as that would take it back. */
const NEWS_BEGINNING = "{\"type\":\"news\",";

/** Messages that go first in a row while others wait, so that many of them do not hold back the others for long. */
const MAXIMUM_URGENT_IN_A_ROW = 3;

const LONGEST_BEGINNING = Math.max(...STATE_BEGINNINGS.map(({ length }) => length));

/** A datagram as it was received. */
export interface WaitingDatagram {
    readonly bytes: Buffer;
    /** Address and port of the sender. */
    readonly source: string;
}

/** Why a datagram was dropped without being handled. */
export type DropReason =
    /** A newer one of the same sender states everything that it stated, or an equal request of it waits. */
    | "superseded"
    /** Too many of the same sender wait. */
    | "sender-limit"
    /** Too many bytes wait, or the host has no memory left for more. */
    | "queue-full";

/** Returns what a datagram has in common with those that supersede it; `undefined` where each counts on its own. */
function stateKeyOf({ bytes, source }: WaitingDatagram): string | undefined {
    const beginning = bytes.toString("latin1", 0, LONGEST_BEGINNING);
    const kind = STATE_BEGINNINGS.find(each => beginning.startsWith(each));
    return kind === undefined ? undefined : keyOfState(kind, source);
}

function beginsWith({ bytes }: WaitingDatagram, beginning: string): boolean {
    return bytes.toString("latin1", 0, beginning.length) === beginning;
}

function isUrgent(datagram: WaitingDatagram): boolean {
    return beginsWith(datagram, CHANGES_BEGINNING) || beginsWith(datagram, NEWS_BEGINNING);
}

function keyOfState(kind: string, source: string): string {
    return `${kind} ${source}`;
}

/** A datagram and its number in the order of arrival. */
interface QueuedDatagram {
    readonly datagram: WaitingDatagram;
    readonly arrival: number;
}

/** Returns the key of a repeated request, which equal ones share; `undefined` for a message that is not repeated. */
function repeatKeyOf(datagram: WaitingDatagram): string | undefined {
    const { bytes, source } = datagram;
    return beginsWith(datagram, REPEATED_BEGINNING) ? `${bytes.toString("latin1")} ${source}` : undefined;
}

/**
 * Keeps datagrams in the order of their arrival: those that go first, those that state everything, and the others that
 * count on their own. The latter two are taken in turn, so that many of one do not hold back the other.
 *
 * @example
 * ```ts
 * const queue = new ReceiveQueue();
 * queue.add({ bytes, source: "10.2.0.40:8145" });
 * const next = queue.take();
 * ```
 */
export class ReceiveQueue {
    readonly #reservation: MemoryReservation | undefined;
    /** The latest datagram of each sender and kind; a newer one keeps the place of the older. */
    readonly #states = new Map<string, QueuedDatagram>();
    /** Datagrams that count on their own, in the order of their arrival; repeated requests by their key. */
    readonly #others = new Map<string | WaitingDatagram, QueuedDatagram>();
    /** Datagrams that go first, in the order of their arrival. */
    readonly #urgent = new Set<QueuedDatagram>();
    /** Number of each sender's datagrams that wait and are not states. */
    readonly #countsOfSenders = new Map<string, number>();
    #waitingBytes = 0;
    #arrivals = 0;
    #takesState = true;
    #urgentInARow = 0;

    /**
     * @param reservation Memory that the datagrams draw on; beside their own limit there is none without it.
     */
    constructor(reservation?: MemoryReservation) {
        this.#reservation = reservation;
    }

    /** Number of datagrams that wait. */
    get size(): number {
        return this.#states.size + this.#others.size + this.#urgent.size;
    }

    /**
     * Adds a datagram.
     *
     * @returns Why a datagram was dropped for it, or it itself; `undefined` where none was.
     */
    add(datagram: WaitingDatagram): DropReason | undefined {
        const key = stateKeyOf(datagram);
        const older = key === undefined ? undefined : this.#states.get(key);
        const addedBytes = datagram.bytes.length - (older?.datagram.bytes.length ?? 0);
        if (key === undefined) {
            return this.#addOther(datagram);
        }
        if (!this.#tryReserve(addedBytes)) {
            return "queue-full";
        }
        this.#states.set(key, this.#queued(datagram));
        return older === undefined ? undefined : "superseded";
    }

    /** Removes and returns the next datagram; `undefined` where none waits. */
    take(): WaitingDatagram | undefined {
        const taken = this.#takesUrgent() ? this.#takeUrgent() : this.#takeInTurn();
        this.#release(taken?.bytes.length ?? 0);
        return taken;
    }

    /** Drops everything that waits. */
    clear(): void {
        this.#states.clear();
        this.#others.clear();
        this.#urgent.clear();
        this.#countsOfSenders.clear();
        this.#release(this.#waitingBytes);
    }

    /** Counts bytes that are added; returns `false`, and counts none, where there is no room for them. */
    #tryReserve(bytes: number): boolean {
        if (bytes <= 0) {
            this.#release(-bytes);
            return true;
        }
        const hasRoom = this.#waitingBytes + bytes <= MAXIMUM_WAITING_BYTES
            && this.#reservation?.tryReserve(bytes) !== false;
        this.#waitingBytes += hasRoom ? bytes : 0;
        return hasRoom;
    }

    #release(bytes: number): void {
        this.#waitingBytes -= bytes;
        this.#reservation?.release(bytes);
    }

    #addOther(datagram: WaitingDatagram): DropReason | undefined {
        const { bytes, source } = datagram;
        const key = repeatKeyOf(datagram) ?? datagram;
        if (this.#others.has(key)) {
            return "superseded";
        }
        const count = this.#countsOfSenders.get(source) ?? 0;
        if (count >= MAXIMUM_WAITING_PER_SENDER) {
            return "sender-limit";
        }
        if (!this.#tryReserve(bytes.length)) {
            return "queue-full";
        }
        this.#countsOfSenders.set(source, count + 1);
        if (isUrgent(datagram)) {
            this.#urgent.add(this.#queued(datagram));
        }
        else {
            this.#others.set(key, this.#queued(datagram));
        }
        return undefined;
    }

    /** Returns whether the next datagram is one of those that go first. */
    #takesUrgent(): boolean {
        const hasOthers = this.#states.size + this.#others.size > 0;
        return this.#urgent.size > 0 && !(hasOthers && this.#urgentInARow >= MAXIMUM_URGENT_IN_A_ROW);
    }

    #takeUrgent(): WaitingDatagram | undefined {
        this.#urgentInARow += 1;
        const [first] = this.#urgent;
        if (first === undefined) {
            return undefined;
        }
        const { datagram } = first;
        const earlierState = beginsWith(datagram, CHANGES_BEGINNING) ? undefined : this.#findEarlierState(first);
        if (earlierState !== undefined) {
            return this.#removeState(earlierState);
        }
        this.#urgent.delete(first);
        this.#uncount(datagram);
        return datagram;
    }

    #takeInTurn(): WaitingDatagram | undefined {
        this.#urgentInARow = 0;
        const takesState = this.#others.size === 0 || (this.#takesState && this.#states.size > 0);
        this.#takesState = !takesState;
        return takesState ? this.#takeState() : this.#takeOther();
    }

    #takeState(): WaitingDatagram | undefined {
        const [key] = this.#states.keys();
        return key === undefined ? undefined : this.#removeState(key);
    }

    #removeState(key: string): WaitingDatagram | undefined {
        const queued = this.#states.get(key);
        this.#states.delete(key);
        return queued?.datagram;
    }

    /** Returns the key of a state that arrived before another datagram of its sender, and must not be handled after it. */
    #findEarlierState({ arrival, datagram: { source } }: QueuedDatagram): string | undefined {
        const keys = STATE_BEGINNINGS.map(kind => keyOfState(kind, source));
        return keys.find(key => (this.#states.get(key)?.arrival ?? arrival) < arrival);
    }

    #queued(datagram: WaitingDatagram): QueuedDatagram {
        this.#arrivals += 1;
        return { datagram, arrival: this.#arrivals };
    }

    #takeOther(): WaitingDatagram | undefined {
        const [first] = this.#others;
        if (first === undefined) {
            return undefined;
        }
        const [key, queued] = first;
        const earlierState = this.#findEarlierState(queued);
        if (earlierState !== undefined) {
            return this.#removeState(earlierState);
        }
        const { datagram } = queued;
        this.#others.delete(key);
        this.#uncount(datagram);
        return datagram;
    }

    /** Counts one datagram less of those of a sender that wait. */
    #uncount({ source }: WaitingDatagram): void {
        const left = (this.#countsOfSenders.get(source) ?? 0) - 1;
        if (left > 0) {
            this.#countsOfSenders.set(source, left);
        }
        else {
            this.#countsOfSenders.delete(source);
        }
    }
}
