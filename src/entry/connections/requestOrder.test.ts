import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestOrder, type RequestPlace } from "./requestOrder.js";

const LIMITS = { requests: 4, bytes: 100 };

test("a request that was read first does not begin before one that arrived first", () => {
    const order = new RequestOrder<string>();
    const first = order.add(0);
    const second = order.add(0);
    order.setRead(second, "second", 0);
    assert.equal(order.takeTurn(), undefined);
    order.setRead(first, "first", 0);
    assert.equal(order.takeTurn(), "first");
    assert.equal(order.takeTurn(), undefined);
    order.end(first);
    assert.equal(order.takeTurn(), "second");
});

test("only what waits behind the request in progress counts towards the limits", () => {
    const order = new RequestOrder<number>();
    order.setRead(order.add(0), 0, 1_000);
    assert.equal(order.exceeds(LIMITS), false);
    order.setRead(order.add(0), 1, 100);
    assert.equal(order.exceeds(LIMITS), false);
    order.setRead(order.add(0), 2, 1);
    assert.equal(order.exceeds(LIMITS), true);
});

test("heads of requests that wait count towards the limits before their bodies were read", () => {
    const order = new RequestOrder<number>();
    order.add(1_000);
    order.add(60);
    assert.equal(order.exceeds(LIMITS), false);
    const last = order.add(40);
    assert.equal(order.exceeds(LIMITS), false);
    order.setRead(last, 2, 1);
    assert.equal(order.exceeds(LIMITS), true);
});

test("requests that are removed behind the last answer do not begin later", () => {
    const order = new RequestOrder<number>();
    const first = order.add(0);
    order.setRead(first, 0, 0);
    order.setRead(order.add(0), 1, 0);
    order.add(0);
    order.removeWaiting();
    order.end(first);
    assert.equal(order.takeTurn(), undefined);
    assert.equal(order.size, 0);
});

test("whatever the order in which requests are read, one at a time begins, each once and as they arrived", () => {
    const step = fc.constantFrom<"add" | "read" | "end">("add", "read", "end");
    fc.assert(fc.property(fc.array(fc.tuple(step, fc.nat(8))), steps => {
        const order = new RequestOrder<number>();
        const open: { readonly place: RequestPlace<number>; readonly number: number; isRead: boolean; }[] = [];
        const begun: number[] = [];
        let added = 0;
        for (const [type, choice] of steps) {
            const chosen = open[choice % Math.max(1, open.length)];
            if (type === "add") {
                open.push({ place: order.add(0), number: added, isRead: false });
                added += 1;
            }
            else if (type === "read" && chosen !== undefined && !chosen.isRead) {
                chosen.isRead = true;
                order.setRead(chosen.place, chosen.number, 0);
            }
            else if (type === "end" && begun.at(-1) === open[0]?.number && open[0] !== undefined) {
                order.end(open[0].place);
                open.shift();
            }
            const next = order.takeTurn();
            if (next !== undefined) {
                assert.equal(next, open[0]?.number);
                begun.push(next);
            }
        }
        assert.deepEqual(begun, begun.map((_, index) => index));
    }));
});
