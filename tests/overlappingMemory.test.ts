/**
 * Callers that send thousands of requests on one connection: what a host holds of them is bounded.
 *
 * @module
 */
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { type IncomingMessage } from "node:http";
import { type Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";
import { memoryAfterCollection } from "./support/processMemory.js";
import { measureStalls } from "./support/processStalls.js";

const BODY_LIMIT_BYTES = 65_536;
const HEADER_TIMEOUT_MILLISECONDS = 1_000;
const SLOW_MILLISECONDS = 200;

/** Longer than the time limit for heads, which must not pass for bytes that the host leaves in the connection. */
const RUN_MILLISECONDS = 5_000;

const CONNECTIONS = 3;
const MANY_REQUESTS = 20_000;
const SMALL_BODY_BYTES = 840;

/** What may wait on one connection before it is no longer read. */
const WAITING_REQUESTS = 64;
const WAITING_BYTES = 1024 * 1024;

/** Bytes that a process takes from a connection in one read. */
const READ_BYTES = 64 * 1024;

/** Memory of a request that waits, without its body: message, response and their header fields. */
const REQUEST_BYTES = 10 * 1024;

/** After this time, hardly any request of a caller that has left may reach an engine. */
const LEFT_MILLISECONDS = 500;
const FEW = 3;

const GRACE_MILLISECONDS = 10_000;

/** A host that waits for no caller closes this long after it was told to stop, at most. */
const STOP_MILLISECONDS = 6_000;

const WITHIN_MILLISECONDS = 60_000;

const STARTED_CHANNEL = "http.server.request.start";

let site: EntrySite;

before(async () => {
    site = await EntrySite.start();
    site.configure(
        [{ pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: WITHIN_MILLISECONDS }],
        undefined,
        {
            limits: {
                maxHeaderBytes: 16_384,
                maxBodyBytes: BODY_LIMIT_BYTES,
                headerTimeoutMs: HEADER_TIMEOUT_MILLISECONDS,
                idleTimeoutMs: 15_000,
            },
        },
    );
    await site.addUpstream({
        id: "i-sound",
        slots: 200,
        behave: ({ path }) => ({ type: "answer", afterMilliseconds: path === "/orders/slow" ? SLOW_MILLISECONDS : 0 }),
    });
});

after(async () => {
    await site.close();
});

async function startHost(name: string): Promise<SiteHost> {
    const host = await site.addHost(name, { bounds: { graceMilliseconds: GRACE_MILLISECONDS } });
    await waitUntilReady(host);
    return host;
}

interface StartedRequest {
    readonly request: IncomingMessage;
    readonly socket: Socket;
}

/** Counts the requests whose heads a host has read, by the callers' ports. */
class ReadRequests {
    readonly #counts = new Map<number, number>();
    readonly #port: number;
    readonly #count = (message: unknown): void => {
        const { socket } = message as StartedRequest;
        const { localPort, remotePort = 0 } = socket;
        if (localPort === this.#port) {
            this.#counts.set(remotePort, this.countOf(remotePort) + 1);
        }
    };

    constructor({ settings }: SiteHost) {
        this.#port = settings.callers.port;
        subscribe(STARTED_CHANNEL, this.#count);
    }

    countOf(port: number): number {
        return this.#counts.get(port) ?? 0;
    }

    close(): void {
        unsubscribe(STARTED_CHANNEL, this.#count);
    }
}

/** Returns the memory in use after a collection of what is not. */
function readUsedBytes(): number {
    const { external, heapUsed } = memoryAfterCollection();
    return heapUsed + external;
}

function renderOrders(name: string, count: number, bodyBytes: number, path: string): Buffer {
    const body = "b".repeat(bodyBytes);
    const render = (_: unknown, index: number): string =>
        renderRequest({ id: `${name}-${index}`, path, method: "POST", body });
    return Buffer.from(Array.from({ length: count }, render).join(""));
}

function receivedOf(name: string): string[] {
    return site.upstreams.flatMap(({ received }) => received.map(({ id }) => id)).filter(id =>
        id.startsWith(`${name}-`)
    );
}

/** Sends many orders on each of some connections, and reports the most that a host has read and not answered. */
async function sendMany(
    host: SiteHost,
    names: readonly string[],
    requests: readonly Buffer[],
): Promise<{ readonly callers: readonly OverlappingCaller[]; readonly mostUnanswered: number; }> {
    const read = new ReadRequests(host);
    const callers = names.map(() => new OverlappingCaller(host));
    callers.forEach((caller, index) => caller.write(requests[index] ?? ""));
    const end = performance.now() + RUN_MILLISECONDS;
    let mostUnanswered = 0;
    while (performance.now() < end) {
        await delay(20);
        const unanswered = callers.map(caller => read.countOf(caller.localPort) - caller.answerCount);
        mostUnanswered = Math.max(mostUnanswered, ...unanswered);
    }
    read.close();
    return { callers, mostUnanswered };
}

function assertInOrder(caller: OverlappingCaller, name: string): void {
    const answered = caller.answers.filter(({ isComplete }) => isComplete);
    assert.ok(answered.length > 0, "some are answered");
    assert.ok(answered.every(({ status }) => status === 200), "only by the engine");
    const ids = answered.map(({ headers }) => headers["flamingospread-request-id"]);
    assert.deepEqual(ids, ids.map((_, index) => `${name}-${index}`));
    assert.equal(caller.isClosed, false, "the connection stays open");
    const undelivered = receivedOf(name).length - answered.length;
    assert.ok(undelivered <= 1, `${undelivered} passed on and not answered`);
}

test("memory for small requests that wait on a connection is not unbounded, and their caller's close not missed", async () => {
    const host = await startHost("entry-small");
    const names = Array.from({ length: CONNECTIONS }, (_, index) => `small-${index}`);
    const requests = names.map(name => renderOrders(name, MANY_REQUESTS, SMALL_BODY_BYTES, "/orders/slow"));
    const requestBytes = (requests[0]?.length ?? 0) / MANY_REQUESTS;
    const usedBefore = readUsedBytes();
    const { callers, mostUnanswered } = await sendMany(host, names, requests);
    const grownBytes = (readUsedBytes() - usedBefore) / CONNECTIONS;
    callers.forEach((caller, index) => assertInOrder(caller, names[index] ?? ""));
    const mayWait = 1 + WAITING_REQUESTS + Math.ceil(READ_BYTES / requestBytes);
    assert.ok(mostUnanswered <= mayWait, `${mostUnanswered} read and not answered, bound ${mayWait}`);
    const mayGrow = WAITING_BYTES + READ_BYTES + mayWait * REQUEST_BYTES;
    assert.ok(grownBytes <= mayGrow, `grown by ${Math.round(grownBytes)} bytes a connection, bound ${mayGrow}`);

    const stalls = measureStalls();
    callers.forEach(caller => caller.close());
    await delay(LEFT_MILLISECONDS);
    const countReceived = (): number => names.flatMap(receivedOf).length;
    const receivedSoon = countReceived();
    const stopAt = performance.now();
    await host.host.stop();
    const stopMilliseconds = performance.now() - stopAt - stalls.read();
    stalls.close();
    const late = countReceived() - receivedSoon;
    assert.ok(late <= FEW, `${late} reached the engine later than ${LEFT_MILLISECONDS} ms after the close`);
    assert.ok(stopMilliseconds < STOP_MILLISECONDS, `stopped after ${Math.round(stopMilliseconds)} ms`);
});

test("memory for large bodies that wait on a connection is not unbounded", async () => {
    const host = await startHost("entry-large");
    const names = ["large-0", "large-1"];
    const bodyBytes = BODY_LIMIT_BYTES - 1;
    const requests = names.map(name => renderOrders(name, 300, bodyBytes, "/orders/slow"));
    const { callers, mostUnanswered } = await sendMany(host, names, requests);
    callers.forEach((caller, index) => assertInOrder(caller, names[index] ?? ""));
    callers.forEach(caller => caller.close());
    await host.host.close();
    const mayWait = 1 + Math.ceil((WAITING_BYTES + READ_BYTES) / bodyBytes) + 1;
    assert.ok(mostUnanswered <= mayWait, `${mostUnanswered} read and not answered, bound ${mayWait}`);
});

test("of many requests at once on one connection none is left without its answer", async () => {
    const host = await startHost("entry-fast");
    const count = 1_500;
    const caller = new OverlappingCaller(host);
    caller.write(renderOrders("fast", count, SMALL_BODY_BYTES, "/orders/soon"));
    await caller.waitForAnswers(count, WITHIN_MILLISECONDS);
    assert.equal(caller.answerCount, count);
    assertInOrder(caller, "fast");
    caller.close();
    await until(() => caller.isClosed);
    await host.host.close();
});
