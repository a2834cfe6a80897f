import assert from "node:assert/strict";
import { test } from "node:test";
import { isPart, namePart, nameRequest, namesOf, namesOfParts, partOf } from "./_attributes.js";

test("a part and a request with the same identifier are different attributes", () => {
    assert.deepEqual(namesOf({ fingerprint: "a1", parts: ["a1"] }), ["part:a1", "request:a1"]);
    assert.ok(isPart(namePart("a1")) && !isPart(nameRequest("a1")));
    assert.equal(partOf(namePart("a1")), "a1");
});

test("a caller's prompt of many parts, the same part often or a long name is bounded", () => {
    assert.equal(namesOfParts(Array.from({ length: 500 }, (_, index) => `p${index}`)).length, 256);
    assert.deepEqual(namesOfParts(["a", "a", "b"]), ["part:a", "part:b"]);
    assert.ok(namePart("x".repeat(10_000)).length < 100);
});
