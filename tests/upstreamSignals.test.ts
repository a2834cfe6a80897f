/**
 * Signals that upstreams send with answers: `Server-Leaving` (the upstream is leaving) and `Retry-After` (a requested
 * pause).
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { VERSIONS_KEY } from "../src/entry/_versionRecordWriter.js";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import {
    type CallerAnswer,
    callHost,
    engineSettings,
    EntrySite,
    reasonOf,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";

/** From this time after its report on, no new request reaches a leaving upstream. */
const LEAVING_PERIOD_MILLISECONDS = 2_000;

/** Requests in flight may reach an upstream until this time after it requested a pause. */
const IN_FLIGHT_MILLISECONDS = 500;

const PAUSE_SECONDS = 2;

/** Maximum number of requests that may reach an upstream during its requested pause. */
const MAXIMUM_REQUESTS_IN_PAUSE = 2;

const LEAVING_HEADERS = { "Server-Leaving": "1" };

let site: EntrySite;
let host: SiteHost;
/** Behaviour of each upstream for its next request; it answers normally afterwards. */
let nextBehaviours: Map<string, Behaviour>;
/** Requests received by upstreams, in order. */
let arrivals: { readonly upstream: string; readonly id: string; readonly at: number; }[];
/** Number of the test; part of the upstream identifiers, so that each test has new upstreams. */
let round = 0;

function behaveAs(upstream: string): (request: ReceivedRequest) => Behaviour {
    return ({ id }) => {
        arrivals.push({ upstream, id, at: performance.now() });
        const behaviour = nextBehaviours.get(upstream) ?? { type: "answer" };
        nextBehaviours.delete(upstream);
        return behaviour;
    };
}

function upstreamId(upstream: string): string {
    return `i-${upstream}-${round}`;
}

async function addUpstreams(...upstreams: string[]): Promise<void> {
    for (const upstream of upstreams.map(upstreamId)) {
        await site.addUpstream({ id: upstream, behave: behaveAs(upstream), slots: 50 });
    }
    await until(async () => {
        await callHost(host, { path: "/orders/warm", method: "POST" });
        return upstreams.every(upstream => arrivals.some(arrival => arrival.upstream === upstreamId(upstream)));
    });
    // No stream begins before its version is on record, so an outage must not begin before that either.
    await until(() => site.store.get(VERSIONS_KEY) !== undefined);
    arrivals = [];
}

/** Sends orders one after another for the given time; returns the statuses of their answers. */
async function sendOrders(milliseconds: number): Promise<(number | undefined)[]> {
    const statuses: (number | undefined)[] = [];
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        statuses.push((await callHost(host, { path: "/orders/1", method: "POST" })).status);
        await delay(10);
    }
    return statuses;
}

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 4_000 },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000 },
        { pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true, timeoutMs: 15_000 },
    ], engineSettings(4, { quotes: 8 }));
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

beforeEach(() => {
    round += 1;
    nextBehaviours = new Map();
    arrivals = [];
});

afterEach(async () => {
    site.store.mode = "up";
    for (const upstream of site.upstreams.splice(0)) {
        site.store.remove(`servers/${upstream.id}`);
        await upstream.close();
    }
});

after(async () => {
    await site.close();
});

for (
    const [kind, behaviour] of [
        ["a success", { type: "answer", headers: LEAVING_HEADERS }],
        ["an error answer", { type: "answer", status: 500, headers: LEAVING_HEADERS }],
        ["a rejection", { type: "not-run", status: 503, headers: LEAVING_HEADERS }],
        ["the head of a stream", { type: "stream", events: 3, headers: LEAVING_HEADERS }],
    ] as const
) {
    test(`an upstream that reports with ${kind} that it is leaving gets no further request, even during an outage of the key-value service`, async () => {
        await addUpstreams("one", "two");
        site.store.mode = "refusing";
        nextBehaviours.set(upstreamId("one"), behaviour);
        const path = behaviour.type === "stream" ? "/streams/1" : "/orders/1";
        while (!arrivals.some(({ upstream }) => upstream === upstreamId("one"))) {
            await callHost(host, { path, method: "POST" });
        }
        const leavingReceivedAt = performance.now();
        const statuses = await sendOrders(LEAVING_PERIOD_MILLISECONDS / 4);
        const lateArrivals = arrivals.filter(({ at, upstream }) =>
            upstream === upstreamId("one") && at > leavingReceivedAt
        );
        assert.deepEqual(lateArrivals, []);
        assert.ok(statuses.every(status => status === 200), statuses.join());
    });
}

test("a host receives its peer's report that an upstream is leaving", async () => {
    const other = await site.addHost("entry-2");
    await waitUntilReady(other);
    await addUpstreams("one", "two");
    nextBehaviours.set(upstreamId("one"), { type: "answer", headers: LEAVING_HEADERS });
    while (nextBehaviours.has(upstreamId("one"))) {
        await callHost(host, { path: "/orders/1", method: "POST" });
    }
    await until(() =>
        other.lines.some(({ fields, message }) =>
            message === "upstream left" && fields["upstream"] === upstreamId("one")
        )
    );
    await other.host.stop();
});

