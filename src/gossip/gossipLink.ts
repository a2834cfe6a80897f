/**
 * Sends and receives gossip messages as datagrams.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { Err, Ok, type Result } from "ts-results-es";
import {
    type AdapterUseNotice,
    adapterUseNoticeSchema,
    type AdapterWish,
    adapterWishSchema,
    type ConsentAnswer,
    consentAnswerSchema,
    type ConsentQuestion,
    consentQuestionSchema,
    type EngineNews,
    engineNewsSchema,
    type FleetSummary,
    fleetSummarySchema,
    type FormatNotice,
    formatNoticeSchema,
    type HolderWord,
    holderWordSchema,
    type HostDigest,
    hostDigestSchema,
    messageReaders,
    type PermitGrant,
    permitGrantSchema,
    type PermitRequest,
    permitRequestSchema,
    type PlannedMove,
    plannedMoveSchema,
    type SendNotice,
    sendNoticeSchema,
    type SlotGrant,
    slotGrantSchema,
    type SlotRequest,
    slotRequestSchema,
    type StoreChanges,
    storeChangesSchema,
    type StreamQuestion,
    streamQuestionSchema,
    type StreamsBegun,
    streamsBegunSchema,
    type VersionCopyRequest,
    versionCopyRequestSchema,
} from "../generated/gossip.js";
import { type MemoryReservation } from "../memory/index.js";
import { parseDocument } from "../platform/parseDocument.js";
import { parseJson } from "../platform/parseJson.js";
import { parseAddress } from "../transport/index.js";
import { FIRST_TOLERANT_FORMAT, formsFor, provedFormat } from "./messageFormats.js";
import { PacedSender } from "./pacedSender.js";
import { PeerFormats } from "./peerFormats.js";
import { type DropReason, ReceiveQueue, type WaitingDatagram } from "./receiveQueue.js";
import { TurnBudget } from "./turnBudget.js";

/** Larger datagrams are not sent, since they would be fragmented into too many packets. */
const MAXIMUM_DATAGRAM_BYTES = 48 * 1024;

const IP_VERSION = 4;

const MAXIMUM_LOGGED_CHARACTERS = 40;

/** The message format that this build reads and writes. */
const PRESENT_FORMAT = 8;

/** Stands for the type of datagrams that could not be decoded. */
const UNREADABLE_TYPE = "unreadable";

/** A message between hosts. */
export type GossipMessage =
    | HostDigest
    | FleetSummary
    | AdapterWish
    | EngineNews
    | PlannedMove
    | SendNotice
    | AdapterUseNotice
    | HolderWord
    | ConsentQuestion
    | ConsentAnswer
    | PermitRequest
    | PermitGrant
    | SlotRequest
    | SlotGrant
    | StoreChanges
    | StreamsBegun
    | StreamQuestion
    | VersionCopyRequest;

/** Why a datagram was skipped, or a message was not sent. */
export type GossipProblemReason =
    /** Not a JSON object with a type. */
    | "no-message"
    /** Of a type that this build does not know. */
    | "unknown-type"
    /** Holds a value that this build does not know, in a field that has only certain values. */
    | "unknown-value"
    /** A field is missing, of another type or beyond its limit. */
    | "invalid"
    | "too-large"
    | "socket";

/** A datagram that was skipped, or a message that was not sent. */
export interface GossipProblem {
    readonly reason: GossipProblemReason;
    /** Address that the datagram came from; `undefined` where it was to be sent. */
    readonly source?: string;
    readonly detail: string;
}

/** A datagram that was received and handled. */
export interface HandledDatagram {
    /** Type of the message; {@linkcode UNREADABLE_TYPE} where it could not be decoded. */
    readonly type: string;
    /** Address and port of the sender. */
    readonly source: string;
    readonly bytes: number;
    readonly decodeMilliseconds: number;
    /** Time of the callback for the message. */
    readonly applyMilliseconds: number;
}

/** A message that was handed to the network, or waits to be. */
export interface SentMessage {
    readonly type: string;
    /** Bytes of one datagram. */
    readonly bytes: number;
    /** Peers that it is sent to, each in a datagram of its own. */
    readonly receivers: number;
}

/** Options of a link. */
export interface GossipLinkOptions {
    readonly address: string;
    readonly port: number;
    /** Memory that the messages draw on which wait to be handled. */
    readonly reservation?: MemoryReservation | undefined;
    readonly onMessage: (message: GossipMessage) => void;
    /** Bytes a second that messages take at most; not limited by default. */
    readonly bytesPerSecond?: number;
    /** Reads the clock by which the cost of a datagram is measured, in milliseconds; `performance.now` by default. */
    readonly readCostClock?: () => number;
    /** Called after a datagram was handled, with its cost. */
    readonly onHandled?: (datagram: HandledDatagram) => void;
    /** Called for each message that is sent, with its size. */
    readonly onSent?: (message: SentMessage) => void;
    /** Called for each datagram that was dropped because others wait. */
    readonly onDropped?: (reason: DropReason) => void;
    /** Called where a datagram could not be decoded or sent. */
    readonly onProblem: (problem: GossipProblem) => void;
}

