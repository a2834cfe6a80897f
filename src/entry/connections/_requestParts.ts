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

/** The body whose bytes come next. */
export type BodyForm =
    | { readonly type: "none"; }
    | { readonly type: "sized"; readonly leftBytes: number; }
    /** A body in chunks, at the beginning of a chunk or within one. */
    | { readonly type: "chunked"; readonly message: ParsedMessage; readonly leftBytes: number; }
    /** The rest of a body in chunks, whose form only the parser knows. */
    | { readonly type: "unknown"; readonly message: ParsedMessage; };

/** A request whose head was parsed; it is complete once its body was, too. */
type ParsedMessage = Pick<IncomingMessage, "complete">;

/** The beginning of what is unparsed, and the body that the bytes behind it belong to. */
export interface RequestPart {
    readonly bytes: number;
    readonly body: BodyForm;
    /** Bytes to parse in the place of these. */
    readonly replacement?: Buffer;
}

/** Returns the form of a request's body, from its head. */
export function bodyFormOf(message: Pick<IncomingMessage, "complete" | "headers">): BodyForm {
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

function measureChunked(bytes: Buffer, message: ParsedMessage, chunkBytes: number): RequestPart {
    if (chunkBytes > 0) {
        const taken = Math.min(bytes.length, chunkBytes);
        return { bytes: taken, body: { type: "chunked", message, leftBytes: chunkBytes - taken } };
    }
    const atChunk: BodyForm = { type: "chunked", message, leftBytes: 0 };
    return match<ChunkRun, RequestPart>(readChunks(bytes))
        .with({ type: "joined" }, run => ({ bytes: run.bytes, body: atChunk, replacement: run.chunk }))
        .with({ type: "chunk" }, run => measureChunked(bytes, message, run.bytes))
        .with({ type: "incomplete" }, () => ({ bytes: 0, body: atChunk }))
        .with({ type: "other" }, () => measurePart(bytes, { type: "unknown", message }))
        .exhaustive();
}

/**
 * Measures the next part to parse: of a sized body or a chunk, as far as it is there; of a body in chunks, small ones
 * joined; otherwise up to the end of a head, or a bounded number of lines.
 *
 * @param bytes What is unparsed; not empty.
 * @param body The body whose bytes come next.
 * @returns The part; without bytes where more must be read before any can be parsed.
 */
export function measurePart(bytes: Buffer, body: BodyForm): RequestPart {
    if (body.type === "sized") {
        const taken = Math.min(bytes.length, body.leftBytes);
        const leftBytes = body.leftBytes - taken;
        return { bytes: taken, body: leftBytes > 0 ? { type: "sized", leftBytes } : { type: "none" } };
    }
    if (body.type === "chunked" && !body.message.complete) {
        return measureChunked(bytes, body.message, body.leftBytes);
    }
    const isUnknown = body.type === "unknown" && !body.message.complete;
    const toEmptyLine = measureToEmptyLine(bytes) ?? measureLineEnds(bytes);
    return {
        bytes: isUnknown ? Math.min(toEmptyLine, measureLines(bytes, PART_LINES)) : toEmptyLine,
        body: isUnknown ? body : { type: "none" },
    };
}
