/**
 * Runs a stand-in as a process of its own.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { type z } from "zod";
import { type StandIn } from "./_server.js";

function readValue(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
}

/** Reads `--name value` pairs; a value that is JSON is taken as such. */
function readArguments(words: readonly string[]): Record<string, unknown> {
    const values: Record<string, unknown> = {};
    for (let index = 0; index + 1 < words.length; index += 2) {
        const name = (words[index] ?? "").replace(/^--/, "");
        const key = name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
        values[key] = readValue(words[index + 1] ?? "");
    }
    return values;
}

/**
 * Starts a stand-in with the options of the command line where its module is the process's main module.
 *
 * Prints `{"listening": port}` on one line once it takes connections.
 *
 * @param moduleUrl The stand-in's `import.meta.url`.
 * @param schema Checks the options.
 * @param start Starts the stand-in.
 *
 * @example
 * ```ts
 * await runAsProcess(import.meta.url, optionsSchema, startHostListStandIn);
 * ```
 */
export async function runAsProcess<Schema extends z.ZodType>(
    moduleUrl: string,
    schema: Schema,
    start: (options: z.infer<Schema>) => Promise<StandIn>,
): Promise<void> {
    if (process.argv[1] === undefined || fileURLToPath(moduleUrl) !== process.argv[1]) {
        return;
    }
    const standIn = await start(schema.parse(readArguments(process.argv.slice(2))));
    console.log(JSON.stringify({ listening: standIn.port }));
    process.once("SIGTERM", () => {
        void standIn.close().finally(() => process.exit(0));
    });
}