/** Sends and receives datagrams until closed. */
export interface GossipLink {
    /** Sends a message to each address; datagrams may be lost. */
    send(message: GossipMessage, addresses: readonly string[]): void;
    /** Returns how long messages of some types that wait take to leave at least; 0 where none waits. */
    backlogMilliseconds(types: readonly GossipMessage["type"][]): number;
    close(): void;
}

const SCHEMAS = {
    digest: hostDigestSchema,
    format: formatNoticeSchema,
    summary: fleetSummarySchema,
    wish: adapterWishSchema,
    news: engineNewsSchema,
    move: plannedMoveSchema,
    sent: sendNoticeSchema,
    use: adapterUseNoticeSchema,
    holder: holderWordSchema,
    "consent-question": consentQuestionSchema,
    "consent-answer": consentAnswerSchema,
    "permit-request": permitRequestSchema,
    "permit-grant": permitGrantSchema,
    "slot-request": slotRequestSchema,
    "slot-grant": slotGrantSchema,
    changes: storeChangesSchema,
    "streams-begun": streamsBegunSchema,
    "stream-question": streamQuestionSchema,
    "version-copy": versionCopyRequestSchema,
};

function isMessageType(type: unknown): type is keyof typeof SCHEMAS {
    return typeof type === "string" && Object.hasOwn(SCHEMAS, type);
}

const UNKNOWN_VALUE_ISSUES: ReadonlySet<string> = new Set(["invalid_value", "invalid_union"]);

/** Decodes a message by its plain reader; the schema decides on what that does not accept, and says why. */
function decode(bytes: Buffer): Result<GossipMessage | FormatNotice, GossipProblem> {
    const value = parseJson(bytes.toString("utf8"));
    const type = (value as { readonly type?: unknown; } | undefined)?.type;
    if (typeof type !== "string") {
        return Err({ reason: "no-message", detail: `${bytes.length} bytes that are no message` });
    }
    if (!isMessageType(type)) {
        return Err({ reason: "unknown-type", detail: `type ${type.slice(0, MAXIMUM_LOGGED_CHARACTERS)}` });
    }
    const read = messageReaders[type](value);
    if (read !== undefined) {
        return Ok(read);
    }
    const { data, error } = parseDocument(SCHEMAS[type], value);
    if (data !== undefined) {
        return Ok(data);
    }
    const issue = error.issues[0];
    const reason = UNKNOWN_VALUE_ISSUES.has(issue?.code ?? "") ? "unknown-value" : "invalid";
    return Err({ reason, detail: `${type}: ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}` });
}

function encode(message: GossipMessage | FormatNotice): Buffer {
    return Buffer.from(JSON.stringify(message));
}

function bind(socket: Socket, options: GossipLinkOptions): Promise<void> {
    return new Promise((resolve, reject) => {
        socket.once("error", reject);
        socket.bind(options.port, options.address, () => {
            socket.removeListener("error", reject);
            resolve();
        });
    });
}

/** Replaces the name lookup of the socket: peers are addressed by IP only. */
function resolveToItself(
    address: string,
    _options: unknown,
    callback: (error: NodeJS.ErrnoException | null, address: string, family: number) => void,
): void {
    callback(null, address, IP_VERSION);
}

/** A link that sends each peer what its build can read. */
class DatagramLink implements GossipLink {
    readonly #options: GossipLinkOptions;
    readonly #socket: Socket;
    readonly #sender: PacedSender;
    readonly #formats = new PeerFormats();
    readonly #received: ReceiveQueue;
    readonly #receiving = new TurnBudget({ work: () => this.#receiveNext() });

