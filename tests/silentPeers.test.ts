import assert from "node:assert/strict";
import { test } from "node:test";
import { createPeerClient, startPeerServer } from "../src/peers/index.js";
import { startRelay } from "./_relay.js";

test("a connection between hosts that goes silent costs one call; the next one takes a new connection", async () => {
    let witnessed = 0;
    const server = await startPeerServer({ address: "127.0.0.1", port: 0 }, {
        takeDigest: () => undefined,
        configurationRecord: () => undefined,
        forwardOrder: () => Promise.reject(new Error("not asked")),
        witness: () => {
            witnessed += 1;
            return Promise.resolve({ type: "sealed" } as never);
        },
        wantAdapter: () => undefined,
    });
    const relay = await startRelay(`http://127.0.0.1:${server.port}`);
    const client = createPeerClient(relay.url);
    assert.ok((await client.fetchConfiguration()).isOk());
    relay.silence();
    assert.equal((await client.fetchConfiguration()).unwrapErr().kind, "no-answer");
    assert.ok((await client.fetchConfiguration()).isOk());
    assert.equal(witnessed, 0);
    await client.close();
    await relay.close();
    await server.close();
});
