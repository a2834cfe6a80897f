/**
 * Generates validators and types from the JSON Schemas in `schema/` into `src/generated/`.
 *
 * Run with `npm run generate`. With `--check` it writes nothing and fails when a committed file differs.
 *
 * @module
 */
import { jsonSchemaToZod } from "json-schema-to-zod";
import { mkdir, readdir, readFile, writeFile } from "node:fs/promises";
import { basename, join } from "node:path";

const SCHEMA_FOLDER = "schema";
const OUTPUT_FOLDER = join("src", "generated");
const SCHEMA_SUFFIX = ".schema.json";

interface SchemaFile {
    readonly title: string;
    readonly $defs: Readonly<Record<string, Record<string, unknown>>>;
}

function constantName(definition: string): string {
    return `${definition.charAt(0).toLowerCase()}${definition.slice(1)}Schema`;
}

function referencedDefinition(schema: unknown): string | undefined {
    const reference = (schema as { $ref?: unknown; }).$ref;
    if (typeof reference !== "string") {
        return undefined;
    }
    return reference.replace("#/$defs/", "");
}

function zodExpression(schema: Record<string, unknown>): string {
    const code = jsonSchemaToZod(schema, {
        module: "none",
        noImport: true,
        zodVersion: 4,
        parserOverride: part => {
            const definition = referencedDefinition(part);
            return definition === undefined
                ? undefined
                : referenceExpression(definition, part as { default?: unknown; });
        },
    });
    return code.trim();
}

function referenceExpression(definition: string, schema: { readonly default?: unknown; }): string {
    const name = constantName(definition);
    return schema.default === undefined
        ? name
        : `${name}.${typeof schema.default === "object" ? "prefault" : "default"}(${JSON.stringify(schema.default)})`;
}

function renderDefinition(name: string, schema: Record<string, unknown>): string {
    const constant = constantName(name);
    const description = typeof schema.description === "string" ? schema.description : `${name}.`;
    return [
        `/** Validates: ${description} */`,
        `export const ${constant} = ${zodExpression(schema)};`,
        `/** ${description} */`,
        `export type ${name} = z.infer<typeof ${constant}>;`,
        "",
    ].join("\n");
}

/** Renders the TypeScript module of one schema file; definitions must stand before their first use. */
function renderModule(fileName: string, file: SchemaFile): string {
    const definitions = Object.entries(file.$defs).map(([name, schema]) => renderDefinition(name, schema));
    return [
        "/**",
        ` * ${file.title}`,
        " *",
        ` * Generated from \`schema/${fileName}\` by \`npm run generate\`; do not edit.`,
        " *",
        " * @module",
        " */",
        "import { z } from \"zod\";",
        "",
        ...definitions,
    ].join("\n");
}

async function generate(check: boolean): Promise<readonly string[]> {
    const differing: string[] = [];
    await mkdir(OUTPUT_FOLDER, { recursive: true });
    const fileNames = (await readdir(SCHEMA_FOLDER)).filter(name => name.endsWith(SCHEMA_SUFFIX)).sort();
    for (const fileName of fileNames) {
        const file = JSON.parse(await readFile(join(SCHEMA_FOLDER, fileName), "utf8")) as SchemaFile;
        const output = join(OUTPUT_FOLDER, `${basename(fileName, SCHEMA_SUFFIX)}.ts`);
        const wanted = renderModule(fileName, file);
        const present = await readFile(output, "utf8").catch(() => undefined);
        if (present === wanted) {
            continue;
        }
        differing.push(output);
        if (!check) {
            await writeFile(output, wanted);
        }
    }
    return differing;
}

const check = process.argv.includes("--check");
const differing = await generate(check);
for (const output of differing) {
    console.log(check ? `differs from its schema: ${output}` : `written: ${output}`);
}
process.exitCode = check && differing.length > 0 ? 1 : 0;
