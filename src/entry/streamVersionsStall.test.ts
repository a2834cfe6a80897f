import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { BEGUN, createVersions, lookUp } from "../../tests/support/streamLookUp.js";

const STALL_MILLISECONDS = 1_500;

test("a stream is not unknown because a host did not run while the answer of one that knows it arrived", async context => {
    const versions = createVersions();
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const peer = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const near = await accepted;
    near.on("data", () => versions.receive({ type: "streams-begun", host: "entry-2", streams: [BEGUN] }));
    context.after(() => {
        versions.close();
        near.destroy();
        peer.destroy();
        server.close();
    });
    const outcome = lookUp(versions);
    await new Promise(resolve => setImmediate(resolve));
    peer.write("answer");
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS);
    assert.deepEqual(await outcome, { type: "found", version: "v1", source: "peer" });
});
