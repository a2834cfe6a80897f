import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { MemoryBudget } from "../../memory/index.js";
import { createEntryMetrics } from "../../observability/index.js";
import { CallerConnection } from "./callerConnection.js";
import { HeaderLimit } from "./headerLimit.js";
import { RequestMemory } from "./requestMemory.js";
import { answerUnreadableRequests } from "./unreadableRequests.js";

const HEADER_TIMEOUT_MILLISECONDS = 200;

/** Time that a busy host takes to read what has arrived. */
const READING_MILLISECONDS = 30;

const BYTE_INTERVAL_MILLISECONDS = 5;
const SLOW_BYTES = 40;
const ENDING_MILLISECONDS = 2_000;

test("a head that is still not whole after its time limit is given up, though some of its bytes came at the limit", async context => {
    const server = createServer({
        headersTimeout: HEADER_TIMEOUT_MILLISECONDS,
        requestTimeout: HEADER_TIMEOUT_MILLISECONDS,
        connectionsCheckingInterval: 20,
    });
    const connections = new WeakMap<object, CallerConnection>();
    const doNothing = (): void => undefined;
    answerUnreadableRequests({
        acts: { afterReading: step => void setTimeout(step, READING_MILLISECONDS) },
        server,
        headerLimit: new HeaderLimit(server),
        connectionOf: socket => {
            const connection = connections.get(socket) ?? new CallerConnection(socket, {
                acts: { afterReading: step => void setTimeout(step, READING_MILLISECONDS) },
                memory: new RequestMemory({
                    memory: new MemoryBudget({ machineBytes: undefined }),
                    reads: { readUntilMilliseconds: 0 },
                    readClock: () => 0,
                }),
                keptHeaders: [],
                isClosing: () => false,
                hasUnparsed: () => false,
                onTurn: doNothing,
                refuseAfterLast: () => "",
                onUnanswered: doNothing,
            });
            connections.set(socket, connection);
            return connection;
        },
        logger: createCollectingLogger([]),
        metrics: createEntryMetrics(),
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    caller.on("error", doNothing);
    let answer = "";
    caller.on("data", (bytes: Buffer) => {
        answer += bytes.toString();
    });
    context.after(() => {
        caller.destroy();
        server.closeAllConnections();
        server.close();
    });
    caller.write("GET / HTTP/1.1\r\nHost: shop\r\nX-Slow: ");
    await delay(HEADER_TIMEOUT_MILLISECONDS - SLOW_BYTES * BYTE_INTERVAL_MILLISECONDS / 4);
    for (let count = 0; count < SLOW_BYTES; count += 1) {
        caller.write("x");
        await delay(BYTE_INTERVAL_MILLISECONDS);
    }
    await delay(ENDING_MILLISECONDS);
    assert.match(answer, /^HTTP\/1\.1 408/);
});
