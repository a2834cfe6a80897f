/**
 * Generates validators and types from the JSON Schemas in `schema/` into `src/generated/`, and from those that name the
 * platform's fields, in `platform/schema/`, into `platform/generated/`.
 *
 * Run with `npm run generate`. With `--check` it writes nothing and fails where a committed file differs.
 *
 * @module
 */
import { jsonSchemaToZod } from "json-schema-to-zod";
import { mkdir, readdir, readFile, writeFile } from "node:fs/promises";
import { basename, join } from "node:path";
import { renderReaders } from "./_renderReaders.js";

/** A folder of schemas, and where what is generated from them is written. */
interface SchemaFolder {
    readonly schemas: string;
    readonly output: string;
    /** Path of `src/platform` from there. */
    readonly helpersPath: string;
}

const SCHEMA_FOLDERS: readonly SchemaFolder[] = [
    { schemas: "schema", output: join("src", "generated"), helpersPath: "../platform" },
    {
        schemas: join("platform", "schema"),
        output: join("platform", "generated"),
        helpersPath: "../../src/platform",
    },
];
const SCHEMA_SUFFIX = ".schema.json";
/** Maps are checked by a schema of this project's, which stops at the first faulty value. */
const RECORD_BEGINNING = "z.record(z.string(), ";
const DEFINITIONS_POINTER = "#/$defs/";

interface SchemaFile {
    readonly title: string;
    /** True where other builds write what the file describes: its readers must ignore fields that they do not know. */
    readonly "x-sharedBetweenBuilds"?: boolean;
    /** True where plain readers are rendered beside the schemas, for values that are read often. */
    readonly "x-plainReaders"?: boolean;
    readonly $defs: Readonly<Record<string, Record<string, unknown>>>;
}

function constantName(definition: string): string {
    return `${definition.charAt(0).toLowerCase()}${definition.slice(1)}Schema`;
}

interface Reference {
    /** Schema file that contains the definition; empty for the same file. */
    readonly fileName: string;
    readonly definition: string;
}

function parseReference(schema: unknown): Reference | undefined {
    const reference = (schema as { $ref?: unknown; }).$ref;
    if (typeof reference !== "string") {
        return undefined;
    }
    const [fileName = "", definition = ""] = reference.split(DEFINITIONS_POINTER);
    return { fileName, definition };
}

function zodExpression(schema: Record<string, unknown>, onReference: (reference: Reference) => void): string {
    const code = jsonSchemaToZod(schema, {
        module: "none",
        noImport: true,
        zodVersion: 4,
        parserOverride: part => {
            const reference = parseReference(part);
            if (reference === undefined) {
                return undefined;
            }
            onReference(reference);
            return referenceExpression(reference.definition, part as { default?: unknown; });
        },
    });
    return code.trim().replaceAll(RECORD_BEGINNING, "mapOf(");
}

function referenceExpression(definition: string, schema: { readonly default?: unknown; }): string {
    const name = constantName(definition);
    return schema.default === undefined
        ? name
        : `${name}.${typeof schema.default === "object" ? "prefault" : "default"}(${JSON.stringify(schema.default)})`;
}

function renderDefinition(
    name: string,
    schema: Record<string, unknown>,
    onReference: (reference: Reference) => void,
): string {
    const constant = constantName(name);
    const description = typeof schema.description === "string" ? schema.description : `${name}.`;
    return [
        `/** Validates: ${description} */`,
        `export const ${constant} = ${zodExpression(schema, onReference)};`,
        `/** ${description} */`,
        `export type ${name} = z.infer<typeof ${constant}>;`,
        "",
    ].join("\n");
}

/** The message formats that introduced a value's later parts; `undefined` where it has none. */
interface PartFormats {
    readonly since?: number;
    readonly fields?: Readonly<Record<string, PartFormats>>;
    readonly items?: PartFormats;
}

/** The parts of a schema that lead to annotations. */
interface AnnotatedSchema {
    readonly "x-since"?: number;
    readonly $ref?: string;
    readonly properties?: Readonly<Record<string, AnnotatedSchema>>;
    readonly items?: AnnotatedSchema;
    readonly const?: unknown;
}

