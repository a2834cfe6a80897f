import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results-es";
import {
    type ChangeReader,
    type KeyValueChanges,
    type KeyValueService,
    type KeyValueSnapshot,
    type PlatformError,
} from "../../platform/index.js";
import { type MirrorEvent, StoreMirror } from "./storeMirror.js";

const LISTING_MILLISECONDS = 20;
const KNOWN_REVISION = 88;
const KEY = "servers/i-1";

interface Answers {
    snapshot: () => Promise<Result<KeyValueSnapshot, PlatformError>>;
    changes: Result<KeyValueChanges, PlatformError & { readonly isHistoryLost?: boolean; }>;
}

async function startMirror(answers: Answers, events: MirrorEvent[]): Promise<StoreMirror> {
    const doNothing = (): void => undefined;
    const keyValue: Partial<KeyValueService & ChangeReader> = {
        snapshot: () => answers.snapshot(),
        changesAfter: () => Promise.resolve(answers.changes),
        watch: () => ({ close: () => Promise.resolve() }),
    };
    const mirror = new StoreMirror({
        keyValue: keyValue as KeyValueService & ChangeReader,
        batchMilliseconds: () => 120,
        logger: { error: doNothing, warn: doNothing, info: doNothing, debug: doNothing, close: doNothing },
        mustWatch: () => true,
        onEvent: event => void events.push(event),
        onBatch: doNothing,
    });
    mirror.start();
    await delay(1);
    return mirror;
}

function listAt(revision: number, milliseconds: number): Answers["snapshot"] {
    return async () => {
        await delay(milliseconds);
        return Ok({ entries: [{ key: KEY, value: `at ${revision}`, revision }], revision });
    };
}

test("a view whose history is lost counts as read only once it was listed anew", async context => {
    const answers: Answers = {
        snapshot: listAt(KNOWN_REVISION, 0),
        changes: Err({ kind: "rejected", message: "compacted", isHistoryLost: true }),
    };
    const mirror = await startMirror(answers, []);
    context.after(() => mirror.close());
    await delay(LISTING_MILLISECONDS);
    answers.snapshot = listAt(KNOWN_REVISION + 10, LISTING_MILLISECONDS);
    await mirror.readChanges();
    assert.equal(mirror.revision, KNOWN_REVISION + 10, "the revision known when acts go on");
});

test("a listing does not take back changes that were read after it", async context => {
    const events: MirrorEvent[] = [];
    const answers: Answers = {
        snapshot: listAt(KNOWN_REVISION, 0),
        changes: Ok({
            changes: [{ type: "delete", key: KEY, revision: KNOWN_REVISION + 5 }],
            revision: KNOWN_REVISION + 5,
        }),
    };
    const mirror = await startMirror(answers, events);
    context.after(() => mirror.close());
    await delay(LISTING_MILLISECONDS);
    answers.snapshot = listAt(KNOWN_REVISION + 2, LISTING_MILLISECONDS);
    mirror.relist("test");
    assert.equal(await mirror.readChanges(), true);
    assert.equal(mirror.revision, KNOWN_REVISION + 5);
    await delay(3 * LISTING_MILLISECONDS);
    assert.ok(mirror.revision >= KNOWN_REVISION + 5, `the mirror went back to revision ${mirror.revision}`);
});