test("an upstream that rejects a request with Retry-After gets requests again only after that pause", async () => {
    await addUpstreams("one", "two");
    nextBehaviours.set(upstreamId("one"), {
        type: "not-run",
        status: 503,
        headers: { "Retry-After": String(PAUSE_SECONDS) },
    });
    while (nextBehaviours.has(upstreamId("one"))) {
        assert.equal(
            (await callHost(host, { path: "/orders/1", method: "POST" })).status,
            200,
            "served by the other upstream",
        );
    }
    const pauseReceivedAt = performance.now();
    await sendOrders(PAUSE_SECONDS * 1_000 + 500);
    const pauseEnds = pauseReceivedAt + PAUSE_SECONDS * 1_000;
    const toOne = arrivals.filter(({ upstream }) => upstream === upstreamId("one"));
    const inPause = toOne.filter(({ at }) => at > pauseReceivedAt + IN_FLIGHT_MILLISECONDS && at < pauseEnds);
    assert.ok(inPause.length <= MAXIMUM_REQUESTS_IN_PAUSE, `${inPause.length} requests during the pause`);
    assert.ok(toOne.some(({ at }) => at >= pauseEnds), "used again after the pause");
});

test("a request is refused at once with a correct Retry-After if all upstreams pause for longer than it may wait", async () => {
    await addUpstreams("one");
    nextBehaviours.set(upstreamId("one"), { type: "not-run", status: 503, headers: { "Retry-After": "3" } });
    await callHost(host, { path: "/orders/1", method: "POST" });
    const refused = await callHost(host, {
        path: "/orders/1",
        method: "POST",
        headers: { "Flamingospread-Deadline-Ms": "4000" },
    });
    assert.equal(refused.status, 503);
    assert.equal(reasonOf(refused), "upstreams-pause");
    assert.ok(refused.tookMilliseconds < 200, `answered after ${refused.tookMilliseconds} ms`);
    assert.ok(Number(refused.headers["retry-after"]) > 1, String(refused.headers["retry-after"]));
});

test("a request that no upstream can run is refused when its maximum wait ends, not at a later check", async () => {
    const headers = { "Flamingospread-Deadline-Ms": "450" };
    const call = (): Promise<CallerAnswer> => callHost(host, { path: "/orders/1", method: "POST", headers });
    await until(async () => reasonOf(await call()) === "no-upstream");
    const tookMilliseconds: number[] = [];
    for (let count = 0; count < 5; count += 1) {
        const refused = await call();
        assert.equal(reasonOf(refused), "no-upstream");
        tookMilliseconds.push(refused.tookMilliseconds);
    }
    const shortest = Math.min(...tookMilliseconds);
    assert.ok(shortest >= 135 && shortest < 200, `answered after ${tookMilliseconds.join(", ")} ms`);
});

test("an invalid Retry-After is logged and otherwise ignored", async () => {
    await addUpstreams("one");
    nextBehaviours.set(upstreamId("one"), { type: "not-run", status: 503, headers: { "Retry-After": "-5" } });
    await callHost(host, { path: "/orders/1", method: "POST" });
    assert.equal((await callHost(host, { path: "/orders/1", method: "POST" })).status, 200);
    assert.ok(host.lines.some(({ message }) => message === "pause not readable"));
});

const ORDER_ANSWERS = [
    { kind: "that it is leaving", status: undefined, headers: { "Server-Leaving": "1" } },
    { kind: "a pause", status: 503, headers: { "Retry-After": "3" } },
];

for (const { headers, kind, status } of ORDER_ANSWERS) {
    test(`an engine that reports with its answer to an order ${kind} gets no further request`, async () => {
        const engine = await site.addUpstream(
            { id: upstreamId("engine"), models: { quotes: [] }, behave: () => ({ type: "stream", events: 3 }) },
            "llm",
        );
        engine.orderHeaders = headers;
        engine.orderStatus = status;
        const call = (): ReturnType<typeof callHost> =>
            callHost(host, {
                path: "/llm/1",
                method: "POST",
                headers: { "Flamingospread-Model": "quotes/a1", "Flamingospread-Deadline-Ms": "4000" },
            });
        await call();
        await until(() => engine.orders.length > 0, 6_000);
        await delay(IN_FLIGHT_MILLISECONDS);
        const before = engine.received.length;
        const refused = await callHost(host, {
            path: "/llm/1",
            method: "POST",
            headers: { "Flamingospread-Model": "quotes", "Flamingospread-Deadline-Ms": "4000" },
        });
        assert.equal(refused.status, 503);
        assert.equal(engine.received.length, before);
    });
}
