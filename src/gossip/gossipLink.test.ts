import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test, type TestContext } from "node:test";
import { findFreePorts } from "../../standins/freePorts.js";
import { createDigest } from "../../tests/support/digests.js";
import { until } from "../../tests/support/entrySite.js";
import { type GossipMessage, openGossipLink } from "./index.js";

const ADDRESS = "127.0.0.1";

const MESSAGES = 60;

const RECEIVERS = 5;
const DIGESTS = 3;

const LARGE_CHANGE = { key: "configuration", value: "x".repeat(1_000), revision: 2 };

/** Time to apply a message that makes every waiting request look for an engine again. */
const APPLY_MILLISECONDS = 20;

/** Closes, deadlines and cancellations are acted on within this time. */
const REACTION_MILLISECONDS = 500;

/** Time until all messages are handled, with as much again for other work. */
const HANDLED_MILLISECONDS = 2 * MESSAGES * APPLY_MILLISECONDS;

function compute(milliseconds: number): void {
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        // The time is spent.
    }
}

/** Measures the longest turn of the event loop until closed. */
function measureTurns(context: TestContext): () => number {
    let longestMilliseconds = 0;
    let lastAt = performance.now();
    let isClosed = false;
    const step = (): void => {
        longestMilliseconds = Math.max(longestMilliseconds, performance.now() - lastAt);
        lastAt = performance.now();
        if (!isClosed) {
            setImmediate(step);
        }
    };
    setImmediate(step);
    context.after(() => {
        isClosed = true;
    });
    return () => longestMilliseconds;
}

test("messages that came at once and are slow to apply do not hold up the host's other work, and none is lost", async context => {
    const [port = 0] = await findFreePorts(1);
    const received: GossipMessage[] = [];
    const link = await openGossipLink({
        address: ADDRESS,
        port,
        onMessage: message => {
            received.push(message);
            compute(APPLY_MILLISECONDS);
        },
        onProblem: ({ detail }) => assert.fail(detail),
    });
    const sender = createSocket("udp4");
    context.after(() => {
        link.close();
        sender.close();
    });
    const message: GossipMessage = { type: "sent", host: "entry-2", engine: "i-1", promptTokens: 40 };
    const bytes = Buffer.from(JSON.stringify(message));
    const readLongestTurn = measureTurns(context);
    Array.from({ length: MESSAGES }, () => sender.send(bytes, port, ADDRESS));
    await until(() => received.length === MESSAGES, HANDLED_MILLISECONDS);
    const longestMilliseconds = Math.round(readLongestTurn());
    context.diagnostic(`longest turn: ${longestMilliseconds} ms`);
    assert.ok(longestMilliseconds < REACTION_MILLISECONDS, `a turn took ${longestMilliseconds} ms`);
});

test("a link that is closed handles nothing that still waits", async context => {
    const [port = 0] = await findFreePorts(1);
    let count = 0;
    const link = await openGossipLink({
        address: ADDRESS,
        port,
        onMessage: () => {
            count += 1;
            link.close();
        },
        onProblem: ({ detail }) => assert.fail(detail),
    });
    const sender = createSocket("udp4");
    context.after(() => sender.close());
    const bytes = Buffer.from(JSON.stringify({ type: "sent", host: "entry-2", engine: "i-1", promptTokens: 40 }));
    Array.from({ length: 3 }, () => sender.send(bytes, port, ADDRESS));
    await until(() => count > 0);
    await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
    assert.equal(count, 1);
});

test("no peer receives an older digest after a newer one", async context => {
    const received = new Map<number, number[]>();
    const ports = await findFreePorts(RECEIVERS);
    for (const port of ports) {
        received.set(port, []);
        const onMessage = (message: GossipMessage): void => {
            if (message.type === "digest") {
                received.get(port)?.push(message.sequence);
            }
        };
        const receiver = await openGossipLink({ address: ADDRESS, port, onMessage, onProblem: () => undefined });
        context.after(() => receiver.close());
    }
    const options = { address: ADDRESS, port: 0, onMessage: () => undefined, onProblem: () => undefined };
    const link = await openGossipLink({ ...options, bytesPerSecond: 100_000 });
    context.after(() => link.close());
    const addresses = ports.map(port => `${ADDRESS}:${port}`);
    for (let sequence = 1; sequence <= DIGESTS; sequence += 1) {
        link.send(createDigest("entry", { sequence, unreachable: ["u".repeat(2_000)] }), addresses);
        link.send(
            { type: "changes", host: "entry", afterRevision: 1, revision: 2, changes: [LARGE_CHANGE] },
            addresses,
        );
    }
    await until(() => [...received.values()].every(({ length }) => length === DIGESTS), 10_000);
    received.forEach(sequences => assert.deepEqual(sequences, [...sequences].sort((left, right) => left - right)));
});
