/**
 * Hosts that do not watch the store themselves hear in time of engines that leave, whatever becomes of the hosts of their
 * cell that watch it for them.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME } from "./support/entrySite.js";
import { isWatch } from "./support/pollRelay.js";
import { measureStalls } from "./support/processStalls.js";
import { type CellHost, ProgramCell, type RunShare } from "./support/programCell.js";
import { type EngineAnswer, type RecordingEngine } from "./support/stoppedHost.js";

const WATCHER_NAMES = ["entry-a-1", "entry-a-2", "entry-a-3"];
const FED_NAMES = ["entry-c-1", "entry-c-2", "entry-c-3"];

/** With these, a cell is full. */
const SILENT_NAMES = ["entry-b-1", "entry-b-2", "entry-b-3", "entry-b-4", "entry-b-5", "entry-b-6"];

/** With this one, the hosts are divided into two cells, and the fed hosts are in the one without the watchers. */
const JOINING_NAME = "entry-b-7";

const SERVICE = "plain";
const SLOTS = 100;
const ANSWER: EngineAnswer = { type: "answer", afterMilliseconds: 5 };
const REQUEST_INTERVAL_MILLISECONDS = 20;

/** Several rounds of digests. */
const SETTLED_MILLISECONDS = 1_500;

/** Requests go on for this long after an engine has said that it leaves. */
const OBSERVED_MILLISECONDS = 3_500;

/** A request may reach an engine for this long after the store acknowledged that the engine leaves. */
const DRAIN_MILLISECONDS = 3_000;

/** The least time for which engines that leave go on. */
const SHORTEST_DRAIN_MILLISECONDS = 2_000;

/** Changes are batched for 120 ms and are forwarded at once. */
const FORWARDED_MILLISECONDS = 350;

const STARVED: RunShare = { runMilliseconds: 3, periodMilliseconds: 600 };

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: SERVICE,
        host: HOST_NAME,
        pathPrefix: "/plain/",
        kind: "idempotent",
        timeoutMs: 30_000,
        targetLatencyMs: 200,
        priority: 0,
        service: SERVICE,
        maxAttempts: 2,
    }],
    services: [{ name: SERVICE, healthPath: "/healthz", maxConnections: SLOTS }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** A cell with an engine that stays and one that is going to leave. */
interface StartedCell {
    readonly cell: ProgramCell;
    readonly leaving: RecordingEngine;
}

async function startCell(context: TestContext): Promise<StartedCell> {
    const cell = await ProgramCell.start([...WATCHER_NAMES, ...FED_NAMES], CONFIGURATION);
    context.after(() => cell.close());
    SILENT_NAMES.forEach(name => cell.registerSilentHost(name));
    const engines = await Promise.all(["staying", "leaving"].map(id => cell.addEngine(id, SERVICE, () => ANSWER)));
    engines.forEach(engine => cell.announce(engine, "ready", SLOTS));
    await delay(SETTLED_MILLISECONDS);
    return { cell, leaving: engines[1] as RecordingEngine };
}

/** Sends requests to a host at an interval; resolves to the statuses of the answers. */
async function sendRequests(host: CellHost, milliseconds: number): Promise<(number | undefined)[]> {
    const answers: Promise<number | undefined>[] = [];
    const endMilliseconds = performance.now() + milliseconds;
    while (performance.now() < endMilliseconds) {
        answers.push(host.call(`/plain/${host.name}/${answers.length}`));
        await delay(REQUEST_INTERVAL_MILLISECONDS);
    }
    return Promise.all(answers);
}

/** Marks the engine as leaving while requests go on; returns how long after that the last one has reached it. */
async function measureLastArrival({ cell, leaving }: StartedCell): Promise<number> {
    const requests = Promise.all(cell.fedHosts.map(host => sendRequests(host, OBSERVED_MILLISECONDS)));
    cell.announce(leaving, "draining", SLOTS);
    const leftAtMilliseconds = performance.now();
    const statuses = (await requests).flat();
    assert.deepEqual(statuses.filter(status => status !== 200), []);
    const latest = Math.max(...leaving.arrivals.map(({ atMilliseconds }) => atMilliseconds), leftAtMilliseconds);
    return latest - leftAtMilliseconds;
}

test("hosts that a joining host moves to a cell without watchers hear at once of an engine that leaves then", async context => {
    const started = await startCell(context);
    const stalls = measureStalls();
    context.after(() => stalls.close());
    started.cell.registerSilentHost(JOINING_NAME);
    const latest = await measureLastArrival(started);
    assert.ok(
        latest - stalls.read() <= FORWARDED_MILLISECONDS,
        `a request reached the engine ${Math.round(latest)} ms after`,
    );
});

test("hosts whose watchers run 3 of each 600 ms send an engine nothing 3 s after it said that it leaves", async context => {
    const started = await startCell(context);
    const { watchers } = started.cell;
    watchers.forEach((host, index) => host.starve(STARVED, index * STARVED.periodMilliseconds / watchers.length));
    await delay(SETTLED_MILLISECONDS);
    const latest = await measureLastArrival(started);
    assert.ok(latest <= DRAIN_MILLISECONDS, `a request reached the engine ${Math.round(latest)} ms after`);
});

test("hosts whose watchers get no answers to their polls send an engine nothing 3 s after it said that it leaves", async context => {
    const started = await startCell(context);
    started.cell.watchers.forEach(({ relay }) => relay.hold());
    const latest = await measureLastArrival(started);
    assert.ok(latest <= DRAIN_MILLISECONDS, `a request reached the engine ${Math.round(latest)} ms after`);
});

test("hosts whose watchers' polls stay open although there are changes send an engine nothing 2 s after it said that it leaves", async context => {
    const started = await startCell(context);
    started.cell.watchers.forEach(({ relay }) => relay.hold(isWatch));
    const latest = await measureLastArrival(started);
    assert.ok(latest <= SHORTEST_DRAIN_MILLISECONDS, `a request reached the engine ${Math.round(latest)} ms after`);
});
