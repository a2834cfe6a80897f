/**
 * Breaks mechanisms on purpose, one at a time, and prints which of their tests notice.
 *
 * `npx tsx scripts/mutate.ts [PART_OF_NAME...]` works on a checkout of the last commit. It exits with code 1 where no test
 * notices a mutation. A test that fails without any mutation shows nothing; the run begins with all of them unchanged.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { checkOutBuild } from "./_buildOfCommit.js";
import { type Mutation, MUTATIONS } from "./_mutations.js";

const TEST_MILLISECONDS = 110_000;

/** Returns the test files that fail in a checkout. */
function findFailing(folder: string, tests: readonly string[]): string[] {
    return tests.filter(test => {
        const run = spawnSync("npx", ["tsx", "--test", test], { cwd: folder, timeout: TEST_MILLISECONDS });
        return run.status !== 0;
    });
}

/** Returns the test files that fail under a mutation; the checkout is as before then. */
function findNoticing(folder: string, { file, original, replacement, tests }: Mutation): string[] {
    const path = join(folder, file);
    const text = readFileSync(path, "utf8");
    try {
        writeFileSync(path, text.replace(original, () => replacement));
        return findFailing(folder, tests);
    }
    finally {
        writeFileSync(path, text);
    }
}

function mutateAll(folder: string, mutations: readonly Mutation[]): number {
    const tests = new Set(mutations.flatMap(mutation => mutation.tests));
    const failing = findFailing(folder, [...tests]);
    if (failing.length > 0) {
        console.error(`fails without a mutation: ${failing.join(", ")}`);
        return 1;
    }
    const unnoticed = mutations.filter(mutation => {
        const noticing = findNoticing(folder, mutation);
        console.log(`${mutation.name} | ${noticing.length === 0 ? "NOT NOTICED" : noticing.join(", ")}`);
        return noticing.length === 0;
    });
    console.log(`${mutations.length - unnoticed.length} of ${mutations.length} noticed`);
    return unnoticed.length === 0 ? 0 : 1;
}

const parts = process.argv.slice(2);
const chosen = MUTATIONS.filter(({ name }) => parts.length === 0 || parts.some(part => name.includes(part)));
const build = checkOutBuild("HEAD");
try {
    process.exitCode = mutateAll(build.folder, chosen);
}
finally {
    build.remove();
}
