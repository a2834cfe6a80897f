/**
 * How much of a connection's bytes the parser gets at once: what becomes one request, or a bounded number of pieces.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";

/** Lines of a part without the end of a head; a chunk has two. */
const PART_LINES = 512;

const LINE_FEED = 0x0a;

/** The body whose bytes come next. */
export type BodyForm =
    | { readonly type: "none"; }
    | { readonly type: "sized"; readonly leftBytes: number; }
    /** A body in chunks, whose end only the parser tells. */
    | { readonly type: "chunked"; readonly message: Pick<IncomingMessage, "complete">; };

/** The beginning of what is unparsed, and the body that the bytes behind it belong to. */
export interface RequestPart {
    readonly bytes: number;
    readonly body: BodyForm;
}

/** Returns the form of a request's body, from its head. */
export function bodyFormOf(message: Pick<IncomingMessage, "complete" | "headers">): BodyForm {
    const { "content-length": length, "transfer-encoding": encoding } = message.headers;
    if (encoding !== undefined) {
        return { type: "chunked", message };
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
    const index = bytes.indexOf("\n\r\n");
    const end = index === -1 ? bytes.length : index + 3;
    const short = bytes.subarray(0, end).indexOf("\n\n");
    if (short !== -1) {
        return short + 2;
    }
    return index === -1 ? undefined : end;
}

/**
 * Measures the next part to parse: a sized body as far as it is there; otherwise up to the end of a head, or a bounded
 * number of lines.
 *
 * @param bytes What is unparsed; not empty.
 * @param body The body whose bytes come next.
 */
export function measurePart(bytes: Buffer, body: BodyForm): RequestPart {
    if (body.type === "sized") {
        const taken = Math.min(bytes.length, body.leftBytes);
        const leftBytes = body.leftBytes - taken;
        return { bytes: taken, body: leftBytes > 0 ? { type: "sized", leftBytes } : { type: "none" } };
    }
    const isChunked = body.type === "chunked" && !body.message.complete;
    const toEmptyLine = measureToEmptyLine(bytes) ?? bytes.length;
    return {
        bytes: isChunked ? Math.min(toEmptyLine, measureLines(bytes, PART_LINES)) : toEmptyLine,
        body: isChunked ? body : { type: "none" },
    };
}
