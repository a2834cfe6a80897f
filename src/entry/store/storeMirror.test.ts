import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Ok } from "ts-results-es";
import {
    type ChangeReader,
    type KeyValueChanges,
    type KeyValueService,
    type WatchEvent,
} from "../../platform/index.js";
import { type ChangeBatch, type MirrorEvent, StoreMirror } from "./storeMirror.js";

/** A key-value service whose watches deliver the events that a test emits; records each watch's first revision. */
interface SimulatedService {
    readonly keyValue: KeyValueService & ChangeReader;
    readonly watchRevisions: number[];
    /** Answer to a read of changes. */
    changes: KeyValueChanges;
    emit(event: WatchEvent): void;
}

function createService(revision: number): SimulatedService {
    const watchRevisions: number[] = [];
    let onEvent: (event: WatchEvent) => void = () => undefined;
    const keyValue: Partial<KeyValueService & ChangeReader> = {
        changesAfter: () => Promise.resolve(Ok(service.changes)),
        snapshot: () => Promise.resolve(Ok({ entries: [], revision })),
        watch: (_prefix, listener, options) => {
            watchRevisions.push(options?.fromRevision ?? 0);
            onEvent = listener;
            return { close: () => Promise.resolve() };
        },
    };
    const service: SimulatedService = {
        keyValue: keyValue as KeyValueService & ChangeReader,
        watchRevisions,
        changes: { changes: [], revision },
        emit: event => onEvent(event),
    };
    return service;
}

interface MirrorOverrides {
    readonly batchMilliseconds?: number;
    readonly mustWatch?: () => boolean;
    readonly onEvent?: (event: MirrorEvent) => void;
    readonly onBatch?: (batch: ChangeBatch) => void;
}

async function startMirror(service: SimulatedService, overrides: MirrorOverrides = {}): Promise<StoreMirror> {
    const doNothing = (): void => undefined;
    const mirror = new StoreMirror({
        keyValue: service.keyValue,
        batchMilliseconds: () => overrides.batchMilliseconds ?? 120,
        logger: { error: doNothing, warn: doNothing, info: doNothing, debug: doNothing, close: doNothing },
        mustWatch: overrides.mustWatch ?? (() => true),
        onEvent: overrides.onEvent ?? doNothing,
        onBatch: overrides.onBatch ?? doNothing,
    });
    mirror.start();
    await delay(0);
    return mirror;
}

test("a watch that stays behind a reported revision is restarted, even if other hosts are as far behind", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    for (let now = 0; now <= 1_200; now += 100) {
        mirror.recordLaterRevision(93, now);
        mirror.recordLaterRevision(88, now);
    }
    assert.deepEqual(service.watchRevisions, [89, 89]);
});

test("a watch that delivers the reported revisions is not restarted", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    for (let now = 0; now <= 5_000; now += 100) {
        const revision = 89 + Math.floor(now / 500);
        mirror.recordLaterRevision(revision, now);
        service.emit({ type: "progress", revision: revision - 1 });
    }
    assert.deepEqual(service.watchRevisions, [89]);
    assert.equal(mirror.revision, 98);
});

test("a longer batch time extends the time before a watch is restarted", async () => {
    const service = createService(88);
    const mirror = await startMirror(service, { batchMilliseconds: 600 });
    for (let now = 0; now <= 1_300; now += 100) {
        mirror.recordLaterRevision(93, now);
    }
    assert.deepEqual(service.watchRevisions, [89]);
    mirror.recordLaterRevision(93, 1_400);
    assert.deepEqual(service.watchRevisions, [89, 89]);
});

/** Returns a mirror's put and removed events as text with key and revision. */
function describeKeyEvents(events: readonly MirrorEvent[]): string[] {
    return events.flatMap(event => {
        if (event.type === "put") {
            return [`${event.entry.key}=${event.entry.value}@${event.entry.revision}`];
        }
        return event.type === "removed" ? [`${event.key} gone@${event.revision}`] : [];
    });
}

test("the changes between two progress events form one batch, which names the revision that it follows", async () => {
    const service = createService(88);
    const batches: ChangeBatch[] = [];
    await startMirror(service, { onBatch: batch => batches.push(batch) });
    service.emit({ type: "put", entry: { key: "a", value: "1", revision: 89 } });
    service.emit({ type: "delete", key: "b", revision: 91 });
    service.emit({ type: "progress", revision: 91 });
    service.emit({ type: "progress", revision: 91 });
    service.emit({ type: "put", entry: { key: "a", value: "2", revision: 92 } });
    service.emit({ type: "progress", revision: 93 });
    assert.deepEqual(batches, [
        {
            afterRevision: 88,
            revision: 91,
            changes: [{ key: "a", value: "1", revision: 89 }, { key: "b", revision: 91 }],
        },
        { afterRevision: 91, revision: 93, changes: [{ key: "a", value: "2", revision: 92 }] },
    ]);
});

test("changes of overlapping or repeated batches are applied once, and those after a gap are left to a watch", async () => {
    const service = createService(88);
    const events: MirrorEvent[] = [];
    let mustWatch = false;
    const mirror = await startMirror(service, { mustWatch: () => mustWatch, onEvent: event => events.push(event) });
    mirror.adjustWatch();
    const first = { afterRevision: 88, revision: 90, changes: [{ key: "a", value: "1", revision: 89 }] };
    mirror.applyBatch(first);
    mirror.applyBatch(first);
    mirror.applyBatch({ ...first, revision: 91, changes: [...first.changes, { key: "b", revision: 91 }] });
    mirror.applyBatch({ afterRevision: 93, revision: 95, changes: [{ key: "c", value: "3", revision: 95 }] });
    assert.deepEqual(describeKeyEvents(events), ["a=1@89", "b gone@91"]);
    assert.equal(mirror.revision, 91);
    mustWatch = true;
    mirror.adjustWatch();
    assert.deepEqual(service.watchRevisions, [89, 92], "the watch begins after the last applied batch");
});

test("a watch counts as answered until it ends", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    assert.ok(mirror.isWatchAnswered);
    service.emit({ type: "ended", message: "refused", historyLost: false });
    assert.ok(!mirror.isWatchAnswered);
    await mirror.close();
});

test("a removal that a watch delivers after a later entry of its key was read does not remove that entry", async () => {
    const service = createService(88);
    const events: MirrorEvent[] = [];
    const mirror = await startMirror(service, { onEvent: event => events.push(event) });
    const entry = { key: "servers/i-1", value: "{}", revision: 90 };
    const changes = [{ type: "delete", key: entry.key, revision: 89 }, { type: "put", entry }] as const;
    service.changes = { changes, revision: 91 };
    assert.equal(await mirror.readChanges(), true);
    assert.equal(mirror.revision, 91);
    changes.forEach(event => service.emit(event));
    service.emit({ type: "progress", revision: 91 });
    assert.deepEqual(events.filter(({ type }) => type === "removed").length, 1);
    assert.deepEqual(events.filter(({ type }) => type === "put").length, 1);
});

test("all changes of one transaction are applied as a watch delivers them", async () => {
    const service = createService(88);
    const events: MirrorEvent[] = [];
    await startMirror(service, { onEvent: event => events.push(event) });
    for (const key of ["hosts/entry-1", "hosts/entry-2"]) {
        service.emit({ type: "delete", key, revision: 89 });
    }
    assert.deepEqual(events.filter(({ type }) => type === "removed").length, 2);
});
