/**
 * Parses JSON with comments and keeps the position of each value.
 *
 * @module
 */
import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { type TextProblem } from "./problems.js";

const MAXIMUM_VALUE_CHARACTERS = 80;

/** Keys and indices from the root to a value. */
export type TextPath = readonly (string | number)[];

/** Description of a problem, without its position. */
export interface ProblemDescription {
    readonly message: string;
    readonly allowed: string;
}

function renderPath(path: TextPath): string {
    return path.map(part => typeof part === "number" ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");
}

function shorten(value: unknown): string {
    const rendered = value === undefined ? "nothing" : JSON.stringify(value);
    return rendered.length > MAXIMUM_VALUE_CHARACTERS
        ? `${rendered.slice(0, MAXIMUM_VALUE_CHARACTERS)}...`
        : rendered;
}

/** A parsed document in JSON with comments. */
export class TextDocument {
    readonly #text: string;
    readonly #fileName: string;
    readonly #root: Node | undefined;
    readonly #errors: ParseError[] = [];

    constructor(text: string, fileName: string) {
        this.#text = text;
        this.#fileName = fileName;
        this.#root = parseTree(text, this.#errors, { allowTrailingComma: true });
    }

    /** Returns the value of the whole document. */
    value(): unknown {
        return this.#root === undefined ? undefined : getNodeValue(this.#root) as unknown;
    }

    /** Returns a problem for each syntax error and each duplicate key. */
    syntaxProblems(): TextProblem[] {
        if (this.#root === undefined) {
            return [{ ...this.#positionOf(0), path: "", message: "The text is empty", allowed: "a JSON object" }];
        }
        const parseProblems = this.#errors.map(error => ({
            ...this.#positionOf(error.offset),
            path: "",
            message: `Syntax error: ${printParseErrorCode(error.error)}`,
            value: shorten(this.#text.slice(error.offset, error.offset + error.length)),
            allowed: "JSON with comments and trailing commas",
        }));
        return [...parseProblems, ...this.#duplicateKeys(this.#root, [])];
    }

    /**
     * Creates a problem for the value at a path, or at the nearest enclosing value where the path does not exist.
     *
     * @param path Path of the value.
     * @param description What is wrong.
     */
    problemAt(path: TextPath, description: ProblemDescription): TextProblem {
        const node = this.#find(path);
        const nearest = node ?? this.#nearestExisting(path);
        return {
            ...this.#positionOf(nearest?.offset ?? 0),
            path: renderPath(path),
            ...(node === undefined ? {} : { value: shorten(getNodeValue(node)) }),
            ...description,
        };
    }

    /**
     * Creates a problem for a key.
     *
     * @param path Path of the value under the key.
     * @param description What is wrong.
     */
    problemAtKey(path: TextPath, description: ProblemDescription): TextProblem {
        const key = this.#find(path)?.parent?.children?.[0];
        return {
            ...this.#positionOf(key?.offset ?? 0),
            path: renderPath(path),
            value: shorten(path.at(-1)),
            ...description,
        };
    }

    #find(path: TextPath): Node | undefined {
        return this.#root === undefined ? undefined : findNodeAtLocation(this.#root, [...path]);
    }

    #nearestExisting(path: TextPath): Node | undefined {
        for (let length = path.length - 1; length >= 0; length -= 1) {
            const node = this.#find(path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return this.#root;
    }

    #positionOf(offset: number): Pick<TextProblem, "fileName" | "line" | "column"> {
        const before = this.#text.slice(0, offset);
        const lineStart = before.lastIndexOf("\n") + 1;
        return { fileName: this.#fileName, line: before.split("\n").length, column: offset - lineStart + 1 };
    }

    #duplicateKeys(node: Node, path: TextPath): TextProblem[] {
        const children = node.children ?? [];
        if (node.type === "array") {
            return children.flatMap((child, index) => this.#duplicateKeys(child, [...path, index]));
        }
        if (node.type !== "object") {
            return [];
        }
        const seen = new Set<string>();
        return children.flatMap(property => {
            const [key, value] = property.children ?? [];
            const name = String(key?.value);
            const inner = value === undefined ? [] : this.#duplicateKeys(value, [...path, name]);
            if (!seen.has(name)) {
                seen.add(name);
                return inner;
            }
            return [this.#duplicateKeyProblem(property, [...path, name]), ...inner];
        });
    }

    #duplicateKeyProblem(property: Node, path: TextPath): TextProblem {
        return {
            ...this.#positionOf(property.offset),
            path: renderPath(path),
            value: shorten(path.at(-1)),
            message: "Duplicate key in one object",
            allowed: "each key once",
        };
    }
}
