/**
 * A host before upstreams of uneven speed, over sockets.
 *
 * @module
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { callHost, EntrySite, type SiteHost, waitUntilReady } from "./support/entrySite.js";

const ANSWER_MILLISECONDS: Readonly<Record<string, number>> = { "i-slow": 45, "i-fast": 15 };
const REQUESTS = 60;
const CONCURRENT_REQUESTS = 3;
const STATUS_OK = 200;

let site: EntrySite;
let host: SiteHost;

/** Starts the upstreams, which answer with a load, and sends requests; returns the log lines of requests sent. */
async function playRequests(load: string) {
    for (const [id, afterMilliseconds] of Object.entries(ANSWER_MILLISECONDS)) {
        const headers = { "Flamingospread-Engine-Load": load };
        await site.addUpstream({ id, slots: 6, behave: () => ({ type: "answer", afterMilliseconds, headers }) });
    }
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
    for (let sent = 0; sent < REQUESTS; sent += CONCURRENT_REQUESTS) {
        const calls = Array.from(
            { length: CONCURRENT_REQUESTS },
            (_, index) => callHost(host, { path: "/reads/1", id: `r-${sent + index}` }),
        );
        for (const { status } of await Promise.all(calls)) {
            assert.equal(status, STATUS_OK);
        }
    }
    return host.lines.filter(({ message }) => message === "request sent").map(({ fields }) => fields);
}

beforeEach(async () => {
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/reads/", kind: "idempotent" }]);
});

afterEach(async () => {
    await site.close();
});

test("a host learns from the answers which upstream is slow, and shows it with each request sent", async () => {
    const lines = await playRequests("1,0,6,100");
    const usual = (id: string) => Number(lines.findLast(({ upstream }) => upstream === id)?.["usualSlowdown"]);
    assert.ok(usual("i-slow") > 1.1 && usual("i-fast") < 0.95, `${usual("i-slow")} and ${usual("i-fast")}`);
});

test("upstreams that report no figure have no slowdown, whatever their answers take", async () => {
    const lines = await playRequests("1,0,6");
    assert.ok(lines.length >= REQUESTS);
    assert.ok(lines.every(fields => fields["slowdown"] === undefined));
});
