/**
 * Joins the small chunks of an answer that one read brings.
 *
 * @module
 */
import { concatenate } from "../../memory/index.js";

/** Larger chunks are handed on as they are. */
const SMALL_CHUNK_BYTES = 4 * 1024;

/**
 * Hands the chunks of an answer on, the small ones of a read joined: a read of 64 KiB may hold ten thousand chunks.
 *
 * @example
 * ```ts
 * const joiner = new ChunkJoiner(bytes => receive(bytes));
 * answer.on("data", chunk => joiner.add(chunk));
 * answer.on("end", () => joiner.flush());
 * ```
 */
export class ChunkJoiner {
    readonly #onData: (bytes: Buffer) => void;
    #chunks: Buffer[] = [];
    #length = 0;

    constructor(onData: (bytes: Buffer) => void) {
        this.#onData = onData;
    }

    /** Hands a chunk on, a small one once all of its read are there. */
    add(chunk: Buffer): void {
        if (chunk.length >= SMALL_CHUNK_BYTES) {
            this.flush();
            this.#onData(chunk);
            return;
        }
        if (this.#chunks.length === 0) {
            // Runs after the read that is being parsed.
            process.nextTick(() => this.flush());
        }
        this.#chunks.push(chunk);
        this.#length += chunk.length;
    }

    /** Hands on what waits; to be called before the end of the answer is reported. */
    flush(): void {
        const chunks = this.#chunks;
        const [first] = chunks;
        if (first === undefined) {
            return;
        }
        const bytes = chunks.length === 1 ? first : concatenate(chunks, this.#length);
        this.#chunks = [];
        this.#length = 0;
        this.#onData(bytes);
    }
}
