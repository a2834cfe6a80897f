import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ChunkJoiner } from "./index.js";

function collect(): { readonly joiner: ChunkJoiner; readonly received: string[]; } {
    const received: string[] = [];
    return { joiner: new ChunkJoiner(bytes => received.push(bytes.toString())), received };
}

test("joins the small chunks of one turn, and hands them on in it", async () => {
    const { joiner, received } = collect();
    ["a", "b", "c"].forEach(chunk => joiner.add(Buffer.from(chunk)));
    assert.deepEqual(received, []);
    await nextTurn();
    joiner.add(Buffer.from("d"));
    await nextTurn();
    assert.deepEqual(received, ["abc", "d"]);
});

test("hands a large chunk on at once, behind the small ones before it", () => {
    const { joiner, received } = collect();
    const large = "x".repeat(5_000);
    ["a", "b", large].forEach(chunk => joiner.add(Buffer.from(chunk)));
    assert.deepEqual(received, ["ab", large]);
});

test("hands on what waits before an end is reported, and nothing after it", async () => {
    const { joiner, received } = collect();
    joiner.add(Buffer.from("a"));
    joiner.flush();
    joiner.flush();
    await nextTurn();
    assert.deepEqual(received, ["a"]);
});
