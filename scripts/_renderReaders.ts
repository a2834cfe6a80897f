/**
 * Renders readers of parsed JSON from JSON Schemas: plain functions that accept what most messages are, without the
 * preparation that a schema needs before its first use.
 *
 * @module
 */

/** The parts of a schema that readers check; one with another part cannot be rendered. */
interface ReadableSchema {
    readonly $ref?: string;
    readonly type?: string;
    readonly const?: string | boolean;
    readonly enum?: readonly string[];
    readonly minimum?: number;
    readonly minLength?: number;
    readonly pattern?: string;
    readonly default?: unknown;
    readonly maxItems?: number;
    readonly items?: ReadableSchema;
    readonly additionalProperties?: ReadableSchema;
    readonly properties?: Readonly<Record<string, ReadableSchema>>;
    readonly required?: readonly string[];
}

const CHECKED_PARTS: ReadonlySet<string> = new Set([
    "$ref",
    "type",
    "const",
    "enum",
    "minimum",
    "minLength",
    "pattern",
    "default",
    "maxItems",
    "items",
    "additionalProperties",
    "properties",
    "required",
]);

const LOCAL_DEFINITION = "#/$defs/";

/** Names of the functions of `src/platform/plainValues.ts`. */
const HELPERS = ["isBoolean", "isFields", "isInteger", "isList", "isMap", "isNumber", "isString", "readList"];

/** Parameter of a reader; no field has this name. */
const PARAMETER = "input";

function capitalize(text: string): string {
    return `${text.charAt(0).toUpperCase()}${text.slice(1)}`;
}

function readerName(definition: string): string {
    return `read${definition}`;
}

function checkParts(schema: ReadableSchema, path: string): void {
    for (const part of Object.keys(schema)) {
        if (!CHECKED_PARTS.has(part) && part !== "description" && !part.startsWith("x-")) {
            throw new Error(`${path}: a reader does not check "${part}"`);
        }
    }
}

/** Returns the condition under which a value without objects fits its schema; `undefined` for other schemas. */
function conditionOf(schema: ReadableSchema, value: string): string | undefined {
    const minimum = schema.minimum ?? Number.NEGATIVE_INFINITY;
    const accepted = schema.const === undefined ? schema.enum : [schema.const];
    if (accepted !== undefined) {
        return accepted.map(each => `${value} === ${JSON.stringify(each)}`).join(" || ");
    }
    switch (schema.type) {
        case "string":
            return conditionOfString(schema, value);
        case "boolean":
            return `isBoolean(${value})`;
        case "integer":
            return `isInteger(${value}, ${minimum})`;
        case "number":
            return `isNumber(${value}, ${minimum})`;
        case "array":
            return conditionOfItems(schema.items, `isList(${value}, ${maximumItems(schema)}, `);
        case "object":
            return conditionOfItems(schema.additionalProperties, `isMap(${value}, `);
        default:
            return undefined;
    }
}

/** Returns the condition under which a value is a string of the schema's length and form. */
function conditionOfString({ minLength, pattern }: ReadableSchema, value: string): string {
    return [
        `isString(${value})`,
        ...minLength === undefined ? [] : [`${value}.length >= ${minLength}`],
        ...pattern === undefined ? [] : [`new RegExp(${JSON.stringify(pattern)}).test(${value})`],
    ].join(" && ");
}

/** Returns the condition that completes a call with a check of each item. */
function conditionOfItems(items: ReadableSchema | undefined, call: string): string | undefined {
    const condition = items === undefined ? undefined : conditionOf(items, "each");
    if (condition === undefined) {
        return undefined;
    }
    return `${call}${condition === "isString(each)" ? "isString" : `each => ${condition}`})`;
}

function maximumItems({ maxItems }: ReadableSchema): string {
    return maxItems === undefined ? "Number.POSITIVE_INFINITY" : String(maxItems);
}

/** Renders the readers of one definition: of itself, and of the objects within it. */
class DefinitionReaders {
    readonly rendered: string[] = [];

