/**
 * Keys of orders, and the tickets that begin them.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";

/** Names one process: the host and the incarnation of its start. */
export interface ProcessName {
    readonly host: string;
    readonly incarnation: string;
}

/** What a ticket says: the one process that may run its orders, and the process that witnesses them. */
export interface Ticket {
    readonly owner: ProcessName;
    /** Missing where no other host lived when the ticket was issued. */
    readonly witness?: ProcessName;
    /** Counts periods of wall-clock time; bounds how long owner and witness remember the ticket's keys. */
    readonly generation: number;
}

/** A parsed order key; without a ticket it has to be claimed in the key-value service. */
export interface OrderKey {
    readonly ticket: Ticket | undefined;
    readonly unique: string;
}

/** Why a text is no order key. */
export interface MalformedOrderKey {
    readonly message: string;
}

/** Longest order key, in characters. */
export const MAXIMUM_KEY_LENGTH = 512;

const TICKET_VERSION = "t1";
const PART_SEPARATOR = ".";
const KEY_SEPARATOR = "/";
const TICKET_PARTS = 6;
const CODE_DIGITS = 4;
const HEXADECIMAL = 16;
const UNIQUE_PATTERN = /^[A-Za-z0-9._~-]+$/;
const PART_PATTERN = /^(?:[A-Za-z0-9_-]|~[0-9a-f]{4})*$/;
const GENERATION_PATTERN = /^[0-9]{1,12}$/;

function escapePart(text: string): string {
    return text.replace(
        /[^A-Za-z0-9_-]/g,
        character => `~${character.charCodeAt(0).toString(HEXADECIMAL).padStart(CODE_DIGITS, "0")}`,
    );
}

function unescapePart(text: string): string {
    return text.replace(
        /~([0-9a-f]{4})/g,
        (_, digits: string) => String.fromCharCode(Number.parseInt(digits, HEXADECIMAL)),
    );
}

/**
 * Writes a ticket as the text that begins its keys.
 *
 * @param ticket The owner, the witness and the generation.
 * @returns A text of URL-safe characters without a slash.
 *
 * @example
 * ```ts
 * const ticket = issueTicket({
 *     owner: { host: "host-1", incarnation: "a" },
 *     witness: { host: "host-2", incarnation: "b" },
 *     generation: 7,
 * });
 * const key = `${ticket}/reel-cut-4711`;
 * ```
 */
export function issueTicket(ticket: Ticket): string {
    const { owner, witness, generation } = ticket;
    const names = [owner.host, owner.incarnation, witness?.host ?? "", witness?.incarnation ?? ""];
    return [TICKET_VERSION, ...names.map(escapePart), generation.toString()].join(PART_SEPARATOR);
}

function parseTicket(text: string): Result<Ticket, MalformedOrderKey> {
    const parts = text.split(PART_SEPARATOR);
    const [version, ...names] = parts;
    const generation = names.pop() ?? "";
    const wellFormed = version === TICKET_VERSION && parts.length === TICKET_PARTS
        && GENERATION_PATTERN.test(generation) && names.every(name => PART_PATTERN.test(name));
    if (!wellFormed) {
        return Err({ message: `'${text}' is no ticket; take one from GET /v1/addresses` });
    }
    const [host = "", incarnation = "", witnessHost = "", witnessIncarnation = ""] = names.map(unescapePart);
    if (host === "" || incarnation === "" || (witnessHost === "") !== (witnessIncarnation === "")) {
        return Err({ message: `'${text}' is no ticket: it lacks the name of a process` });
    }
    const ticket = { owner: { host, incarnation }, generation: Number(generation) };
    return Ok(
        witnessHost === "" ? ticket : { ...ticket, witness: { host: witnessHost, incarnation: witnessIncarnation } },
    );
}

/**
 * Takes an order key apart.
 *
 * @param key `<ticket>/<unique part>`, or a bare unique part.
 * @returns The ticket, where there is one, and the unique part.
 *
 * @example
 * ```ts
 * const parsed = parseOrderKey("reel-cut-4711");
 * console.log(parsed.isOk() && parsed.value.ticket === undefined); // true
 * ```
 */
export function parseOrderKey(key: string): Result<OrderKey, MalformedOrderKey> {
    if (key.length > MAXIMUM_KEY_LENGTH) {
        return Err({ message: `the key has ${key.length} characters; at most ${MAXIMUM_KEY_LENGTH} are allowed` });
    }
    const separator = key.indexOf(KEY_SEPARATOR);
    const unique = key.slice(separator + 1);
    if (!UNIQUE_PATTERN.test(unique)) {
        return Err({ message: "the unique part of the key must consist of letters, digits and . _ ~ -" });
    }
    if (separator < 0) {
        return Ok({ ticket: undefined, unique });
    }
    return parseTicket(key.slice(0, separator)).map(ticket => ({ ticket, unique }));
}

/**
 * Gives the ticket of a key.
 *
 * @returns The ticket; nothing for a key without one, or a malformed one.
 *
 * @example
 * ```ts
 * ticketOf("reel-cut-4711"); // undefined
 * ```
 */
export function ticketOf(key: string): Ticket | undefined {
    return parseOrderKey(key).map(parsed => parsed.ticket).unwrapOr(undefined);
}

/**
 * Hashes what a key stands for, so that a key used again for something else is noticed.
 *
 * @param order The service, the call and the body.
 * @returns A SHA-256 digest in hexadecimal digits.
 *
 * @example
 * ```ts
 * const bodyHash = hashOrderBody({ service: "line", call: "cut", body: "{\"reel\":4711}" });
 * ```
 */
export function hashOrderBody(
    order: { readonly service: string; readonly call: string; readonly body: string; },
): string {
    return createHash("sha256").update(JSON.stringify([order.service, order.call, order.body])).digest("hex");
}

/**
 * Tells whether two names are of the same process.
 *
 * @example
 * ```ts
 * isSameProcess({ host: "host-1", incarnation: "a" }, { host: "host-1", incarnation: "b" }); // false
 * ```
 */
export function isSameProcess(left: ProcessName, right: ProcessName): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}
