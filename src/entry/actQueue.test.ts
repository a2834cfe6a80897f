import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../observability/index.js";
import { ReadTimes } from "../staleness/index.js";
import { ActQueue } from "./actQueue.js";

const STALL_MILLISECONDS = 600;

function start(context: TestContext): ActQueue {
    const readClock = (): number => performance.now();
    const acts = new ActQueue({
        reads: new ReadTimes(readClock()),
        readClock,
        logger: createCollectingLogger([]),
        metrics: createEntryMetrics(),
    });
    acts.start();
    context.after(() => acts.close());
    return acts;
}

function stall(): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS);
}

/** Returns both ends of a connection. */
async function openConnection(context: TestContext): Promise<{ readonly near: Socket; readonly far: Socket; }> {
    const server = createServer();
    context.after(() => server.close());
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const far = connect(address.port, "127.0.0.1");
    const near = await accepted;
    context.after(() => {
        near.destroy();
        far.destroy();
    });
    return { near, far };
}

test("an act that a timer sets off after a stall runs after what had arrived was read", async context => {
    const acts = start(context);
    const { far, near } = await openConnection(context);
    const order: string[] = [];
    near.on("data", () => order.push("data"));
    near.on("end", () => order.push("end"));
    far.end("last words");
    const acted = new Promise<void>(resolve => {
        setTimeout(() =>
            acts.enqueue(() => {
                order.push("act");
                resolve();
            }), STALL_MILLISECONDS / 2);
    });
    stall();
    await acted;
    assert.deepEqual(order, ["data", "end", "act"]);
});
