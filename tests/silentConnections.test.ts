/**
 * Pooled connections that all stall at once, as after a network failure. One timed-out call must replace them all;
 * otherwise each of them costs a further call.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ForwardedOrder } from "../src/generated/peers.js";
import { createPeerClient, startPeerServer } from "../src/peers/index.js";
import { createKeyValueClient } from "../src/platform/index.js";
import { createEngineClient, type EngineClient } from "../src/upstreams/index.js";
import { startEngineStandIn } from "../standins/engine.js";
import { startKeyValueStandIn } from "../standins/keyValue.js";
import { startRelay } from "./_relay.js";

const FORWARD_TIMEOUT_MILLISECONDS = 500;
const POOLED_CONNECTIONS = 8;

/** Runs a completion; returns the type of its last event, or its failure. */
function complete(client: EngineClient, index: number): Promise<string> {
    return new Promise(resolve => {
        client.complete({
            identifier: `request-${index}`,
            body: { model: "quotes", messages: [{ role: "user", content: "500 bags" }] },
            priority: "urgent",
            resumeAtToken: 0,
            silenceMilliseconds: 500,
            onEvent: event => {
                if (event.type !== "tokens") {
                    resolve(event.type === "failed" ? event.failure : event.type);
                }
            },
        });
    });
}

test("a stalled connection between hosts fails one call, and the next call opens a new connection", async t => {
    const order: ForwardedOrder = { key: "t/1", service: "line", call: "cut", body: "{}", contentType: "text/plain" };
    const executedKeys: string[] = [];
    const server = await startPeerServer({ address: "127.0.0.1", port: 0 }, {
        receiveDigest: () => undefined,
        configurationRecord: () => undefined,
        sharedState: () => ({ residency: [], suspects: [] }),
        forwardOrder: async ({ key }) => {
            executedKeys.push(key);
            relay.stall();
            await Promise.resolve();
            return { type: "answered", result: { status: 200, contentType: "text/plain", body: "cut" } };
        },
        witness: () => Promise.reject(new Error("unexpected request to the witness")),
        requestAdapter: () => undefined,
    });
    const relay = await startRelay(`http://127.0.0.1:${server.port}`);
    const client = createPeerClient(relay.url);
    t.after(async () => {
        await client.close();
        await relay.close();
        await server.close();
    });
    assert.ok((await client.fetchConfiguration()).isOk());
    const unanswered = await client.forwardOrder(order, FORWARD_TIMEOUT_MILLISECONDS);
    assert.equal(unanswered.unwrapErr().kind, "no-answer");
    assert.ok((await client.fetchConfiguration()).isOk());
    assert.deepEqual(executedKeys, ["t/1"], "an order that may have been received is not resent");
});

test("pooled connections to an engine that stall together fail one attempt in total", async t => {
    const standIn = await startEngineStandIn();
    const relay = await startRelay(standIn.url);
    const client = createEngineClient({ name: "engine", url: relay.url });
    t.after(async () => {
        await client.close();
        await relay.close();
        await standIn.close();
    });
    const { incarnation } = (await client.readReport()).unwrap();
    const fencing = { epoch: 1, sequence: 1 };
    await client.sendOrder({ kind: "load-model", name: "quotes", version: "1", megabytes: 1, fencing }, incarnation);
    const warmUpOutcomes = await Promise.all(
        Array.from({ length: POOLED_CONNECTIONS }, (_, index) => complete(client, index)),
    );
    assert.deepEqual(new Set(warmUpOutcomes), new Set(["finished"]));
    relay.stall();
    assert.equal(await complete(client, 100), "silent");
    assert.equal(await complete(client, 101), "finished");
});

test("pooled connections to the key-value service that stall together fail one call in total", async t => {
    const standIn = await startKeyValueStandIn();
    const relay = await startRelay(standIn.url);
    const client = createKeyValueClient({ urls: [relay.url], timeoutMilliseconds: 500 });
    t.after(async () => {
        await client.close();
        await relay.close();
        await standIn.close();
    });
    await Promise.all(Array.from({ length: POOLED_CONNECTIONS }, () => client.get("configuration")));
    relay.stall();
    assert.equal((await client.get("configuration")).unwrapErr().kind, "no-answer");
    assert.ok((await client.get("configuration")).isOk());
});
