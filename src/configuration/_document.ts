/**
 * A parsed text that still knows where each value stands.
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

const LONGEST_VALUE_CHARACTERS = 80;

/** Keys and indices from the root to a value. */
export type TextPath = readonly (string | number)[];

/** What is wrong, apart from where. */
export interface ProblemText {
    readonly message: string;
    readonly allowed: string;
}

function renderPath(path: TextPath): string {
    return path.map(part => typeof part === "number" ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");
}

function shorten(value: unknown): string {
    const rendered = value === undefined ? "nothing" : JSON.stringify(value);
    return rendered.length > LONGEST_VALUE_CHARACTERS
        ? `${rendered.slice(0, LONGEST_VALUE_CHARACTERS)}...`
        : rendered;
}

/** A text in JSON with comments. */
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

    /** Gives the value of the whole text. */
    value(): unknown {
        return this.#root === undefined ? undefined : getNodeValue(this.#root) as unknown;
    }

    /** Gives the places where the text is no JSON with comments, or names a key twice. */
    syntaxProblems(): TextProblem[] {
        if (this.#root === undefined) {
            return [{ ...this.#place(0), path: "", message: "The text is empty", allowed: "a JSON object" }];
        }
        const broken = this.#errors.map(error => ({
            ...this.#place(error.offset),
            path: "",
            message: `The text is broken here: ${printParseErrorCode(error.error)}`,
            value: shorten(this.#text.slice(error.offset, error.offset + error.length)),
            allowed: "JSON with comments and trailing commas",
        }));
        return [...broken, ...this.#repeatedKeys(this.#root, [])];
    }

    /**
     * Makes a problem of the value at a path; of the nearest value around it where the path does not exist.
     *
     * @param path Where the problem is.
     * @param text What is wrong.
     */
    problemAt(path: TextPath, text: ProblemText): TextProblem {
        const node = this.#find(path);
        const around = node ?? this.#nearest(path);
        return {
            ...this.#place(around?.offset ?? 0),
            path: renderPath(path),
            ...(node === undefined ? {} : { value: shorten(getNodeValue(node)) }),
            ...text,
        };
    }

    /**
     * Makes a problem of a key itself.
     *
     * @param path Path of the value under the key.
     * @param text What is wrong.
     */
    problemAtKey(path: TextPath, text: ProblemText): TextProblem {
        const key = this.#find(path)?.parent?.children?.[0];
        return {
            ...this.#place(key?.offset ?? 0),
            path: renderPath(path),
            value: shorten(path.at(-1)),
            ...text,
        };
    }

    #find(path: TextPath): Node | undefined {
        return this.#root === undefined ? undefined : findNodeAtLocation(this.#root, [...path]);
    }

    #nearest(path: TextPath): Node | undefined {
        for (let length = path.length - 1; length >= 0; length -= 1) {
            const node = this.#find(path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return this.#root;
    }

    #place(offset: number): Pick<TextProblem, "fileName" | "line" | "column"> {
        const before = this.#text.slice(0, offset);
        const lineStart = before.lastIndexOf("\n") + 1;
        return { fileName: this.#fileName, line: before.split("\n").length, column: offset - lineStart + 1 };
    }

    #repeatedKeys(node: Node, path: TextPath): TextProblem[] {
        const children = node.children ?? [];
        if (node.type === "array") {
            return children.flatMap((child, index) => this.#repeatedKeys(child, [...path, index]));
        }
        if (node.type !== "object") {
            return [];
        }
        const seen = new Set<string>();
        return children.flatMap(property => {
            const [key, value] = property.children ?? [];
            const name = String(key?.value);
            const inner = value === undefined ? [] : this.#repeatedKeys(value, [...path, name]);
            if (!seen.has(name)) {
                seen.add(name);
                return inner;
            }
            return [this.#repeatedKey(property, [...path, name]), ...inner];
        });
    }

    #repeatedKey(property: Node, path: TextPath): TextProblem {
        return {
            ...this.#place(property.offset),
            path: renderPath(path),
            value: shorten(path.at(-1)),
            message: "The key stands twice in one object",
            allowed: "each key once",
        };
    }
}
