import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { formatProblems, parseDeployment, parseSettings } from "./index.js";

const SAKAN = readFileSync("examples/sakan.jsonc", "utf8");
const HOST = readFileSync("examples/host.jsonc", "utf8");

function problemsOf(text: string): string {
    const outcome = parseDeployment(text, { fileName: "text" });
    return outcome.isErr() ? formatProblems(outcome.error) : "accepted";
}

/** Replaces one passage of the Sakan configuration and returns the problems. */
function problemsAfterReplacing(before: string | RegExp, after: string): string {
    const changed = SAKAN.replace(before, after);
    assert.notEqual(changed, SAKAN, `no match for ${String(before)}`);
    return problemsOf(changed);
}

/** Returns a configuration with one pool and with models given as name, size and copies. */
function smallDeployment(
    engines: readonly number[],
    models: readonly (readonly [string, number, number?])[],
    furtherKeys = "",
): string {
    const engineList = engines.map((memoryMegabytes, index) => ({
        name: `e${index}`,
        url: `http://10.0.${index >> 8}.${index & 255}:1`,
        zone: "z",
        memoryMegabytes,
    }));
    const modelList = models.map(([name, megabytes, minimumCopies = 1]) => ({
        name,
        version: "1",
        megabytes,
        pools: ["p"],
        minimumCopies,
    }));
    return `{"deployment":"d","zones":[{"name":"z","region":"r"}],"weightStore":{"loadsPerSecond":1,"concurrentLoads":1},
        "pools":[{"name":"p","checksFencing":true,"memoryMegabytes":100,"slots":1,"engines":${
        JSON.stringify(engineList)
    }}],
        "models":${JSON.stringify(modelList)}${furtherKeys}}`;
}

test("each problem contains file, line, column, value and what is allowed", () => {
    const lineOfFirstEngine = SAKAN.split("\n").findIndex(line => line.includes("bag-llm-1")) + 1;
    const wrongZone = problemsAfterReplacing(
        "\"zone\": \"ma-west-1\", \"accelerators\"",
        "\"zone\": \"ma-west-9\", \"accelerators\"",
    );
    assert.match(wrongZone, new RegExp(`^text:${lineOfFirstEngine}:\\d+: pools\\[0\\].engines\\[0\\].zone: `));
    assert.match(wrongZone, /no such zone \(found "ma-west-9"\); allowed: "ma-west-1", "ma-west-2", "ma-west-3"$/);
    const expected: readonly (readonly [string, RegExp])[] = [
        [
            problemsAfterReplacing("\"checksFencing\": true", "\"checkFencing\": true"),
            /Unknown key \(found "checkFencing"\); allowed: the keys/,
        ],
        [
            problemsAfterReplacing("\"checksFencing\": true,", ""),
            /checksFencing: A required key is missing; allowed: .*boolean/,
        ],
        [problemsAfterReplacing("\"checksFencing\": true", "\"checksFencing\": \"yes\""), /wrong type \(found "yes"\)/],
        [
            problemsAfterReplacing("\"class\": \"urgent\"", "\"class\": \"soon\""),
            /not one of the allowed values \(found "soon"\); allowed: "urgent", "patient"/,
        ],
        [
            problemsAfterReplacing("\"loadsPerSecond\": 1.4", "\"loadsPerSecond\": 0"),
            /out of bounds \(found 0\); allowed: more than 0/,
        ],
        [
            problemsAfterReplacing("\"deployment\": \"sakan\"", "\"deployment\": \"Sakan Data\""),
            /does not match its pattern \(found "Sakan Data"\)/,
        ],
        [
            problemsAfterReplacing("\"deployment\": \"sakan\",", "\"deployment\": \"a\", \"deployment\": \"b\","),
            /Duplicate key in one object/,
        ],
        [
            problemsAfterReplacing("\"name\": \"bag-llm-2\"", "\"name\": \"bag-llm-1\""),
            /Another engine has the same name/,
        ],
        [
            problemsAfterReplacing("http://10.20.2.11:8000", "http://10.20.1.11:8000"),
            /Another engine has the same name or address/,
        ],
        [
            problemsAfterReplacing("http://10.20.1.11:8000", "http://engine-1:8000"),
            /has a host name instead of an IP address/,
        ],
        [problemsAfterReplacing("http://10.22.1.21:9000", "http://10.22.1.21:9000/"), /ends in a slash/],
        [problemsAfterReplacing("\"pools\": [\"mill-ops\"]", "\"pools\": [\"mill\"]"), /no such pool \(found "mill"\)/],
        [
            problemsAfterReplacing("\"model\": \"quote-drafter\"", "\"model\": \"quote\""),
            /no such model \(found "quote"\)/,
        ],
        [
            problemsAfterReplacing("\"role\": \"serve\"", "\"role\": \"train\""),
            /no such role of the pool \(found "train"\); allowed: "serve"/,
        ],
        [
            problemsAfterReplacing("[\"print-proof-digest\"", "[\"proofs\""),
            /no such service, model or adapter \(found "proofs"\)/,
        ],
        [
            problemsAfterReplacing("\"dependsOn\": []", "\"dependsOn\": [\"order-assistant\"]"),
            /cycle: reel-line -> order-assistant -> reel-line/,
        ],
        [
            problemsAfterReplacing("\"name\": \"stock\",", "\"name\": \"bag-spec\","),
            /Another service, model or adapter/,
        ],
        [SAKAN.slice(0, 900), /Syntax error: /],
        ["", /empty/],
        ["[]", /wrong type/],
    ];
    for (
        const [found, pattern] of expected.map(([text, expectedPattern]) =>
            [text.startsWith("text:") || text === "accepted" ? text : problemsOf(text), expectedPattern] as const
        )
    ) {
        assert.match(found, pattern);
    }
});

