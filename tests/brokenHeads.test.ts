/**
 * Answers of upstreams whose heads no answer has: they reach no caller, and are repeated elsewhere where that is allowed.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { type CallerAnswer, callHost, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { renderHead } from "./support/rawEngine.js";
import { executionsOf, ScriptedBehaviours } from "./support/scriptedBehaviours.js";

const BODY = "forty reels";
const PLAIN_ANSWER: Behaviour = { type: "answer", body: "all reels" };
const EVENTS = "id: 1\ndata: 1\n\n";
const WHOLE_STREAM: Behaviour = { type: "stream", events: 1 };

const script = new ScriptedBehaviours(PLAIN_ANSWER);
let scriptedCount = 0;
let site: EntrySite;
let host: SiteHost;

interface BrokenAnswer {
    readonly lines?: string;
    readonly status?: string;
    readonly body?: string;
    readonly resetsAtEnd?: boolean;
}

/** Calls a host; the first upstream that is asked sends the broken answer, a further one a sound answer. */
async function callWithBroken(
    path: string,
    { body = BODY, lines = `Content-Length: ${BODY.length}\r\n`, resetsAtEnd = false, status }: BrokenAnswer,
): Promise<{ readonly answer: CallerAnswer; readonly executions: number; }> {
    scriptedCount += 1;
    const id = `broken-${scriptedCount}`;
    const bytes = renderHead(id, lines, status) + body;
    const sound = path.startsWith("/streams/") ? WHOLE_STREAM : PLAIN_ANSWER;
    script.set(id, { type: "raw", bytes, resetsAtEnd }, sound);
    const answer = await callHost(host, { path, method: "POST", id });
    return { answer, executions: executionsOf(site, id).length };
}

/** Asserts that a broken answer reaches no caller, and that a request which may run again is answered elsewhere. */
async function assertNotTaken(name: string, broken: BrokenAnswer): Promise<void> {
    const order = await callWithBroken("/orders/1", broken);
    assert.deepEqual([order.answer.status, order.executions], [502, 1], `${name}: ${order.answer.body}`);
    const read = await callWithBroken("/reads/1", broken);
    assert.deepEqual([read.answer.status, read.answer.body, read.executions], [200, "all reels", 2], name);
    const stream = await callWithBroken("/streams/1", { body: EVENTS, ...broken });
    assert.deepEqual([stream.answer.status, stream.answer.body, stream.executions], [200, EVENTS, 2], name);
}

/** Returns what is wrong with the broken answers to requests that the host has logged since a line. */
function loggedFaults(firstLine: number): Set<unknown> {
    const lines = host.lines.slice(firstLine).filter(({ message }) => message === "answer broken");
    return new Set(lines.map(line => line.fields["fault"]));
}

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/reads/", kind: "idempotent" },
        { pathPrefix: "/orders/", kind: "non_idempotent" },
        { pathPrefix: "/streams/", kind: "stream", resumable: true },
    ]);
    for (const id of ["i-one", "i-two", "i-three"]) {
        await site.addUpstream({ id, behave: script.behave, slots: 50 });
    }
    host = await site.addHost("entry-1", { bounds: { retryExtra: 1_000 } });
    await waitUntilReady(host);
    await until(async () => (await callHost(host, { path: "/reads/1" })).status === 200);
});

after(() => site.close());

test("a body in a transfer coding that is not undone does not reach a caller", async () => {
    const firstLine = host.lines.length;
    for (const coding of ["gzip", "gzip, chunked", "chunked, gzip", "x-odd"]) {
        await assertNotTaken(coding, { lines: `Transfer-Encoding: ${coding}\r\n` });
    }
    assert.ok(loggedFaults(firstLine).has("transfer-coding"));
});

test("an answer with the transfer coding identity is cut off by a reset, and whole after an end in order", async () => {
    const lines = "Transfer-Encoding: identity\r\n";
    await assertNotTaken("identity, reset", { lines, resetsAtEnd: true });
    const { answer, executions } = await callWithBroken("/orders/1", { lines });
    assert.deepEqual([answer.status, answer.body, executions], [200, BODY, 1]);
});

test("a status that no final answer has does not reach a caller, and its request is repeated where it may be", async () => {
    const firstLine = host.lines.length;
    for (const status of ["000 Odd", "001 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd"]) {
        await assertNotTaken(status, { status });
    }
    const lines = "Connection: upgrade\r\nUpgrade: odd\r\n";
    await assertNotTaken("101 with an upgrade", { status: "101 Switching Protocols", lines });
    assert.deepEqual([...loggedFaults(firstLine)], ["status"]);
});

test("statuses of all classes that final answers have reach the caller of an order", async () => {
    for (const status of [200, 299, 302, 404, 499]) {
        const { answer } = await callWithBroken("/orders/1", { status: `${status} Odd` });
        assert.deepEqual([answer.status, answer.body], [status, BODY]);
    }
});

test("control bytes in the name or value of a field do not reach a caller", async () => {
    const length = `Content-Length: ${BODY.length}\r\n`;
    const fields = ["\0", "\u0001", "\t", "\r", "\u007f"].map(byte => `X${byte}Odd: 1\r\n`);
    const values = ["\0", "\u0001", "\r", "\u007f"].map(byte => `X-Odd: a${byte}b\r\n`);
    for (const field of [...fields, ...values]) {
        await assertNotTaken(JSON.stringify(field), { lines: length + field });
    }
});

test("a name of a field that cannot be one does not reach a caller, and its request is repeated where it may be", async () => {
    const firstLine = host.lines.length;
    const length = `Content-Length: ${BODY.length}\r\n`;
    const names = ["X Odd", "X-Odd ", " X-Odd", "", "X(Odd)", "X\u00e9"];
    for (const name of names) {
        await assertNotTaken(`"${name}"`, { lines: `${length}${name}: 1\r\n` });
    }
    await assertNotTaken("length without framing", { lines: `Content Length: ${BODY.length}\r\n` });
    await assertNotTaken("chunks without framing", { lines: "Transfer Encoding: chunked\r\n" });
    assert.ok(loggedFaults(firstLine).has("field"));
});
