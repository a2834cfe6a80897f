/**
 * Requests on one connection of which one has a form that ends or delays it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { EntrySite, type SiteHost, waitUntilReady } from "./support/entrySite.js";
import { type OrderedAnswer, OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";
import { nextId } from "./support/overlappingRuns.js";

const SLOW_MILLISECONDS = 300;
const WITHIN_MILLISECONDS = 10_000;
const BODY_LIMIT_BYTES = 65_536;

/** More than a host reads of a request before it finds that the body is too long. */
const LONG_BODY_BYTES = 2_000_000;

const CONNECTIONS = 10;

let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure(
        [
            { pathPrefix: "/reads/", timeoutMs: WITHIN_MILLISECONDS },
            { pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: WITHIN_MILLISECONDS },
        ],
        undefined,
        {
            limits: {
                maxHeaderBytes: 16_384,
                maxBodyBytes: BODY_LIMIT_BYTES,
                headerTimeoutMs: 3_000,
                idleTimeoutMs: 15_000,
            },
        },
    );
    await site.addUpstream({
        id: "i-sound",
        slots: 200,
        behave: ({ path }) => ({ type: "answer", afterMilliseconds: path === "/reads/slow" ? SLOW_MILLISECONDS : 0 }),
    });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

function hasRun(id: string): boolean {
    return site.upstreams.some(({ received }) => received.some(request => request.id === id));
}

async function send(bytes: string, count: number): Promise<readonly OrderedAnswer[]> {
    const caller = new OverlappingCaller(host);
    caller.write(bytes);
    const answers = await caller.waitForAnswers(count, WITHIN_MILLISECONDS);
    caller.close();
    return answers;
}

function slowRead(): string {
    return renderRequest({ id: nextId("slow"), path: "/reads/slow" });
}

function statusesOf(answers: readonly OrderedAnswer[]): number[] {
    return answers.filter(({ isComplete }) => isComplete).map(({ status }) => status);
}

describe("requests of other forms are answered in order", { concurrency: true }, () => {
    test("a request that asks to close the connection does not end the answer before it or lose its own", async () => {
        const id = nextId("closing");
        const closing = renderRequest({ id, path: "/orders/1", method: "POST", headers: { Connection: "close" } });
        const behind = nextId("behind-closing");
        const bytes = slowRead() + closing + renderRequest({ id: behind, path: "/orders/2", method: "POST" });
        const answers = await send(bytes, 3);
        assert.deepEqual(statusesOf(answers).slice(0, 2), [200, 200]);
        assert.equal(answers[1]?.headers["flamingospread-request-id"], id);
        assert.equal(hasRun(behind), false, "what follows the last request of a connection is not run");
    });

    test("a request of HTTP/1.0 is not lost behind a slow answer", async () => {
        const last = renderRequest({ id: nextId("old"), path: "/reads/1" }).replace("HTTP/1.1", "HTTP/1.0");
        assert.deepEqual(statusesOf(await send(slowRead() + last, 2)), [200, 200]);
    });

    test("a request that expects 100 Continue is not lost behind a slow answer", async () => {
        const expecting = renderRequest({
            id: nextId("expecting"),
            path: "/orders/1",
            body: "b".repeat(100),
            headers: { Expect: "100-continue" },
        });
        const last = renderRequest({ id: nextId("last"), path: "/reads/1" });
        assert.deepEqual(statusesOf(await send(slowRead() + expecting + last, 3)), [200, 200, 200]);
    });

    test("a request with an expectation that hosts do not know is not lost, nor the request behind it", async () => {
        const asking = renderRequest({ id: nextId("asking"), path: "/reads/1", headers: { Expect: "200-maybe" } });
        const last = renderRequest({ id: nextId("last"), path: "/reads/1" });
        assert.deepEqual(statusesOf(await send(slowRead() + asking + last, 3)), [200, 417, 200]);
    });

    test("a request for an upgrade is not lost, and none behind it is left to wait on an open connection", async () => {
        const headers = { Connection: "Upgrade", Upgrade: "websocket" };
        const last = nextId("last");
        const asking = renderRequest({ id: nextId("asking"), path: "/reads/1", headers });
        const caller = new OverlappingCaller(host);
        caller.write(slowRead() + asking + renderRequest({ id: last, path: "/orders/1", method: "POST" }));
        const answers = await caller.waitForAnswers(3, WITHIN_MILLISECONDS);
        const { isClosed, isToldToClose } = caller;
        caller.close();
        assert.deepEqual(statusesOf(answers).slice(0, 2), [200, 200]);
        assert.ok(answers.length === 3 || (isClosed && isToldToClose && !hasRun(last)), "left to wait");
    });

    test("empty lines between requests do not lose any", async () => {
        const last = renderRequest({ id: nextId("last"), path: "/reads/1" });
        assert.deepEqual(statusesOf(await send(`${slowRead()}\r\n\r\n${last}`, 2)), [200, 200]);
    });

    test("nothing behind a request for a tunnel is run", async () => {
        const behind = nextId("behind-tunnel");
        const tunnel = "CONNECT other.example:443 HTTP/1.1\r\nHost: other.example\r\n\r\n";
        const bytes = slowRead() + tunnel + renderRequest({ id: behind, path: "/orders/1", method: "POST" });
        assert.deepEqual(statusesOf(await send(bytes, 3)), [200, 405]);
        assert.equal(hasRun(behind), false);
    });

    test("a body that goes on beyond its limit does not end the answer before it or lose its own refusal", async () => {
        const ids = Array.from({ length: CONNECTIONS }, () => nextId("long-body"));
        const runs = await Promise.all(ids.map(id => {
            const long = renderRequest({ id, path: "/orders/1", body: "l".repeat(LONG_BODY_BYTES) });
            return send(slowRead() + long, 2);
        }));
        assert.deepEqual(runs.map(statusesOf), runs.map(() => [200, 413]));
        assert.deepEqual(ids.filter(hasRun), []);
    });
});
