import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { existsSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";

const EXIT_BAD_SETTINGS = 3;

interface Launched {
    readonly exit: number | null;
    readonly told: string;
}

interface Launcher {
    readonly compiled: string;
    /** Compiles the program as the build does. */
    readonly prepare: (options?: readonly string[]) => Launched;
    /** Checks a settings file that lacks nearly everything. */
    readonly check: () => Launched;
}

async function bundle(context: TestContext): Promise<Launcher> {
    const bundled = await bundleProgram();
    const { compiled, folder, launcher } = bundled;
    context.after(() => bundled.close());
    const settings = join(folder, "node.conf");
    writeFileSync(settings, "nodeName=entry-1\n");
    const launch = (options: readonly string[], words: readonly string[]): Launched => {
        const { status, stderr } = spawnSync(process.execPath, [...options, launcher, ...words], { encoding: "utf8" });
        return { exit: status, told: stderr };
    };
    return {
        compiled,
        prepare: (options = NODE_OPTIONS) => launch(options, ["prepare"]),
        check: () => launch(NODE_OPTIONS, ["check", settings]),
    };
}

test("the program starts without compiled code, and says so", async context => {
    const { exit, told } = (await bundle(context)).check();
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.match(told, /starting without compiled code/);
    assert.match(told, /zone is missing/);
});

test("the program starts from the code that the build compiled with the same options", async context => {
    const { check, compiled, prepare } = await bundle(context);
    assert.equal(prepare().exit, 0);
    assert.ok(existsSync(compiled));
    const { exit, told } = check();
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.doesNotMatch(told, /compiled code/);
    assert.match(told, /zone is missing/);
});

test("code that was compiled with other options, or is none, is passed over, and the program says so", async context => {
    const { check, compiled, prepare } = await bundle(context);
    assert.equal(prepare(["--max-old-space-size=200"]).exit, 0);
    const passedOver = /starting without compiled code: it was compiled by another version of Node.js, or with other/;
    assert.match(check().told, passedOver);
    writeFileSync(compiled, "not compiled code");
    assert.deepEqual([check().exit, passedOver.test(check().told)], [EXIT_BAD_SETTINGS, true]);
});
