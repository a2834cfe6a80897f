import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { CRASH_MARKER, type EngineOptions, expectedTokens, startEngineStandIn } from "../../standins/engine.js";
import { startPlainServiceStandIn } from "../../standins/plainService.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { type CompletionEvent, createEngineClient, createPlainServiceClient, type EngineClient } from "./index.js";

const REQUEST = { model: "quotes", messages: [{ role: "user", content: "500 bags" }] };
const EXPECTED_TOKENS = expectedTokens(REQUEST);
const LOAD: EngineOrder = {
    kind: "load-model",
    name: "quotes",
    version: "1",
    megabytes: 100,
    fencing: { epoch: 1, sequence: 1 },
};
const LONG_SILENCE_MILLISECONDS = 20_000;

interface CompletionResult {
    readonly text: string;
    readonly ending: CompletionEvent;
}

function complete(
    client: EngineClient,
    options: Partial<Parameters<EngineClient["complete"]>[0]> = {},
): Promise<CompletionResult> {
    return new Promise(resolve => {
        let text = "";
        client.complete({
            identifier: "request-1",
            body: REQUEST,
            priority: "urgent",
            resumeAtToken: 0,
            silenceMilliseconds: LONG_SILENCE_MILLISECONDS,
            ...options,
            onEvent: event => {
                if (event.type === "tokens") {
                    text += event.text;
                    return;
                }
                resolve({ text, ending: event });
            },
        });
    });
}

function failureOrType({ ending }: CompletionResult): string {
    return ending.type === "failed" ? ending.failure : ending.type;
}

async function withEngine(
    options: EngineOptions,
    use: (client: EngineClient, standIn: Awaited<ReturnType<typeof startEngineStandIn>>) => Promise<void>,
): Promise<void> {
    const standIn = await startEngineStandIn(options);
    const client = createEngineClient({ name: "engine", url: standIn.url, reportTimeoutMilliseconds: 500 });
    try {
        await use(client, standIn);
    }
    finally {
        await client.close();
        await standIn.close();
    }
}

async function loadModel(client: EngineClient): Promise<string> {
    const { incarnation } = (await client.readReport()).unwrap();
    assert.equal((await client.sendOrder(LOAD, incarnation)).unwrap().outcome, "done");
    return incarnation;
}

/** Serves completions with a handler, for answers that a correct engine never sends. */
async function withServer(
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    use: (client: EngineClient) => Promise<void>,
): Promise<void> {
    const server = createServer(handle).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const client = createEngineClient({ name: "engine", url: `http://127.0.0.1:${port}`, maximumLineBytes: 4096 });
    await use(client);
    await client.close();
    server.closeAllConnections();
    server.close();
}

function chunk(index: number | undefined, content: string, id = "request-1", finishReason?: string): string {
    const choices = [{ index: 0, delta: { content }, finish_reason: finishReason ?? null }];
    return `data: ${JSON.stringify({ id, choices, token_index: index })}\n\n`;
}

test("a completion is received completely, resumes at its offset, and refusals map to their failures", async () => {
    await withEngine({ slots: 1, longestQueue: 0, tokenMilliseconds: 1 }, async client => {
        assert.equal(failureOrType(await complete(client)), "not-resident");
        await loadModel(client);
        const uninterrupted = await complete(client);
        assert.equal(uninterrupted.text, EXPECTED_TOKENS.join(""));
        assert.deepEqual(uninterrupted.ending, {
            type: "finished",
            finishReason: "stop",
            totalTokens: EXPECTED_TOKENS.length,
        });
        const resumed = await complete(client, { resumeAtToken: 5 });
        assert.equal(resumed.text, EXPECTED_TOKENS.slice(5).join(""));
        assert.equal(failureOrType(await complete(client, { body: { model: "quotes" } })), "rejected");
        const longRequest = complete(client, { body: { ...REQUEST, max_tokens: 5000 }, identifier: "long" });
        while ((await client.readReport()).unwrap().running === 0) {
            // The long request does not occupy the slot yet.
        }
        assert.equal(failureOrType(await complete(client)), "engine-busy");
        void longRequest;
    });
});

test("a crash during a prompt fails as connection-lost, and a closed port as not-started", async () => {
    await withEngine({}, async (client, standIn) => {
        await loadModel(client);
        const body = { model: "quotes", messages: [{ role: "user", content: CRASH_MARKER }] };
        assert.equal(failureOrType(await complete(client, { body })), "connection-lost");
        assert.equal(standIn.state().restarts, 1);
        await standIn.close();
        assert.equal(failureOrType(await complete(client)), "not-started");
    });
});

