/**
 * How much of a connection's bytes the parser gets at once: what becomes one request, or a bounded number of pieces.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { match } from "ts-pattern";
import { type ChunkRun, readChunks } from "./_chunks.js";

/** Lines of a part without the end of a head. */
const PART_LINES = 512;

/** Line ends without the last byte of the empty line that they may become. */
const LINE_ENDS_BYTES = 3;

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;

/** Line ends before and of an empty line. */
const EMPTY_LINE = Buffer.from("\n\r\n");
const SHORT_EMPTY_LINE = Buffer.from("\n\n");

/** What the bytes that come next belong to. */
export type ReadPosition =
    /** The first line of a request. */
    | { readonly type: "none"; }
    /** The header fields of a request whose first line was parsed, or the trailers behind its last chunk. */
    | { readonly type: "fields"; }
    /** The rest of fields that are too long to be kept until they are whole. */
    | { readonly type: "long-fields"; }
    | { readonly type: "sized"; readonly leftBytes: number; }
    /** A body in chunks, at the beginning of a chunk or within one. */
    | { readonly type: "chunked"; readonly message: ParsedMessage; readonly leftBytes: number; }
    /** The rest of a body in chunks, whose form only the parser knows. */
    | { readonly type: "unknown"; readonly message: ParsedMessage; };

/** A request whose head was parsed; it is complete once its body was, too. */
type ParsedMessage = Pick<IncomingMessage, "complete">;

/** The beginning of what is unparsed, and what the bytes behind it belong to. */
export interface RequestPart {
    readonly bytes: number;
    readonly next: ReadPosition;
    /** Bytes to parse in the place of these. */
    readonly replacement?: Buffer;
}

/** Returns what the bytes behind the head of a request belong to. */
export function positionBehindHead(message: Pick<IncomingMessage, "complete" | "headers">): ReadPosition {
    const { "content-length": length, "transfer-encoding": encoding } = message.headers;
    if (encoding !== undefined) {
        return { type: "chunked", message, leftBytes: 0 };
    }
    const leftBytes = Number(length ?? 0);
    return leftBytes > 0 ? { type: "sized", leftBytes } : { type: "none" };
}

/** Returns the length of a number of lines, or of all bytes where they hold fewer. */
function measureLines(bytes: Buffer, maximumLines: number): number {
    let end = 0;
    for (let lines = 0; lines < maximumLines; lines += 1) {
        const index = bytes.indexOf(LINE_FEED, end);
        if (index === -1) {
            return bytes.length;
        }
        end = index + 1;
    }
    return end;
}

/** Returns the length up to the first empty line, at which a head or a body in chunks ends; the parser takes LF for CRLF. */
function measureToEmptyLine(bytes: Buffer): number | undefined {
    const index = bytes.indexOf(EMPTY_LINE);
    const end = index === -1 ? bytes.length : index + EMPTY_LINE.length;
    const short = bytes.subarray(0, end).indexOf(SHORT_EMPTY_LINE);
    if (short !== -1) {
        return short + SHORT_EMPTY_LINE.length;
    }
    return index === -1 ? undefined : end;
}

/** Counts lines that end within bytes. */
export function countLines(bytes: Buffer): number {
    let lines = 0;
    for (let index = bytes.indexOf(LINE_FEED); index !== -1; index = bytes.indexOf(LINE_FEED, index + 1)) {
        lines += 1;
    }
    return lines;
}

/** Measures up to an empty line; line ends at the end of what was read may be the beginning of one, and are left. */
function measureLineEnds(bytes: Buffer): number {
    let end = bytes.length;
    while (
        end > Math.max(0, bytes.length - LINE_ENDS_BYTES)
        && (bytes[end - 1] === LINE_FEED || bytes[end - 1] === CARRIAGE_RETURN)
    ) {
        end -= 1;
    }
    return end;
}

/** Returns the length of the first line that is not empty; `undefined` where its end is not there. */
function measureFirstLine(bytes: Buffer): number | undefined {
    const start = bytes.findIndex(byte => byte !== CARRIAGE_RETURN && byte !== LINE_FEED);
    const index = start === -1 ? -1 : bytes.indexOf(LINE_FEED, start);
    return index === -1 ? undefined : index + 1;
}

/** Returns the length of an empty line that bytes begin with; 0 where they do not. */
function measureLeadingEmptyLine(bytes: Buffer): number {
    if (bytes[0] === LINE_FEED) {
        return 1;
    }
    return bytes[0] === CARRIAGE_RETURN && bytes[1] === LINE_FEED ? 2 : 0;
}

/** Returns the length of header fields and their end, from the beginning of a line on; `undefined` without the end. */
function measureToFieldsEnd(fields: Buffer): number | undefined {
    return measureLeadingEmptyLine(fields) || measureToEmptyLine(fields);
}

