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

function createConsent(): OutageConsent {
    const consent = new OutageConsent();
    consent.recordDigestSent(1, at(100));
    consent.recordDigestSent(2, at(500));
    return consent;
}

test("consent dates from the oldest of the digests to which the hosts replied", () => {
    const consent = createConsent();
    consent.recordStatement(statement("two", { heard: 2 }));
    assert.equal(consent.agreedAt(["two", "three"], HELD), undefined, "three has not replied");
    consent.recordStatement(statement("three", { heard: 1 }));
    assert.deepEqual(consent.agreedAt(["two", "three"], HELD), at(100));
    consent.recordStatement(statement("three", { heard: 2 }));
    assert.deepEqual(consent.agreedAt(["two", "three"], HELD), at(500));
});

test("no consent where the service answers a host, where it knows a later holder, or without a reply to a kept digest", () => {
    for (
        const refusal of [
            { serviceAnswers: true },
            { holderRevisions: new Map([["engine", 42]]) },
            { heard: undefined },
            { heard: 900 },
        ]
    ) {
        const consent = createConsent();
        consent.recordStatement(statement("two"));
        consent.recordStatement(statement("three", refusal));
        assert.equal(consent.agreedAt(["two", "three"], HELD), undefined, JSON.stringify(refusal));
    }
    assert.equal(
        createConsent().agreedAt([], HELD),
        undefined,
        "a single host cannot distinguish an outage from its own isolation",
    );
});

test("a holder continues during an outage while the others consent, and stops once their consent is outdated", () => {
    const duties = new EngineDuties("one", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
    duties.recordRenewal("s1", at(0));
    duties.setSession("one", "s1", 0);
    duties.setHolder("engine", { host: "one", session: "s1", released: false, settled: true, revision: 41 }, 0);
    duties.recordPeerConsent(at(1_000));
    assert.equal(duties.fencingNumber("engine", at(2_400)), 41);
    assert.equal(duties.fencingNumber("engine", at(2_600)), undefined);
    duties.loseSession();
    duties.recordPeerConsent(at(2_600));
    assert.equal(
        duties.fencingNumber("engine", at(2_600)),
        undefined,
        "consent does not replace a session that has ended",
    );
});
