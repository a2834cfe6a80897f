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
const WHOLE = expectedTokens(REQUEST);
const LOAD: EngineOrder = {
    kind: "load-model",
    name: "quotes",
    version: "1",
    megabytes: 100,
    fencing: { epoch: 1, sequence: 1 },
};
const GENEROUS_SILENCE_MILLISECONDS = 20_000;

interface Run {
    readonly text: string;
    readonly ending: CompletionEvent;
}

function complete(client: EngineClient, options: Partial<Parameters<EngineClient["complete"]>[0]> = {}): Promise<Run> {
    return new Promise(resolve => {
        let text = "";
        client.complete({
            identifier: "request-1",
            body: REQUEST,
            priority: "urgent",
            resumeAtToken: 0,
            silenceMilliseconds: GENEROUS_SILENCE_MILLISECONDS,
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

function failureOf({ ending }: Run): string {
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

async function load(client: EngineClient): Promise<string> {
    const { incarnation } = (await client.readReport()).unwrap();
    assert.equal((await client.sendOrder(LOAD, incarnation)).unwrap().outcome, "done");
    return incarnation;
}

/** Serves completions with a handler, for answers that no sound engine gives. */
async function withAnswer(
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

test("a completion is whole, resumes at its offset, and refusals keep their meaning", async () => {
    await withEngine({ slots: 1, longestQueue: 0, tokenMilliseconds: 1 }, async client => {
        assert.equal(failureOf(await complete(client)), "not-resident");
        await load(client);
        const whole = await complete(client);
        assert.equal(whole.text, WHOLE.join(""));
        assert.deepEqual(whole.ending, { type: "finished", finishReason: "stop", totalTokens: WHOLE.length });
        const resumed = await complete(client, { resumeAtToken: 5 });
        assert.equal(resumed.text, WHOLE.slice(5).join(""));
        assert.equal(failureOf(await complete(client, { body: { model: "quotes" } })), "rejected");
        const long = complete(client, { body: { ...REQUEST, max_tokens: 5000 }, identifier: "long" });
        while ((await client.readReport()).unwrap().running === 0) {
            // The long request has not yet taken the slot.
        }
        assert.equal(failureOf(await complete(client)), "engine-busy");
        void long;
    });
});

test("a crashing prompt and a closed port are told apart", async () => {
    await withEngine({}, async (client, standIn) => {
        await load(client);
        const body = { model: "quotes", messages: [{ role: "user", content: CRASH_MARKER }] };
        assert.equal(failureOf(await complete(client, { body })), "connection-lost");
        assert.equal(standIn.state().restarts, 1);
        await standIn.close();
        assert.equal(failureOf(await complete(client)), "not-started");
    });
});

test("a stream that falls silent fails as silent, and the engine is told to stop", async () => {
    await withEngine({ tokenMilliseconds: 1 }, async (client, standIn) => {
        await load(client);
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

test("cancelling frees the engine's slot and no event follows", async () => {
    await withEngine({ tokenMilliseconds: 1 }, async (client, standIn) => {
        await load(client);
        let events = 0;
        const completion = client.complete({
            identifier: "request-1",
            body: { ...REQUEST, max_tokens: 100_000 },
            priority: "patient",
            resumeAtToken: 0,
            silenceMilliseconds: GENEROUS_SILENCE_MILLISECONDS,
            onEvent: () => {
                events += 1;
            },
        });
        while (events === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        completion.cancel();
        const atCancel = events;
        while (standIn.state().running > 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        assert.equal(events, atCancel);
    });
});

const BROKEN_STREAMS: readonly (readonly [string, string, string, string])[] = [
    ["a chunk of another request", chunk(0, "a") + chunk(1, "b", "request-2"), "incomplete", "a"],
    ["a gap between tokens", chunk(0, "a") + chunk(2, "c"), "incomplete", "a"],
    ["no end marker", chunk(0, "a") + chunk(1, "", "request-1", "stop"), "incomplete", "a"],
    ["an end marker before the last chunk", `${chunk(0, "a")}data: [DONE]\n\n`, "incomplete", "a"],
    [
        "a last chunk that counts more tokens than came",
        chunk(0, "a") + chunk(3, "", "request-1", "stop"),
        "incomplete",
        "a",
    ],
    ["a token without its index", chunk(undefined, "a"), "incomplete", ""],
    ["a chunk that is not JSON", "data: {\n\n", "incomplete", ""],
    ["a line without end", `data: ${"x".repeat(10_000)}`, "incomplete", ""],
    [
        "duplicated tokens and comments, which are dropped",
        `: alive\n\n${chunk(0, "a")}${chunk(0, "a")}${chunk(1, "b", "request-1", "stop")}data: [DONE]\n\n`,
        "finished",
        "ab",
    ],
];

for (const [name, stream, outcome, text] of BROKEN_STREAMS) {
    test(`a stream with ${name}`, async () => {
        await withAnswer((_, response) => response.end(stream), async client => {
            const run = await complete(client);
            assert.deepEqual({ outcome: failureOf(run), text: run.text }, { outcome, text });
        });
    });
}

test("an order never reaches a later incarnation, whether its connection was kept or not", async () => {
    await withEngine({}, async (client, standIn) => {
        const first = await load(client);
        standIn.setFaults({ restart: true });
        const second = { ...LOAD, fencing: { epoch: 1, sequence: 2 } };
        // The kept connection may take the bytes before its end is seen; they go nowhere all the same.
        assert.ok((await client.sendOrder(second, first)).isErr());
        assert.equal((await client.sendOrder(second, first)).unwrapErr().kind, "not-sent");
        assert.equal(standIn.state().orders, 1);
        const { incarnation } = (await client.readReport()).unwrap();
        assert.notEqual(incarnation, first);
        assert.equal((await client.sendOrder(second, incarnation)).unwrap().incarnation, incarnation);
    });
});

test("an order whose answer is lost is no-answer; one that could not be verified is not-sent", async () => {
    await withEngine({}, async (client, standIn) => {
        const { incarnation } = (await client.readReport()).unwrap();
        standIn.setFaults({ dropAnswers: 1, pathPrefix: "/admin/orders" });
        assert.equal((await client.sendOrder(LOAD, incarnation)).unwrapErr().kind, "no-answer");
        assert.equal(standIn.state().loads, 1);
        standIn.setFaults({ outage: true, pathPrefix: "/" });
        assert.equal((await client.sendOrder(LOAD, incarnation)).unwrapErr().kind, "not-sent");
    });
});

test("a plain call runs once; a lost answer is no-answer and a closed port not-sent", async () => {
    const standIn = await startPlainServiceStandIn();
    const client = createPlainServiceClient();
    const options = { call: "cut", body: "{}", contentType: "application/json", timeoutMilliseconds: 20_000 };
    const answer = (await client.call(standIn.url, { ...options, key: "a" })).unwrap();
    assert.equal(answer.status, 200);
    standIn.setFaults({ dropAnswers: 1 });
    assert.equal((await client.call(standIn.url, { ...options, key: "b" })).unwrapErr().kind, "no-answer");
    standIn.setFaults({ freeze: true });
    const hung = await client.call(standIn.url, { ...options, key: "c", timeoutMilliseconds: 100 });
    assert.equal(hung.unwrapErr().kind, "no-answer");
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

test("a connection that stands but never answers is no-answer, also when nothing was read from it", async () => {
    await withAnswer(() => undefined, async () => {
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
