/**
 * Keeps what a build reads and writes under `tests/builds/`, so that CI can test later builds beside it:
 * `npx tsx scripts/keepBuild.ts COMMIT`.
 *
 * The schema is that of the commit; the examples come from a small site that runs the commit's own code.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type BuildOfCommit, checkOutBuild } from "./_buildOfCommit.js";

const KEPT_FOLDER = join("tests", "builds");
const SCHEMA_FILE = "gossip.schema.json";
const RECORDER_FILE = join("tests", "support", "messageRecorder.ts");

/** The commit's short name, which is the same in every clone. */
const NAME_LENGTH = 7;

function recordExamples(build: BuildOfCommit): string {
    copyFileSync(RECORDER_FILE, join(build.folder, RECORDER_FILE));
    return execFileSync("npx", ["tsx", RECORDER_FILE], { cwd: build.folder, encoding: "utf8" });
}

function keepBuild(commit: string): string {
    const name = execFileSync("git", ["rev-parse", commit], { encoding: "utf8" }).slice(0, NAME_LENGTH);
    const build = checkOutBuild(commit);
    try {
        const folder = join(KEPT_FOLDER, name);
        mkdirSync(folder, { recursive: true });
        copyFileSync(join(build.folder, "schema", SCHEMA_FILE), join(folder, SCHEMA_FILE));
        writeFileSync(join(folder, "examples.json"), recordExamples(build));
        return folder;
    }
    finally {
        build.remove();
    }
}

const [commit] = process.argv.slice(2);
if (commit === undefined) {
    console.error("usage: npx tsx scripts/keepBuild.ts COMMIT");
    process.exitCode = 2;
}
else {
    console.log(`written: ${keepBuild(commit)}`);
}
