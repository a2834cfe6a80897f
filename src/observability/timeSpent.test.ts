import assert from "node:assert/strict";
import { test } from "node:test";
import { collectLines, type LoggedLine } from "../../tests/support/collectedLines.js";
import { createEntryMetrics, TimeSpent } from "./index.js";

test("time is told by subject beside the process's own, and begins anew with each report", async () => {
    const lines: LoggedLine[] = [];
    const metrics = createEntryMetrics();
    let now = 0;
    let processor = 0;
    const timeSpent = new TimeSpent({
        logger: collectLines(lines),
        metrics,
        readClock: () => now,
        readProcessorMicroseconds: () => processor,
    });
    const work = (milliseconds: number): number => now += milliseconds;
    assert.equal(timeSpent.measure("planning", () => work(30)), 30);
    assert.throws(() =>
        timeSpent.measure("datagrams-read", () => {
            work(10);
            throw new Error("failed");
        })
    );
    timeSpent.report();
    assert.deepEqual(lines, []);
    now = 5_000;
    processor = 90_000;
    timeSpent.report();
    now = 10_000;
    timeSpent.report();
    const spent = lines.map(({ fields }) => [
        fields["processorMilliseconds"],
        fields["planningMilliseconds"],
        fields["datagramsReadMilliseconds"],
    ]);
    assert.deepEqual(spent, [[90, 30, 10], [0, 0, 0]]);
    assert.match(await metrics.render(), /flamingospread_spent_seconds_total\{subject="planning"\} 0\.03/);
});
