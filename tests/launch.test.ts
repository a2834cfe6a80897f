/**
 * The bundled launcher: starts the program with or without compiled code from the build.
 *
 * @module
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { existsSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";

const EXIT_BAD_SETTINGS = 3;

interface LaunchResult {
    readonly exit: number | null;
    readonly errorOutput: string;
}

interface BundledLauncher {
    readonly compiled: string;
    /** Compiles the program as the build does, with the given options of Node.js. */
    readonly prepare: (options?: readonly string[]) => LaunchResult;
    /** Runs the command `check` on a settings file that lacks most settings. */
    readonly check: () => LaunchResult;
}

async function bundle(context: TestContext): Promise<BundledLauncher> {
    const bundled = await bundleProgram();
    const { compiled, folder, launcher } = bundled;
    context.after(() => bundled.close());
    const settings = join(folder, "node.conf");
    writeFileSync(settings, "nodeName=entry-1\n");
    const launch = (options: readonly string[], launcherArguments: readonly string[]): LaunchResult => {
        const { status, stderr } = spawnSync(process.execPath, [...options, launcher, ...launcherArguments], {
            encoding: "utf8",
        });
        return { exit: status, errorOutput: stderr };
    };
    return {
        compiled,
        prepare: (options = NODE_OPTIONS) => launch(options, ["prepare"]),
        check: () => launch(NODE_OPTIONS, ["check", settings]),
    };
}

test("the program starts without compiled code and reports it", async context => {
    const { exit, errorOutput } = (await bundle(context)).check();
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.match(errorOutput, /starting without compiled code/);
    assert.match(errorOutput, /zone is missing/);
});

test("the program starts from code that was compiled with the same options", async context => {
    const { check, compiled, prepare } = await bundle(context);
    assert.equal(prepare().exit, 0);
    assert.ok(existsSync(compiled));
    const { exit, errorOutput } = check();
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.doesNotMatch(errorOutput, /compiled code/);
    assert.match(errorOutput, /zone is missing/);
});

test("compiled code that is invalid or was compiled with other options is ignored, and the program reports it", async context => {
    const { check, compiled, prepare } = await bundle(context);
    assert.equal(prepare(["--max-old-space-size=200"]).exit, 0);
    const ignoredCodeMessage =
        /starting without compiled code: it was compiled by another version of Node.js, or with other/;
    assert.match(check().errorOutput, ignoredCodeMessage);
    writeFileSync(compiled, "not compiled code");
    assert.deepEqual([check().exit, ignoredCodeMessage.test(check().errorOutput)], [EXIT_BAD_SETTINGS, true]);
});
