/**
 * Messages as hosts of a fleet of 63 hosts and 63 engines write them, and a sender that repeats them.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { type HostDigest } from "../../src/generated/gossip.js";
import { CellAggregates, type GossipMessage } from "../../src/gossip/index.js";
import { createDigest } from "./digests.js";

const MODELS = 111;
const ENGINES_PER_HOST = 11;

const SEND_INTERVAL_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns a digest of a host in one cell of a fleet of 63 hosts and 63 engines, with demand for 111 models. */
export function createBusyDigest(host: string, cell: number, overrides: Partial<HostDigest> = {}): HostDigest {
    const models = Array.from({ length: MODELS }, (_, index) => `model-${index}a7f3`);
    const demand = Object.fromEntries(models.map((model, index) => [model, 1.2345 + index]));
    const engines = Array.from({ length: ENGINES_PER_HOST }, (_, index) => ({
        engine: `i-${cell}${index}f48a9c01`,
        startedAtMilliseconds: 1_777_820_567_195,
        orderCount: 100 + index,
        models: [0, 1].map(offset => ({
            name: models[index + offset] ?? "",
            adapters: Array.from({ length: 4 }, (_each, adapter) => `a${adapter}`),
        })),
        loading: models[index] ?? "",
    }));
    const inFlight = Object.fromEntries(engines.map(({ engine }) => [engine, 9]));
    return createDigest(host, {
        demand,
        adapterDemand: demand,
        readingDemand: demand,
        engines,
        inFlight,
        ...overrides,
    });
}

/** Returns the aggregate of a cell of some hosts. */
export function createBusyAggregate(cell: number, hostCount: number): GossipMessage {
    const aggregates = new CellAggregates();
    const hosts = Array.from({ length: hostCount }, (_, index) => `front-zone-${cell}-${index}`);
    hosts.forEach(host => aggregates.recordDigest(createBusyDigest(host, cell), 0));
    const name = hosts[0] ?? "";
    return aggregates.aggregateOfCell({ host: name, cell: name }, createBusyDigest(name, cell), 0);
}

/** A host whose messages are sent to another one at a fixed rate. */
export interface RepeatedMessage {
    readonly message: GossipMessage;
    readonly perSecond: number;
}

/** Sends messages again and again, each from a socket of its own; `close` ends it. */
export class MessageRepeater {
    readonly #sockets: readonly Socket[];
    readonly #timer: NodeJS.Timeout;
    #sentCount = 0;

    private constructor(sockets: readonly Socket[], messages: readonly RepeatedMessage[], port: number) {
        this.#sockets = sockets;
        const encoded = messages.map(({ message }) => Buffer.from(JSON.stringify(message)));
        const due = messages.map(() => 0);
        let lastAt = performance.now();
        this.#timer = setInterval(() => {
            const now = performance.now();
            const elapsedSeconds = (now - lastAt) / MILLISECONDS_PER_SECOND;
            lastAt = now;
            messages.forEach(({ perSecond }, index) => {
                due[index] = (due[index] ?? 0) + perSecond * elapsedSeconds;
                for (; (due[index] ?? 0) >= 1; due[index] = (due[index] ?? 0) - 1) {
                    this.#sockets[index]?.send(encoded[index] ?? "", port, "127.0.0.1", () => undefined);
                    this.#sentCount += 1;
                }
            });
        }, SEND_INTERVAL_MILLISECONDS);
    }

    /** Begins to send messages to a port of the loopback address. */
    static async start(messages: readonly RepeatedMessage[], port: number): Promise<MessageRepeater> {
        const sockets = await Promise.all(messages.map(async () => {
            const socket = createSocket("udp4");
            socket.bind(0, "127.0.0.1");
            await once(socket, "listening");
            return socket;
        }));
        return new MessageRepeater(sockets, messages, port);
    }

    get sentCount(): number {
        return this.#sentCount;
    }

    close(): void {
        clearInterval(this.#timer);
        this.#sockets.forEach(socket => socket.close());
    }
}

/** Messages of one host to another at a fixed rate, another one each time. */
export interface RepeatedMessages {
    readonly perSecond: number;
    /** Returns the message of a round, counted from 0. */
    readonly next: (round: number) => GossipMessage;
}

/** Sends messages that change, from the sockets of some hosts by turns; `close` ends it. */
export class VariedMessageSender {
    readonly #sockets: readonly Socket[];
    readonly #port: number;
    #timer: NodeJS.Timeout | undefined;

    private constructor(sockets: readonly Socket[], port: number) {
        this.#sockets = sockets;
        this.#port = port;
    }

    /** Opens the sockets of some hosts, to send to a port of the loopback address. */
    static async open(hostCount: number, port: number): Promise<VariedMessageSender> {
        const sockets = await Promise.all(Array.from({ length: hostCount }, async () => {
            const socket = createSocket("udp4");
            socket.bind(0, "127.0.0.1");
            await once(socket, "listening");
            return socket;
        }));
        return new VariedMessageSender(sockets, port);
    }

    /** Returns the address and port of a host's socket. */
    addressOf(index: number): string {
        return `127.0.0.1:${this.#sockets[index]?.address().port ?? 0}`;
    }

    /** Sends the messages until closed; those of one entry come from one socket. */
    start(messages: readonly RepeatedMessages[]): void {
        const startedAt = performance.now();
        const rounds = messages.map(() => 0);
        this.#timer = setInterval(() => {
            const elapsedSeconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
            messages.forEach(({ next, perSecond }, index) => {
                for (; (rounds[index] ?? 0) < perSecond * elapsedSeconds; rounds[index] = (rounds[index] ?? 0) + 1) {
                    const bytes = Buffer.from(JSON.stringify(next(rounds[index] ?? 0)));
                    const socket = this.#sockets[index % this.#sockets.length];
                    socket?.send(bytes, this.#port, "127.0.0.1", () => undefined);
                }
            });
        }, SEND_INTERVAL_MILLISECONDS);
    }

    /** Ends the messages; others can be started. */
    stop(): void {
        clearInterval(this.#timer);
    }

    close(): void {
        this.stop();
        this.#sockets.forEach(socket => socket.close());
    }
}
