/**
 * A host that did not run, while an engine left and the store dropped the history of its changes, sends the engine nothing.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME } from "./support/entrySite.js";
import { type CallerOutcome, StoppedHost } from "./support/stoppedHost.js";

const STOP_MILLISECONDS = 3_400;
const SETTLING_MILLISECONDS = 400;
const REQUESTS = 24;

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "reads",
        host: HOST_NAME,
        pathPrefix: "/reads/",
        kind: "idempotent",
        timeoutMs: 10_000,
        targetLatencyMs: 200,
        priority: 0,
        service: "plain",
        maxAttempts: 2,
    }],
    services: [{ name: "plain", healthPath: "/healthz", maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

test("a host sends nothing to an engine that left while it did not run, though the store has dropped the change", async context => {
    const host = await StoppedHost.start(CONFIGURATION);
    context.after(() => host.close());
    const answer = { type: "answer", afterMilliseconds: 20 } as const;
    const leaving = await host.addEngine("leaving", "plain", () => answer);
    const other = await host.addEngine("other", "plain", () => answer);
    host.announce(leaving, "ready", 100);
    host.announce(other, "ready", 100);
    await delay(SETTLING_MILLISECONDS);
    const outcomes: Promise<CallerOutcome>[] = [];
    const times = await host.stopFor(STOP_MILLISECONDS, {
        atQuarter: () => host.store.compact(),
        atHalf: () => {
            host.announce(leaving, "draining", 100);
            host.store.compact();
        },
        atThreeQuarters: () => {
            for (let index = 0; index < REQUESTS; index += 1) {
                outcomes.push(host.call(`/reads/${index}`));
            }
        },
    });
    await Promise.all(outcomes);
    const lines = host.output.split("\n").filter(line => line.includes("view checked") || line.includes("listed anew"));
    context.diagnostic(lines.join("\n"));
    const late = leaving.arrivals.map(({ atMilliseconds }) => Math.round(atMilliseconds - times.factAtMilliseconds));
    assert.deepEqual(late, [], "milliseconds after the engine left");
});
