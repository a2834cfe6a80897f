/**
 * A request that a host reads late has no more time than its caller gave it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME } from "./support/entrySite.js";
import { StoppedHost } from "./support/stoppedHost.js";

const TIMEOUT_MILLISECONDS = 1_000;
const STOP_MILLISECONDS = 4_000;
const SETTLING_MILLISECONDS = 400;

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "reads",
        host: HOST_NAME,
        pathPrefix: "/reads/",
        kind: "idempotent",
        timeoutMs: TIMEOUT_MILLISECONDS,
        targetLatencyMs: 200,
        priority: 0,
        service: "plain",
        maxAttempts: 2,
    }],
    services: [{ name: "plain", healthPath: "/healthz", maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

test("a request that was read after its time limit had passed reaches no engine", async context => {
    const host = await StoppedHost.start(CONFIGURATION);
    context.after(() => host.close());
    const engine = await host.addEngine("i-1", "plain", () => ({ type: "answer", afterMilliseconds: 20 }));
    host.announce(engine, "ready", 100);
    await delay(SETTLING_MILLISECONDS);
    const sent: Promise<unknown>[] = [];
    const times = await host.stopFor(STOP_MILLISECONDS, {
        atQuarter: () => void sent.push(host.call("/reads/1")),
        atHalf: () => undefined,
    });
    await Promise.all(sent);
    const sentAt = times.stoppedAtMilliseconds + STOP_MILLISECONDS / 4;
    assert.deepEqual(engine.arrivals.map(({ atMilliseconds }) => Math.round(atMilliseconds - sentAt)), []);
});
