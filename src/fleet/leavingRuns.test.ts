import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type UpstreamAnnouncement, UpstreamView } from "./index.js";

function announcement(run: number, announcementNumber: number, address: string): UpstreamAnnouncement {
    return {
        id: "one",
        startedAtMilliseconds: run,
        service: "orders",
        address,
        zone: "a",
        slots: 6,
        leaving: false,
        remainingMilliseconds: undefined,
        announcementNumber,
        models: [],
        localWeights: { inMemory: [], onDisk: [] },
    };
}

test("an upstream that says in an answer that it leaves is left, though its announcement says nothing of it", () => {
    const view = new UpstreamView();
    view.put(announcement(100, 1, "10.0.0.1:1"));
    const [change] = view.recordLeaving({ id: "one", startedAtMilliseconds: 100 });
    assert.ok(change?.type === "left" && change.reason === "answered");
    assert.deepEqual(view.recordLeaving({ id: "one", startedAtMilliseconds: 100 }), [], "told once");
    view.put(announcement(100, 2, "10.0.0.1:1"));
    assert.deepEqual(view.usable("orders"), []);
});

test("the next run under the same identifier is used, and another upstream at the address too", () => {
    const view = new UpstreamView();
    view.put(announcement(100, 1, "10.0.0.1:1"));
    view.recordLeaving({ id: "one", startedAtMilliseconds: 100 });
    view.put({ ...announcement(150, 1, "10.0.0.1:1"), id: "two" });
    view.put(announcement(200, 1, "10.0.0.2:1"));
    assert.deepEqual(view.usable("orders").map(({ id }) => id).sort(), ["one", "two"]);
});

test("in any order of answers, announcements, restarts and outages, no run that said it leaves is usable", () => {
    const run = fc.integer({ min: 1, max: 3 }).map(each => each * 100);
    const event = fc.oneof(
        fc.record({ type: fc.constant("put" as const), run, number: fc.integer({ min: 1, max: 9 }) }),
        fc.record({ type: fc.constant("leaving" as const), run }),
        fc.record({ type: fc.constant("removed" as const) }),
        fc.record({ type: fc.constant("trouble" as const) }),
        fc.record({ type: fc.constant("expire" as const) }),
    );
    fc.assert(
        fc.property(fc.array(event, { maxLength: 40 }), events => {
            const view = new UpstreamView();
            const left = new Set<number>();
            let now = 0;
            for (const each of events) {
                now += 700;
                switch (each.type) {
                    case "put":
                        view.put(announcement(each.run, each.number, "10.0.0.1:1"));
                        break;
                    case "leaving":
                        view.recordLeaving({ id: "one", startedAtMilliseconds: each.run });
                        left.add(each.run);
                        break;
                    case "removed":
                        view.remove("one", now);
                        break;
                    case "trouble":
                        view.recordServiceFailure(now);
                        break;
                    case "expire":
                        view.expire(now);
                }
                const newestThatLeft = Math.max(0, ...left);
                const used = view.usable("orders").map(({ startedAtMilliseconds }) => startedAtMilliseconds ?? 0);
                assert.ok(used.every(startedAt => startedAt > newestThatLeft), JSON.stringify(events));
            }
        }),
        { numRuns: 500 },
    );
});
