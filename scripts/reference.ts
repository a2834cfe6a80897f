/**
 * Writes `docs/TEXT.md`, the reference of the deployment configuration and of a host's settings, from their schemas.
 *
 * Run with `npx tsx scripts/reference.ts`; a test checks that the committed page is up to date.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import { pathToFileURL } from "node:url";

/** Path of the reference page. */
export const REFERENCE_PAGE = "docs/TEXT.md";

interface Schema {
    readonly type?: string;
    readonly description?: string;
    readonly $ref?: string;
    readonly enum?: readonly string[];
    readonly pattern?: string;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly minLength?: number;
    readonly minItems?: number;
    readonly default?: unknown;
    readonly items?: Schema;
    readonly required?: readonly string[];
    readonly properties?: Readonly<Record<string, Schema>>;
}

interface SchemaFile {
    readonly title: string;
    readonly $defs: Readonly<Record<string, Schema>>;
}

const INTRODUCTION = `# The operators' text and a host's settings

Both are JSON with comments; trailing commas are allowed, a key that stands twice is not. Unknown keys are refused. This page is written from \`schema/\` by \`npx tsx scripts/reference.ts\`, and a test compares it. Complete texts: [sakan.jsonc](../examples/sakan.jsonc), [arrieta.jsonc](../examples/arrieta.jsonc); settings: [host.jsonc](../examples/host.jsonc).

Beyond what the tables say, a text is refused when

- two zones, pools, engines, models, adapters or services have one name, two engines one URL; models, adapters and services share one set of names;
- a name refers to something that the text does not list, or services depend on each other in a circle;
- a URL names its host by anything but an IP number, or ends in a slash;
- a service has urls and no calls, or calls and no urls;
- a role leaves no memory on an engine; a model fits on no engine of its pools, or on fewer than it needs copies; an adapter fits on no engine beside its model;
- the list provably cannot be resident: models that may only go to some pools need more memory than these have, or a complete search finds no placement. A search that reaches its bound proves nothing, and the text is accepted;
- its record would be larger than the key-value service holds.
`;

function referenceName(schema: Schema): string | undefined {
    return schema.$ref?.replace("#/$defs/", "");
}

function describeType(schema: Schema): string {
    const reference = referenceName(schema);
    if (reference !== undefined) {
        return `[${reference}](#${reference.toLowerCase()})`;
    }
    if (schema.type === "array") {
        return `list of ${describeType(schema.items ?? {})}`;
    }
    return schema.type ?? (schema.enum === undefined ? "any" : "text");
}

function describeBounds(schema: Schema): string {
    const bounds = [
        schema.enum?.map(value => `\`${value}\``).join(" or "),
        schema.pattern === undefined ? undefined : `matches \`${schema.pattern.replaceAll("|", "\\|")}\``,
        schema.minimum === undefined ? undefined : `at least ${schema.minimum}`,
        schema.exclusiveMinimum === undefined ? undefined : `more than ${schema.exclusiveMinimum}`,
        schema.maximum === undefined ? undefined : `at most ${schema.maximum}`,
        schema.minLength === undefined ? undefined : "not empty",
        schema.minItems === undefined ? undefined : `at least ${schema.minItems} in the list`,
    ];
    return bounds.filter(bound => bound !== undefined).join(", ");
}

function describeRequirement(schema: Schema, required: boolean): string {
    if (required) {
        return "required";
    }
    return schema.default === undefined ? "optional" : `\`${JSON.stringify(schema.default)}\``;
}

function renderProperties(schema: Schema, prefix: string): string[] {
    return Object.entries(schema.properties ?? {}).flatMap(([key, property]) => {
        const requirement = describeRequirement(property, schema.required?.includes(key) === true);
        const cells = [`\`${prefix}${key}\``, describeType(property), requirement, describeBounds(property)];
        const row = `| ${[...cells, property.description ?? ""].join(" | ")} |`;
        return [row, ...renderProperties(property, `${prefix}${key}.`)];
    });
}

function renderDefinition(name: string, schema: Schema): string {
    const heading = [`### ${name}`, "", schema.description ?? "", ""];
    if (schema.properties === undefined) {
        return [...heading, `One of ${describeBounds(schema)}.`, ""].join("\n");
    }
    const table = ["| key | type | needed or default | bounds | meaning |", "|---|---|---|---|---|"];
    return [...heading, ...table, ...renderProperties(schema, ""), ""].join("\n");
}

function renderFile(heading: string, fileName: string): string {
    const file = JSON.parse(readFileSync(fileName, "utf8")) as SchemaFile;
    const definitions = Object.entries(file.$defs).reverse();
    return [`## ${heading}`, "", file.title, "", ...definitions.map(([name, schema]) => renderDefinition(name, schema))]
        .join("\n");
}

/**
 * Renders the reference page.
 *
 * @example
 * ```ts
 * console.log(renderReferencePage());
 * ```
 */
export function renderReferencePage(): string {
    return [
        INTRODUCTION,
        renderFile("The operators' text", "schema/deployment.schema.json"),
        renderFile("Settings of a host", "schema/settings.schema.json"),
    ].join("\n");
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    writeFileSync(REFERENCE_PAGE, renderReferencePage());
}
