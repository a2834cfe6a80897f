/**
 * Joins the small chunks of a body before they are parsed: the parser makes an object of each.
 *
 * @module
 */

/** Chunks up to this size are joined. */
const SMALL_CHUNK_BYTES = 1_024;

/** Bytes of small chunks that are joined at once. */
const JOINED_BYTES = 16 * 1024;

/** Digits of the size of a chunk that is read here. */
const MAXIMUM_DIGITS = 6;

/** Length of an extension that is read here where its line is not there whole. */
const MAXIMUM_OPEN_EXTENSION_BYTES = 256;

/** Length of the line with the size of a joined chunk. */
const SIZE_LINE_BYTES = 8;

const NO_BYTES = Buffer.alloc(0);

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const SEMICOLON = 0x3b;
const LINE_END_BYTES = 2;

/** The beginning of a body in chunks, from the beginning of a chunk on. */
export type ChunkRun =
    /** Whole small chunks, and one chunk with the same data. */
    | { readonly type: "joined"; readonly bytes: number; readonly chunk: Buffer; }
    /** One chunk, from its size to the end of its line; it may not be there whole. */
    | { readonly type: "chunk"; readonly bytes: number; }
    /** A size whose line is not there whole. */
    | { readonly type: "incomplete"; }
    /** The line of the last chunk, behind which trailers or an empty line come. */
    | { readonly type: "last"; readonly bytes: number; }
    /** Bytes that only the parser understands. */
    | { readonly type: "other"; };

interface ChunkSize {
    readonly type: "size";
    readonly size: number;
    /** Length of the line with the size. */
    readonly lineBytes: number;
    readonly hasExtension: boolean;
}

function digitOf(code: number | undefined): number {
    if (code === undefined) {
        return -1;
    }
    if (code >= 0x30 && code <= 0x39) {
        return code - 0x30;
    }
    const letter = code | 0x20;
    return letter >= 0x61 && letter <= 0x66 ? letter - 0x61 + 10 : -1;
}

/** Returns the length of a line from its extension on; a long one that is not there whole is left to the parser. */
function measureExtension(bytes: Buffer, start: number): number | "incomplete" | "other" {
    const end = bytes.indexOf(LINE_FEED, start);
    if (end === -1) {
        return bytes.length - start < MAXIMUM_OPEN_EXTENSION_BYTES ? "incomplete" : "other";
    }
    return bytes[end - 1] === CARRIAGE_RETURN ? end + 1 - start : "other";
}

/** Reads the line with the size of a chunk. */
function readSize(bytes: Buffer, start: number): ChunkSize | "incomplete" | "other" {
    let size = 0;
    let position = start;
    for (; position < bytes.length && position - start <= MAXIMUM_DIGITS; position += 1) {
        const digit = digitOf(bytes[position]);
        if (digit === -1) {
            break;
        }
        size = size * 16 + digit;
    }
    const digits = position - start;
    if (digits > 0 && digits <= MAXIMUM_DIGITS && bytes[position] === SEMICOLON) {
        const rest = measureExtension(bytes, position);
        return typeof rest === "string"
            ? rest
            : { type: "size", size, lineBytes: digits + rest, hasExtension: true };
    }
    const isOver = position < bytes.length;
    if (digits > MAXIMUM_DIGITS || (isOver && (digits === 0 || bytes[position] !== CARRIAGE_RETURN))) {
        return "other";
    }
    if (position + 1 >= bytes.length) {
        return "incomplete";
    }
    return bytes[position + 1] === LINE_FEED
        ? { type: "size", size, lineBytes: digits + LINE_END_BYTES, hasExtension: false }
        : "other";
}

/** Returns room for the line with the size, and for what may be joined of the bytes. */
function allocateJoined({ length }: Buffer): Buffer {
    return Buffer.allocUnsafe(Math.min(length, JOINED_BYTES + SMALL_CHUNK_BYTES) + 2 * SIZE_LINE_BYTES);
}

function hasLineEnd(bytes: Buffer, position: number): boolean {
    return bytes[position] === CARRIAGE_RETURN && bytes[position + 1] === LINE_FEED;
}

/** A small chunk that is there whole and has no extension. */
interface SmallChunk {
    readonly type: "small";
    readonly dataStart: number;
    /** Position behind its line end. */
    readonly end: number;
}

/** Reads one chunk, or says why it cannot be joined with others. */
function readChunk(bytes: Buffer, start: number): SmallChunk | Exclude<ChunkRun, { readonly type: "joined"; }> {
    const line = readSize(bytes, start);
    if (typeof line === "string") {
        return { type: line };
    }
    if (line.size === 0) {
        return { type: "last", bytes: line.lineBytes };
    }
    const dataStart = start + line.lineBytes;
    const end = dataStart + line.size + LINE_END_BYTES;
    const isSmall = !line.hasExtension && line.size <= SMALL_CHUNK_BYTES && end <= bytes.length
        && hasLineEnd(bytes, end - LINE_END_BYTES);
    return isSmall ? { type: "small", dataStart, end } : { type: "chunk", bytes: end - start };
}

/**
 * Reads from the beginning of a chunk on.
 *
 * @param bytes What is unparsed.
 */
export function readChunks(bytes: Buffer): ChunkRun {
    let joined: Buffer = NO_BYTES;
    let position = 0;
    let chunks = 0;
    let length = SIZE_LINE_BYTES;
    while (position < JOINED_BYTES) {
        const chunk = readChunk(bytes, position);
        if (chunk.type !== "small") {
            if (chunks === 0) {
                return chunk;
            }
            break;
        }
        if (chunks === 0) {
            joined = allocateJoined(bytes);
        }
        for (let index = chunk.dataStart; index < chunk.end - LINE_END_BYTES; index += 1) {
            joined[length] = bytes[index] ?? 0;
            length += 1;
        }
        chunks += 1;
        position = chunk.end;
    }
    if (chunks === 1) {
        return { type: "chunk", bytes: position };
    }
    joined.write(`${(length - SIZE_LINE_BYTES).toString(16).padStart(SIZE_LINE_BYTES - LINE_END_BYTES, "0")}\r\n`);
    length += joined.write("\r\n", length);
    return { type: "joined", bytes: position, chunk: joined.subarray(0, length) };
}
