/**
 * Writes lines to a file descriptor without blocking on a slow reader.
 *
 * @module
 */
import { write, writeSync } from "node:fs";

/** Limit of the text buffered for a slow reader; a few seconds of lines at the usual rate. */
const MAXIMUM_BUFFERED_CHARACTERS = 512 * 1024;

/** Time for which lines are buffered, so that one system call writes many. */
const FLUSH_DELAY_MILLISECONDS = 50;

/** Options of `BoundedOutput`. */
export interface BoundedOutputOptions {
    readonly fileDescriptor: number;
    /** Returns the line that reports how many lines were dropped. */
    readonly describeDropped: (count: number) => string;
}

/**
 * Buffers lines and writes them in the background. Lines that exceed the buffer are dropped and counted.
 *
 * @example
 * ```ts
 * const output = new BoundedOutput({ fileDescriptor: 1, describeDropped: count => `{"dropped":${count}}\n` });
 * output.write("{\"message\":\"started\"}\n");
 * output.close();
 * ```
 */
export class BoundedOutput {
    readonly #options: BoundedOutputOptions;
    #bufferedLines: string[] = [];
    #bufferedCharacters = 0;
    #droppedLines = 0;
    #writing = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: BoundedOutputOptions) {
        this.#options = options;
    }

    write(line: string): void {
        if (this.#bufferedCharacters + line.length > MAXIMUM_BUFFERED_CHARACTERS) {
            this.#droppedLines += 1;
            return;
        }
        this.#bufferedLines.push(line);
        this.#bufferedCharacters += line.length;
        if (!this.#writing && this.#timer === undefined) {
            this.#timer = setTimeout(() => this.#flush(), FLUSH_DELAY_MILLISECONDS);
        }
    }

    /** Writes the buffered lines, as far as the descriptor accepts them at once. */
    close(): void {
        clearTimeout(this.#timer);
        try {
            writeSync(this.#options.fileDescriptor, this.#drainBuffer());
        }
        catch {
            // The descriptor accepts no more text. The process is ending, and there is no other output to report it on.
        }
    }

    #drainBuffer(): string {
        if (this.#droppedLines > 0) {
            this.#bufferedLines.push(this.#options.describeDropped(this.#droppedLines));
            this.#droppedLines = 0;
        }
        const text = this.#bufferedLines.join("");
        this.#bufferedLines = [];
        return text;
    }

    #flush(): void {
        this.#timer = undefined;
        this.#writing = true;
        const bytes = Buffer.from(this.#drainBuffer());
        this.#writeFrom(bytes, 0);
    }

    /** Writes the rest of a batch. Its text counts towards the buffer limit until the last byte is written. */
    #writeFrom(bytes: Buffer, offset: number): void {
        write(this.#options.fileDescriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
            const next = error === null ? offset + written : offset;
            const retry = error === null || error.code === "EAGAIN";
            if (retry && next < bytes.length) {
                setTimeout(() => this.#writeFrom(bytes, next), error === null ? 0 : FLUSH_DELAY_MILLISECONDS);
                return;
            }
            this.#writing = false;
            this.#bufferedCharacters = this.#bufferedLines.reduce((total, line) => total + line.length, 0);
            if (this.#bufferedLines.length > 0) {
                this.#timer = setTimeout(() => this.#flush(), FLUSH_DELAY_MILLISECONDS);
            }
        });
    }
}
