/**
 * Runs a stand-in as a separate process.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { type z } from "zod";
import { type StandIn } from "./_server.js";

function parseValue(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
}

/** Parses `--name value` pairs into options; a value that is not JSON is a string. */
function parseArguments(commandArguments: readonly string[]): Record<string, unknown> {
    const values: Record<string, unknown> = {};
    for (let index = 0; index + 1 < commandArguments.length; index += 2) {
        const name = (commandArguments[index] ?? "").replace(/^--/, "");
        const key = name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
        values[key] = parseValue(commandArguments[index + 1] ?? "");
    }
    return values;
}

/**
 * Starts a stand-in with the options of the command line, if its module is the main module of the process.
 *
 * Prints `{"listening": port}` on one line once it accepts connections.
 *
 * @param moduleUrl The stand-in's `import.meta.url`.
 * @param schema Validates the options.
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
    const standIn = await start(schema.parse(parseArguments(process.argv.slice(2))));
    console.log(JSON.stringify({ listening: standIn.port }));
    process.once("SIGTERM", () => {
        void standIn.close().finally(() => process.exit(0));
    });
}
