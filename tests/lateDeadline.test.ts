/**
 * A request that a host reads late has no more time than its caller gave it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME } from "./support/entrySite.js";
import { type CallerOutcome, type RecordingEngine, StoppedHost } from "./support/stoppedHost.js";

const TIMEOUT_MILLISECONDS = 1_000;
const LONG_TIMEOUT_MILLISECONDS = 30_000;
const STOP_MILLISECONDS = 4_000;
const SETTLING_MILLISECONDS = 400;
const ENGINE_MILLISECONDS = 20;

/** Stops of hosts whose callers have a time limit that is longer by the margin. */
const SHORTER_STOPS_MILLISECONDS = [500, 1_000, 2_000, 3_400];
const LIMIT_MARGIN_MILLISECONDS = 300;

/** Callers that stay are answered within this time of the end of a stop, plus that of the engine. */
const REACTION_MILLISECONDS = 100;

/** For the delays of a machine that runs other tests beside this one. */
const BUSY_MACHINE_ALLOWANCE_MILLISECONDS = 1_000;

/** An engine's time limit is at most this much longer than the time that the caller has left. */
const MAXIMUM_EXCESS_MILLISECONDS = 500;

/** A host accepts one connection in each iteration of its event loop. */
const NEW_CONNECTIONS = 12;

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** A caller that is told to come back does so while it may have time left. */
const MAXIMUM_RETRY_AFTER_SECONDS = 0.3;

const ROUTE = {
    host: HOST_NAME,
    kind: "idempotent",
    targetLatencyMs: 200,
    priority: 0,
    service: "plain",
    maxAttempts: 2,
};

const CONFIGURATION = {
    version: 1,
    routes: [
        { ...ROUTE, name: "reads", pathPrefix: "/reads/", timeoutMs: TIMEOUT_MILLISECONDS },
        { ...ROUTE, name: "long-reads", pathPrefix: "/long-reads/", timeoutMs: LONG_TIMEOUT_MILLISECONDS },
    ],
    services: [{ name: "plain", healthPath: "/healthz", maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** A host with an engine, and callers that keep one connection to the host open. */
interface LateSite {
    readonly host: StoppedHost;
    readonly engine: RecordingEngine;
    readonly agent: Agent;
}

async function startSite(context: TestContext): Promise<LateSite> {
    const host = await StoppedHost.start(CONFIGURATION);
    context.after(() => host.close());
    const engine = await host.addEngine("i-1", "plain", () => ({
        type: "answer",
        afterMilliseconds: ENGINE_MILLISECONDS,
    }));
    host.announce(engine, "ready", 100);
    await delay(SETTLING_MILLISECONDS);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    context.after(() => agent.destroy());
    return { host, engine, agent };
}

/** Sends a request on the connection that is kept open, and one on each of many new connections. */
function callOften({ agent, host }: LateSite, path: string, limitMilliseconds: number): Promise<CallerOutcome>[] {
    const kept = host.call(path, { agent, limitMilliseconds });
    return [kept, ...Array.from({ length: NEW_CONNECTIONS }, () => host.call(path, { limitMilliseconds }))];
}

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

test("of many requests that were read after their time limit had passed none reaches an engine, and their callers are told to come back", async context => {
    const site = await startSite(context);
    await site.host.call("/reads/before", { agent: site.agent });
    const sent: Promise<CallerOutcome>[] = [];
    await site.host.stopFor(STOP_MILLISECONDS, {
        atQuarter: () => void sent.push(...callOften(site, "/long-reads/1", TIMEOUT_MILLISECONDS)),
        atHalf: () => undefined,
    });
    const outcomes = await Promise.all(sent);
    assert.deepEqual(site.engine.arrivals.filter(({ path }) => path === "/long-reads/1"), []);
    for (const { body, retryAfterSeconds, status } of outcomes) {
        assert.equal(status, STATUS_UNAVAILABLE);
        assert.match(body, /"reason":"read-late","ran":"not-run"/);
        assert.ok(retryAfterSeconds !== undefined && retryAfterSeconds > 0, String(retryAfterSeconds));
        assert.ok(retryAfterSeconds <= MAXIMUM_RETRY_AFTER_SECONDS, String(retryAfterSeconds));
    }
});

for (const stopMilliseconds of SHORTER_STOPS_MILLISECONDS) {
    test(`after a stop of ${stopMilliseconds} ms callers whose time limit is longer are served, and no engine is given much more time than they have`, async context => {
        const site = await startSite(context);
        await site.host.call("/reads/before", { agent: site.agent });
        const limitMilliseconds = stopMilliseconds + LIMIT_MARGIN_MILLISECONDS;
        const sent: Promise<CallerOutcome>[] = [];
        let sentAt = 0;
        const { resumedAtMilliseconds } = await site.host.stopFor(stopMilliseconds, {
            atQuarter: () => {
                sentAt = performance.now();
                sent.push(...callOften(site, "/long-reads/1", limitMilliseconds));
            },
            atHalf: () => undefined,
        });
        const outcomes = await Promise.all(sent);
        assert.deepEqual(outcomes.map(({ status }) => status), outcomes.map(() => STATUS_OK));
        const latest = resumedAtMilliseconds + REACTION_MILLISECONDS + ENGINE_MILLISECONDS
            + BUSY_MACHINE_ALLOWANCE_MILLISECONDS;
        const tooLate = outcomes.filter(({ atMilliseconds }) => atMilliseconds > latest);
        assert.deepEqual(tooLate.map(({ atMilliseconds }) => Math.round(atMilliseconds - resumedAtMilliseconds)), []);
        const arrivals = site.engine.arrivals.filter(({ path }) => path === "/long-reads/1");
        const excesses = arrivals.map(({ atMilliseconds, limitMilliseconds: given }) =>
            Math.round(atMilliseconds + given - sentAt - limitMilliseconds)
        );
        assert.deepEqual(excesses.filter(excess => excess > MAXIMUM_EXCESS_MILLISECONDS), []);
    });
}
