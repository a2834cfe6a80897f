/**
 * Writes lines to a file descriptor without ever waiting for its reader.
 *
 * @module
 */
import { write, writeSync } from "node:fs";

/** Text that waits for a slow reader, at most; a few seconds of lines at the usual rate. */
const MOST_WAITING_CHARACTERS = 512 * 1024;

/** Lines are gathered for this long, so that many share one system call. */
const GATHER_MILLISECONDS = 50;

/** Options of `BoundedOutput`. */
export interface BoundedOutputOptions {
    readonly fileDescriptor: number;
    /** Gives the line that says how many lines were left out. */
    readonly describeDropped: (count: number) => string;
}

/**
 * Gathers lines and writes them in the background; what a slow reader leaves no room for is dropped and counted.
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
    #waiting: string[] = [];
    #waitingCharacters = 0;
    #dropped = 0;
    #writing = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: BoundedOutputOptions) {
        this.#options = options;
    }

    write(line: string): void {
        if (this.#waitingCharacters + line.length > MOST_WAITING_CHARACTERS) {
            this.#dropped += 1;
            return;
        }
        this.#waiting.push(line);
        this.#waitingCharacters += line.length;
        if (!this.#writing && this.#timer === undefined) {
            this.#timer = setTimeout(() => this.#flush(), GATHER_MILLISECONDS);
        }
    }

    /** Writes what waits, as far as the reader takes it at once. */
    close(): void {
        clearTimeout(this.#timer);
        try {
            writeSync(this.#options.fileDescriptor, this.#take());
        }
        catch {
            // The reader takes no more, and the process ends: there is nowhere left to say so.
        }
    }

    #take(): string {
        if (this.#dropped > 0) {
            this.#waiting.push(this.#options.describeDropped(this.#dropped));
            this.#dropped = 0;
        }
        const text = this.#waiting.join("");
        this.#waiting = [];
        return text;
    }

    #flush(): void {
        this.#timer = undefined;
        this.#writing = true;
        const bytes = Buffer.from(this.#take());
        this.#writeFrom(bytes, 0);
    }

    /** The text counts as waiting until its last byte is written. */
    #writeFrom(bytes: Buffer, offset: number): void {
        write(this.#options.fileDescriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
            const next = error === null ? offset + written : offset;
            const retry = error === null || error.code === "EAGAIN";
            if (retry && next < bytes.length) {
                setTimeout(() => this.#writeFrom(bytes, next), error === null ? 0 : GATHER_MILLISECONDS);
                return;
            }
            this.#writing = false;
            this.#waitingCharacters = this.#waiting.reduce((sum, line) => sum + line.length, 0);
            if (this.#waiting.length > 0) {
                this.#timer = setTimeout(() => this.#flush(), GATHER_MILLISECONDS);
            }
        });
    }
}
