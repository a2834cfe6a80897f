import assert from "node:assert/strict";
import { test } from "node:test";
import { type PermitRequest, type WaitingGroup } from "../generated/gossip.js";
import { type IssuedPermits, PermitIssuer } from "./permitIssuer.js";

const REPORT = { upstream: "i-1", sentAgeMilliseconds: 0, receivedAgeMilliseconds: 0, receivedBy: "entry-1" };

function waitingAt(priority: number, count = 1, waitedMilliseconds = 0): WaitingGroup {
    return { priority, count, waitedMilliseconds };
}

function createRequest(host: string, overrides: Partial<PermitRequest> = {}): PermitRequest {
    return {
        type: "permit-request",
        host,
        report: REPORT,
        sequence: 1,
        lastGrant: 0,
        waiting: [waitingAt(1)],
        spare: false,
        ...overrides,
    };
}

function permitsByHost(issued: readonly IssuedPermits[]): Record<string, number> {
    return Object.fromEntries(issued.map(({ host, permits }) => [host, permits]));
}

test("permits go to the most urgent requests, and among these to those that have waited longest", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("patient", { waiting: [waitingAt(3, 1, 900)] }), 0);
    issuer.receive(createRequest("late", { waiting: [waitingAt(1, 1, 100)] }), 0);
    issuer.receive(createRequest("early", { waiting: [waitingAt(1, 1, 400)] }), 0);
    issuer.issue(4, 0);
    assert.deepEqual(permitsByHost(issuer.issue(4, 250)), { early: 1 });
    assert.deepEqual(permitsByHost(issuer.issue(4, 500)), { late: 1 });
    assert.deepEqual(permitsByHost(issuer.issue(4, 550)), {});
});

test("each request is answered, with or without permits", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("one"), 0);
    assert.deepEqual(issuer.issue(4, 0), [{ host: "one", sequence: 1, request: 1, permits: 0 }]);
    assert.deepEqual(issuer.issue(4, 10), []);
});

test("permits that are still on their way are not granted again, and lost ones are", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("one"), 0);
    assert.deepEqual(permitsByHost(issuer.issue(4, 250)), { one: 1 });
    issuer.receive(createRequest("one", { sequence: 2 }), 260);
    assert.deepEqual(issuer.waiting(), []);
    issuer.receive(createRequest("one", { sequence: 3 }), 700);
    assert.deepEqual(permitsByHost(issuer.issue(4, 700)), { one: 1 });
});

test("a request that was overtaken by a later one is ignored", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("one", { sequence: 5, waiting: [] }), 0);
    issuer.receive(createRequest("one", { sequence: 4, waiting: [waitingAt(0, 9)] }), 10);
    assert.deepEqual(issuer.waiting(), []);
});

test("a host whose process has restarted, and counts its requests anew, gets permits", () => {
    const issuer = new PermitIssuer(0);
    for (let host = 0; host < 100; host += 1) {
        issuer.receive(createRequest(`entry-${host}`, { sequence: 500 }), 0);
    }
    issuer.receive(createRequest("entry-7", { sequence: 1, waiting: [waitingAt(0)] }), 2_000);
    assert.deepEqual(permitsByHost(issuer.issue(1, 2_000))["entry-7"], 1);
});

test("a spare permit is granted only while no request waits", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("spare", { waiting: [], spare: true }), 0);
    issuer.receive(createRequest("waiting"), 0);
    assert.deepEqual(permitsByHost(issuer.issue(4, 250)), { spare: 0, waiting: 1 });
    assert.deepEqual(permitsByHost(issuer.issue(4, 500)), { spare: 1 });
});

test("a host that falls silent gets no more permits", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("one", { waiting: [waitingAt(1, 9)] }), 0);
    assert.deepEqual(permitsByHost(issuer.issue(4, 500)), { one: 1 });
    assert.deepEqual(issuer.issue(4, 1_000), []);
    assert.equal(issuer.isActive, false);
});

test("after a long time without requests only a small burst is granted", () => {
    const issuer = new PermitIssuer(0);
    issuer.receive(createRequest("one", { waiting: [waitingAt(1, 100)] }), 60_000);
    assert.deepEqual(permitsByHost(issuer.issue(20, 60_000)), { one: 5 });
});

test("the more hosts ask, the less often each is to repeat its request", () => {
    const issuer = new PermitIssuer(0);
    for (let host = 0; host < 390; host += 1) {
        issuer.receive(createRequest(`entry-${host}`), 0);
    }
    assert.ok(390 * 1_000 / issuer.resendMilliseconds <= 25);
});
