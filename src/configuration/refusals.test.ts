import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { formatProblems, parseDeployment, parseSettings } from "./index.js";

const SAKAN = readFileSync("examples/sakan.jsonc", "utf8");
const HOST = readFileSync("examples/host.jsonc", "utf8");

function refuse(text: string): string {
    const outcome = parseDeployment(text, { fileName: "text" });
    return outcome.isErr() ? formatProblems(outcome.error) : "accepted";
}

/** Changes one place of Sakan's text and gives the refusal. */
function change(before: string | RegExp, after: string): string {
    const changed = SAKAN.replace(before, after);
    assert.notEqual(changed, SAKAN, `nothing to change for ${String(before)}`);
    return refuse(changed);
}

/** Makes a small text of one pool and models given as name, size and copies. */
function small(engines: readonly number[], models: readonly (readonly [string, number, number?])[], more = ""): string {
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
        "models":${JSON.stringify(modelList)}${more}}`;
}

test("each refusal names file, line, column, value and what is allowed", () => {
    const lineOfFirstEngine = SAKAN.split("\n").findIndex(line => line.includes("bag-llm-1")) + 1;
    const wrongZone = change("\"zone\": \"ma-west-1\", \"accelerators\"", "\"zone\": \"ma-west-9\", \"accelerators\"");
    assert.match(wrongZone, new RegExp(`^text:${lineOfFirstEngine}:\\d+: pools\\[0\\].engines\\[0\\].zone: `));
    assert.match(wrongZone, /no such zone \(found "ma-west-9"\); allowed: "ma-west-1", "ma-west-2", "ma-west-3"$/);
    const expected: readonly (readonly [string, RegExp])[] = [
        [
            change("\"checksFencing\": true", "\"checkFencing\": true"),
            /Unknown key \(found "checkFencing"\); allowed: the keys/,
        ],
        [change("\"checksFencing\": true,", ""), /checksFencing: A required key is missing; allowed: .*boolean/],
        [change("\"checksFencing\": true", "\"checksFencing\": \"yes\""), /wrong type \(found "yes"\)/],
        [
            change("\"class\": \"urgent\"", "\"class\": \"soon\""),
            /not one of the list \(found "soon"\); allowed: "urgent", "patient"/,
        ],
        [change("\"loadsPerSecond\": 1.4", "\"loadsPerSecond\": 0"), /out of bounds \(found 0\); allowed: more than 0/],
        [change("\"deployment\": \"sakan\"", "\"deployment\": \"Sakan Data\""), /wrong form \(found "Sakan Data"\)/],
        [change("\"deployment\": \"sakan\",", "\"deployment\": \"a\", \"deployment\": \"b\","), /stands twice/],
        [change("\"name\": \"bag-llm-2\"", "\"name\": \"bag-llm-1\""), /Another engine has the same name/],
        [change("http://10.20.2.11:8000", "http://10.20.1.11:8000"), /Another engine has the same name or address/],
        [change("http://10.20.1.11:8000", "http://engine-1:8000"), /names its host by a name/],
        [change("http://10.22.1.21:9000", "http://10.22.1.21:9000/"), /ends in a slash/],
        [change("\"pools\": [\"mill-ops\"]", "\"pools\": [\"mill\"]"), /no such pool \(found "mill"\)/],
        [change("\"model\": \"quote-drafter\"", "\"model\": \"quote\""), /no such model \(found "quote"\)/],
        [
            change("\"role\": \"serve\"", "\"role\": \"train\""),
            /no such role of the pool \(found "train"\); allowed: "serve"/,
        ],
        [change("[\"print-proof-digest\"", "[\"proofs\""), /no such service, model or adapter \(found "proofs"\)/],
        [
            change("\"dependsOn\": []", "\"dependsOn\": [\"order-assistant\"]"),
            /cycle: reel-line -> order-assistant -> reel-line/,
        ],
        [change("\"name\": \"stock\",", "\"name\": \"bag-spec\","), /Another service, model or adapter/],
        [SAKAN.slice(0, 900), /broken here/],
        ["", /empty/],
        ["[]", /wrong type/],
    ];
    for (
        const [found, pattern] of expected.map(([text, regular]) =>
            [text.startsWith("text:") || text === "accepted" ? text : refuse(text), regular] as const
        )
    ) {
        assert.match(found, pattern);
    }
});

test("a list is refused where no placement exists, and accepted where one does", () => {
    const impossible: readonly (readonly [string, RegExp])[] = [
        [small([50, 60], [["a", 61]]), /fits on no engine.*\(found 61\); allowed: at most 60/],
        [small([50, 60], [["a", 55, 2]]), /fewer engines than it needs copies/],
        [small([50, 50], [["a", 40], ["b", 40], ["c", 30]]), /110 megabytes are needed .* 100 megabytes/],
        [small([50, 50], [["a", 30], ["b", 30], ["c", 30]]), /complete search found no placement/],
        [
            small([50], [["a", 40]], ",\"adapters\":[{\"name\":\"x\",\"model\":\"a\",\"megabytes\":11}]"),
            /beside its model a/,
        ],
    ];
    for (const [text, pattern] of impossible) {
        assert.match(refuse(text), pattern);
    }
    assert.equal(refuse(small([50, 50], [["a", 30], ["b", 30], ["c", 20], ["d", 20]])), "accepted");
    assert.equal(refuse(small([60, 50, 50], [["a", 50, 2], ["b", 30], ["c", 30]])), "accepted");
});

test("1,200 models on 1,300 engines are checked with bounded work", () => {
    const engines = Array.from({ length: 1300 }, (_, index) => index % 2 === 0 ? 80 : 48);
    const models = Array.from({ length: 1200 }, (_, index) => [`m${index}`, 10 + (index * 7) % 37] as const);
    assert.equal(refuse(small(engines, models)), "accepted");
    const tight = Array.from({ length: 1200 }, (_, index) => [`m${index}`, 41 + index % 7, 2] as const);
    assert.match(refuse(small(engines, tight)), /cannot all be resident/);
});

test("settings with a host name, a clash or an unknown key are refused", () => {
    const cases: readonly (readonly [string, string, RegExp])[] = [
        ["http://10.20.1.3:8500", "http://platform:8500", /platform.hostList: The URL names its host by a name/],
        ["\"port\": 8081", "\"port\": 8080", /same address and port/],
        ["\"zone\"", "\"zones\"", /Unknown key/],
        ["\"address\": \"10.20.1.4\"", "\"address\": \"999.1.1.1\"", /no IP number/],
    ];
    for (const [before, after, pattern] of cases) {
        const outcome = parseSettings(HOST.replace(before, after), { fileName: "host" });
        assert.match(outcome.isErr() ? formatProblems(outcome.error) : "accepted", pattern);
    }
});
