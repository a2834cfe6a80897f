/**
 * Checks a commit of this repository out into a temporary folder and installs the packages of its own lock file.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** The sources of a commit; `remove` deletes the folder. */
export interface BuildOfCommit {
    readonly folder: string;
    remove(): void;
}

/**
 * Checks a commit out.
 *
 * @param commit Any name that git knows.
 * @returns The folder, with its packages installed.
 * @throws If git or npm fails.
 *
 * @example
 * ```ts
 * const build = checkOutBuild("df42b71");
 * build.remove();
 * ```
 */
export function checkOutBuild(commit: string): BuildOfCommit {
    const folder = mkdtempSync(join(tmpdir(), "flamingospread-build-"));
    const remove = (): void => {
        rmSync(folder, { recursive: true, force: true });
        execFileSync("git", ["worktree", "prune"]);
    };
    try {
        execFileSync("git", ["worktree", "add", "--quiet", "--detach", folder, commit]);
        const options = ["--ignore-scripts", "--prefer-offline", "--no-audit", "--no-fund", "--silent"];
        execFileSync("npm", ["ci", ...options], { cwd: folder });
    }
    catch (error) {
        remove();
        throw error;
    }
    return { folder, remove };
}
