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

test("a request's steps come in order of time, whatever the order of the lines, with the beliefs before them", () => {
    const story = new RequestTimeline("r-1");
    [...LINES].reverse().forEach(each => story.addLine(each));
    const steps = story.steps();
    assert.deepEqual(steps.map(step => step.line.message), ["request sent", "attempt failed", "request ended"]);
    assert.deepEqual(steps[0]?.beliefs.map(({ message }) => message), [
        "configuration in force",
        "upstream joined",
        "key-value service lost",
    ]);
    const text = renderTimeline(steps);
    assert.match(text, /300 ms before, one: key-value service lost/);
    assert.match(text, /\+450 ms one: attempt failed upstream=engine-3 reason=connection-lost decision=fail/);
    assert.ok(!text.includes("two"), "beliefs of other hosts do not bear on it");
});

test("a request that no line names has no story, and lines that are none are passed over", () => {
    const story = new RequestTimeline("r-9");
    ["", "not a line", "{\"half\":", ...LINES].forEach(each => story.addLine(each));
    assert.deepEqual(story.steps(), []);
});

test("beliefs stay bounded, and those around the request are kept", () => {
    const story = new RequestTimeline("r-1");
    story.addLine(LINES[4] ?? "");
    for (let index = 0; index < 120_000; index += 1) {
        story.addLine(line(-index * 10, "one", "engine ordered", { engine: "engine-3", model: "m" }));
    }
    const [step] = story.steps();
    assert.ok((step?.beliefs.length ?? 0) > 0);
    assert.equal(step?.beliefs.at(-1)?.atMilliseconds, START);
});
