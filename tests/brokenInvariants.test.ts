/**
 * An exception in a step of one request fails that request only, with an answer, and frees what it used.
 *
 * @module
 */
import assert from "node:assert/strict";
import { ServerResponse } from "node:http";
import { after, before, mock, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import { callHost, EntrySite, reasonOf, type SiteHost, waitUntilReady } from "./support/entrySite.js";

const SLOTS = 2;

/** Time after which a host no longer uses the load that an upstream reported. */
const REPORT_LIFETIME_MILLISECONDS = 500;

let site: EntrySite;
let host: SiteHost;

/** A status that is read, and with which {@linkcode throwOnOddStatus} lets the answer to the caller throw. */
const ODD_STATUS = 299;

function renderOddAnswer(id: string): string {
    return `HTTP/1.1 ${ODD_STATUS} Odd\r\n`
        + `Flamingospread-Request-Id: ${id}\r\n`
        + "Flamingospread-Response-Signature: s\r\n"
        + "Content-Length: 2\r\n\r\nno";
}

/** Lets the head of an answer with the odd status throw when it is written; the upstream writes its answer as bytes. */
function throwOnOddStatus(): void {
    const writeHead = Reflect.get(ServerResponse.prototype, "writeHead") as (...head: readonly unknown[]) => unknown;
    mock.method(ServerResponse.prototype, "writeHead", function(this: ServerResponse, ...head: readonly unknown[]) {
        if (head[0] === ODD_STATUS) {
            throw new RangeError(`status ${ODD_STATUS} cannot be written`);
        }
        return Reflect.apply(writeHead, this, head);
    });
}

function behave({ id, path }: ReceivedRequest): Behaviour {
    return path === "/orders/odd" ? { type: "raw", bytes: renderOddAnswer(id) } : { type: "answer" };
}

before(async () => {
    throwOnOddStatus();
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent" }]);
    await site.addUpstream({ id: "i-odd", slots: SLOTS, behave });
    host = await site.addHost("entry-1");
    await waitUntilReady(host);
});

after(async () => {
    mock.restoreAll();
    await site.close();
});

test("a request whose handling throws before its answer has begun is answered with 502", async () => {
    const answer = await callHost(host, { path: "/orders/odd", method: "POST" });
    assert.deepEqual([answer.status, answer.isComplete], [502, true]);
    assert.equal(reasonOf(answer), "broken-invariant");
});

test("a request whose handling throws occupies no slot of its upstream afterwards", async () => {
    for (let round = 0; round < SLOTS * 2; round += 1) {
        const answer = await callHost(host, { path: "/orders/odd", method: "POST" });
        assert.equal(reasonOf(answer), "broken-invariant");
    }
    await delay(REPORT_LIFETIME_MILLISECONDS);
    const answer = await callHost(host, { path: "/orders/sound", method: "POST" });
    assert.equal(answer.status, 200, answer.body);
});
