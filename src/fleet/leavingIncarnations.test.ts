import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type UpstreamAnnouncement, UpstreamView } from "./index.js";

function announcement(
    startedAtMilliseconds: number,
    announcementNumber: number,
    address: string,
): UpstreamAnnouncement {
    return {
        id: "one",
        startedAtMilliseconds,
        service: "orders",
        address,
        zone: "a",
        softwareVersion: "v1",
        slots: 6,
        leaving: false,
        remainingMilliseconds: undefined,
        announcementNumber,
        models: [],
        localWeights: { inMemory: [], onDisk: [] },
    };
}

test("an upstream that reports in an answer that it leaves is not usable, whatever its announcement states", () => {
    const view = new UpstreamView();
    view.put(announcement(100, 1, "10.0.0.1:1"));
    const [change] = view.recordLeaving({ id: "one", startedAtMilliseconds: 100 });
    assert.ok(change?.type === "left" && change.reason === "answered");
    assert.deepEqual(view.recordLeaving({ id: "one", startedAtMilliseconds: 100 }), [], "reported as one change only");
    view.put(announcement(100, 2, "10.0.0.1:1"));
    assert.deepEqual(view.usable("orders"), []);
});

test("the next incarnation of the same upstream is usable, and so is another upstream at its former address", () => {
    const view = new UpstreamView();
    view.put(announcement(100, 1, "10.0.0.1:1"));
    view.recordLeaving({ id: "one", startedAtMilliseconds: 100 });
    view.put({ ...announcement(150, 1, "10.0.0.1:1"), id: "two" });
    view.put(announcement(200, 1, "10.0.0.2:1"));
    assert.deepEqual(view.usable("orders").map(({ id }) => id).sort(), ["one", "two"]);
});

test("no incarnation that reported leaving is usable, in any order of answers, restarts and outages", () => {
    const processStart = fc.integer({ min: 1, max: 3 }).map(each => each * 100);
    const event = fc.oneof(
        fc.record({ type: fc.constant("put" as const), processStart, number: fc.integer({ min: 1, max: 9 }) }),
        fc.record({ type: fc.constant("leaving" as const), processStart }),
        fc.record({ type: fc.constant("removed" as const) }),
        fc.record({ type: fc.constant("service-failure" as const) }),
        fc.record({ type: fc.constant("expire" as const) }),
    );
    fc.assert(
        fc.property(fc.array(event, { maxLength: 40 }), events => {
            const view = new UpstreamView();
            const leaving = new Set<number>();
            let now = 0;
            for (const each of events) {
                now += 700;
                switch (each.type) {
                    case "put":
                        view.put(announcement(each.processStart, each.number, "10.0.0.1:1"));
                        break;
                    case "leaving":
                        view.recordLeaving({ id: "one", startedAtMilliseconds: each.processStart });
                        leaving.add(each.processStart);
                        break;
                    case "removed":
                        view.remove("one", now);
                        break;
                    case "service-failure":
                        view.recordServiceFailure(now);
                        break;
                    case "expire":
                        view.expire(now);
                }
                const newestLeaving = Math.max(0, ...leaving);
                const usable = view.usable("orders").map(({ startedAtMilliseconds }) => startedAtMilliseconds ?? 0);
                assert.ok(usable.every(startedAt => startedAt > newestLeaving), JSON.stringify(events));
            }
        }),
        { numRuns: 500 },
    );
});
