import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GrowingBuffer } from "./index.js";

test("returns the pieces in their order, and holds at most twice their bytes beyond the first", () => {
    fc.assert(
        fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 30 }), pieces => {
            const buffer = new GrowingBuffer();
            pieces.forEach(piece => buffer.append(Buffer.from(piece)));
            const all = Buffer.concat(pieces);
            assert.equal(buffer.length, all.length);
            assert.ok(buffer.heldBytes <= Math.max(1_024, 2 * all.length));
            assert.deepEqual(buffer.take(), all);
            assert.equal(buffer.length, 0);
        }),
        { seed: 75 },
    );
});
