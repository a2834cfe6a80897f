import assert from "node:assert/strict";
import { test } from "node:test";
import { createCollectingLogger, type LoggedLine } from "../../tests/support/collectedLines.js";
import { createEntryMetrics, TimeSpent } from "./index.js";

test("a report logs the time of each subject and of the process since the previous report", async () => {
    const lines: LoggedLine[] = [];
    const metrics = createEntryMetrics();
    let now = 0;
    let processorMicroseconds = 0;
    const timeSpent = new TimeSpent({
        logger: createCollectingLogger(lines),
        metrics,
        readClock: () => now,
        readProcessorMicroseconds: () => processorMicroseconds,
    });
    const advanceClock = (milliseconds: number): number => now += milliseconds;
    assert.equal(timeSpent.measure("planning", () => advanceClock(30)), 30);
    assert.throws(() =>
        timeSpent.measure("datagrams-read", () => {
            advanceClock(10);
            throw new Error("failed");
        })
    );
    timeSpent.report();
    assert.deepEqual(lines, []);
    now = 5_000;
    processorMicroseconds = 90_000;
    timeSpent.report();
    now = 10_000;
    timeSpent.report();
    const loggedTimes = lines.map(({ fields }) => [
        fields["processorMilliseconds"],
        fields["planningMilliseconds"],
        fields["datagramsReadMilliseconds"],
    ]);
    assert.deepEqual(loggedTimes, [[90, 30, 10], [0, 0, 0]]);
    assert.match(await metrics.render(), /flamingospread_spent_seconds_total\{subject="planning"\} 0\.03/);
});
