import assert from "node:assert/strict";
import { test } from "node:test";
import { type PermitGrant } from "../generated/gossip.js";
import { HostPermits } from "./hostPermits.js";

const REPORT = { upstream: "i-1", sentAgeMilliseconds: 0, receivedAgeMilliseconds: 0, receivedBy: "entry-1" };

function createGrant(overrides: Partial<PermitGrant>): PermitGrant {
    return {
        type: "permit-grant",
        host: "entry-2",
        report: REPORT,
        sequence: 1,
        request: 1,
        permits: 0,
        permitsPerSecond: 4,
        waiting: [],
        resendMilliseconds: 200,
        ...overrides,
    };
}

function createWaiting(count: number, priority = 0): HostPermits {
    const permits = new HostPermits();
    for (let index = 0; index < count; index += 1) {
        permits.add(`request-${index}`, { priority, sinceMilliseconds: 0 });
    }
    return permits;
}

test("an unused permit expires, so that permits of many hosts do not accumulate", () => {
    const permits = createWaiting(2);
    permits.nextRequest(0);
    permits.receive(createGrant({ permits: 2 }), 10);
    assert.equal(permits.tryUse(20), true);
    assert.equal(permits.tryUse(520), false);
});

test("a grant is ignored if this host was suspended since the request that it answers", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    permits.add("later", { priority: 0, sinceMilliseconds: 5_000 });
    permits.nextRequest(5_000);
    assert.equal(permits.receive(createGrant({ permits: 1, request: 1 }), 5_001), 0);
    assert.equal(permits.receive(createGrant({ permits: 1, request: 2 }), 5_002), 1);
});

test("requests are gathered, repeated while they wait, and reduced by the permits at hand", () => {
    const permits = createWaiting(3);
    assert.deepEqual(permits.nextRequest(0)?.waiting.map(({ count }) => count), [3]);
    permits.add("another", { priority: 0, sinceMilliseconds: 5 });
    assert.equal(permits.nextRequest(5), undefined, "gathered");
    assert.deepEqual(permits.nextRequest(25)?.waiting.map(({ count }) => count), [4]);
    permits.receive(createGrant({ permits: 1, request: 2, sequence: 7 }), 30);
    const repeated = permits.nextRequest(225);
    assert.deepEqual(repeated?.waiting.map(({ count }) => count), [3]);
    assert.equal(repeated.lastGrant, 7);
});

test("the end of the last wait is sent to the issuer", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    permits.remove("request-0");
    assert.deepEqual(permits.nextRequest(30)?.waiting, []);
    assert.equal(permits.isActive, false);
});

test("a permit is expected once the requests that are as urgent have got theirs", () => {
    const permits = createWaiting(1, 2);
    permits.nextRequest(0);
    assert.equal(permits.expectedMilliseconds(1, 10), undefined, "the issuer has not told");
    const waiting = [{ priority: 1, count: 3, waitedMilliseconds: 0 }, {
        priority: 2,
        count: 8,
        waitedMilliseconds: 0,
    }];
    permits.receive(createGrant({ waiting }), 10);
    assert.equal(permits.expectedMilliseconds(0, 10), 250);
    assert.equal(permits.expectedMilliseconds(1, 10), 1_000);
    assert.equal(permits.expectedMilliseconds(2, 110), 2_900);
    assert.equal(permits.expectedMilliseconds(1, 5_000), undefined, "told too long ago");
});

test("an issuer is unresponsive after several unanswered requests, and not after a pause without any", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    permits.receive(createGrant({}), 1);
    [5_000, 5_200, 5_400].forEach(at => permits.nextRequest(at));
    assert.equal(permits.isIssuerUnresponsive(5_450), false);
    assert.equal(permits.isIssuerUnresponsive(5_700), true);
    permits.resetIssuer();
    assert.equal(permits.isIssuerUnresponsive(5_700), false);
    assert.notEqual(permits.nextRequest(5_700), undefined, "the next issuer is asked at once");
});
