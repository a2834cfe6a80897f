import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createCollectingLogger, type LoggedLine } from "../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../observability/index.js";
import { ReadTimes } from "../staleness/index.js";
import { ActQueue } from "./actQueue.js";

const STALL_MILLISECONDS = 600;

/** Longer than acts wait for the service. */
const UNANSWERED_MILLISECONDS = 400;

interface Started {
    readonly acts: ActQueue;
    readonly lines: LoggedLine[];
}

function start(context: TestContext, confirmView: () => Promise<boolean>): Started {
    const lines: LoggedLine[] = [];
    const readClock = (): number => performance.now();
    const acts = new ActQueue({
        reads: new ReadTimes(readClock()),
        readClock,
        logger: createCollectingLogger(lines),
        metrics: createEntryMetrics(),
        confirmView,
    });
    acts.start();
    context.after(() => acts.close());
    return { acts, lines };
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
    const { acts } = start(context, () => Promise.resolve(true));
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

test("acts after a gap in reading wait for the answer to one question about the view", async context => {
    const order: string[] = [];
    const { acts, lines } = start(context, async () => {
        await delay(20);
        order.push("answer");
        return true;
    });
    stall();
    acts.enqueue(() => order.push("first"));
    acts.runOrEnqueue(() => order.push("second"));
    await delay(100);
    assert.deepEqual(order, ["answer", "first", "second"]);
    acts.runOrEnqueue(() => order.push("at once"));
    assert.equal(order.at(-1), "at once");
    assert.equal(lines.filter(({ message }) => message === "host did not read").length, 1);
});

test("acts go on, and the log says so, where the service does not answer", async context => {
    const { acts, lines } = start(context, () => new Promise(() => undefined));
    stall();
    const startedAt = performance.now();
    await new Promise<void>(resolve => acts.enqueue(resolve));
    assert.ok(performance.now() - startedAt < UNANSWERED_MILLISECONDS);
    const line = lines.find(({ message }) => message === "view checked after a gap in reading");
    assert.equal(line?.fields["outcome"], "no-answer");
});

test("no question is asked while a host reads", async context => {
    let questions = 0;
    const { acts } = start(context, () => {
        questions += 1;
        return Promise.resolve(true);
    });
    await delay(STALL_MILLISECONDS);
    await new Promise<void>(resolve => acts.enqueue(resolve));
    assert.equal(questions, 0);
});

test("an exception in an act does not drop the acts behind it", async context => {
    const { acts, lines } = start(context, () => Promise.resolve(true));
    acts.enqueue(() => {
        throw new Error("broken");
    });
    await new Promise<void>(resolve => acts.enqueue(resolve));
    stall();
    acts.enqueue(() => {
        throw new Error("broken");
    });
    await new Promise<void>(resolve => acts.enqueue(resolve));
    assert.equal(lines.filter(({ message }) => message === "act failed").length, 2);
});

test("what arrives while many acts take long is read before the later ones", async context => {
    const { acts } = start(context, () => Promise.resolve(true));
    const { far, near } = await openConnection(context);
    let isLeft = false;
    near.on("data", () => undefined);
    near.on("end", () => {
        isLeft = true;
    });
    const actedAfterLeaving: boolean[] = [];
    for (let index = 0; index < 20; index += 1) {
        acts.enqueue(() => {
            if (index === 0) {
                far.end();
            }
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 30);
            actedAfterLeaving.push(isLeft);
        });
    }
    await new Promise<void>(resolve => acts.enqueue(resolve));
    assert.equal(actedAfterLeaving.at(-1), true, "20 acts of 30 ms each ran without a look at the sockets");
});
