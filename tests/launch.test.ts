import { build } from "esbuild";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";

const OPTIONS = ["--max-old-space-size=160"];
const EXIT_BAD_SETTINGS = 3;
const folder = mkdtempSync(join(tmpdir(), "launch-"));
const launcher = join(folder, "flamingospread.cjs");
const compiled = join(folder, "flamingospread.program.compiled");
const settings = join(folder, "node.conf");

function bundle(source: string, target: string): Promise<unknown> {
    return build({ entryPoints: [source], outfile: target, bundle: true, platform: "node", format: "cjs" });
}

function runLauncher(options: readonly string[], words: readonly string[]): { exit: number | null; told: string; } {
    const { status, stderr } = spawnSync(process.execPath, [...options, launcher, ...words], { encoding: "utf8" });
    return { exit: status, told: stderr };
}

before(async () => {
    writeFileSync(settings, "nodeName=entry-1\n");
    await bundle("platform/program.ts", join(folder, "flamingospread.program.cjs"));
    await bundle("platform/launch.ts", launcher);
});

after(() => rmSync(folder, { recursive: true }));

test("the program starts without compiled code, and says so", () => {
    const { exit, told } = runLauncher(OPTIONS, ["check", settings]);
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.match(told, /starting without compiled code/);
    assert.match(told, /zone is missing/);
});

test("the program starts from the code that the build compiled with the same options", () => {
    assert.equal(runLauncher(OPTIONS, ["prepare"]).exit, 0);
    assert.ok(existsSync(compiled));
    const { exit, told } = runLauncher(OPTIONS, ["check", settings]);
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.doesNotMatch(told, /compiled code/);
    assert.match(told, /zone is missing/);
});

test("code that was compiled with other options is passed over, and the program says so", () => {
    assert.equal(runLauncher(["--max-old-space-size=200"], ["prepare"]).exit, 0);
    const { exit, told } = runLauncher(OPTIONS, ["check", settings]);
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.match(told, /starting without compiled code: it was compiled by another version of Node.js, or with other/);
    writeFileSync(compiled, "not compiled code");
    assert.equal(runLauncher(OPTIONS, ["check", settings]).exit, EXIT_BAD_SETTINGS);
});
