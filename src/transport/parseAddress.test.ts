/**
 * Addresses that others write.
 *
 * @module
 */
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";

import { parseAddress } from "./index.js";

test("an address that Node refuses to connect to is no address", () => {
    for (
        const text of ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", "300.1.1.1:80", ":80", "", "a:80"]
    ) {
        assert.equal(parseAddress(text).isErr(), true, text);
    }
    assert.deepEqual(parseAddress("10.128.0.9:65535").unwrap(), { host: "10.128.0.9", port: 65_535 });
});

test("an address that was parsed never makes a connection throw", () => {
    const part = fastCheck.oneof(fastCheck.integer({ min: -1, max: 300 }), fastCheck.constantFrom("", "00", "x"));
    const texts = fastCheck.tuple(part, part, fastCheck.oneof(part, fastCheck.integer({ min: 65_000, max: 99_999 })))
        .map(([first, last, port]) => `${first}.0.0.${last}:${port}`);
    fastCheck.assert(fastCheck.property(texts, text => {
        const parsed = parseAddress(text);
        if (parsed.isOk()) {
            connect(parsed.value).on("error", () => undefined).destroy();
        }
    }));
});
