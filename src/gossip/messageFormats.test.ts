import assert from "node:assert/strict";
import { test } from "node:test";
import { createDigest } from "../../tests/support/digests.js";
import { formsFor, provedFormat } from "./messageFormats.js";
import { PeerFormats } from "./peerFormats.js";

const CRASHES = { suspects: [], sound: [], convictions: [], trials: [] };
const ADDRESS = "10.2.0.40:8145";

test("a host that ignores unknown fields is sent the whole message once", () => {
    const digest = createDigest("one", { hearsUpstreams: true, build: "b", crashes: CRASHES });
    assert.deepEqual(formsFor(digest, 5), [digest]);
    assert.deepEqual(formsFor(digest, 9), [digest]);
});

test("a host of a strict format is sent one form for each format that adds a field, the most complete one last", () => {
    const plain = createDigest("one");
    const digest = createDigest("one", { hearsUpstreams: true, build: "b", crashes: CRASHES });
    const known = { ...plain, crashes: CRASHES };
    assert.deepEqual(formsFor(digest, 2), [plain, known, { ...known, hearsUpstreams: true }]);
    assert.deepEqual(formsFor(digest, 3), [known, { ...known, hearsUpstreams: true }]);
    assert.deepEqual(formsFor(digest, 4), [{ ...known, hearsUpstreams: true }]);
    assert.deepEqual(formsFor(plain, 2), [plain]);
    const limited = createDigest("one", { limits: [] });
    assert.deepEqual(formsFor(limited, 2), [limited], "no form takes rate limits away");
    const begun = { type: "streams-begun", host: "one", streams: [] };
    assert.deepEqual(formsFor(begun, 2), [begun], "a later type is sent once, since hosts skip it alone");
});

test("a message proves the format of its latest field or of its type", () => {
    assert.equal(provedFormat(createDigest("one")), 2);
    assert.equal(provedFormat(createDigest("one", { limits: [] })), 2);
    assert.equal(provedFormat(createDigest("one", { crashes: CRASHES })), 3);
    assert.equal(provedFormat(createDigest("one", { hearsUpstreams: false })), 4);
    assert.equal(provedFormat(createDigest("one", { build: "b" })), 5);
    assert.equal(provedFormat({ type: "streams-begun" }), 4);
    assert.equal(provedFormat({ type: "sent" }), 2);
});

test("a proof expires, so that an earlier build at the same address is not sent what it cannot read", () => {
    const formats = new PeerFormats();
    assert.equal(formats.formatOf(ADDRESS, 0), 2);
    formats.recordProof(ADDRESS, 5, 0);
    formats.recordProof(ADDRESS, 2, 1_900);
    assert.equal(formats.formatOf(ADDRESS, 2_000), 5, "a message without later fields proves nothing");
    assert.equal(formats.formatOf(ADDRESS, 2_001), 2);
    formats.recordProof(ADDRESS, 4, 2_100);
    assert.equal(formats.formatOf(ADDRESS, 2_100), 4);
});

test("a peer is asked for its format once a second until it has told one", () => {
    const formats = new PeerFormats();
    const asked = [0, 500, 1_000, 1_200].map(now => formats.takeQuestion(ADDRESS, now));
    assert.deepEqual(asked, [true, false, true, false]);
    formats.recordProof(ADDRESS, 5, 1_300);
    assert.deepEqual([2_100, 2_299, 2_300].map(now => formats.takeQuestion(ADDRESS, now)), [false, false, true]);
});
