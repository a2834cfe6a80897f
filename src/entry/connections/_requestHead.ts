/**
 * What the head of a request takes of memory.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { copyBeginning } from "../../memory/index.js";

/** Characters of a dropped head's URL that are kept, for log lines. */
const KEPT_URL_CHARACTERS = 100;

/** Memory of the name or value of a header field beside its characters: a string, and its places in lists and objects. */
const TEXT_BYTES = 56;

/** Returns the length of a request's URL and of the names and values of its header fields, without separators. */
export function headBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((total, text) => total + text.length, url.length);
}

/**
 * Returns the memory that the head of a request takes, at least: its characters, and the objects that hold its fields.
 */
export function headMemory(message: IncomingMessage): number {
    return headBytes(message) + message.rawHeaders.length * TEXT_BYTES;
}

/**
 * Returns the memory that the parser takes, at most, for header fields or trailers without their end.
 *
 * @param lines Number of their lines that were parsed.
 * @param bytes Length of these, up to the limit for headers; a field has at least one.
 */
export function unfinishedFieldsMemory(lines: number, bytes: number): number {
    return bytes + Math.min(lines, bytes) * 2 * TEXT_BYTES;
}

/**
 * Drops the head of a request that is refused, but for some header fields and the beginning of its URL.
 *
 * @param message The request.
 * @param keptNames Names of the header fields that are kept, in lower case.
 */
export function dropHead(message: IncomingMessage, keptNames: readonly string[]): void {
    const { headers, url = "" } = message;
    message.headers = Object.fromEntries(
        keptNames.filter(name => headers[name] !== undefined).map(name => [name, headers[name]]),
    );
    message.rawHeaders = [];
    message.url = copyBeginning(url, KEPT_URL_CHARACTERS);
}
