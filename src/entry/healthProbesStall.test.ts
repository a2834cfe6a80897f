import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { createAnnouncement } from "../../tests/support/announcements.js";
import { createCollectingLogger, type LoggedLine } from "../../tests/support/collectedLines.js";
import { createEntryMetrics } from "../observability/index.js";
import { ReadTimes } from "../staleness/index.js";
import { ActQueue } from "./actQueue.js";
import { HealthProbes } from "./healthProbes.js";

const STALL_MILLISECONDS = 600;

/** An upstream that answers at once, in a thread of its own, which goes on while this one is stalled. */
const UPSTREAM = `
const { parentPort } = require("node:worker_threads");
const server = require("node:http").createServer((request, response) => response.end());
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

test("an upstream is not silent because the host that probes it did not run before the probe had left", async context => {
    const worker = new Worker(UPSTREAM, { eval: true });
    const [port] = await once(worker, "message") as [number];
    const readClock = (): number => performance.now();
    const lines: LoggedLine[] = [];
    const logger = createCollectingLogger(lines);
    const metrics = createEntryMetrics();
    const confirmView = (): Promise<boolean> => Promise.resolve(true);
    const acts = new ActQueue({ reads: new ReadTimes(readClock()), readClock, logger, metrics, confirmView });
    acts.start();
    const agent = new Agent();
    const probes = new HealthProbes({
        acts,
        logger,
        metrics,
        readClock,
        agentFor: () => agent,
        healthPathOf: () => "/health",
        onAnswer: () => undefined,
    });
    context.after(async () => {
        probes.close();
        acts.close();
        agent.destroy();
        await worker.terminate();
    });
    probes.probe(createAnnouncement([], { id: "one", service: "llm", address: `127.0.0.1:${port}` }));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS);
    await delay(STALL_MILLISECONDS);
    const outcomes = lines.map(({ fields }) => fields["outcome"]).filter(outcome => outcome !== undefined);
    assert.deepEqual(outcomes, ["answered"]);
});
