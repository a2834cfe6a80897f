import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseService, compileRouteTable, type Route, type RoutingConfiguration } from "./index.js";

function route(pathPrefix: string, overrides: Partial<Route> = {}): Route {
    return {
        name: pathPrefix,
        hostName: "mill.example",
        pathPrefix,
        kind: "idempotent",
        timeoutMilliseconds: 1_000,
        targetLatencyMilliseconds: 100,
        targetGapMilliseconds: undefined,
        priority: 0,
        services: [{ service: "stock", weight: 1 }],
        maximumAttempts: 2,
        resumable: false,
        ...overrides,
    };
}

function configuration(routes: readonly Route[]): RoutingConfiguration {
    const limits = {
        headerBytes: 16_384,
        bodyBytes: 1_024,
        headerTimeoutMilliseconds: 3_000,
        idleTimeoutMilliseconds: 15_000,
    };
    return { version: 1, routes, services: [], limits };
}

test("matches the longest path prefix of the named host, ignoring the host name's case and port", () => {
    const table = compileRouteTable(configuration([route("/a/"), route("/a/b/"), route("/c/")]));
    assert.equal(table.match("mill.example", "/a/b/c")?.pathPrefix, "/a/b/");
    assert.equal(table.match("MILL.example:8080", "/a/x")?.pathPrefix, "/a/");
    assert.equal(table.match("mill.example", "/a/b")?.pathPrefix, "/a/");
    assert.equal(table.match("mill.example", "/ab/"), undefined);
    assert.equal(table.match("other.example", "/a/x"), undefined);
});

test("a look-up returns the same route as a comparison with every prefix", () => {
    const segment = fc.constantFrom("a", "b", "ab", "");
    const path = fc.array(segment, { maxLength: 5 }).map(segments => `/${segments.join("/")}`);
    fc.assert(
        fc.property(
            fc.uniqueArray(path.map(prefix => prefix.replace(/\/*$/, "/")), { maxLength: 6 }),
            path,
            (prefixes, requestedPath) => {
                const found = compileRouteTable(configuration(prefixes.map(prefix => route(prefix)))).match(
                    "mill.example",
                    requestedPath,
                );
                const expected =
                    prefixes.filter(prefix => requestedPath.startsWith(prefix)).sort((left, right) =>
                        right.length - left.length
                    )[0];
                assert.equal(found?.pathPrefix, expected);
            },
        ),
        { seed: 17 },
    );
});

test("splits requests between services by weight, and sends the same request always to the same service", () => {
    const split = route("/a/", {
        services: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }, { service: "off", weight: 0 }],
    });
    const chosen = Array.from({ length: 5_000 }, (_, index) => chooseService(split, `request-${index}`));
    const share = chosen.filter(service => service === "new").length / chosen.length;
    assert.ok(share > 0.08 && share < 0.12, `share of the new service: ${share}`);
    assert.ok(!chosen.includes("off"));
    assert.equal(chooseService(split, "request-7"), chosen[7]);
    assert.equal(chooseService(route("/a/", { services: [] }), "request-7"), undefined);
});
