/**
 * Remembers which version began each stream.
 *
 * @module
 */
import { type BegunStream } from "../generated/gossip.js";

/** Time for which a stream is remembered; longer than a stream lasts and its caller may take to resume it. */
const RETENTION_MILLISECONDS = 64_000;

/** Limit of remembered streams; the oldest are forgotten first. */
const MAXIMUM_STREAMS = 65_536;

/**
 * The version of each stream that this host began or was told of.
 *
 * @example
 * ```ts
 * const streams = new BegunStreams();
 * streams.remember({ stream: identifyStream("9c41d07be2a35f68"), version: "v1.1" }, now);
 * streams.versionOf(identifyStream("9c41d07be2a35f68"), now); // "v1.1"
 * ```
 */
export class BegunStreams {
    /** In the order in which they were remembered. */
    readonly #streams = new Map<string, { readonly version: string; readonly atMilliseconds: number; }>();

    remember({ stream, version }: BegunStream, nowMilliseconds: number): void {
        this.#streams.delete(stream);
        this.#streams.set(stream, { version, atMilliseconds: nowMilliseconds });
        this.#expire(nowMilliseconds);
    }

    forget(stream: string): void {
        this.#streams.delete(stream);
    }

    versionOf(stream: string, nowMilliseconds: number): string | undefined {
        this.#expire(nowMilliseconds);
        return this.#streams.get(stream)?.version;
    }

    all(nowMilliseconds: number): BegunStream[] {
        this.#expire(nowMilliseconds);
        return [...this.#streams].map(([stream, { version }]) => ({ stream, version }));
    }

    #expire(nowMilliseconds: number): void {
        for (const [stream, { atMilliseconds }] of this.#streams) {
            const isRecent = nowMilliseconds - atMilliseconds < RETENTION_MILLISECONDS;
            if (isRecent && this.#streams.size <= MAXIMUM_STREAMS) {
                return;
            }
            this.#streams.delete(stream);
        }
    }
}
