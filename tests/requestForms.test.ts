/**
 * Forms of a request that HTTP/1.1 allows beside the usual one.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { EntrySite, HOST_NAME, type SiteHost, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";

const SLOW_MILLISECONDS = 200;
const WITHIN_MILLISECONDS = 5_000;

let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/reads/", timeoutMs: 6_000 }]);
    await site.addUpstream({
        id: "i-sound",
        slots: 50,
        behave: ({ path }) => ({ type: "answer", afterMilliseconds: path === "/reads/slow" ? SLOW_MILLISECONDS : 0 }),
    });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    await site.close();
});

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
