/**
 * Upstreams whose answers to requests that they ran bear a status that promises the contrary.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { callHost, EntrySite, ranOf, type SiteHost, waitUntilReady } from "./support/entrySite.js";

/** Statuses that promise a caller that its request has not run and never will. */
const PROMISES = [408, 429, 503];

const behaviours = new Map<string, Behaviour[]>();
let site: EntrySite;
let host: SiteHost;
let requestCount = 0;

/** Returns a new identifier, whose first executions answer as given, and all later ones as a sound upstream. */
function scriptRequest(...scripted: Behaviour[]): string {
    requestCount += 1;
    const id = `promised-${requestCount}`;
    behaviours.set(id, scripted);
    return id;
}

function runsOf(id: string): number {
    return site.upstreams.flatMap(({ received }) => received).filter(received => received.id === id).length;
}

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/orders/", kind: "non_idempotent" },
        { pathPrefix: "/reads/" },
        { pathPrefix: "/once/", kind: "stream" },
    ]);
    for (const id of ["plain-1", "plain-2"]) {
        await site.addUpstream({ id, behave: request => behaviours.get(request.id)?.shift() ?? { type: "answer" } });
    }
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(() => site.close());

// Guards against orders that run twice since their callers were told that the first had not run.
test("an order or a stream that ran is not answered with a promise that it did not, whatever its upstream says", async () => {
    for (const status of PROMISES) {
        for (const path of ["/orders/1", "/once/1"]) {
            const id = scriptRequest({ type: "answer", status, body: "failed after it was written" });
            const answer = await callHost(host, { path, method: "POST", id });
            assert.deepEqual([answer.status, ranOf(answer), runsOf(id)], [502, "may-have-run", 1], `${path} ${status}`);
            assert.equal(answer.headers["flamingospread-response-signature"], undefined);
        }
    }
});

test("a read whose upstream answers with a promise that it does not give is sent to another one", async () => {
    for (const status of PROMISES) {
        const id = scriptRequest({ type: "answer", status });
        const answer = await callHost(host, { path: "/reads/1", id });
        assert.deepEqual([answer.status, runsOf(id)], [200, 2], String(status));
    }
});

test("a read that all upstreams answer so fails without a promise", async () => {
    const id = scriptRequest({ type: "answer", status: 503 }, { type: "answer", status: 503 });
    const answer = await callHost(host, { path: "/reads/1", id });
    assert.deepEqual([answer.status, ranOf(answer), runsOf(id)], [502, "may-have-run", 2]);
});

// Guards against orders that run twice since a second answer to an earlier request says that it did not run.
test("an order at whose turn an answer to an earlier request says that it did not run is sent to no other upstream", async () => {
    for (const earlier of ["promised-0", undefined]) {
        for (const status of [421, 429, 503]) {
            const headers = { "Flamingospread-Request-Id": earlier ?? "", "Flamingospread-Not-Executed": "1" };
            const id = scriptRequest({ type: "answer", status, headers });
            const answer = await callHost(host, { path: "/orders/1", method: "POST", id });
            assert.deepEqual([answer.status, ranOf(answer), runsOf(id)], [502, "may-have-run", 1], `status ${status}`);
        }
    }
});
