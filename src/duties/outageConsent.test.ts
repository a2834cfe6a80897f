import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClockReading, EngineDuties, OutageConsent, type PeerStatement } from "./index.js";

const HELD = new Map([["engine", 41]]);

function at(milliseconds: number): ClockReading {
    return { steadyMilliseconds: milliseconds, timeOfDayMilliseconds: 1_000_000 + milliseconds };
}

function statement(host: string, overrides: Partial<PeerStatement> = {}): PeerStatement {
    return { host, heard: 1, serviceAnswers: false, holderRevisions: HELD, ...overrides };
}

function asked(): OutageConsent {
    const consent = new OutageConsent();
    consent.recordDigestSent(1, at(100));
    consent.recordDigestSent(2, at(500));
    return consent;
}

test("all hosts agree from the moment at which the oldest digest was sent that one of them answered", () => {
    const consent = asked();
    consent.recordStatement(statement("two", { heard: 2 }));
    assert.equal(consent.agreedAt(["two", "three"], HELD), undefined, "three has said nothing");
    consent.recordStatement(statement("three", { heard: 1 }));
    assert.deepEqual(consent.agreedAt(["two", "three"], HELD), at(100));
    consent.recordStatement(statement("three", { heard: 2 }));
    assert.deepEqual(consent.agreedAt(["two", "three"], HELD), at(500));
});

test("no host agrees that the service answers, that knows a later holder, or that heard nothing", () => {
    for (
        const refusal of [
            { serviceAnswers: true },
            { holderRevisions: new Map([["engine", 42]]) },
            { heard: undefined },
            { heard: 900 },
        ]
    ) {
        const consent = asked();
        consent.recordStatement(statement("two"));
        consent.recordStatement(statement("three", refusal));
        assert.equal(consent.agreedAt(["two", "three"], HELD), undefined, JSON.stringify(refusal));
    }
    assert.equal(asked().agreedAt([], HELD), undefined, "a host alone cannot tell an outage from its own cut");
});

test("a holder goes on through an outage while the others agree, and stops when their words grow old", () => {
    const duties = new EngineDuties("one", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
    duties.recordRenewal("s1", at(0));
    duties.setSession("one", "s1");
    duties.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 41 }, 0);
    duties.recordPeerConsent(at(1_000));
    assert.equal(duties.fencingNumber("engine", at(2_400)), 41);
    assert.equal(duties.fencingNumber("engine", at(2_600)), undefined);
    duties.loseSession();
    duties.recordPeerConsent(at(2_600));
    assert.equal(
        duties.fencingNumber("engine", at(2_600)),
        undefined,
        "nobody's word replaces a session that has ended",
    );
});