    constructor(options: GossipLinkOptions, socket: Socket) {
        this.#received = new ReceiveQueue(options.reservation);
        this.#options = options;
        this.#socket = socket;
        this.#sender = new PacedSender({
            send: ({ address, bytes }) => this.#sendDatagram(bytes, address),
            bytesPerSecond: options.bytesPerSecond ?? Number.MAX_SAFE_INTEGER,
            readClock: () => performance.now(),
        });
        socket.on("error", error => options.onProblem({ reason: "socket", detail: error.message }));
        socket.on("message", (bytes, { address, port }) => this.#enqueue({ bytes, source: `${address}:${port}` }));
    }

    backlogMilliseconds(types: readonly GossipMessage["type"][]): number {
        return this.#sender.backlogMilliseconds(types);
    }

    send(message: GossipMessage, addresses: readonly string[]): void {
        const bytes = encode(message);
        if (bytes.length > MAXIMUM_DATAGRAM_BYTES) {
            const detail = `${message.type}: ${bytes.length} bytes exceed the maximum datagram size and were not sent`;
            this.#options.onProblem({ reason: "too-large", detail });
            return;
        }
        for (const [format, receivers] of this.#groupByFormat(addresses)) {
            for (const form of formsFor(message, format)) {
                this.#sendForm(form.type, form === message ? bytes : encode(form), receivers);
            }
            this.#askForFormat(receivers);
        }
    }

    close(): void {
        this.#receiving.close();
        this.#received.clear();
        this.#sender.close();
        this.#socket.close();
    }

    #groupByFormat(addresses: readonly string[]): ReadonlyMap<number, readonly string[]> {
        const now = performance.now();
        const groups = new Map<number, string[]>();
        for (const address of addresses) {
            const format = Math.min(this.#formats.formatOf(address, now), FIRST_TOLERANT_FORMAT);
            const group = groups.get(format) ?? [];
            group.push(address);
            groups.set(format, group);
        }
        return groups;
    }

    #askForFormat(addresses: readonly string[]): void {
        const now = performance.now();
        this.#sendNotice(true, addresses.filter(address => this.#formats.takeQuestion(address, now)));
    }

    #sendNotice(asks: boolean, addresses: readonly string[]): void {
        const notice: FormatNotice = { type: "format", format: PRESENT_FORMAT, asks };
        this.#sendForm(notice.type, encode(notice), addresses);
    }

    #sendForm(type: string, bytes: Buffer, receivers: readonly string[]): void {
        if (receivers.length > 0) {
            this.#sender.send(type, bytes, receivers);
            this.#options.onSent?.({ type, bytes: bytes.length, receivers: receivers.length });
        }
    }

    #enqueue(datagram: WaitingDatagram): void {
        const dropReason = this.#received.add(datagram);
        if (dropReason !== undefined) {
            this.#options.onDropped?.(dropReason);
        }
        this.#receiving.start();
    }

    /** Decodes and handles the next datagram; returns whether there are more. */
    #receiveNext(): boolean {
        const datagram = this.#received.take();
        if (datagram !== undefined) {
            this.#receive(datagram);
        }
        return this.#received.size > 0;
    }

    #receive({ bytes, source }: WaitingDatagram): void {
        const { onHandled, readCostClock = () => performance.now() } = this.#options;
        const startedAt = readCostClock();
        const decoded = decode(bytes);
        const decodedAt = readCostClock();
        this.#handle(decoded, source);
        onHandled?.({
            type: decoded.isOk() ? decoded.value.type : UNREADABLE_TYPE,
            source,
            bytes: bytes.length,
            decodeMilliseconds: decodedAt - startedAt,
            applyMilliseconds: readCostClock() - decodedAt,
        });
    }

    #handle(decoded: Result<GossipMessage | FormatNotice, GossipProblem>, source: string): void {
        if (decoded.isErr()) {
            this.#options.onProblem({ ...decoded.error, source });
            return;
        }
        const message = decoded.value;
        this.#formats.recordProof(source, provedFormat(message), performance.now());
        if (message.type !== "format") {
            this.#options.onMessage(message);
        }
        else if (message.asks) {
            this.#sendNotice(false, [source]);
        }
    }

    #sendDatagram(bytes: Buffer, address: string): void {
        const parsed = parseAddress(address);
        if (parsed.isErr()) {
            this.#options.onProblem({ reason: "socket", detail: parsed.error });
            return;
        }
        const { host, port } = parsed.value;
        this.#socket.send(bytes, port, host, error => {
            if (error !== null) {
                this.#options.onProblem({ reason: "socket", detail: error.message });
            }
        });
    }
}

/**
 * Opens a link.
 *
 * @param options Where to listen, and the callbacks for messages and problems.
 * @throws Rejects where the address cannot be bound.
 *
 * @example
 * ```ts
 * const link = await openGossipLink({ address: "127.0.0.1", port: 0, onMessage, onProblem });
 * link.close();
 * ```
 */
export async function openGossipLink(options: GossipLinkOptions): Promise<GossipLink> {
    const socket = createSocket({ type: "udp4", lookup: resolveToItself });
    try {
        await bind(socket, options);
    }
    catch (error) {
        socket.close();
        throw error;
    }
    return new DatagramLink(options, socket);
}
