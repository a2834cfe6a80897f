/**
 * The build line of the deploy file, in folders whose installed packages are whole, missing or not usable. A stub stands
 * for npm.
 *
 * @module
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { chmodSync, mkdirSync, mkdtempSync, readFileSync, rmSync, utimesSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";

/** A stub of npm: `ci` installs or fails, `run bundle` needs usable packages; each call is recorded. */
const NPM_STUB = `#!/bin/sh
case "$1" in
    ci) echo ci >> calls
        [ ! -e registry-unreachable ] || { echo "npm error registry unreachable" >&2; exit 1; }
        rm -rf node_modules; mkdir node_modules
        touch node_modules/usable node_modules/.package-lock.json;;
    run) echo bundle >> calls
        [ -e node_modules/usable ] || { echo "sh: 1: esbuild: not found" >&2; exit 127; }
        [ ! -e source-error ] || { echo "source error" >&2; exit 1; }
        mkdir -p target; touch target/flamingospread.cjs;;
esac
`;

const AGE_DIFFERENCE_SECONDS = 10;

/** Files of a checkout beside its lock file, by path, and whether each is newer than that. */
type Files = Readonly<Record<string, "older" | "newer">>;

interface BuildResult {
    readonly exit: number | null;
    /** Calls of npm, in order. */
    readonly calls: readonly string[];
    readonly errorOutput: string;
}

function readBuildLine(): string {
    const line = /^build = (".*")$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    return JSON.parse(line ?? "") as string;
}

/** Writes an empty file with a time of its last change. */
function writeFileAt(path: string, seconds: number): void {
    writeFileSync(path, "");
    utimesSync(path, seconds, seconds);
}

/** Runs the build line in a checkout with the given files. */
function build(context: TestContext, files: Files): BuildResult {
    const folder = mkdtempSync(join(tmpdir(), "build-"));
    context.after(() => rmSync(folder, { recursive: true }));
    const programs = join(folder, "programs");
    for (const made of [programs, join(folder, "node_modules")]) {
        mkdirSync(made);
    }
    writeFileSync(join(programs, "npm"), NPM_STUB);
    chmodSync(join(programs, "npm"), 0o755);
    const lockSeconds = Math.floor(Date.now() / 1_000) - AGE_DIFFERENCE_SECONDS * 10;
    writeFileAt(join(folder, "package-lock.json"), lockSeconds);
    for (const [path, age] of Object.entries(files)) {
        const difference = age === "newer" ? AGE_DIFFERENCE_SECONDS : -AGE_DIFFERENCE_SECONDS;
        writeFileAt(join(folder, path), lockSeconds + difference);
    }
    const { status, stderr } = spawnSync("sh", ["-c", readBuildLine()], {
        cwd: folder,
        encoding: "utf8",
        env: { ...process.env, PATH: `${programs}:${process.env["PATH"] ?? ""}` },
    });
    const calls = spawnSync("cat", ["calls"], { cwd: folder, encoding: "utf8" }).stdout;
    return { exit: status, calls: calls.split("\n").filter(call => call !== ""), errorOutput: stderr };
}

const WHOLE: Files = { "node_modules/usable": "newer", "node_modules/.package-lock.json": "newer" };

test("a build where all packages are installed installs none", context => {
    const { calls, exit } = build(context, WHOLE);
    assert.deepEqual([exit, calls], [0, ["bundle"]]);
});

test("a build installs packages where none are installed, or older ones", context => {
    const older: Files = { "node_modules/usable": "older", "node_modules/.package-lock.json": "older" };
    for (const files of [{}, older]) {
        const { calls, exit } = build(context, files);
        assert.deepEqual([exit, calls], [0, ["ci", "bundle"]]);
    }
});

// Guards against a build that fails each time it is repeated: an install that was cut off leaves a newer folder.
test("a build beside an install that was cut off installs once more", context => {
    const { calls, exit } = build(context, { "node_modules/other": "newer" });
    assert.deepEqual([exit, calls], [0, ["ci", "bundle"]]);
});

// Guards against packages of another kind of machine, which were carried over whole.
test("a build whose installed packages are not usable installs once more", context => {
    const { calls, errorOutput, exit } = build(context, { "node_modules/.package-lock.json": "newer" });
    assert.deepEqual([exit, calls], [0, ["bundle", "ci", "bundle"]]);
    assert.match(errorOutput, /installing the packages again/);
});

// Guards against a build that goes on without the packages that it needs.
test("a build that cannot install packages fails and says so", context => {
    for (const files of [{}, { "node_modules/.package-lock.json": "newer" }] as const) {
        const { calls, errorOutput, exit } = build(context, { "registry-unreachable": "newer", ...files });
        assert.equal(exit, 1);
        assert.equal(calls.at(-1), "ci");
        assert.match(errorOutput, /registry unreachable[^]*build: packages cannot be installed/);
    }
});

test("a build whose source has an error fails with it", context => {
    const { calls, errorOutput, exit } = build(context, { "source-error": "newer", ...WHOLE });
    assert.deepEqual([exit, calls], [1, ["bundle", "ci", "bundle"]]);
    assert.match(errorOutput, /source error\n$/);
});
