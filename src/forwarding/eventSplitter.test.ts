import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./index.js";

const STREAM = Buffer.from("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: \xff\n\n", "latin1");

function cut(bytes: Buffer, at: readonly number[]): Buffer[] {
    const places = [0, ...[...at].sort((left, right) => left - right), bytes.length];
    return places.slice(1).map((end, index) => bytes.subarray(places[index], end));
}

test("however a stream is cut, whole events come out, all of them and unchanged", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: STREAM.length }), { maxLength: 12 }), places => {
            const splitter = new EventSplitter();
            const parts = cut(STREAM, places).map(piece => splitter.push(piece));
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

test("an event that is not complete is held back, and does not move the identifier", () => {
    const splitter = new EventSplitter();
    assert.deepEqual(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).lastIdentifier, "1");
    assert.equal(splitter.unfinishedBytes, "id: 2\nda".length);
    assert.equal(splitter.push(Buffer.from("ta: b\n")).count, 0);
    assert.equal(splitter.push(Buffer.from("\n")).lastIdentifier, "2");
});
