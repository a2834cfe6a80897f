import assert from "node:assert/strict";
import { test } from "node:test";
import { renderTimeline, RequestTimeline } from "./index.js";

const START = Date.parse("2026-12-04T10:00:00.000Z");

function line(
    milliseconds: number,
    host: string,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
): string {
    const timestamp = new Date(START + milliseconds).toISOString();
    return JSON.stringify({ ...fields, host, level: "info", message, timestamp });
}

const LINES = [
    line(-60_000, "one", "configuration in force", { version: 7 }),
    line(-9_000, "one", "upstream joined", { upstream: "engine-3" }),
    line(-8_000, "two", "upstream joined", { upstream: "engine-3" }),
    line(-300, "one", "key-value service lost"),
    line(0, "one", "request sent", { request: "r-1", upstream: "engine-3", attempt: 1, load: 9 }),
    line(1, "one", "request sent", { request: "r-2", upstream: "engine-3", attempt: 1 }),
    line(450, "one", "attempt failed", {
        request: "r-1",
        upstream: "engine-3",
        reason: "connection-lost",
        decision: "fail",
    }),
    line(451, "one", "request ended", { request: "r-1", outcome: "failed: rejected-by-upstreams" }),
];

test("steps are sorted by time, whatever the order of the lines, with the state changes before them", () => {
    const timeline = new RequestTimeline("r-1");
    [...LINES].reverse().forEach(each => timeline.addLine(each));
    const steps = timeline.steps();
    assert.deepEqual(steps.map(step => step.line.message), ["request sent", "attempt failed", "request ended"]);
    assert.deepEqual(steps[0]?.beliefs.map(({ message }) => message), [
        "configuration in force",
        "upstream joined",
        "key-value service lost",
    ]);
    const text = renderTimeline(steps);
    assert.match(text, /300 ms before, one: key-value service lost/);
    assert.match(text, /\+450 ms one: attempt failed upstream=engine-3 reason=connection-lost decision=fail/);
    assert.ok(!text.includes("two"), "no state changes of other hosts are shown");
});

test("a request refused or moved for a rate limit is shown with the change of that limit, however long before", () => {
    const timeline = new RequestTimeline("r-1");
    const recent = Array.from(
        { length: 9 },
        (_, index) => line(-900 + index, "one", "engine ordered", { engine: "e" }),
    );
    const limit = { limitedUpstream: "engine-4", limitPerSecond: 4.1, hostPermitsPerSecond: 0.5 };
    [
        line(-70_000, "one", "upstream limit changed", { upstream: "engine-4", outcome: "named", limitPerSecond: 4.1 }),
        line(-60_000, "one", "upstream joined", { upstream: "engine-4" }),
        ...recent,
        line(0, "one", "request refused", { request: "r-1", reason: "upstream-limit", ...limit }),
    ].forEach(each => timeline.addLine(each));
    const text = renderTimeline(timeline.steps());
    assert.match(
        text,
        /70000 ms before, one: upstream limit changed upstream=engine-4 outcome=named limitPerSecond=4.1/,
    );
    assert.match(text, /limitedUpstream=engine-4 limitPerSecond=4.1 hostPermitsPerSecond=0.5/);
});

test("a request refused for its prompt part is shown with the crashes on all hosts and the conviction, however long before", () => {
    const timeline = new RequestTimeline("r-1");
    const suspected = { fingerprint: "f1", promptParts: "aa,bb", upstream: "engine-4", incarnation: "engine-4/1" };
    [
        line(-90_000, "one", "request suspected of a crash", suspected),
        line(-89_000, "two", "request suspected of a crash", { ...suspected, fingerprint: "f2" }),
        line(-88_900, "two", "request suspected of a crash", { ...suspected, promptParts: "aa" }),
        line(-88_000, "one", "requests that crash upstreams are refused", { attributes: "part:bb", crashes: 2 }),
        line(0, "one", "request has what crashes upstreams", { request: "r-1", attribute: "part:bb", crashes: 2 }),
        line(0, "one", "request refused", { request: "r-1", reason: "crashes-engines" }),
    ].forEach(each => timeline.addLine(each));
    assert.deepEqual(timeline.steps()[0]?.beliefs.map(({ atMilliseconds }) => atMilliseconds - START), [
        -90_000,
        -89_000,
        -88_000,
    ]);
});

test("a request without log lines has no steps, and text that is no log line is skipped", () => {
    const timeline = new RequestTimeline("r-9");
    ["", "not a line", "{\"half\":", ...LINES].forEach(each => timeline.addLine(each));
    assert.deepEqual(timeline.steps(), []);
});

test("the number of kept state changes is bounded, and those nearest in time to the request are kept", () => {
    const timeline = new RequestTimeline("r-1");
    timeline.addLine(LINES[4] ?? "");
    for (let index = 0; index < 120_000; index += 1) {
        timeline.addLine(line(-index * 10, "one", "engine ordered", { engine: "engine-3", model: "m" }));
    }
    const [step] = timeline.steps();
    assert.ok((step?.beliefs.length ?? 0) > 0);
    assert.equal(step?.beliefs.at(-1)?.atMilliseconds, START);
});

test("a request refused for its key or its account's quota is shown with what decided it", () => {
    const timeline = new RequestTimeline("r-1");
    const quota = { levelTokens: -900, offeredTokensPerSecond: 4_100, newsAgeMilliseconds: 240 };
    [
        line(-9_000, "one", "configuration in force", { version: 8, accounts: 16 }),
        line(0, "one", "request rejected", { request: "r-1", reason: "unknown-key", status: 401, key: "5b0c77aa91e2" }),
        line(10, "one", "request rejected", { request: "r-1", reason: "over-quota", account: "mill", ...quota }),
    ].forEach(each => timeline.addLine(each));
    const text = renderTimeline(timeline.steps());
    assert.match(text, /configuration in force version=8 accounts=16/);
    assert.match(text, /request rejected reason=unknown-key status=401 key=5b0c77aa91e2/);
    assert.match(
        text,
        /reason=over-quota account=mill levelTokens=-900 offeredTokensPerSecond=4100 newsAgeMilliseconds=240/,
    );
});