test("a stream that stops sending data fails as silent, and the engine receives a cancellation", async () => {
    await withEngine({ tokenMilliseconds: 1 }, async (client, standIn) => {
        await loadModel(client);
        let frozen = false;
        const run = await new Promise<CompletionEvent>(resolve => {
            client.complete({
                identifier: "request-1",
                body: { ...REQUEST, max_tokens: 100_000 },
                priority: "urgent",
                resumeAtToken: 0,
                silenceMilliseconds: 200,
                onEvent: event => {
                    if (!frozen) {
                        frozen = true;
                        standIn.setFaults({ freeze: true });
                    }
                    if (event.type !== "tokens") {
                        resolve(event);
                    }
                },
            });
        });
        assert.equal(run.type === "failed" && run.failure, "silent");
        standIn.setFaults({ freeze: false });
        while (standIn.state().running > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    });
});

test("a cancellation releases the engine's slot, and no event follows", async () => {
    await withEngine({ tokenMilliseconds: 1 }, async (client, standIn) => {
        await loadModel(client);
        let events = 0;
        const completion = client.complete({
            identifier: "request-1",
            body: { ...REQUEST, max_tokens: 100_000 },
            priority: "patient",
            resumeAtToken: 0,
            silenceMilliseconds: LONG_SILENCE_MILLISECONDS,
            onEvent: () => {
                events += 1;
            },
        });
        while (events === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        completion.cancel();
        const eventsAtCancel = events;
        while (standIn.state().running > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        assert.equal(events, eventsAtCancel);
    });
});

const BROKEN_STREAMS: readonly (readonly [string, string, string, string])[] = [
    ["a chunk of another request", chunk(0, "a") + chunk(1, "b", "request-2"), "incomplete", "a"],
    ["a gap between tokens", chunk(0, "a") + chunk(2, "c"), "incomplete", "a"],
    ["no end marker", chunk(0, "a") + chunk(1, "", "request-1", "stop"), "incomplete", "a"],
    ["an end marker before the last chunk", `${chunk(0, "a")}data: [DONE]\n\n`, "incomplete", "a"],
    [
        "a last chunk whose index exceeds the received tokens",
        chunk(0, "a") + chunk(3, "", "request-1", "stop"),
        "incomplete",
        "a",
    ],
    ["a token without its index", chunk(undefined, "a"), "incomplete", ""],
    ["a chunk that is not JSON", "data: {\n\n", "incomplete", ""],
    ["a line over the size limit", `data: ${"x".repeat(10_000)}`, "incomplete", ""],
    [
        "duplicated tokens and comments, which are dropped",
        `: alive\n\n${chunk(0, "a")}${chunk(0, "a")}${chunk(1, "b", "request-1", "stop")}data: [DONE]\n\n`,
        "finished",
        "ab",
    ],
];

for (const [name, stream, outcome, text] of BROKEN_STREAMS) {
    test(`a stream with ${name}`, async () => {
        await withServer((_, response) => response.end(stream), async client => {
            const run = await complete(client);
            assert.deepEqual({ outcome: failureOrType(run), text: run.text }, { outcome, text });
        });
    });
}

test("an order never reaches a later incarnation, on a reused or on a new connection", async () => {
    await withEngine({}, async (client, standIn) => {
        const firstIncarnation = await loadModel(client);
        standIn.setFaults({ restart: true });
        const secondOrder = { ...LOAD, fencing: { epoch: 1, sequence: 2 } };
        // The reused connection may accept the bytes before its end is detected; they reach no process.
        assert.ok((await client.sendOrder(secondOrder, firstIncarnation)).isErr());
        assert.equal((await client.sendOrder(secondOrder, firstIncarnation)).unwrapErr().kind, "not-sent");
        assert.equal(standIn.state().orders, 1);
        const { incarnation } = (await client.readReport()).unwrap();
        assert.notEqual(incarnation, firstIncarnation);
        assert.equal((await client.sendOrder(secondOrder, incarnation)).unwrap().incarnation, incarnation);
    });
});

test("an order whose answer is lost fails as no-answer, and one to an unverified incarnation as not-sent", async () => {
    await withEngine({}, async (client, standIn) => {
        const { incarnation } = (await client.readReport()).unwrap();
        standIn.setFaults({ dropAnswers: 1, pathPrefix: "/admin/orders" });
        assert.equal((await client.sendOrder(LOAD, incarnation)).unwrapErr().kind, "no-answer");
        assert.equal(standIn.state().loads, 1);
        standIn.setFaults({ outage: true, pathPrefix: "/" });
        assert.equal((await client.sendOrder(LOAD, incarnation)).unwrapErr().kind, "not-sent");
    });
});

test("a plain call runs once; a lost answer fails as no-answer, a closed port as not-sent", async () => {
    const standIn = await startPlainServiceStandIn();
    const client = createPlainServiceClient();
    const options = { call: "cut", body: "{}", contentType: "application/json", timeoutMilliseconds: 20_000 };
    const answer = (await client.call(standIn.url, { ...options, key: "a" })).unwrap();
    assert.equal(answer.status, 200);
    standIn.setFaults({ dropAnswers: 1 });
    assert.equal((await client.call(standIn.url, { ...options, key: "b" })).unwrapErr().kind, "no-answer");
    standIn.setFaults({ freeze: true });
    const unanswered = await client.call(standIn.url, { ...options, key: "c", timeoutMilliseconds: 100 });
    assert.equal(unanswered.unwrapErr().kind, "no-answer");
    standIn.setFaults({ freeze: false });
    await standIn.close();
    assert.equal((await client.call(standIn.url, { ...options, key: "d" })).unwrapErr().kind, "not-sent");
    assert.deepEqual([standIn.state().runs["a"], standIn.state().runs["b"], standIn.state().runs["d"]], [
        1,
        1,
        undefined,
    ]);
    await client.close();
});

test("a call fails as no-answer where the connection is established and no byte is received", async () => {
    await withServer(() => undefined, async () => {
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const client = createPlainServiceClient();
        const options = { call: "cut", key: "a", body: "{}", contentType: "text/plain", timeoutMilliseconds: 100 };
        assert.equal((await client.call(`http://127.0.0.1:${port}`, options)).unwrapErr().kind, "no-answer");
        connect(port, "127.0.0.1").destroy();
        server.closeAllConnections();
        server.close();
    });
});
