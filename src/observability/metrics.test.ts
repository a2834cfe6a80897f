import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { createMetrics, METRICS, renderMetricsTable } from "./index.js";

test("docs/METRICS.md ends with the rendered table of metrics", () => {
    assert.ok(readFileSync("docs/METRICS.md", "utf8").endsWith(renderMetricsTable()));
});

test("each refusal reason has a counter, and a name that METRICS does not list throws", async () => {
    const metrics = createMetrics(undefined, "entry-1");
    metrics.increment("refusals.queue-full");
    metrics.increment("refusals.queue-full");
    assert.equal(metrics.totals()["refusals.queue-full"], 2);
    assert.ok(METRICS["refusals.request-crashes-engines"] !== undefined);
    assert.throws(() => metrics.increment("refusals.no-such-reason" as never));
    await metrics.close();
});
