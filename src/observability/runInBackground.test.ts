/**
 * Steps that nobody waits for.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as afterTurn } from "node:timers/promises";
import { createCollectingLogger, type LoggedLine } from "../../tests/support/collectedLines.js";
import { runInBackground } from "./index.js";

test("a step that throws, at once or later, is named in the log and ends nothing else", async () => {
    const lines: LoggedLine[] = [];
    const logger = createCollectingLogger(lines);
    runInBackground(logger, "at once", () => {
        throw new Error("no port");
    });
    runInBackground(logger, "later", async () => {
        await afterTurn();
        throw new Error("no answer");
    });
    await afterTurn();
    await afterTurn();
    assert.deepEqual(lines.map(({ fields, message }) => [message, fields["task"]]), [
        ["background task failed", "at once"],
        ["background task failed", "later"],
    ]);
    assert.match(String(lines[0]?.fields["detail"]), /no port\n +at /);
});
