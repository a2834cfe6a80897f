/**
 * Order keys, and the tickets that a key may begin with.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";

/** Identifies one process: its host and its incarnation. */
export interface ProcessName {
    readonly host: string;
    readonly incarnation: string;
}

/** Assigns orders to the one process that may run them, and to the process that records their dispatch. */
export interface Ticket {
    readonly owner: ProcessName;
    /** Missing where no other host was live when the ticket was issued. */
    readonly witness?: ProcessName;
    /** Number of the period of Unix time in which it was issued; bounds how long its keys are remembered. */
    readonly generation: number;
}

/** A parsed order key; one without a ticket must be claimed in the key-value service before its order runs. */
export interface OrderKey {
    readonly ticket: Ticket | undefined;
    readonly unique: string;
}

/** Reason why a text is not a valid order key. */
export interface MalformedOrderKey {
    readonly message: string;
}

/** Maximum length of an order key, in characters. */
export const MAXIMUM_KEY_LENGTH = 512;

const TICKET_VERSION = "t1";
const PART_SEPARATOR = ".";
const KEY_SEPARATOR = "/";
const TICKET_PART_COUNT = 6;
const ESCAPE_DIGITS = 4;
const HEXADECIMAL_RADIX = 16;
const UNIQUE_PATTERN = /^[A-Za-z0-9._~-]+$/;
const PART_PATTERN = /^(?:[A-Za-z0-9_-]|~[0-9a-f]{4})*$/;
const GENERATION_PATTERN = /^[0-9]{1,12}$/;

function escapePart(text: string): string {
    return text.replace(
        /[^A-Za-z0-9_-]/g,
        character => `~${character.charCodeAt(0).toString(HEXADECIMAL_RADIX).padStart(ESCAPE_DIGITS, "0")}`,
    );
}

function unescapePart(text: string): string {
    return text.replace(
        /~([0-9a-f]{4})/g,
        (_, digits: string) => String.fromCharCode(Number.parseInt(digits, HEXADECIMAL_RADIX)),
    );
}

/**
 * Encodes a ticket as the prefix of its order keys.
 *
 * @param ticket The owner, the witness and the generation.
 * @returns URL-safe characters without a slash.
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
    const isWellFormed = version === TICKET_VERSION && parts.length === TICKET_PART_COUNT
        && GENERATION_PATTERN.test(generation) && names.every(name => PART_PATTERN.test(name));
    if (!isWellFormed) {
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
 * Parses an order key.
 *
 * @param key `<ticket>/<unique part>`, or a bare unique part.
 * @returns The ticket, if the key has one, and the unique part; an error for a malformed key.
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
 * Returns the ticket of an order key.
 *
 * @returns The ticket; `undefined` for a key without one and for a malformed key.
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
 * Hashes an order without its key, so that reuse of the key for another order is detected.
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
 * Returns whether two names identify the same process.
 *
 * @example
 * ```ts
 * isSameProcess({ host: "host-1", incarnation: "a" }, { host: "host-1", incarnation: "b" }); // false
 * ```
 */
export function isSameProcess(left: ProcessName, right: ProcessName): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}
