import assert from "node:assert/strict";
import { test } from "node:test";
import { type UpstreamAnnouncement, UpstreamView } from "./index.js";

const SECOND = 1_000;

function announcement(id: string, overrides: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement {
    return {
        id,
        startedAtMilliseconds: 100,
        service: "orders",
        address: `10.0.0.1:${id.length}000`,
        zone: "a",
        softwareVersion: "v1",
        slots: 6,
        leaving: false,
        remainingMilliseconds: undefined,
        announcementNumber: 1,
        models: [],
        localWeights: { inMemory: [], onDisk: [] },
        ...overrides,
    };
}

function usableIds(view: UpstreamView): string[] {
    return view.usable("orders").map(({ id }) => id);
}

test("an upstream that announces that it leaves is not usable", () => {
    const view = new UpstreamView();
    view.put(announcement("x"));
    const changes = view.put(announcement("x", { leaving: true, announcementNumber: 2 }));
    assert.deepEqual(changes.map(({ type }) => type), ["left"]);
    assert.deepEqual(usableIds(view), []);
});

test("an upstream whose announcement is removed without a recent service failure is no longer usable", () => {
    const view = new UpstreamView();
    view.put(announcement("x"));
    const [change] = view.remove("x", 10 * SECOND);
    assert.equal(change?.type, "left");
    assert.deepEqual(usableIds(view), []);
});

test("an upstream removed around an outage stays usable until two seconds after the last service failure", () => {
    const view = new UpstreamView();
    view.put(announcement("x"));
    view.put(announcement("yy"));
    view.recordServiceFailure(10 * SECOND);
    assert.deepEqual(view.remove("x", 10.2 * SECOND).map(({ type }) => type), ["in-doubt"]);
    assert.deepEqual(view.remove("yy", 10.2 * SECOND).map(({ type }) => type), ["in-doubt"]);
    assert.deepEqual(usableIds(view).sort(), ["x", "yy"]);
    view.put(announcement("yy", { announcementNumber: 9 }));
    assert.deepEqual(view.expire(11.9 * SECOND), []);
    assert.deepEqual(view.expire(12 * SECOND).map(change => [change.type, change.upstream.id]), [["left", "x"]]);
    assert.deepEqual(usableIds(view), ["yy"]);
});

test("an outage does not keep a leaving upstream", () => {
    const view = new UpstreamView();
    view.put(announcement("x"));
    view.put(announcement("x", { leaving: true, announcementNumber: 2 }));
    view.recordServiceFailure(SECOND);
    assert.deepEqual(view.remove("x", SECOND).map(({ type }) => type), ["left"]);
});

test("an announcement written after a newer one, or by an ended incarnation, changes nothing", () => {
    const view = new UpstreamView();
    view.put(announcement("x", { leaving: true, announcementNumber: 5 }));
    assert.deepEqual(view.put(announcement("x", { announcementNumber: 4 })), []);
    view.put(announcement("x", { startedAtMilliseconds: 200, announcementNumber: 1 }));
    assert.deepEqual(view.put(announcement("x", { leaving: true, announcementNumber: 6 })), []);
    assert.deepEqual(usableIds(view), ["x"]);
});

test("an address belongs to the upstream that started last", () => {
    const view = new UpstreamView();
    view.put(announcement("x", { address: "10.0.0.1:80" }));
    const changes = view.put(announcement("y", { address: "10.0.0.1:80", startedAtMilliseconds: 300 }));
    assert.deepEqual(changes.map(change => [change.type, change.upstream.id]), [["left", "x"], ["joined", "y"]]);
    view.put(announcement("x", { address: "10.0.0.1:80", announcementNumber: 9 }));
    assert.ok(view.isUsable("y"), "the newer incarnation keeps the address");
});

test("a listing removes the upstreams that it does not contain", () => {
    const view = new UpstreamView();
    view.put(announcement("x"));
    view.replaceAll([announcement("yy")], 10 * SECOND);
    assert.deepEqual(usableIds(view), ["yy"]);
});

test("changes of the usable upstreams are counted, and announcements that say the same again are none", () => {
    const view = new UpstreamView();
    const steps: (() => unknown)[] = [
        () => view.put(announcement("x")),
        () => view.put(announcement("yy")),
        () => view.recordLeaving({ id: "yy", startedAtMilliseconds: announcement("yy").startedAtMilliseconds }),
        () => view.put(announcement("x", { announcementNumber: 2, softwareVersion: "another" })),
        () => view.remove("x", 10 * SECOND),
    ];
    for (const step of steps) {
        const before = view.usableChanges;
        step();
        assert.equal(view.usableChanges, before + 1, step.toString());
    }
    view.put(announcement("z"));
    const before = view.usableChanges;
    assert.deepEqual(usableIds(view), ["z"]);
    view.put(announcement("z", { announcementNumber: 3 }));
    assert.equal(view.usableChanges, before);
    assert.equal(view.usable("orders")[0]?.announcementNumber, 3);
});

test("an incarnation that was chosen may receive no request once a later one has announced itself", () => {
    const view = new UpstreamView();
    const chosen = announcement("x");
    view.put(chosen);
    assert.ok(view.isUsableIncarnation(chosen));
    view.put(announcement("x", { startedAtMilliseconds: 200 }));
    assert.ok(view.isUsable("x"));
    assert.ok(!view.isUsableIncarnation(chosen));
});
