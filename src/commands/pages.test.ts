import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { PassThrough, Writable } from "node:stream";
import { test } from "node:test";
import { startKeyValueStandIn } from "../../standins/keyValue.js";
import { refusalReasonSchema } from "../generated/callers.js";
import { createKeyValueClient } from "../platform/index.js";
import { EXIT_CODES, runCommandLine } from "./index.js";

const STORE_ON_PAGES = "http://10.20.1.2:2379";
const HOST_ON_PAGES = "http://10.20.1.5:8080";
const PROGRAM = "flamingospread ";
const EXPECTED_CODE = / # exits with ([0-9])$/;

function readPage(name: string): string {
    return readFileSync(`docs/${name}`, "utf8");
}

/** Returns the commands in the code blocks of a page, in order. */
function readCommands(page: string): string[] {
    const codeBlocks = [...page.matchAll(/```sh\n([^`]*)```/g)].map(match => match[1] ?? "");
    return codeBlocks.flatMap(codeBlock =>
        codeBlock.split("\n").map(line => line.trim()).filter(line => line.startsWith(PROGRAM))
    );
}

async function runPage(page: string, urls: { readonly store: string; readonly host: string; }): Promise<number> {
    const commands = readCommands(page);
    for (const line of commands) {
        const expected = Number(EXPECTED_CODE.exec(line)?.[1] ?? 0);
        const words = line.replace(EXPECTED_CODE, "").slice(PROGRAM.length)
            .replaceAll(STORE_ON_PAGES, urls.store).replaceAll(HOST_ON_PAGES, urls.host).split(" ");
        const output = new Writable({ write: (_chunk, _encoding, done) => done() });
        const exitCode = await runCommandLine(words, {
            stdin: new PassThrough(),
            stdout: output,
            stderr: output,
            env: {},
            colorDepth: 1,
            startHost: () => Promise.resolve({ drain: () => Promise.resolve(), closed: Promise.resolve() }),
            createKeyValue: addresses => createKeyValueClient({ urls: addresses }),
            createIdentifier: () => line,
            readTimeOfDay: () => 0,
            wait: () => Promise.resolve(),
            operator: "tester",
            onTerminate: () => undefined,
        });
        assert.equal(exitCode, expected, line);
    }
    return commands.length;
}

for (const name of ["COMMANDS.md", "OPERATORS.md"]) {
    test(`every command on ${name} exits with the code given on the page`, async context => {
        const store = await startKeyValueStandIn();
        const host = createServer((_request, response) => response.end("{}"));
        context.after(() => store.close());
        context.after(() => {
            host.closeAllConnections();
            host.close();
        });
        await new Promise<void>(resolve => {
            host.listen(0, "127.0.0.1", resolve);
        });
        const hostUrl = `http://127.0.0.1:${(host.address() as AddressInfo).port}`;
        assert.ok(await runPage(readPage(name), { store: store.url, host: hostUrl }) > 8);
    });
}

test("the pages list every exit code and every refusal reason once", () => {
    const codes = [...readPage("COMMANDS.md").matchAll(/^\| ([0-9]) \|/gm)].map(match => Number(match[1]));
    assert.deepEqual(codes, Object.values(EXIT_CODES));
    const reasons = [...readPage("OPERATORS.md").matchAll(/^\| `([a-z-]+)` \| /gm)].map(match => match[1]);
    assert.deepEqual(reasons, refusalReasonSchema.options);
});
