import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Ok } from "ts-results-es";
import { type KeyValueService, type WatchEvent } from "../platform/index.js";
import { type ChangeBatch, type MirrorEvent, StoreMirror } from "./storeMirror.js";

/** A service whose watches bring what the test gives them; each watch is noted with the revision that it begins at. */
interface WatchedService {
    readonly keyValue: KeyValueService;
    readonly begunAt: number[];
    tell(event: WatchEvent): void;
}

function createService(revision: number): WatchedService {
    const begunAt: number[] = [];
    let onEvent: (event: WatchEvent) => void = () => undefined;
    const keyValue: Partial<KeyValueService> = {
        snapshot: () => Promise.resolve(Ok({ entries: [], revision })),
        watch: (_prefix, listener, options) => {
            begunAt.push(options?.fromRevision ?? 0);
            onEvent = listener;
            return { close: () => Promise.resolve() };
        },
    };
    return { keyValue: keyValue as KeyValueService, begunAt, tell: event => onEvent(event) };
}

interface MirrorSetting {
    readonly gatherMilliseconds?: number;
    readonly mustWatch?: () => boolean;
    readonly onEvent?: (event: MirrorEvent) => void;
    readonly onBatch?: (batch: ChangeBatch) => void;
}

async function startMirror(service: WatchedService, setting: MirrorSetting = {}): Promise<StoreMirror> {
    const silent = (): void => undefined;
    const mirror = new StoreMirror({
        keyValue: service.keyValue,
        gatherMilliseconds: () => setting.gatherMilliseconds ?? 120,
        logger: { error: silent, warn: silent, info: silent, debug: silent, close: silent },
        mustWatch: setting.mustWatch ?? (() => true),
        onEvent: setting.onEvent ?? silent,
        onBatch: setting.onBatch ?? silent,
    });
    mirror.start();
    await delay(0);
    return mirror;
}

test("a watch that stays behind one host's revision is begun anew, though other hosts are as far behind", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    for (let now = 0; now <= 1_200; now += 100) {
        mirror.noteLaterRevision(93, now);
        mirror.noteLaterRevision(88, now);
    }
    assert.deepEqual(service.begunAt, [89, 89]);
});

test("a watch that brings what was told of is left alone", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    for (let now = 0; now <= 5_000; now += 100) {
        const revision = 89 + Math.floor(now / 500);
        mirror.noteLaterRevision(revision, now);
        service.tell({ type: "progress", revision: revision - 1 });
    }
    assert.deepEqual(service.begunAt, [89]);
    assert.equal(mirror.revision, 98);
});

test("a watch that gathers changes for longer has that much longer to bring them", async () => {
    const service = createService(88);
    const mirror = await startMirror(service, { gatherMilliseconds: 600 });
    for (let now = 0; now <= 1_300; now += 100) {
        mirror.noteLaterRevision(93, now);
    }
    assert.deepEqual(service.begunAt, [89]);
    mirror.noteLaterRevision(93, 1_400);
    assert.deepEqual(service.begunAt, [89, 89]);
});

/** The events of keys that a mirror told, as key and revision. */
function told(events: readonly MirrorEvent[]): string[] {
    return events.flatMap(event => {
        if (event.type === "put") {
            return [`${event.entry.key}=${event.entry.value}@${event.entry.revision}`];
        }
        return event.type === "removed" ? [`${event.key} gone@${event.revision}`] : [];
    });
}

test("a watch passes on what it brought, as one batch behind the revision before", async () => {
    const service = createService(88);
    const batches: ChangeBatch[] = [];
    await startMirror(service, { onBatch: batch => batches.push(batch) });
    service.tell({ type: "put", entry: { key: "a", value: "1", revision: 89 } });
    service.tell({ type: "delete", key: "b", revision: 91 });
    service.tell({ type: "progress", revision: 91 });
    service.tell({ type: "progress", revision: 91 });
    service.tell({ type: "put", entry: { key: "a", value: "2", revision: 92 } });
    service.tell({ type: "progress", revision: 93 });
    assert.deepEqual(batches, [
        {
            afterRevision: 88,
            revision: 91,
            changes: [{ key: "a", value: "1", revision: 89 }, { key: "b", revision: 91 }],
        },
        { afterRevision: 91, revision: 93, changes: [{ key: "a", value: "2", revision: 92 }] },
    ]);
});

test("batches that overlap or come twice are taken once, and one behind a gap waits for a watch", async () => {
    const service = createService(88);
    const events: MirrorEvent[] = [];
    let mustWatch = false;
    const mirror = await startMirror(service, { mustWatch: () => mustWatch, onEvent: event => events.push(event) });
    mirror.adjustWatch();
    const first = { afterRevision: 88, revision: 90, changes: [{ key: "a", value: "1", revision: 89 }] };
    mirror.takeBatch(first);
    mirror.takeBatch(first);
    mirror.takeBatch({ ...first, revision: 91, changes: [...first.changes, { key: "b", revision: 91 }] });
    mirror.takeBatch({ afterRevision: 93, revision: 95, changes: [{ key: "c", value: "3", revision: 95 }] });
    assert.deepEqual(told(events), ["a=1@89", "b gone@91"]);
    assert.equal(mirror.revision, 91);
    mustWatch = true;
    mirror.adjustWatch();
    assert.deepEqual(service.begunAt, [89, 92], "the watch goes on where the batches ended");
});

test("a host feeds others only while its own watch is answered", async () => {
    const service = createService(88);
    const mirror = await startMirror(service);
    assert.ok(mirror.feeds);
    service.tell({ type: "ended", message: "refused", historyLost: false });
    assert.ok(!mirror.feeds);
    await mirror.close();
});
