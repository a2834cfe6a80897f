import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { listEntryMetrics } from "../src/observability/index.js";

const FOLDERS = ["src/entry", "src/observability", "platform"];

function withoutDocComments(source: string): string {
    return source.replaceAll(/^ *\*.*$/gm, "");
}

function messagesInCode(): Set<string> {
    const files = FOLDERS.flatMap(folder =>
        readdirSync(folder, { recursive: true, encoding: "utf8" }).map(file => join(folder, file))
    );
    const sources = files.filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"));
    const calls = sources.flatMap(
        file => [...withoutDocComments(readFileSync(file, "utf8")).matchAll(/(?:logger\s*\.\w+|#log)\(\s*"([^"]+)"/g)],
    );
    return new Set(calls.map(([, message]) => message ?? ""));
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

test("docs/METRICS.md lists every metric that an entry host serves as text", () => {
    const page = readFileSync("docs/METRICS.md", "utf8");
    for (const { help, name } of listEntryMetrics()) {
        assert.ok(page.includes(`| \`${name}\` |`) && page.includes(help), name);
    }
});
