import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../../tests/support/announcements.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type SentStream } from "../_sentStreams.js";
import { StreamProgress } from "./streamProgress.js";

const OLD = upstreamOf("v1");
const NEW = upstreamOf("v1.1");

function upstreamOf(softwareVersion: string): UpstreamAnnouncement {
    return { ...createAnnouncement([], { id: `engine-${softwareVersion}` }), softwareVersion };
}

/** A new stream, and what other hosts are told of it. */
class SimulatedStream {
    readonly progress: StreamProgress;
    readonly told: string[] = [];
    #untold: (SentStream & { isTold: boolean; }) | undefined;

    constructor(hasSeveralVersions = true) {
        this.progress = new StreamProgress({
            request: { requestId: "request", route: { kind: "event-stream", resumable: true } },
            facts: { lastEventId: undefined, resumedRequest: undefined, service: "llm" },
            versions: {
                lookUp: () => assert.fail("a new stream is not looked up"),
                mayBegin: () => true,
                recordBegun: (_, version) => void this.told.push(version),
                recordSent: (stream, version) => {
                    this.#untold = hasSeveralVersions ? { stream, version, isTold: false } : undefined;
                    return this.#untold;
                },
                recordWhole: () => undefined,
                withdrawSent: () => {
                    this.#untold = undefined;
                },
            },
        });
    }

    /** The delay after which other hosts are told ends. */
    tell(): void {
        if (this.#untold !== undefined) {
            this.#untold.isTold = true;
            this.told.push(this.#untold.version);
            this.#untold = undefined;
        }
    }

    allowed(): string[] {
        return [OLD, NEW].filter(upstream => this.progress.allows(upstream)).map(each => each.softwareVersion);
    }
}

test("a stream that other hosts were told of begins at no other version, although its attempt failed", () => {
    const stream = new SimulatedStream();
    stream.progress.recordSent(OLD);
    stream.tell();
    stream.progress.recordAttemptFailed();
    assert.deepEqual(stream.allowed(), ["v1"]);
    stream.progress.recordSent(OLD);
    stream.progress.recordEvents(OLD, "1");
    assert.deepEqual(stream.told, ["v1"]);
});

test("a stream that is turned away before other hosts are told may begin at another version", () => {
    const stream = new SimulatedStream();
    stream.progress.recordSent(OLD);
    stream.progress.recordAttemptFailed();
    stream.tell();
    assert.deepEqual([stream.told, stream.allowed()], [[], ["v1", "v1.1"]]);
    stream.progress.recordSent(NEW);
    stream.tell();
    assert.deepEqual([stream.told, stream.allowed()], [["v1.1"], ["v1.1"]]);
});

test("other hosts are told at once of a stream whose first event comes before the delay ends", () => {
    const stream = new SimulatedStream();
    stream.progress.recordSent(NEW);
    stream.progress.recordEvents(NEW, "1");
    stream.tell();
    assert.deepEqual(stream.told, ["v1.1"]);
});

test("while an attempt may still send the first event, no other attempt begins the stream at another version", () => {
    const stream = new SimulatedStream(false);
    stream.progress.recordSent(OLD);
    assert.deepEqual(stream.allowed(), ["v1"]);
    stream.progress.recordSent(OLD);
    stream.progress.recordAttemptFailed();
    assert.deepEqual(stream.allowed(), ["v1"]);
    stream.progress.recordAttemptFailed();
    assert.deepEqual(stream.allowed(), ["v1", "v1.1"]);
});
