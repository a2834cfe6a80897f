/**
 * The bundled launcher: starts the program with or without compiled code from the build.
 *
 * @module
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { createSeededRandom } from "../src/decision/index.js";
import { bundleProgram, NODE_OPTIONS } from "./support/bundledProgram.js";

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 3;

interface LaunchResult {
    readonly exit: number | null;
    readonly errorOutput: string;
}

interface BundledLauncher {
    readonly compiled: string;
    /** Path of the program's text. */
    readonly program: string;
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
        program: join(folder, "flamingospread.program.cjs"),
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

/** Asserts that the program starts and names why it does without compiled code. */
function assertStartsWithout({ check }: BundledLauncher, problem: string): void {
    const { exit, errorOutput } = check();
    assert.equal(exit, EXIT_BAD_SETTINGS, errorOutput);
    assert.match(errorOutput, /zone is missing/);
    assert.deepEqual(
        errorOutput.split("\n").filter(line => line.includes("compiled code")),
        [`starting without compiled code: ${problem}`],
    );
}

test("compiled code that is invalid or was compiled with other options is ignored, and the program reports it", async context => {
    const launcher = await bundle(context);
    assert.equal(launcher.prepare(["--max-old-space-size=200"]).exit, 0);
    assertStartsWithout(launcher, "it was compiled with other options of Node.js");
    for (const content of ["not compiled code", "not\ncompiled code", "", "null\n"]) {
        writeFileSync(launcher.compiled, content);
        assertStartsWithout(launcher, "its file is damaged");
    }
});

/** Changes some bytes of compiled code. */
function changeBytes(content: Buffer, seed: number): Buffer {
    const random = createSeededRandom(seed);
    for (let count = 0; count < 20; count += 1) {
        const position = 1_000 + Math.floor(random() * (content.length - 1_000));
        content[position] = (content[position] ?? 0) ^ (1 + Math.floor(random() * 255));
    }
    return content;
}

// Guards against V8 running damaged code: the process ended by a trap before its first line.
test("a program whose compiled code is damaged starts without it and reports it", async context => {
    const launcher = await bundle(context);
    assert.equal(launcher.prepare().exit, 0);
    const whole = readFileSync(launcher.compiled);
    const damages: readonly ((content: Buffer) => Buffer)[] = [
        ...[1, 2, 3, 4].map(seed => (content: Buffer) => changeBytes(content, seed)),
        content => content.fill(0, 200_000, 204_000),
        content => content.subarray(0, content.length / 2),
    ];
    for (const damage of damages) {
        writeFileSync(launcher.compiled, damage(Buffer.from(whole)));
        assertStartsWithout(launcher, "its file is damaged");
    }
});

// Guards against old code that runs beside a new program: V8 knows a program by its length alone.
test("a program of the same length as the compiled one runs its own text", async context => {
    const launcher = await bundle(context);
    assert.equal(launcher.prepare().exit, 0);
    const text = readFileSync(launcher.program, "utf8");
    const changed = text.replaceAll(" is missing", " IS MISSING");
    assert.deepEqual([changed.length, changed === text], [text.length, false]);
    writeFileSync(launcher.program, changed);
    const { exit, errorOutput } = launcher.check();
    assert.equal(exit, EXIT_BAD_SETTINGS);
    assert.match(errorOutput, /starting without compiled code: it was compiled from another program/);
    assert.match(errorOutput, /zone IS MISSING/);
});

test("compiled code of another version of Node.js or another kind of machine is ignored", async context => {
    const launcher = await bundle(context);
    assert.equal(launcher.prepare().exit, 0);
    const file = readFileSync(launcher.compiled, "latin1");
    for (
        const [own, other, problem] of [
            [process.version, "v20.0.0", "it was compiled by another version of Node.js"],
            [process.versions.v8, "11.3.0", "it was compiled by another version of Node.js"],
            [`${process.arch} `, "other ", "it was compiled on another kind of machine"],
        ] as const
    ) {
        writeFileSync(launcher.compiled, file.replace(own, other), "latin1");
        assertStartsWithout(launcher, problem);
    }
});

test("the build replaces compiled code in one step", async context => {
    const { compiled, prepare } = await bundle(context);
    assert.equal(prepare().exit, 0);
    const { ino } = statSync(compiled);
    assert.equal(prepare().exit, 0);
    assert.notEqual(statSync(compiled).ino, ino);
});

test("a program that is cut or missing ends with one line", async context => {
    const { check, program } = await bundle(context);
    const text = readFileSync(program, "utf8");
    const cuts = [() => writeFileSync(program, text.slice(0, text.length / 2)), () => rmSync(program)];
    for (const cut of cuts) {
        cut();
        const { exit, errorOutput } = check();
        assert.equal(exit, EXIT_FAILED);
        assert.match(errorOutput, /^(starting without compiled code: .*\n)?the program cannot be loaded: .*\n$/);
    }
});
