import assert from "node:assert/strict";
import { test } from "node:test";
import { type PermitGrant } from "../generated/gossip.js";
import { HostPermits } from "./hostPermits.js";
import { type WaitingRequest } from "./waitingGroups.js";

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

const WAITING = [
    { id: "request-0", priority: 0, sinceMilliseconds: 0 },
    { id: "request-1", priority: 0, sinceMilliseconds: 0 },
] as const;

function createWaiting(count: number, priority = 0): HostPermits {
    const permits = new HostPermits();
    for (let index = 0; index < count; index += 1) {
        permits.add({ id: `request-${index}`, priority, sinceMilliseconds: 0 });
    }
    return permits;
}

test("an unused permit expires, so that permits of many hosts do not accumulate", () => {
    const permits = createWaiting(2);
    permits.nextRequest(0);
    permits.receive(createGrant({ permits: 2 }), 10);
    const [first, second] = WAITING;
    assert.equal(permits.tryUse(first, 20), true);
    permits.remove(first.id);
    assert.equal(permits.hasPermitFor(second, 500), true);
    assert.equal(permits.tryUse(second, 520), false);
});

test("a permit is for the request that comes first, not for one that arrives when it is at hand", () => {
    const permits = new HostPermits();
    const patient = { id: "patient", priority: 1, sinceMilliseconds: 0 };
    const later = { id: "later", priority: 1, sinceMilliseconds: 20 };
    permits.add(later);
    permits.add(patient);
    permits.nextRequest(30);
    permits.receive(createGrant({ permits: 1 }), 40);
    const newcomer = { id: "newcomer", priority: 1, sinceMilliseconds: 50 };
    const urgent = { id: "urgent", priority: 0, sinceMilliseconds: 50 };
    const allowed = [newcomer, later, patient, urgent].filter(request => permits.hasPermitFor(request, 50));
    assert.deepEqual(allowed.map(({ id }) => id), ["patient", "urgent"]);
    assert.equal(permits.tryUse(later, 50), false);
    assert.equal(permits.tryUse(patient, 50), true);
    permits.remove(patient.id);
    assert.equal(permits.hasPermitFor(later, 50), false, "the permit was used");
});

test("permits that exceed the waiting requests are for any request", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    permits.receive(createGrant({ permits: 2 }), 10);
    const newcomer = { id: "newcomer", priority: 3, sinceMilliseconds: 20 };
    assert.equal(permits.tryUse(newcomer, 20), true);
    assert.equal(permits.tryUse(newcomer, 20), false, "the other one is for the request that waits");
});

test("a grant is ignored if this host was suspended since the request that it answers", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    permits.add({ id: "later", priority: 0, sinceMilliseconds: 5_000 });
    permits.nextRequest(5_000);
    assert.equal(permits.receive(createGrant({ permits: 1, request: 1 }), 5_001), 0);
    assert.equal(permits.receive(createGrant({ permits: 1, request: 2 }), 5_002), 1);
});

test("requests are gathered, repeated while they wait, and reduced by the permits at hand", () => {
    const permits = createWaiting(3);
    assert.deepEqual(permits.nextRequest(0)?.waiting.map(({ count }) => count), [3]);
    permits.add({ id: "another", priority: 0, sinceMilliseconds: 5 });
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
    const ofPriority = (priority: number): WaitingRequest => ({ id: "new", priority, sinceMilliseconds: 10 });
    permits.nextRequest(0);
    assert.equal(permits.expect(ofPriority(1), 10), undefined, "the issuer has not told");
    const waiting = [{ priority: 1, count: 3, waitedMilliseconds: 0 }, {
        priority: 2,
        count: 8,
        waitedMilliseconds: 0,
    }];
    permits.receive(createGrant({ waiting }), 10);
    assert.equal(permits.expect(ofPriority(0), 10)?.milliseconds, 250);
    assert.equal(permits.expect(ofPriority(1), 10)?.milliseconds, 1_000);
    assert.equal(permits.expect(ofPriority(2), 110)?.milliseconds, 2_900);
    assert.equal(permits.expect(ofPriority(1), 5_000), undefined, "told too long ago");
});

test("a request is not taken for counted by the issuer until an answer to a message that had it arrives", () => {
    const permits = createWaiting(1);
    permits.nextRequest(0);
    const late = { id: "late", priority: 0, sinceMilliseconds: 5 };
    permits.add(late);
    permits.receive(createGrant({ waiting: [{ priority: 0, count: 1, waitedMilliseconds: 0 }] }), 10);
    assert.deepEqual(permits.expect(WAITING[0], 10), { milliseconds: 500, isCounted: true });
    assert.deepEqual(permits.expect(late, 10), { milliseconds: 500, isCounted: false });
    permits.nextRequest(30);
    const waiting = [{ priority: 0, count: 4, waitedMilliseconds: 0 }];
    permits.receive(createGrant({ request: 2, sequence: 2, waiting }), 40);
    assert.deepEqual(permits.expect(late, 40), { milliseconds: 1_000, isCounted: true });
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
