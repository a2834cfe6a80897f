/**
 * Answers of upstreams that have no body by their status, or by the method of their request.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { callHost, EntrySite, type SiteHost, waitUntilReady } from "./support/entrySite.js";

const BODILESS: readonly { readonly method: string; readonly status: number; }[] = [
    { method: "POST", status: 204 },
    { method: "GET", status: 204 },
    { method: "GET", status: 304 },
    { method: "HEAD", status: 200 },
    { method: "HEAD", status: 404 },
];

const behaviours = new Map<string, Behaviour>();
let site: EntrySite;
let host: SiteHost;

before(async () => {
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent" }, { pathPrefix: "/streams/", kind: "stream" }]);
    await site.addUpstream({ id: "plain-1", behave: request => behaviours.get(request.id) ?? { type: "answer" } });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(() => site.close());

// Guards against a host that ends when an upstream answers with 204.
test("an answer without a body is passed on as it is, and the connection serves the next request", async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (const path of ["/orders/1", "/streams/1"]) {
        for (const { method, status } of BODILESS) {
            const id = `bodiless${path}${method}${status}`;
            behaviours.set(id, { type: "answer", status, body: "" });
            const answer = await callHost(host, { path, method, id, agent });
            assert.deepEqual([answer.status, answer.body, answer.isComplete], [status, "", true], id);
            assert.equal(answer.headers["flamingospread-response-signature"], "receipt-plain-1", id);
            assert.equal((await callHost(host, { path: "/orders/1", method: "POST", agent })).status, 200, id);
        }
    }
    agent.destroy();
});

test("an answer with 204 names no length", async () => {
    behaviours.set("no-length", { type: "answer", status: 204, body: "" });
    const answer = await callHost(host, { path: "/orders/1", method: "POST", id: "no-length" });
    assert.deepEqual([answer.status, answer.headers["content-length"]], [204, undefined]);
});
