/**
 * Tasks of a host one of whose steps throws: the host goes on, and so does the task.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Ok } from "ts-results-es";
import { createCollectingLogger, type LoggedLine } from "../../tests/support/collectedLines.js";
import { until } from "../../tests/support/entrySite.js";
import { type KeyValueService } from "../platform/index.js";
import { StreamJournalWriter } from "./_streamJournalWriter.js";
import { HostSession } from "./store/hostSession.js";
import { type MirrorEvent, StoreMirror } from "./store/storeMirror.js";

/** Returns a function that throws at its first call, as a part with a fault that nobody expects. */
function brokenOnce<Arguments extends unknown[], Returned>(
    call: (...values: Arguments) => Returned,
): (...values: Arguments) => Returned {
    let isBroken = true;
    return (...values) => {
        if (isBroken) {
            isBroken = false;
            throw new Error("broken");
        }
        return call(...values);
    };
}

function assertLogged(lines: readonly LoggedLine[], task: string): void {
    const failed = lines.filter(({ message }) => message === "background task failed");
    assert.deepEqual(failed.map(({ fields }) => fields["task"]), [task]);
}

// Guards against a host that ends, or hears nothing of the key-value service any more, after one exception.
test("a mirror one of whose listings could not be applied lists again", async context => {
    const lines: LoggedLine[] = [];
    const events: MirrorEvent["type"][] = [];
    const record = brokenOnce((event: MirrorEvent) => void events.push(event.type));
    const keyValue: Partial<KeyValueService> = {
        snapshot: () => Promise.resolve(Ok({ entries: [], revision: 7 })),
        watch: () => ({ close: () => Promise.resolve() }),
    };
    const mirror = new StoreMirror({
        keyValue: keyValue as ConstructorParameters<typeof StoreMirror>[0]["keyValue"],
        logger: createCollectingLogger(lines),
        batchMilliseconds: () => 0,
        mustWatch: () => true,
        onEvent: event => event.type === "listed" ? record(event) : undefined,
        onBatch: () => undefined,
    });
    context.after(() => mirror.close());
    mirror.start();
    await until(() => events.length === 1);
    assert.deepEqual(events, ["listed"]);
    assertLogged(lines, "listing of the key-value service");
});

test("a session one of whose steps throws goes on", async context => {
    const lines: LoggedLine[] = [];
    const confirmed: string[] = [];
    const keyValue: Partial<KeyValueService> = {
        grantLease: brokenOnce(() => Promise.resolve(Ok({ lease: "lease-1" }))),
        compareAndSwap: () => Promise.resolve(Ok({ type: "written", revision: 3 })),
    };
    const session = new HostSession({
        host: "entry-1",
        zone: "zone-a",
        addresses: { callers: "127.0.0.1:1", gossip: "127.0.0.1:2", state: "127.0.0.1:3" },
        keyValue: keyValue as KeyValueService,
        logger: createCollectingLogger(lines),
        readClocks: () => ({ steadyMilliseconds: performance.now(), timeOfDayMilliseconds: Date.now() }),
        renewalIntervalMilliseconds: () => 10_000,
        hostRecordRevision: () => 0,
        onConfirmed: lease => void confirmed.push(lease),
        onLost: () => undefined,
        onCallOutcome: () => undefined,
        onCallTimeout: () => undefined,
    });
    context.after(() => session.abandon());
    session.start();
    await until(() => confirmed.length === 1);
    assertLogged(lines, "session in the key-value service");
});

test("a journal one of whose writes throws writes its streams later", async context => {
    const lines: LoggedLine[] = [];
    const written: string[] = [];
    const writer = new StreamJournalWriter({
        host: "entry-1",
        logger: createCollectingLogger(lines),
        random: Math.random,
        readClock: () => performance.now(),
        keyValue: {
            grantLease: brokenOnce(() => Promise.resolve(Ok({ lease: "lease-1" }))),
            compareAndSwap: (_key, { value }) => {
                written.push(value);
                return Promise.resolve(Ok({ type: "written", revision: 3 }));
            },
        },
    });
    context.after(() => writer.close());
    writer.add({ stream: "stream-1", version: "v1" }, 1);
    await until(() => written.some(value => value.includes("stream-1")));
    assertLogged(lines, "journal of streams");
});
