import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Ok } from "ts-results-es";
import { type KeyValueService, type WatchEvent } from "../platform/index.js";
import { StoreMirror } from "./storeMirror.js";

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

async function startMirror(service: WatchedService, gatherMilliseconds = 120): Promise<StoreMirror> {
    const silent = (): void => undefined;
    const mirror = new StoreMirror({
        keyValue: service.keyValue,
        gatherMilliseconds: () => gatherMilliseconds,
        logger: { error: silent, warn: silent, info: silent, debug: silent, close: silent },
        onEvent: silent,
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
    const mirror = await startMirror(service, 600);
    for (let now = 0; now <= 1_300; now += 100) {
        mirror.noteLaterRevision(93, now);
    }
    assert.deepEqual(service.begunAt, [89]);
    mirror.noteLaterRevision(93, 1_400);
    assert.deepEqual(service.begunAt, [89, 89]);
});
