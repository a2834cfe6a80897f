/**
 * Forms of a request that HTTP/1.1 allows beside the usual one.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EntrySite, HOST_NAME, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";

const SLOW_MILLISECONDS = 200;
const WITHIN_MILLISECONDS = 5_000;
const HEADER_TIMEOUT_MILLISECONDS = 1_000;

/** Time limits on heads are checked twice a second. */
const CHECK_MILLISECONDS = 1_000;

const NOTICED_MILLISECONDS = 500;

let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/reads/", timeoutMs: 10_000, targetLatencyMs: 10_000 }], undefined, {
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 65_536,
            headerTimeoutMs: HEADER_TIMEOUT_MILLISECONDS,
            idleTimeoutMs: 15_000,
        },
    });
    await site.addUpstream({
        id: "i-sound",
        slots: 50,
        behave: ({ path }) =>
            path === "/reads/never"
                ? { type: "silent" }
                : { type: "answer", afterMilliseconds: path === "/reads/slow" ? SLOW_MILLISECONDS : 0 },
    });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

test("a request without a host name, or with an unknown expectation, does not cost the next one its answer", async () => {
    const caller = new OverlappingCaller(host);
    const withoutHost = renderRequest({ id: "no-host", path: "/reads/1" }).replace(/Host: .*\r\n/u, "");
    const expecting = renderRequest({ id: "expecting", path: "/reads/1", headers: { Expect: "200-maybe" } });
    const slow = renderRequest({ id: "before-no-host", path: "/reads/slow" });
    caller.write(slow + withoutHost + expecting + renderRequest({ id: "after-no-host", path: "/reads/1" }));
    const answers = await caller.waitForAnswers(4, WITHIN_MILLISECONDS);
    caller.close();
    assert.deepEqual(answers.map(({ status }) => status), [200, 400, 417, 200]);
    assert.match(answers[3]?.body ?? "", /ran after-no-host/u);
});

test("a request whose path no engine may get is sent on, counts as a fault of the host, or keeps its memory", async () => {
    const caller = new OverlappingCaller(host);
    const requests = ["\t", "\f"].map((character, index) =>
        renderRequest({ id: `invalid-${index}`, path: `/reads/${character}1` })
    );
    caller.write(requests.join("") + renderRequest({ id: "after-invalid", path: "/reads/1" }));
    const answers = await caller.waitForAnswers(3, WITHIN_MILLISECONDS);
    caller.close();
    // Node's parser itself refuses these characters on some processors, and then ends the connection.
    const isRefusedByParser = answers.length === 1;
    assert.deepEqual(answers.map(({ status }) => status), isRefusedByParser ? [400] : [400, 400, 200]);
    if (!isRefusedByParser) {
        assert.match(answers[0]?.body ?? "", /"reason":"invalid-target","ran":"not-run"/u);
    }
    const receivedIds = site.upstreams.flatMap(({ received }) => received.map(({ id }) => id));
    assert.deepEqual(receivedIds.filter(id => id.startsWith("invalid-")), []);
    assert.equal(receivedIds.includes("after-invalid"), !isRefusedByParser);
    const next = new OverlappingCaller(host);
    next.write(renderRequest({ id: "next", path: "/reads/1" }));
    const [nextAnswer] = await next.waitForAnswers(1, WITHIN_MILLISECONDS);
    next.close();
    assert.equal(nextAnswer?.status, 200);
});

for (
    const [name, bytes] of Object.entries({
        "half a head": "GET /reads/1 HTTP/1.1\r\nHos",
        "no request": "???\r\n\r\n",
    })
) {
    test(`no engine goes on for a caller that left after ${name}, which is to be refused behind its request`, async () => {
        const caller = new OverlappingCaller(host);
        const id = `left-${name.replaceAll(" ", "-")}`;
        caller.write(renderRequest({ id, path: "/reads/never" }) + bytes);
        await delay(HEADER_TIMEOUT_MILLISECONDS + CHECK_MILLISECONDS);
        caller.close();
        await until(() => site.upstreams.some(({ abandoned }) => abandoned.includes(id)), NOTICED_MILLISECONDS);
    });
}

test("a request whose first line has a whole URL is not refused as unknown, and is sent on by its path", async () => {
    const caller = new OverlappingCaller(host);
    caller.write(renderRequest({ id: "absolute", path: `http://${HOST_NAME}/reads/1?x=%20` }));
    const [answer] = await caller.waitForAnswers(1, WITHIN_MILLISECONDS);
    caller.close();
    assert.equal(answer?.status, 200);
    const [received] = site.upstreams.flatMap(upstream => upstream.received.filter(({ id }) => id === "absolute"));
    assert.equal(received?.path, "/reads/1?x=%20");
});

test("a request for a tunnel does not end its connection without an answer", async () => {
    const caller = new OverlappingCaller(host);
    caller.write(`CONNECT ${HOST_NAME}:443 HTTP/1.1\r\nHost: ${HOST_NAME}\r\n\r\n`);
    const [answer] = await caller.waitForAnswers(1, WITHIN_MILLISECONDS);
    caller.close();
    assert.equal(answer?.status, 405);
});

test("a request for a tunnel does not take the answer of the request before it", async () => {
    const caller = new OverlappingCaller(host);
    caller.write(
        `${
            renderRequest({ id: "before-tunnel", path: "/reads/slow" })
        }CONNECT ${HOST_NAME}:443 HTTP/1.1\r\nHost: ${HOST_NAME}\r\n\r\n`,
    );
    const answers = await caller.waitForAnswers(2, WITHIN_MILLISECONDS);
    caller.close();
    assert.deepEqual(answers.map(({ status }) => status), [200, 405]);
    assert.match(answers[0]?.body ?? "", /ran before-tunnel/u);
});

test("a request in the body of another one is not run behind a request for an upgrade", async () => {
    const caller = new OverlappingCaller(host);
    const hidden = renderRequest({ id: "hidden", path: "/reads/1" });
    const headers = { "Proxy-Connection": "Upgrade", "Upgrade": "websocket" };
    const order = renderRequest({ id: "around-hidden", path: "/reads/2", method: "POST", body: hidden });
    const split = order.length - hidden.length;
    caller.write(renderRequest({ id: "upgrade", path: "/reads/slow", headers }) + order.slice(0, split));
    await delay(SLOW_MILLISECONDS / 2);
    caller.write(order.slice(split));
    const answers = await caller.waitForAnswers(3, WITHIN_MILLISECONDS);
    caller.close();
    assert.equal(answers[0]?.status, 200);
    assert.ok(answers.slice(1).every(({ status }) => status === 503));
    assert.equal(site.upstreams.flatMap(({ received }) => received).some(({ id }) => id === "hidden"), false);
});
