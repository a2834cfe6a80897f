/**
 * The schema by which a build reads messages and records, read from its JSON Schema file.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";

const REFERENCE_PREFIX = "#/$defs/";

/** The parts of JSON Schema that the files use. */
interface SchemaPart {
    readonly $ref?: string;
    readonly type?: string;
    readonly const?: unknown;
    readonly enum?: readonly unknown[];
    readonly minimum?: number;
    readonly items?: SchemaPart;
    readonly properties?: Readonly<Record<string, SchemaPart>>;
    readonly additionalProperties?: boolean | SchemaPart;
}

interface SchemaFile {
    readonly $defs: Readonly<Record<string, SchemaPart>>;
}

type Fields = Readonly<Record<string, unknown>>;

/**
 * Reads strictly, as builds up to df42b71 do, or only keeps what the schema names.
 *
 * @example
 * ```ts
 * const schema = new MessageSchema("tests/builds/591b959/gossip.schema.json");
 * schema.read("HostDigest", value);
 * ```
 */
export class MessageSchema {
    readonly #definitions: SchemaFile["$defs"];
    readonly #readers = new Map<string, z.ZodType>();
    /** The definition of each message type. */
    readonly messageTypes: ReadonlyMap<string, string>;

    constructor(path: string) {
        this.#definitions = (JSON.parse(readFileSync(path, "utf8")) as SchemaFile).$defs;
        this.messageTypes = new Map(
            Object.entries(this.#definitions).flatMap(([name, { properties }]) => {
                const type = properties?.["type"]?.const;
                return typeof type === "string" ? [[type, name]] : [];
            }),
        );
    }

    has(definition: string): boolean {
        return definition in this.#definitions;
    }

    /** Returns why a value does not fit a definition; `undefined` where it does. */
    findProblem(definition: string, value: unknown): string | undefined {
        const parsed = this.#readerOf(definition).safeParse(value);
        return parsed.success ? undefined : z.prettifyError(parsed.error);
    }

    /** Returns why a message does not fit; `undefined` where it does. */
    findMessageProblem(message: unknown): string | undefined {
        const type = (message as Fields | undefined)?.["type"];
        const definition = this.messageTypes.get(String(type));
        return definition === undefined ? `unknown type ${String(type)}` : this.findProblem(definition, message);
    }

    /** Returns a value without the fields that the definition does not name. */
    keepKnownFields(definition: string, value: unknown): unknown {
        return this.#keep({ $ref: REFERENCE_PREFIX + definition }, value);
    }

    /** Returns a value with every field of a definition. */
    createFullExample(definition: string): Fields {
        return this.#create({ $ref: REFERENCE_PREFIX + definition }) as Fields;
    }

    #readerOf(definition: string): z.ZodType {
        const reader = this.#readers.get(definition)
            ?? z.fromJSONSchema({ $defs: this.#definitions, $ref: REFERENCE_PREFIX + definition } as never);
        this.#readers.set(definition, reader);
        return reader;
    }

    #resolve(part: SchemaPart): SchemaPart {
        return part.$ref === undefined ? part : this.#definitions[part.$ref.slice(REFERENCE_PREFIX.length)] ?? {};
    }

    #keep(reference: SchemaPart, value: unknown): unknown {
        const { items, properties } = this.#resolve(reference);
        if (Array.isArray(value) && items !== undefined) {
            return value.map(item => this.#keep(items, item));
        }
        if (properties === undefined) {
            return value;
        }
        const known = Object.entries(value as Fields).flatMap(([name, field]) => {
            const part = properties[name];
            return part === undefined ? [] : [[name, this.#keep(part, field)]];
        });
        return Object.fromEntries(known) as unknown;
    }

    #create(reference: SchemaPart): unknown {
        const part = this.#resolve(reference);
        if (part.const !== undefined || part.enum !== undefined) {
            return part.const ?? part.enum?.[0];
        }
        switch (part.type) {
            case "string":
                return "text";
            case "boolean":
                return true;
            case "array":
                return part.items === undefined ? [] : [this.#create(part.items)];
            case "object":
                return this.#createObject(part);
            default:
                return part.minimum ?? 1;
        }
    }

    #createObject({ additionalProperties, properties = {} }: SchemaPart): Fields {
        const fields = Object.entries(properties).map(([name, part]) => [name, this.#create(part)]);
        return typeof additionalProperties === "object"
            ? { name: this.#create(additionalProperties) }
            : Object.fromEntries(fields) as Fields;
    }
}
