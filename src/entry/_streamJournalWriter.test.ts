import { test, type TestContext } from "node:test";
import { Err, Ok } from "ts-results-es";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { until } from "../../tests/support/entrySite.js";
import { type StreamJournalRecord } from "../generated/gossip.js";
import { type PlatformError } from "../platform/index.js";
import { StreamJournalWriter } from "./_streamJournalWriter.js";

const LEASE = { lease: "lease", timeToLiveMilliseconds: 120_000 };

/** A writer, and what it has written, with the key-value service failing as a test says. */
class SimulatedJournal {
    readonly writer: StreamJournalWriter;
    readonly written = new Map<string, StreamJournalRecord["streams"]>();
    failure: PlatformError | undefined;
    writeCount = 0;

    constructor(context: TestContext) {
        this.writer = new StreamJournalWriter({
            host: "host",
            logger: createCollectingLogger([]),
            random: Math.random,
            readClock: () => performance.now(),
            keyValue: {
                grantLease: () => Promise.resolve(Ok(LEASE)),
                compareAndSwap: (key, { value }) => {
                    this.writeCount += 1;
                    if (this.failure !== undefined) {
                        return Promise.resolve(Err(this.failure));
                    }
                    this.written.set(key, (JSON.parse(value) as StreamJournalRecord).streams);
                    return Promise.resolve(Ok({ type: "written", revision: this.writeCount }));
                },
            },
        });
        context.after(() => this.writer.close());
    }

    streams(): string[] {
        return [...this.written.values()].flatMap(streams => Object.values(streams));
    }
}

test("streams that the key-value service refused are written once it answers, although no further stream begins", async context => {
    const journal = new SimulatedJournal(context);
    journal.failure = { kind: "refused", message: "overloaded" };
    journal.writer.add({ stream: "stream-0", version: "v1" }, 1);
    await until(() => journal.writeCount > 0);
    journal.failure = undefined;
    await until(() => journal.streams().includes("stream-0"));
});