/**
 * Returns whether header fields end with bytes that were appended to them.
 *
 * @param fields From the beginning of a line on.
 * @param searchedBytes Length of those in which no end was found.
 */
export function endsFields(fields: Buffer, searchedBytes: number): boolean {
    const tail = fields.subarray(Math.max(0, searchedBytes - LINE_ENDS_BYTES));
    return measureLeadingEmptyLine(fields) > 0 || measureToEmptyLine(tail) !== undefined;
}

function measureRequest(bytes: Buffer): RequestPart {
    const toEmptyLine = measureToEmptyLine(bytes);
    const firstLine = toEmptyLine === undefined ? measureFirstLine(bytes) : undefined;
    return firstLine === undefined
        ? { bytes: toEmptyLine ?? measureLineEnds(bytes), next: { type: "none" } }
        : { bytes: firstLine, next: { type: "fields" } };
}

function measureFields(bytes: Buffer, maximumFieldsBytes: number): RequestPart {
    const toEnd = measureToFieldsEnd(bytes);
    if (toEnd !== undefined) {
        return { bytes: toEnd, next: { type: "none" } };
    }
    return bytes.length < maximumFieldsBytes
        ? { bytes: 0, next: { type: "fields" } }
        : { bytes: measureLineEnds(bytes), next: { type: "long-fields" } };
}

function measureLongFields(bytes: Buffer): RequestPart {
    const toEmptyLine = measureToEmptyLine(bytes);
    return toEmptyLine === undefined
        ? { bytes: measureLineEnds(bytes), next: { type: "long-fields" } }
        : { bytes: toEmptyLine, next: { type: "none" } };
}

/** Measures a part of what only the parser understands. */
function measureUnknown(bytes: Buffer, position: ReadPosition): RequestPart {
    const toEmptyLine = measureToEmptyLine(bytes) ?? measureLineEnds(bytes);
    return { bytes: Math.min(toEmptyLine, measureLines(bytes, PART_LINES)), next: position };
}

/** Measures the line of the last chunk, with the trailers behind it where these are whole. */
function measureLastChunk(bytes: Buffer, lineBytes: number): RequestPart {
    const toEnd = measureToFieldsEnd(bytes.subarray(lineBytes));
    return toEnd === undefined
        ? { bytes: lineBytes, next: { type: "fields" } }
        : { bytes: lineBytes + toEnd, next: { type: "none" } };
}

function measureChunked(bytes: Buffer, message: ParsedMessage, chunkBytes: number): RequestPart {
    if (chunkBytes > 0) {
        const taken = Math.min(bytes.length, chunkBytes);
        return { bytes: taken, next: { type: "chunked", message, leftBytes: chunkBytes - taken } };
    }
    const atChunk: ReadPosition = { type: "chunked", message, leftBytes: 0 };
    return match<ChunkRun, RequestPart>(readChunks(bytes))
        .with({ type: "joined" }, run => ({ bytes: run.bytes, next: atChunk, replacement: run.chunk }))
        .with({ type: "chunk" }, run => measureChunked(bytes, message, run.bytes))
        .with({ type: "incomplete" }, () => ({ bytes: 0, next: atChunk }))
        .with({ type: "last" }, run => measureLastChunk(bytes, run.bytes))
        .with({ type: "other" }, () => measureUnknown(bytes, { type: "unknown", message }))
        .exhaustive();
}

function measureSized(bytes: Buffer, bodyBytes: number): RequestPart {
    const taken = Math.min(bytes.length, bodyBytes);
    const leftBytes = bodyBytes - taken;
    return { bytes: taken, next: leftBytes > 0 ? { type: "sized", leftBytes } : { type: "none" } };
}

/**
 * Measures the next part to parse: the first line of a request; its header fields, or trailers, once they are whole; of a
 * sized body or a chunk what is there; small chunks, joined; a bounded number of lines of what only the parser understands.
 *
 * @param bytes What is unparsed; not empty.
 * @param position What they belong to.
 * @param maximumFieldsBytes Length from which header fields are parsed before they are whole.
 * @returns The part; without bytes where more must be read before any can be parsed.
 */
export function measurePart(bytes: Buffer, position: ReadPosition, maximumFieldsBytes: number): RequestPart {
    return match(position)
        .with({ type: "none" }, () => measureRequest(bytes))
        .with({ type: "fields" }, () => measureFields(bytes, maximumFieldsBytes))
        .with({ type: "long-fields" }, () => measureLongFields(bytes))
        .with({ type: "sized" }, ({ leftBytes }) => measureSized(bytes, leftBytes))
        .with(
            { type: "chunked" },
            ({ leftBytes, message }) =>
                message.complete ? measureRequest(bytes) : measureChunked(bytes, message, leftBytes),
        )
        .with(
            { type: "unknown" },
            unknown => unknown.message.complete ? measureRequest(bytes) : measureUnknown(bytes, unknown),
        )
        .exhaustive();
}