    /** Renders the reader of an object and returns the function's name. */
    addObject(name: string, type: string, schema: ReadableSchema): string {
        const { properties = {}, required = [] } = schema;
        const names = Object.entries(properties).map(([field, property]) =>
            property.default === undefined ? field : `${field} = ${JSON.stringify(property.default)}`
        );
        const parts: string[] = [];
        const conditions: string[] = [];
        const present: string[] = [];
        const optional: string[] = [];
        for (const [field, property] of Object.entries(properties)) {
            checkParts(property, `${name}.${field}`);
            const isRequired = required.includes(field) || property.default !== undefined;
            const condition = conditionOf(property, field);
            const result = condition === undefined ? `${field}Read` : field;
            if (condition === undefined) {
                const call = this.#call(`${name}${capitalize(field)}`, `${type}["${field}"]`, property, field);
                parts.push(
                    `    const ${result} = ${isRequired ? call : `${field} === undefined ? undefined : ${call}`};`,
                );
                conditions.push(
                    isRequired ? `${result} !== undefined` : `(${field} === undefined || ${result} !== undefined)`,
                );
            }
            else {
                const whole = condition.includes(" || ") ? `(${condition})` : condition;
                conditions.push(isRequired ? whole : `(${field} === undefined || ${condition})`);
            }
            if (isRequired) {
                present.push(result === field ? field : `${field}: ${result}`);
            }
            else {
                optional.push(`    if (${result} !== undefined) {\n        read.${field} = ${result};\n    }`);
            }
        }
        this.rendered.push([
            `function ${readerName(name)}(${PARAMETER}: unknown): ${type} | undefined {`,
            `    if (!isFields(${PARAMETER})) {\n        return undefined;\n    }`,
            `    const { ${names.join(", ")} } = ${PARAMETER};`,
            ...parts,
            `    if (!(${conditions.join("\n        && ")})) {\n        return undefined;\n    }`,
            `    const read: ${type} = { ${present.join(", ")} };`,
            ...optional,
            "    return read;",
            "}",
        ].join("\n"));
        return readerName(name);
    }

    /** Returns the call that reads a value with objects. */
    #call(name: string, type: string, schema: ReadableSchema, value: string): string {
        if (schema.items === undefined) {
            return `${this.#reader(name, type, schema)}(${value})`;
        }
        const item = this.#reader(`${name}Item`, `NonNullable<${type}>[number]`, schema.items);
        return `readList(${value}, ${maximumItems(schema)}, ${item})`;
    }

    /** Returns the name of the function that reads an object. */
    #reader(name: string, type: string, schema: ReadableSchema): string {
        checkParts(schema, name);
        if (schema.$ref?.startsWith(LOCAL_DEFINITION) === true) {
            return readerName(schema.$ref.slice(LOCAL_DEFINITION.length));
        }
        if (schema.properties === undefined) {
            throw new Error(`${name}: a reader cannot be rendered`);
        }
        return this.addObject(name, `NonNullable<${type}>`, schema);
    }
}

/** Renders the table of the readers of messages, by type; nothing where there are no messages. */
function renderMessageReaders(definitions: Readonly<Record<string, ReadableSchema>>): string[] {
    const entries = Object.entries(definitions).flatMap(([name, { properties = {} }]) => {
        const type = properties["type"]?.const;
        return typeof type !== "string" ? [] : [`    ${JSON.stringify(type)}: ${readerName(name)},`];
    });
    return entries.length === 0
        ? []
        : [["/** The readers of messages, by type. */", "export const messageReaders = {", ...entries, "};"].join(
            "\n",
        )];
}

/**
 * Renders the readers of all definitions of a file.
 *
 * @param definitions The definitions by name.
 * @param helpersPath Path of `src/platform` from the rendered module.
 *
 * @example
 * ```ts
 * const { imports, readers } = renderReaders(file.$defs, "../platform");
 * ```
 */
export function renderReaders(definitions: Readonly<Record<string, ReadableSchema>>, helpersPath: string): {
    readonly imports: readonly string[];
    readonly readers: readonly string[];
} {
    const readers = Object.entries(definitions).flatMap(([name, schema]) => {
        checkParts(schema, name);
        const ofDefinition = new DefinitionReaders();
        ofDefinition.addObject(name, name, schema);
        const own = ofDefinition.rendered.pop() ?? "";
        const comment = `/** Reads most values that {@linkcode ${name}} describes; \`undefined\` for others. */`;
        return [...ofDefinition.rendered, `${comment}\nexport ${own}`];
    });
    const text = readers.join("\n");
    const used = HELPERS.filter(helper => text.includes(`${helper}(`) || text.includes(`, ${helper})`));
    return {
        imports: [`import { ${used.join(", ")} } from "${helpersPath}/plainValues.js";`],
        readers: [...readers, ...renderMessageReaders(definitions)].map(reader => `${reader}\n`),
    };
}
