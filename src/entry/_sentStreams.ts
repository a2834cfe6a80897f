/**
 * Collects the streams that are sent to upstreams, until other hosts are told of them.
 *
 * @module
 */
import { identifyStream } from "../streamVersions/index.js";

/** An upstream turns a request away, or takes it, within this time; streams of this time are told together. */
const TELL_DELAY_MILLISECONDS = 10;

/** A stream that was sent to an upstream of a version, before its first event. */
export interface SentStream {
    readonly stream: string;
    readonly version: string;
    /** True once other hosts were told, so that the stream may begin at this version only. */
    readonly isTold: boolean;
}

type MutableSentStream = { -readonly [Name in keyof SentStream]: SentStream[Name]; };

/** Passes streams on some time after they were sent, unless their upstreams have turned them away before. */
export class SentStreams {
    readonly #tell: (streams: readonly SentStream[]) => void;
    readonly #untold = new Set<MutableSentStream>();
    #timer: NodeJS.Timeout | undefined;

    /** @param tell Tells other hosts of streams. */
    constructor(tell: (streams: readonly SentStream[]) => void) {
        this.#tell = tell;
    }

    add(requestId: string, version: string): SentStream {
        const sent = { stream: identifyStream(requestId), version, isTold: false };
        this.#untold.add(sent);
        this.#timer ??= setTimeout(() => this.#tellAll(), TELL_DELAY_MILLISECONDS);
        return sent;
    }

    /** Forgets a stream of which nobody was told. */
    withdraw(sent: SentStream): void {
        this.#untold.delete(sent);
    }

    close(): void {
        clearTimeout(this.#timer);
    }

    #tellAll(): void {
        this.#timer = undefined;
        const streams = [...this.#untold];
        this.#untold.clear();
        for (const sent of streams) {
            sent.isTold = true;
        }
        this.#tell(streams);
    }
}
