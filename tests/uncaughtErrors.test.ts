/**
 * Exceptions that nobody handles, in the program's process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { test } from "node:test";

/** Runs the program; returns its exit code and its log lines. */
function runBroken(
    state: "running" | "starting",
): Promise<{ readonly code: number; readonly lines: readonly string[]; }> {
    return new Promise(resolve => {
        const command = ["--import", "tsx", "tests/support/brokenProgram.ts", state];
        const child = execFile(process.execPath, command, (_error, output) => {
            resolve({ code: child.exitCode ?? -1, lines: output.trim().split("\n") });
        });
    });
}

// Guards against a host that ends, without a line in its log, with all that it has passed on.
test("an exception that nobody handles is logged and counted, and the host goes on until it is told to stop", async () => {
    const { code, lines } = await runBroken("running");
    assert.equal(code, 0, lines.join("\n"));
    assert.match(lines.join("\n"), /"origin":"unhandledRejection".*rejected for nobody.*"uncaught error"/);
    assert.match(lines.join("\n"), /"origin":"uncaughtException".*thrown by a timer.*"uncaught error"/);
    assert.match(lines.at(-1) ?? "", /unhandledRejection.* 1 .*uncaughtException.* 1.*still runs/);
});

test("an exception before the host runs ends the process with its reason as the last line of the log", async () => {
    const { code, lines } = await runBroken("starting");
    assert.equal(code, 1);
    assert.match(lines.at(-1) ?? "", /"host":"entry-1".*rejected for nobody.*"start failed"/);
});