test("a list of models is rejected if no placement exists, and accepted if one does", () => {
    const impossible: readonly (readonly [string, RegExp])[] = [
        [smallDeployment([50, 60], [["a", 61]]), /does not fit on any engine.*\(found 61\); allowed: at most 60/],
        [smallDeployment([50, 60], [["a", 55, 2]]), /fewer engines than it needs copies/],
        [smallDeployment([50, 50], [["a", 40], ["b", 40], ["c", 30]]), /110 megabytes are needed .* 100 megabytes/],
        [smallDeployment([50, 50], [["a", 30], ["b", 30], ["c", 30]]), /complete search found no placement/],
        [
            smallDeployment([50], [["a", 40]], ",\"adapters\":[{\"name\":\"x\",\"model\":\"a\",\"megabytes\":11}]"),
            /together with its model a/,
        ],
    ];
    for (const [text, pattern] of impossible) {
        assert.match(problemsOf(text), pattern);
    }
    assert.equal(problemsOf(smallDeployment([50, 50], [["a", 30], ["b", 30], ["c", 20], ["d", 20]])), "accepted");
    assert.equal(problemsOf(smallDeployment([60, 50, 50], [["a", 50, 2], ["b", 30], ["c", 30]])), "accepted");
});

test("1,200 models on 1,300 engines are checked with bounded work", () => {
    const engines = Array.from({ length: 1300 }, (_, index) => index % 2 === 0 ? 80 : 48);
    const models = Array.from({ length: 1200 }, (_, index) => [`m${index}`, 10 + (index * 7) % 37] as const);
    assert.equal(problemsOf(smallDeployment(engines, models)), "accepted");
    const overcommitted = Array.from({ length: 1200 }, (_, index) => [`m${index}`, 41 + index % 7, 2] as const);
    assert.match(problemsOf(smallDeployment(engines, overcommitted)), /cannot all be resident/);
});

test("settings with a host name, a shared port or an unknown key are rejected", () => {
    const cases: readonly (readonly [string, string, RegExp])[] = [
        [
            "http://10.20.1.3:8500",
            "http://platform:8500",
            /platform.hostList: The URL has a host name instead of an IP address/,
        ],
        ["\"port\": 8081", "\"port\": 8080", /same address and port/],
        ["\"zone\"", "\"zones\"", /Unknown key/],
        ["\"address\": \"10.20.1.4\"", "\"address\": \"999.1.1.1\"", /not an IP address/],
    ];
    for (const [before, after, pattern] of cases) {
        const outcome = parseSettings(HOST.replace(before, after), { fileName: "host" });
        assert.match(outcome.isErr() ? formatProblems(outcome.error) : "accepted", pattern);
    }
});
