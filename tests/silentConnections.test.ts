import assert from "node:assert/strict";
import { test } from "node:test";
import { type ForwardedOrder } from "../src/generated/peers.js";
import { createPeerClient, startPeerServer } from "../src/peers/index.js";
import { createKeyValueClient } from "../src/platform/index.js";
import { createEngineClient, type EngineClient } from "../src/upstreams/index.js";
import { startEngineStandIn } from "../standins/engine.js";
import { startKeyValueStandIn } from "../standins/keyValue.js";
import { startRelay } from "./_relay.js";

const FORWARD_MILLISECONDS = 500;
const KEPT_CONNECTIONS = 8;

/** Runs a completion; gives how it ended. */
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

test("a connection between hosts that goes silent costs one call; the next one takes a new connection", async t => {
    const order: ForwardedOrder = { key: "t/1", service: "line", call: "cut", body: "{}", contentType: "text/plain" };
    const runs: string[] = [];
    const server = await startPeerServer({ address: "127.0.0.1", port: 0 }, {
        takeDigest: () => undefined,
        configurationRecord: () => undefined,
        sharedState: () => ({ residency: [], suspects: [] }),
        forwardOrder: async ({ key }) => {
            runs.push(key);
            relay.silence();
            await Promise.resolve();
            return { type: "answered", result: { status: 200, contentType: "text/plain", body: "cut" } };
        },
        witness: () => Promise.reject(new Error("not asked")),
        wantAdapter: () => undefined,
    });
    const relay = await startRelay(`http://127.0.0.1:${server.port}`);
    const client = createPeerClient(relay.url);
    t.after(async () => {
        await client.close();
        await relay.close();
        await server.close();
    });
    assert.ok((await client.fetchConfiguration()).isOk());
    const silenced = await client.forwardOrder(order, FORWARD_MILLISECONDS);
    assert.equal(silenced.unwrapErr().kind, "no-answer");
    assert.ok((await client.fetchConfiguration()).isOk());
    assert.deepEqual(runs, ["t/1"], "an order that may have arrived is not sent again");
});

test("kept connections to an engine that go silent together cost one attempt, not one each", async t => {
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
    const warm = await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, (_, index) => complete(client, index)));
    assert.deepEqual(new Set(warm), new Set(["finished"]));
    relay.silence();
    assert.equal(await complete(client, 100), "silent");
    assert.equal(await complete(client, 101), "finished");
});

test("kept connections to the key-value service that go silent together cost one call, not one each", async t => {
    const standIn = await startKeyValueStandIn();
    const relay = await startRelay(standIn.url);
    const client = createKeyValueClient({ urls: [relay.url], timeoutMilliseconds: 500 });
    t.after(async () => {
        await client.close();
        await relay.close();
        await standIn.close();
    });
    await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, () => client.get("configuration")));
    relay.silence();
    assert.equal((await client.get("configuration")).unwrapErr().kind, "no-answer");
    assert.ok((await client.get("configuration")).isOk());
});
