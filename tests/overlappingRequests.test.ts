/**
 * Requests that overlap on one connection: each is sent before the answer to the one before is over.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { type OrderedAnswer, OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";

const CONNECTIONS = 8;
const SLOW_MILLISECONDS = 400;
const LARGE_BYTES = 3_000_000;
const WITHIN_MILLISECONDS = 8_000;
const BODY_BYTES = 60_000;
const NOTICED_MILLISECONDS = 500;
const GRACE_MILLISECONDS = 1_500;
const STREAM_GRACE_MILLISECONDS = 4_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

const ROUTES = [
    { pathPrefix: "/reads/", timeoutMs: 6_000 },
    { pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 6_000 },
    { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 6_000 },
];

let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure(ROUTES);
    await site.addUpstream({
        id: "i-sound",
        slots: 200,
        behave: ({ path }) => {
            switch (path.split("/")[2]) {
                case "slow":
                    return { type: "answer", afterMilliseconds: SLOW_MILLISECONDS };
                case "never":
                    return { type: "silent" };
                case "large":
                    return { type: "answer", body: "x".repeat(LARGE_BYTES) };
                case "events":
                    return { type: "stream", events: 10, gapMilliseconds: 40 };
                default:
                    return { type: "answer" };
            }
        },
    });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

interface Case {
    readonly name: string;
    /** Paths of the requests, in order. */
    readonly paths: readonly string[];
    /** Statuses of the answers, in order. */
    readonly statuses: readonly number[];
    /** Time between the requests; all are sent in one segment if there is none. */
    readonly gapMilliseconds?: number;
    readonly meanwhile?: () => void;
}

const CASES: readonly Case[] = [
    {
        name: "a slow answer",
        paths: ["/reads/slow", "/orders/next"],
        statuses: [STATUS_OK, STATUS_OK],
        gapMilliseconds: 50,
    },
    {
        name: "two others in one segment",
        paths: ["/reads/1", "/reads/2", "/orders/3"],
        statuses: [STATUS_OK, STATUS_OK, STATUS_OK],
    },
    {
        name: "a stream",
        paths: ["/streams/events", "/reads/next"],
        statuses: [STATUS_OK, STATUS_OK],
        gapMilliseconds: 50,
    },
    { name: "a large answer", paths: ["/reads/large", "/reads/next"], statuses: [STATUS_OK, STATUS_OK] },
    { name: "a 404", paths: ["/nowhere/1", "/reads/next"], statuses: [STATUS_NOT_FOUND, STATUS_OK] },
    {
        name: "a slow answer, with a change of the configuration meanwhile",
        paths: ["/reads/slow", "/orders/next"],
        statuses: [STATUS_OK, STATUS_OK],
        gapMilliseconds: 50,
        meanwhile: () => site.configure([...ROUTES, { pathPrefix: `/added-${site.version}/` }]),
    },
];

let requestCount = 0;

async function callInOrder({ gapMilliseconds, paths }: Case): Promise<readonly OrderedAnswer[]> {
    const caller = new OverlappingCaller(host);
    const requests = paths.map(path => {
        requestCount += 1;
        return renderRequest({ id: `overlapping-${requestCount}`, path });
    });
    for (const bytes of gapMilliseconds === undefined ? [requests.join("")] : requests) {
        caller.write(bytes);
        await delay(gapMilliseconds ?? 0);
    }
    const answers = await caller.waitForAnswers(paths.length, WITHIN_MILLISECONDS);
    caller.close();
    return answers;
}

describe(
    "a request is answered that is sent before the answer to the one before is over",
    { concurrency: true },
    () => {
        for (const each of CASES) {
            test(`behind ${each.name}`, async () => {
                const running = Array.from({ length: CONNECTIONS }, () => callInOrder(each));
                await delay(SLOW_MILLISECONDS / 2);
                each.meanwhile?.();
                const answers = await Promise.all(running);
                const statuses = answers.map(list => list.map(({ status }) => status));
                assert.deepEqual(statuses, Array.from({ length: CONNECTIONS }, () => each.statuses));
                assert.ok(answers.flat().every(({ isComplete }) => isComplete));
            });
        }
    },
);

test("a request that waits when the grace period of its host ends is not lost with its connection", async () => {
    const stopping = await site.addHost("entry-2", { bounds: { graceMilliseconds: GRACE_MILLISECONDS } });
    await waitUntilReady(stopping);
    const callers = Array.from({ length: CONNECTIONS }, () => new OverlappingCaller(stopping));
    callers.forEach((caller, index) => {
        caller.write(renderRequest({ id: `never-${index}`, path: "/orders/never", method: "POST" }));
        caller.write(renderRequest({ id: `behind-${index}`, path: "/orders/next", method: "POST" }));
    });
    await delay(SLOW_MILLISECONDS);
    await stopping.host.stop();
    const answers = await Promise.all(callers.map(caller => caller.waitForAnswers(2, WITHIN_MILLISECONDS)));
    assert.deepEqual(
        answers.map(list => list.map(({ status }) => status)),
        Array.from({ length: CONNECTIONS }, () => [STATUS_GATEWAY_TIMEOUT, STATUS_UNAVAILABLE]),
    );
    assert.equal(site.upstreams.flatMap(({ received }) => received).some(({ id }) => id.startsWith("behind-")), false);
});

test("no engine goes on for a caller that left while ten large bodies wait on its connection", async () => {
    const caller = new OverlappingCaller(host);
    caller.write(renderRequest({ id: "left", path: "/reads/never" }));
    for (let index = 0; index < 10; index += 1) {
        caller.write(renderRequest({ id: `left-${index}`, path: "/reads/next", body: "b".repeat(BODY_BYTES) }));
    }
    await delay(SLOW_MILLISECONDS);
    caller.close();
    await until(() => site.upstreams.some(({ abandoned }) => abandoned.includes("left")), NOTICED_MILLISECONDS);
});

test("a request that is read after the head of the last answer of its connection is refused and not run", async () => {
    const stopping = await site.addHost("entry-3", { bounds: { graceMilliseconds: STREAM_GRACE_MILLISECONDS } });
    await waitUntilReady(stopping);
    const stopped = stopping.host.stop();
    const caller = new OverlappingCaller(stopping);
    caller.write(renderRequest({ id: "last", path: "/streams/events", method: "POST" }));
    await until(() => caller.answers.length > 0);
    caller.write(renderRequest({ id: "after-order", path: "/orders/next", method: "POST" }));
    caller.write(renderRequest({ id: "after-head", path: "/reads/next", method: "HEAD" }));
    const answers = await caller.waitForAnswers(3, WITHIN_MILLISECONDS);
    await stopped;
    assert.equal(answers[0]?.headers["connection"], "close");
    assert.deepEqual(answers.map(({ status }) => status), [STATUS_OK, STATUS_UNAVAILABLE, STATUS_UNAVAILABLE]);
    assert.deepEqual(
        answers.map(({ headers }) => headers["flamingospread-request-id"]),
        ["last", "after-order", "after-head"],
    );
    assert.equal(site.upstreams.flatMap(({ received }) => received).some(({ id }) => id.startsWith("after-")), false);
});
