import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { listEntryMetrics } from "../src/observability/index.js";

const FOLDERS = ["src/entry", "src/memory", "src/observability", "platform"];

function withoutDocComments(source: string): string {
    return source.replaceAll(/^ *\*.*$/gm, "");
}

/** Fields that the log itself writes into every line. */
const FIELDS_OF_EVERY_LINE: ReadonlySet<string> = new Set(["host", "level", "message", "timestamp"]);

function sourcesOfHost(): string[] {
    const files = FOLDERS.flatMap(folder =>
        readdirSync(folder, { recursive: true, encoding: "utf8" }).map(file => join(folder, file))
    );
    const sources = files.filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"));
    return sources.map(file => withoutDocComments(readFileSync(file, "utf8")));
}

function messagesInCode(): Set<string> {
    const calls = sourcesOfHost().flatMap(source => [...source.matchAll(/(?:logger\s*\.\w+|#log)\(\s*"([^"]+)"/g)]);
    return new Set(calls.map(([, message]) => message ?? ""));
}

/** Returns the names of the fields of an object literal that begins at a position of a source. */
function fieldsOfLiteral(source: string, start: number): string[] {
    const fields: string[] = [];
    let depth = 0;
    for (const { 0: token, index } of source.slice(start).matchAll(/[{}()[\]]|(?<=[{,]\s*)\w+(?=\s*[:,}])/g)) {
        if (/\w/.test(token)) {
            fields.push(...depth === 1 ? [token] : []);
            continue;
        }
        depth += /[{([]/.test(token) ? 1 : -1;
        if (depth === 0 && index > 0) {
            break;
        }
    }
    return fields;
}

test("docs/LOGS.md lists all messages that an entry host logs, and no others", () => {
    const page = readFileSync("docs/LOGS.md", "utf8");
    const listed = new Set([...page.matchAll(/^\| `([^`]+)` \|/gm)].map(([, message]) => message ?? ""));
    const missing = [...messagesInCode()].filter(message => !listed.has(message));
    assert.deepEqual(missing, []);
    const dynamicMessages = [
        "engine taken",
        "engine released",
        "upstream joined",
        "upstream left",
        "upstream in-doubt",
        "log lines left out",
        "session began",
        "key-value service lost",
        "key-value service regained",
    ];
    const notInCode = [...listed].filter(message =>
        !messagesInCode().has(message) && !dynamicMessages.includes(message)
    );
    assert.deepEqual(notInCode, []);
});

test("a line has the host's name twice", () => {
    const calls = sourcesOfHost().flatMap(source =>
        [...source.matchAll(/(?:logger\s*\.\w+|#log)\(\s*"([^"]+)",\s*(?=\{)/g)].map(call => ({
            message: call[1] ?? "",
            fields: fieldsOfLiteral(source, call.index + call[0].length),
        }))
    );
    assert.ok(calls.some(({ message, fields }) => message === "time spent" && fields.includes("planningMilliseconds")));
    const repeated = calls.filter(({ fields }) => fields.some(field => FIELDS_OF_EVERY_LINE.has(field)));
    assert.deepEqual(repeated.map(({ message }) => message), []);
});

test("docs/METRICS.md lists every metric that an entry host serves as text", () => {
    const page = readFileSync("docs/METRICS.md", "utf8");
    for (const { help, name } of listEntryMetrics()) {
        assert.ok(page.includes(`| \`${name}\` |`) && page.includes(help), name);
    }
});
