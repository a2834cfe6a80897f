/**
 * Malformed, oversized and crashing requests: each is rejected, and other callers are served by the same process.
 *
 * @module
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { request } from "undici";
import { waitUntil } from "../demo/sites.js";
import { type Refusal } from "../src/generated/callers.js";
import { CRASH_MARKER } from "../standins/engine.js";
import {
    chat,
    expectedText,
    fetchAddresses,
    order,
    readEngine,
    readPlain,
    startTestSite,
    type TestSite,
} from "./_testSite.js";

const HEADER_BYTES = 16_384;
const BODY_BYTES = 65_536;

let site: TestSite;
before(async () => {
    site = await startTestSite({
        engine: { tokenMilliseconds: 0 },
        settings: { limits: { requestBodyBytes: BODY_BYTES, headerBytes: HEADER_BYTES, slowCallerMilliseconds: 500 } },
    });
});
after(() => site.close());

function hostUrl(index: number): string {
    return site.hosts[index]?.callersUrl ?? "";
}

/** Asserts that the host process has not exited and still serves other callers. */
async function assertUnaffected(): Promise<void> {
    const answer = await chat(hostUrl(0), { prompt: "still there?" });
    assert.equal(answer.text, expectedText({ prompt: "still there?" }));
    assert.equal(site.hosts[0]?.process.child.exitCode, null);
}

async function post(path: string, body: string, headers: Record<string, string> = {}) {
    const answer = await request(`${hostUrl(0)}${path}`, { method: "POST", body, headers });
    return { status: answer.statusCode, error: (await answer.body.json() as { error: Refusal; }).error };
}

const messages = [{ role: "user", content: "hello" }];
const CHAT = "/v1/chat/completions";
const CUT = "/v1/services/line/cut";
const REFUSED: readonly (readonly [string, string, string, Record<string, string>, number, string])[] = [
    [
        "a body that is too large",
        CHAT,
        JSON.stringify({ model: "quotes", messages, x: "x".repeat(BODY_BYTES) }),
        {},
        413,
        "body-too-large",
    ],
    ["a body that is not JSON", CHAT, "{\"model\":", {}, 400, "invalid-request"],
    ["a body of the wrong shape", CHAT, "{\"model\":\"quotes\",\"messages\":7}", {}, 400, "invalid-request"],
    ["an unknown model", CHAT, JSON.stringify({ model: "nothing", messages }), {}, 404, "unknown-model"],
    ["an unknown adapter", CHAT, JSON.stringify({ model: "quotes:nothing", messages }), {}, 404, "unknown-adapter"],
    ["an order without a key", CUT, "{}", {}, 400, "missing-order-key"],
    ["an order with a malformed key", CUT, "{}", { "idempotency-key": "k".repeat(600) }, 400, "malformed-order-key"],
    ["an unknown service", "/v1/services/nothing/cut", "{}", { "idempotency-key": "k1" }, 404, "unknown-service"],
    ["an unknown call", "/v1/services/line/nothing", "{}", { "idempotency-key": "k2" }, 404, "unknown-call"],
    [
        "an order whose body is too large",
        CUT,
        "x".repeat(BODY_BYTES + 1),
        { "idempotency-key": "k3" },
        413,
        "body-too-large",
    ],
];

for (const [name, path, body, headers, status, reason] of REFUSED) {
    test(`${name} is refused as not run`, async () => {
        const answer = await post(path, body, headers);
        assert.deepEqual([answer.status, answer.error.reason, answer.error.ran], [status, reason, "not-run"]);
        await assertUnaffected();
    });
}

test("no refused order was executed", async () => {
    assert.equal((await readPlain(site)).totalRuns, 0);
});

test("a reused order key with a different body is refused and not executed", async () => {
    const { ticket } = (await fetchAddresses(hostUrl(0))).addresses.find(({ url }) => url === hostUrl(0))
        ?? { ticket: "" };
    assert.equal((await order(hostUrl(0), `${ticket}/a`, "{\"reel\":1}")).status, 200);
    const second = await order(hostUrl(0), `${ticket}/a`, "{\"reel\":2}");
    assert.equal(second.refusal?.reason, "order-key-reused");
    assert.equal((await readPlain(site)).runs[`${ticket}/a`], 1);
});

test("too many headers close only the connection that sent them", async () => {
    const socket = connect(Number(new URL(hostUrl(0)).port), "127.0.0.1");
    socket.on("error", () => undefined);
    socket.resume();
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.write("GET /v1/health HTTP/1.1\r\nhost: a\r\n");
    for (let index = 0; index < 4 * HEADER_BYTES / 64 && socket.writable; index += 1) {
        socket.write(`x-header-${index}: ${"x".repeat(64)}\r\n`);
    }
    await closed;
    await assertUnaffected();
});

test("a caller that never reads its answer is disconnected after a time limit, and its request ends", async () => {
    const body = JSON.stringify({ model: "quotes", messages, max_tokens: 500_000, stream: true });
    const socket = connect(Number(new URL(hostUrl(0)).port), "127.0.0.1");
    socket.on("error", () => undefined);
    socket.pause();
    socket.write(`POST ${CHAT} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    await waitUntil(async () => {
        const answer = await request(`${hostUrl(0)}/v1/status`);
        const status = await answer.body.json() as { openRequests: number; totals: Record<string, number>; };
        return status.openRequests === 0 && (status.totals["refusals.caller-too-slow"] ?? 0) > 0;
    }, "the slow caller's request ends");
    await assertUnaffected();
    socket.destroy();
});

test("a request that crashes engines and is retried at all hosts crashes at most two", async () => {
    const refusalReasons: (string | undefined)[] = [];
    for (let attempt = 0; attempt < 9; attempt += 1) {
        const outcome = await chat(hostUrl(attempt % 3), { prompt: CRASH_MARKER });
        assert.ok(!outcome.isComplete);
        refusalReasons.push(outcome.refusal?.reason);
    }
    const states = await Promise.all([...site.engines.values()].map(readEngine));
    const crashes = states.reduce((sum, { restarts }) => sum + restarts, 0);
    assert.ok(crashes <= 2, `${crashes} engines crashed`);
    assert.equal(refusalReasons.at(-1), "request-crashes-engines");
    assert.deepEqual(states.flatMap(({ violations }) => violations), []);
});
