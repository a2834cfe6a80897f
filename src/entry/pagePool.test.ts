import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerPiece, heldBytes, neededBytes, PagePool } from "./pagePool.js";

const LARGE_PIECE_BYTES = 8 * 1024;

const sizes = fc.array(
    fc.oneof(
        { weight: 20, arbitrary: fc.integer({ min: 1, max: 40 }) },
        { weight: 2, arbitrary: fc.integer({ min: 1, max: 70_000 }) },
    ),
    { maxLength: 400 },
);

// Guards against hosts whose memory a small answer exhausts, because each of its chunks is held apart.
test("the memory of an answer follows from its bytes, however it is cut, and none of them is lost", () => {
    fc.assert(
        fc.property(sizes, lengths => {
            const pool = new PagePool();
            const pieces: AnswerPiece[] = [];
            const received = lengths.map((length, index) => Buffer.alloc(length, index % 251));
            let reserved = 0;
            for (const bytes of received) {
                reserved += neededBytes(bytes, pieces.at(-1));
                pool.append(pieces, bytes);
            }
            const all = Buffer.concat(received);
            assert.deepEqual(Buffer.concat(pieces.map(({ bytes }) => bytes)), all);
            assert.equal(pieces.reduce((total, piece) => total + heldBytes(piece), 0), reserved);
            assert.ok(pieces.length <= 2 + 2 * all.length / LARGE_PIECE_BYTES, `${pieces.length} pieces`);
        }),
        { seed: 75 },
    );
});
