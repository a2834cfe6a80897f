/**
 * Runs all test files and compares the failures with `KNOWN-RED.txt`.
 *
 * A failure of a test that is listed there is printed and does not fail the run; any other failure does. In a run of
 * all files, a listed test that passed or did not run fails the run too, so that the list stays up to date; one whose
 * third field begins with `at times` may pass. Arguments select test files by a part of their path.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import { finished } from "node:stream/promises";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const TEST_FOLDERS = ["examples", "src", "platform", "tests", "standins", "scripts", "demo", "measurements", "soak"];
const TEST_FILE_SUFFIX = ".test.ts";
const KNOWN_RED_FILE = "KNOWN-RED.txt";
const FIELD_SEPARATOR = " | ";

/** What was seen of a test that does not always fail begins with this. */
const INTERMITTENT_PREFIX = "at times";
const MAXIMUM_CONCURRENT_FILES = 6;
const FILE_TIMEOUT_MILLISECONDS = 120_000;

interface Tally {
    passed: number;
    skipped: number;
    readonly failed: string[];
}

/** Reads the tests that are known to fail: the lines of the list by the test name, which is their first field. */
function readKnownRed(): ReadonlyMap<string, string> {
    const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
    const entries = lines.filter(line => line.trim() !== "" && !line.startsWith("#"));
    return new Map(entries.map(line => [line.split(FIELD_SEPARATOR)[0] ?? line, line]));
}

function isIntermittent(entry: string): boolean {
    return entry.split(FIELD_SEPARATOR)[2]?.startsWith(INTERMITTENT_PREFIX) === true;
}

function listFiles(folder: string): string[] {
    if (!existsSync(folder)) {
        return [];
    }
    return readdirSync(folder, { recursive: true, encoding: "utf8" }).map(file => join(folder, file));
}

function findTestFiles(selections: readonly string[]): string[] {
    const files = TEST_FOLDERS.flatMap(folder => listFiles(folder)).filter(file => file.endsWith(TEST_FILE_SUFFIX));
    const selected = files.filter(file => selections.length === 0 || selections.some(part => file.includes(part)));
    return selected.sort();
}

async function runFiles(files: readonly string[]): Promise<Tally> {
    const tally: Tally = { passed: 0, skipped: 0, failed: [] };
    const stream = run({
        files: [...files],
        concurrency: Math.min(MAXIMUM_CONCURRENT_FILES, availableParallelism()),
        timeout: FILE_TIMEOUT_MILLISECONDS,
    });
    stream.on("test:pass", event => {
        if (event.details.type === "suite") {
            return;
        }
        if (event.skip !== undefined) {
            tally.skipped += 1;
            return;
        }
        tally.passed += 1;
    });
    stream.on("test:fail", event => {
        if (event.details.type !== "suite") {
            tally.failed.push(event.name);
        }
    });
    const reporter = new spec();
    stream.pipe(reporter).pipe(process.stdout);
    await finished(reporter);
    return tally;
}

const files = findTestFiles(process.argv.slice(2));
const knownRed = readKnownRed();
const tally = await runFiles(files);
const wholeRun = process.argv.length === 2;
const unexpected = tally.failed.filter(name => !knownRed.has(name));
const missing = wholeRun ? [...knownRed].filter(([name]) => !tally.failed.includes(name)) : [];
const stale = missing.filter(([, entry]) => !isIntermittent(entry)).map(([name]) => name);
for (const [, entry] of missing.filter(([, known]) => isIntermittent(known))) {
    console.log(`known red at times, not this time: ${entry}`);
}
for (const name of tally.failed.filter(name => knownRed.has(name))) {
    console.log(`known red, passed over: ${knownRed.get(name) ?? name}`);
}
for (const name of unexpected) {
    console.log(`failed: ${name}`);
}
for (const name of stale) {
    console.log(`listed in ${KNOWN_RED_FILE} but did not fail: ${name}`);
}
const passedOver = tally.failed.length - unexpected.length;
console.log(
    `${tally.passed} passed, ${unexpected.length + stale.length} failed, ${tally.skipped + passedOver} skipped`,
);
process.exitCode = unexpected.length + stale.length === 0 && tally.passed > 0 ? 0 : 1;
