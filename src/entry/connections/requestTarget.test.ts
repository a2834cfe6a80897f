import assert from "node:assert/strict";
import { test } from "node:test";
import { isValidTarget, readTarget } from "./requestTarget.js";

const headers = { host: "site.example" };

test("a path is taken as it was sent", () => {
    for (const url of ["/", "/orders/1?x=2", "//http://other.example/", "/a%2Fb/../c", "*"]) {
        assert.deepEqual(readTarget({ headers, url }), { host: "site.example", pathAndQuery: url });
    }
});

test("a whole URL names the host, and its path and query keep their bytes", () => {
    const cases = [
        ["http://other.example/a%2Fb/../c?x=%20", "other.example", "/a%2Fb/../c?x=%20"],
        ["HTTPS://other.example:8080", "other.example:8080", "/"],
        ["http://other.example?x=2", "other.example", "/?x=2"],
    ] as const;
    for (const [url, host, pathAndQuery] of cases) {
        assert.deepEqual(readTarget({ headers, url }), { host, pathAndQuery });
    }
});

test("a path with characters that no request to an upstream can have is not valid", () => {
    assert.ok(["/", "/a%20b", "/\u00e9", "*", "http://other.example/a"].every(url => isValidTarget({ url })));
    assert.ok(["/a\tb", "/\f", "/a b", "/\u0000", "/\u2603"].every(url => !isValidTarget({ url })));
});
