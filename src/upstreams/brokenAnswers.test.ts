import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { createPeerClient } from "../peers/index.js";
import { createKeyValueClient } from "../platform/index.js";
import { createEngineClient, createPlainServiceClient } from "./index.js";

const BODY = "forty reels";
const UPLOAD = "u".repeat(4 * 1024 * 1024);
const UPLOADS = 10;
const TIMEOUT_MILLISECONDS = 1_000;

/** Heads that no answer has; each ends with CR and LF. */
const BROKEN_HEADS: Readonly<Record<string, (length: number) => string>> = {
    "status 000": length => `HTTP/1.1 000 Odd\r\nContent-Length: ${length}\r\n`,
    "status 099": length => `HTTP/1.1 099 Odd\r\nContent-Length: ${length}\r\n`,
    "status 101": length => `HTTP/1.1 101 Odd\r\nContent-Length: ${length}\r\n`,
    "status 600": length => `HTTP/1.1 600 Odd\r\nContent-Length: ${length}\r\n`,
    "a blank in a name": length => `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\nX Odd: 1\r\n`,
    "a transfer coding": () => "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
};

/** Clients that read what the server sends; each returns the kind of its error, or `ok`. */
const READERS: Readonly<Record<string, { readonly body: string; readonly read: () => Promise<string>; }>> = {
    "a plain service": { body: BODY, read: () => callService("{}") },
    "an engine's report": { body: "{}", read: readReport },
    "the key-value service": { body: JSON.stringify({ header: { revision: "5" }, kvs: [] }), read: readKey },
    "a peer": { body: JSON.stringify({ result: { data: {} } }), read: askPeer },
};

const sockets = new Set<Socket>();
let url = "";

/** Answers a request, once its first bytes have arrived. */
let answer: (socket: Socket) => void = () => undefined;

const server = createServer(socket => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    socket.once("data", () => answer(socket));
});

async function callService(body: string): Promise<string> {
    const client = createPlainServiceClient();
    const result = await client.call(url, {
        call: "cut",
        key: "ticket/1",
        body,
        contentType: "application/json",
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    await client.close();
    return result.isOk() ? `ok ${result.value.status} ${result.value.body}` : result.error.kind;
}

async function readReport(): Promise<string> {
    const client = createEngineClient({ name: "engine", url, reportTimeoutMilliseconds: TIMEOUT_MILLISECONDS });
    const result = await client.readReport();
    await client.close();
    return result.isOk() ? "ok" : result.error.kind;
}

async function readKey(): Promise<string> {
    const client = createKeyValueClient({ urls: [url], timeoutMilliseconds: TIMEOUT_MILLISECONDS });
    const result = await client.get("a");
    await client.close();
    return result.isOk() ? "ok" : result.error.kind;
}

async function askPeer(): Promise<string> {
    const client = createPeerClient(url);
    const result = await client.fetchConfiguration();
    await client.close();
    return result.isOk() ? "ok" : result.error.kind;
}

before(async () => {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    url = `http://127.0.0.1:${address.port}`;
});

after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
});

for (const [name, { body, read }] of Object.entries(READERS)) {
    for (const [fault, renderHead] of Object.entries(BROKEN_HEADS)) {
        test(`an answer of ${name} with a broken head counts as none: ${fault}`, async () => {
            answer = socket => void socket.end(`${renderHead(body.length)}\r\n${body}`);
            assert.equal(await read(), "no-answer");
        });
    }
}

test("an unframed answer of a plain service that ends in order is whole", async () => {
    answer = socket => void socket.end(`HTTP/1.1 200 OK\r\n\r\n${BODY}`);
    assert.equal(await callService("{}"), `ok 200 ${BODY}`);
});

for (const [name, body] of Object.entries({ "a small call": "{}", "an upload": UPLOAD })) {
    test(`an unframed answer of a plain service that is reset within ${name} counts as none`, async () => {
        answer = socket => {
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY}`);
            socket.resetAndDestroy();
        };
        const results = await Promise.all(Array.from({ length: UPLOADS }, () => callService(body)));
        assert.deepEqual(results, results.map(() => "no-answer"));
    });
}