/** Collects the annotations of a schema and of what it refers to. */
function collectFormats(file: SchemaFile, schema: AnnotatedSchema): PartFormats | undefined {
    const reference = parseReference(schema);
    const target: AnnotatedSchema = reference === undefined ? schema : file.$defs[reference.definition] ?? {};
    const since = schema["x-since"] ?? target["x-since"];
    const items = target.items === undefined ? undefined : collectFormats(file, target.items);
    const fields = Object.entries(target.properties ?? {}).flatMap(([name, property]) => {
        const formats = collectFormats(file, property);
        return formats === undefined ? [] : [[name, formats] as const];
    });
    if (since === undefined && items === undefined && fields.length === 0) {
        return undefined;
    }
    return {
        ...since === undefined ? {} : { since },
        ...items === undefined ? {} : { items },
        ...fields.length === 0 ? {} : { fields: Object.fromEntries(fields) },
    };
}

/** Renders the formats of all message types of a file; nothing where it has no annotation. */
function renderFormats(file: SchemaFile): string[] {
    const formats = Object.values(file.$defs).flatMap((schema: AnnotatedSchema) => {
        const type = schema.properties?.["type"]?.const;
        const collected = typeof type === "string" ? collectFormats(file, schema) : undefined;
        return typeof type === "string" && collected !== undefined ? [[type, collected] as const] : [];
    });
    return formats.length === 0 ? [] : [
        "/** The message formats that introduced message types and their later fields, by type. */",
        `export const messageFormats = ${JSON.stringify(Object.fromEntries(formats))} as const;`,
        "",
    ];
}

/** Renders the TypeScript module of one schema file, in which a definition must precede its first use. */
function renderModule({ helpersPath, schemas }: SchemaFolder, fileName: string, file: SchemaFile): string {
    const imports = new Set<string>();
    function importDefinition(reference: Reference): void {
        if (reference.fileName !== "") {
            const module = basename(reference.fileName, SCHEMA_SUFFIX);
            imports.add(`import { ${constantName(reference.definition)} } from "./${module}.js";`);
        }
    }
    const definitions = Object.entries(file.$defs).map(([name, schema]) =>
        renderDefinition(name, schema, importDefinition)
    );
    const { imports: readerImports, readers } = file["x-plainReaders"] === true
        ? renderReaders(file.$defs, helpersPath)
        : { imports: [], readers: [] };
    const mapImports = definitions.some(text => text.includes("mapOf("))
        ? [`import { mapOf } from "${helpersPath}/mapOf.js";`]
        : [];
    return [
        "/**",
        ` * ${file.title}`,
        " *",
        ` * Generated from \`${schemas}/${fileName}\` by \`npm run generate\`; do not edit.`,
        " *",
        " * @module",
        " */",
        "import * as z from \"zod\";",
        ...[...imports].sort(),
        ...mapImports,
        ...readerImports,
        "",
        ...definitions,
        ...readers,
        ...renderFormats(file),
    ].join("\n");
}

/** Throws where a reader of what other builds write would be strict. */
function checkSharedFile(fileName: string, file: SchemaFile): void {
    if (file["x-sharedBetweenBuilds"] === true && JSON.stringify(file).includes("\"additionalProperties\":false")) {
        throw new Error(`${fileName}: "additionalProperties": false would make messages of later builds unreadable`);
    }
}

async function generate(folder: SchemaFolder, check: boolean): Promise<readonly string[]> {
    const differing: string[] = [];
    await mkdir(folder.output, { recursive: true });
    const fileNames = (await readdir(folder.schemas)).filter(name => name.endsWith(SCHEMA_SUFFIX)).sort();
    for (const fileName of fileNames) {
        const file = JSON.parse(await readFile(join(folder.schemas, fileName), "utf8")) as SchemaFile;
        checkSharedFile(fileName, file);
        const output = join(folder.output, `${basename(fileName, SCHEMA_SUFFIX)}.ts`);
        const generated = renderModule(folder, fileName, file);
        const committed = await readFile(output, "utf8").catch(() => undefined);
        if (committed === generated) {
            continue;
        }
        differing.push(output);
        if (!check) {
            await writeFile(output, generated);
        }
    }
    return differing;
}

const check = process.argv.includes("--check");
const differing = (await Promise.all(SCHEMA_FOLDERS.map(folder => generate(folder, check)))).flat();
for (const output of differing) {
    console.log(check ? `differs from its schema: ${output}` : `written: ${output}`);
}
process.exitCode = check && differing.length > 0 ? 1 : 0;
