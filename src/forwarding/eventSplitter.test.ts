import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./index.js";

const STREAM = Buffer.from("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: \xff\n\n", "latin1");

function splitAt(bytes: Buffer, at: readonly number[]): Buffer[] {
    const positions = [0, ...[...at].sort((left, right) => left - right), bytes.length];
    return positions.slice(1).map((end, index) => bytes.subarray(positions[index], end));
}

test("returns all events complete and unchanged, wherever the stream is split", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: STREAM.length }), { maxLength: 12 }), positions => {
            const splitter = new EventSplitter();
            const parts = splitAt(STREAM, positions).map(piece => splitter.push(piece));
            assert.deepEqual(Buffer.concat(parts.map(({ bytes }) => bytes)), STREAM);
            assert.equal(parts.reduce((sum, { count }) => sum + count, 0), 3);
            assert.equal(splitter.unfinishedBytes, 0);
            for (const { bytes } of parts.filter(({ count }) => count > 0)) {
                assert.match(bytes.toString("latin1"), /\n\r?\n$/);
            }
        }),
        { seed: 23 },
    );
});

test("buffers an incomplete event, and does not return its identifier", () => {
    const splitter = new EventSplitter();
    assert.deepEqual(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).lastIdentifier, "1");
    assert.equal(splitter.unfinishedBytes, "id: 2\nda".length);
    assert.equal(splitter.push(Buffer.from("ta: b\n")).count, 0);
    assert.equal(splitter.push(Buffer.from("\n")).lastIdentifier, "2");
});

test("finds the last identifier as a search through all lines does", () => {
    const lines = fc.constantFrom(
        "id: 7",
        "id:",
        "id:8 ",
        "data: id: 9",
        "xid: 1",
        " id: 2",
        "ID: 3",
        "data: a",
        ": id:",
        "",
    );
    const ends = fc.constantFrom("\n", "\r\n", "\r");
    fc.assert(
        fc.property(fc.array(fc.tuple(lines, ends), { maxLength: 8 }), pieces => {
            const text = `${pieces.map(([line, end]) => `${line}${end}`).join("")}\n\n`;
            const { bytes, lastIdentifier } = new EventSplitter().push(Buffer.from(text));
            const line = bytes.toString().split(/\r?\n/).findLast(each => each.startsWith("id:"));
            assert.equal(lastIdentifier, line?.slice("id:".length).trim());
        }),
        { seed: 31, numRuns: 2_000 },
    );
});

test("finds the ends of events as a search through the whole stream does, wherever it is split", () => {
    const parts = fc.array(fc.constantFrom("\n", "\n", "\r", "x", "id: 4"), { maxLength: 40 });
    const cuts = fc.array(fc.nat(200), { maxLength: 40 });
    fc.assert(
        fc.property(parts, cuts, (texts, positions) => {
            const text = texts.join("");
            const splitter = new EventSplitter();
            const events = splitAt(Buffer.from(text), positions.map(position => position % (text.length + 1)))
                .map(piece => splitter.push(piece));
            const ends = [...text.matchAll(/\n\r?\n/g)].map(({ 0: { length }, index }) => index + length);
            assert.equal(events.reduce((sum, { count }) => sum + count, 0), ends.length);
            assert.equal(events.map(({ bytes }) => bytes.toString()).join(""), text.slice(0, ends.at(-1) ?? 0));
            assert.equal(splitter.unfinishedBytes, text.length - (ends.at(-1) ?? 0));
        }),
        { seed: 75, numRuns: 2_000 },
    );
});

// Guards against a host that one event in very small pieces keeps from all else for minutes.
for (const piece of ["x\n", "x", "data: x\n"]) {
    test(`an event of 256 KiB in pieces of ${JSON.stringify(piece)} takes no second to split`, () => {
        const bytes = Buffer.from(piece);
        const splitter = new EventSplitter();
        const startedAt = performance.now();
        while (!splitter.isTooLong) {
            splitter.push(bytes);
        }
        assert.ok(performance.now() - startedAt < 1_000);
        assert.ok(splitter.heldBytes <= 2 * splitter.unfinishedBytes);
    });
}
