/**
 * Bundles the program as the build does, into a temporary folder.
 *
 * @module
 */
import { build } from "esbuild";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Options of Node.js under which `deploy/system.toml` runs the program. */
export const NODE_OPTIONS: readonly string[] = [
    "--single-threaded",
    "--max-old-space-size=160",
    "--max-semi-space-size=8",
];

/** A bundled program. */
export interface BundledProgram {
    readonly folder: string;
    /** Path of the script that starts the program. */
    readonly launcher: string;
    /** Path at which the build stores the program's compiled code. */
    readonly compiled: string;
    close(): void;
}

/** Bundles the program, without compiled code. */
export async function bundleProgram(): Promise<BundledProgram> {
    const folder = mkdtempSync(join(tmpdir(), "bundled-"));
    const bundle = (source: string, name: string): Promise<unknown> => {
        const outfile = join(folder, name);
        return build({ entryPoints: [source], outfile, bundle: true, platform: "node", format: "cjs" });
    };
    await bundle("platform/program.ts", "flamingospread.program.cjs");
    await bundle("platform/launch.ts", "flamingospread.cjs");
    return {
        folder,
        launcher: join(folder, "flamingospread.cjs"),
        compiled: join(folder, "flamingospread.program.compiled"),
        close: () => rmSync(folder, { recursive: true }),
    };
}
