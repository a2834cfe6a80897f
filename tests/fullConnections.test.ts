/**
 * Requests for which a host has no connection left at an upstream that has free slots.
 *
 * @module
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { callHost, countLines, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { measureStalls } from "./support/processStalls.js";

/** Connections that an upstream accepts; one host uses four at least. */
const CONNECTIONS = 4;

/** Time to the answer by the route of the request. */
const ANSWERS_MILLISECONDS: Readonly<Record<string, number>> = { "orders": 700, "long-orders": 2_000, "reads": 0 };

const STATUS_OK = 200;

/** Target latency of the route to the upstreams. */
const TARGET_LATENCY_MILLISECONDS = 200;

let site: EntrySite;
let host: SiteHost;

beforeEach(async () => {
    site = await EntrySite.start();
    const service = { name: "plain", maxConnections: CONNECTIONS, protocol: "h1", tls: false };
    const route = { timeoutMs: 6_000, targetLatencyMs: TARGET_LATENCY_MILLISECONDS };
    const routes = [
        { ...route, pathPrefix: "/orders/", kind: "non_idempotent" },
        { ...route, pathPrefix: "/long-orders/", kind: "non_idempotent" },
        { ...route, pathPrefix: "/reads/" },
    ];
    site.configure(routes, undefined, { services: [service] });
});

afterEach(async () => {
    await site.close();
});

async function startHost(): Promise<void> {
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
}

async function addUpstream(id: string, slots: number): Promise<void> {
    await site.addUpstream({
        id,
        slots,
        behave: ({ path }) => ({
            type: "answer",
            afterMilliseconds: ANSWERS_MILLISECONDS[path.split("/")[1] ?? ""] ?? 0,
        }),
    });
}

test("a sound upstream does not count as unreachable because all connections to it are in use", async () => {
    await addUpstream("i-sound", 50);
    await startHost();
    const answers = await Promise.all(
        Array.from(
            { length: 3 * CONNECTIONS },
            (_, index) => callHost(host, { path: `/orders/${index}`, method: "POST" }),
        ),
    );
    assert.ok(answers.every(({ status }) => status === STATUS_OK));
    assert.equal(countLines(host, "attempt failed"), 0);
});

test("a request is not late because it waits for a connection while another upstream has free ones", async () => {
    await addUpstream("i-used", 1_000);
    await startHost();
    const long = Array.from(
        { length: CONNECTIONS },
        (_, index) => callHost(host, { path: `/long-orders/${index}`, method: "POST" }),
    );
    await until(() => countLines(host, "request sent") === CONNECTIONS);
    await addUpstream("i-free", 10);
    await until(() => countLines(host, "upstream joined") === 2);
    const late: number[] = [];
    const stalls = measureStalls();
    for (let index = 0; index < 20; index += 1) {
        const stalledBefore = stalls.read();
        const pair = [callHost(host, { path: `/reads/${index}` }), callHost(host, { path: `/reads/${index}-second` })];
        const answers = await Promise.all(pair);
        assert.ok(answers.every(({ status }) => status === STATUS_OK));
        const times = answers.map(({ tookMilliseconds }) => Math.round(tookMilliseconds));
        const longestMilliseconds = TARGET_LATENCY_MILLISECONDS + stalls.read() - stalledBefore;
        late.push(...times.filter(milliseconds => milliseconds > longestMilliseconds));
    }
    stalls.close();
    assert.deepEqual(late, []);
    assert.ok((await Promise.all(long)).every(({ status }) => status === STATUS_OK));
});
