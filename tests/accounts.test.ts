/**
 * An entry host whose configuration names client accounts: who is served, and what engines are told.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, mock, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { accountTag, digestKey } from "../src/accounts/index.js";
import { fetchState } from "../src/entry/store/fetchState.js";
import { AccountQuotas } from "../src/quotas/index.js";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import {
    type CallerAnswer,
    type CallerRequest,
    callHost,
    EntrySite,
    ranOf,
    reasonOf,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";

const MILL_KEY = "asnmgkcuyj8pjbvk9m68";
const LOOM_KEY = "k7b2ex5wa5xwyhks8nbk";
const SPARE_KEY = "q2w3e4r5t6y7u8i9o0p1";
const DEADLINE_MILLISECONDS = 1_500;
const SLOW_MILLISECONDS = 700;
const WITHIN_MILLISECONDS = 5_000;
const MODEL = "quotes";
/** On one engine with one slot. */
const FULL_MODEL = "captions";

const ROUTES = [
    { pathPrefix: "/reads/", priority: 4 },
    { pathPrefix: "/open/", public: true },
    { pathPrefix: "/streams/", kind: "stream", resumable: true, timeoutMs: 10_000 },
    { pathPrefix: "/llm/", service: "llm", kind: "stream", resumable: true, priority: 4, timeoutMs: 10_000 },
];

let site: EntrySite;
let host: SiteHost;

function tenants(millKeys: readonly string[], loomKeys: readonly string[] = [LOOM_KEY]): Record<string, unknown> {
    return {
        tenants: [
            { name: "mill", apiKeys: millKeys, priority: 1, unit: "token_stream", plainTokens: 200 },
            { name: "loom", apiKeys: loomKeys, plainTokens: 30, ratePerS: 1_900, burst: 1_900 },
        ],
    };
}

function behave({ id, path }: ReceivedRequest): Behaviour {
    if (path.startsWith("/streams/") || path.startsWith("/llm/")) {
        return id.includes("broken")
            ? { type: "stream", events: 8, breakAfter: 4, gapMilliseconds: 100 }
            : { type: "stream", events: 8, gapMilliseconds: 60 };
    }
    return { type: "answer", afterMilliseconds: path === "/reads/slow" ? SLOW_MILLISECONDS : 0 };
}

/** Stores a configuration and waits until the host has it. */
async function configure(parts: Readonly<Record<string, unknown>>, routes = ROUTES): Promise<void> {
    site.configure(routes, undefined, parts);
    const { version } = site;
    const isInForce = (): boolean =>
        host.lines.some(({ fields, message }) => message === "configuration in force" && fields["version"] === version);
    await until(isInForce);
}

function call(key: string | undefined, request: Partial<CallerRequest> = {}): Promise<CallerAnswer> {
    const authorization = key === undefined ? {} : { Authorization: `Bearer ${key}` };
    return callHost(host, { path: "/reads/1", ...request, headers: { ...authorization, ...request.headers } });
}

function executionsOf(id: string): ReceivedRequest[] {
    return site.upstreams.flatMap(({ received }) => received.filter(request => request.id === id));
}

before(async () => {
    site = await EntrySite.start();
    site.configure(ROUTES, undefined, tenants([MILL_KEY]));
    await site.addUpstream({ id: "i-one", behave, slots: 50 });
    await site.addUpstream({ id: "i-two", behave, slots: 50 });
    await site.addUpstream({ id: "i-full", behave, slots: 1, models: { [FULL_MODEL]: [] } }, "llm");
    await site.addUpstream({ id: "i-llm", behave, slots: 50, models: { [MODEL]: [] } }, "llm");
    host = await site.addHost("entry-1", {
        bounds: { configurationDeadlineMilliseconds: DEADLINE_MILLISECONDS },
    });
    await waitUntilReady(host);
});

after(async () => {
    mock.restoreAll();
    await site.close();
});

test("a request without a known key in the one accepted form is refused, and no engine sees it", async () => {
    const refused = [
        undefined,
        "Bearer",
        "Bearer ",
        `Bearer  ${MILL_KEY}`,
        `bearer ${MILL_KEY}`,
        `Basic ${MILL_KEY}`,
        MILL_KEY,
        `Bearer ${MILL_KEY} ${MILL_KEY}`,
        `Bearer ${MILL_KEY}x`,
    ];
    for (const [index, authorization] of refused.entries()) {
        const id = `refused-${index}`;
        const answer = await callHost(host, {
            path: "/reads/1",
            id,
            headers: authorization === undefined ? {} : { Authorization: authorization },
        });
        assert.deepEqual([answer.status, reasonOf(answer), ranOf(answer)], [401, "unknown-key", "not-run"], id);
        assert.equal(answer.headers["www-authenticate"], "Bearer");
        assert.equal(executionsOf(id).length, 0);
    }
    const caller = new OverlappingCaller(host);
    const repeated = renderRequest({
        id: "repeated",
        path: "/reads/1",
        headers: { "Authorization": `Bearer ${MILL_KEY}`, "authorization": `Bearer ${MILL_KEY}` },
    });
    caller.write(repeated);
    const [answer] = await caller.waitForAnswers(1, WITHIN_MILLISECONDS);
    caller.close();
    assert.equal(answer?.status, 401);
});

test("an engine never gets the key, and gets the account's name and priority whatever the caller sent", async () => {
    const smuggled = { "Flamingospread-Tenant": "loom", "Flamingospread-Request-Priority": "0" };
    const headers = { ...smuggled, "Flamingospread-Model": MODEL };
    assert.equal((await call(MILL_KEY, { path: "/llm/1", method: "POST", id: "mill", headers })).status, 200);
    assert.equal((await call(LOOM_KEY, { path: "/llm/1", method: "POST", id: "loom", headers })).status, 200);
    const described = ["mill", "loom"].map(id => executionsOf(id).map(({ headers: sent }) => sent));
    for (const [index, [sent]] of described.entries()) {
        assert.equal(sent?.authorization, undefined);
        assert.equal(sent?.["flamingospread-tenant"], index === 0 ? "mill" : "loom");
        assert.equal(sent["flamingospread-request-priority"], index === 0 ? "1" : "4");
    }
});

test("a public route needs no key, passes none on, and no caller names an account there", async () => {
    const headers = { "Flamingospread-Tenant": "loom" };
    assert.equal((await call(undefined, { path: "/open/1", id: "open", headers })).status, 200);
    assert.equal((await call(SPARE_KEY, { path: "/open/1", id: "open-unknown", headers })).status, 200);
    assert.equal((await call(MILL_KEY, { path: "/open/1", id: "open-mill", headers })).status, 200);
    const names = ["open", "open-unknown", "open-mill"].map(id =>
        executionsOf(id).map(({ headers: sent }) => [sent["flamingospread-tenant"], sent.authorization])
    );
    assert.deepEqual(names, [[[undefined, undefined]], [[undefined, undefined]], [["mill", undefined]]]);
});

test("a request over the quota reaches no engine, and one that was not run gives its tokens back", async () => {
    const admit = mock.method(
        AccountQuotas.prototype,
        "admit",
        (_: string, tokens: number) =>
            tokens > 1_000 ? { type: "over-quota", retryAfterMilliseconds: 1_234 } : { type: "admitted" },
    );
    const giveBack = mock.method(AccountQuotas.prototype, "giveBack", () => undefined);
    const tokenCount = (count: string): Partial<CallerRequest> => ({
        headers: { "Flamingospread-Token-Count": count },
    });
    const over = await call(LOOM_KEY, { id: "over", ...tokenCount("900,101") });
    assert.deepEqual([over.status, reasonOf(over), ranOf(over)], [429, "over-quota", "not-run"]);
    assert.equal(over.headers["retry-after"], "1.234");
    assert.equal(executionsOf("over").length, 0);
    assert.equal((await call(LOOM_KEY, tokenCount("many"))).status, 200);
    assert.deepEqual(giveBack.mock.calls.length, 0);
    const withoutService = await call(LOOM_KEY, { path: "/llm/1", headers: { "Flamingospread-Model": "absent" } });
    assert.equal(ranOf(withoutService), "not-run");
    assert.deepEqual(admit.mock.calls.map(({ arguments: [name, tokens] }) => [name, tokens]), [
        ["loom", 1_001],
        ["loom", 30],
        ["loom", 30],
    ]);
    const given = giveBack.mock.calls.map(({ arguments: values }) => (values as unknown[]).slice(0, 2));
    assert.deepEqual(given, [["loom", 30]]);
    mock.restoreAll();
});

test("a removed key does not work on an open connection, nor for requests that were pipelined before", async () => {
    await configure(tenants([MILL_KEY, SPARE_KEY]));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    assert.equal((await call(SPARE_KEY, { agent })).status, 200);
    const caller = new OverlappingCaller(host);
    const headers = { Authorization: `Bearer ${SPARE_KEY}` };
    const first = renderRequest({ id: "pipelined-1", path: "/reads/slow", headers });
    caller.write(first + renderRequest({ id: "pipelined-2", path: "/reads/1", headers }));
    await until(() => executionsOf("pipelined-1").length === 1);
    await configure(tenants([MILL_KEY]));
    assert.equal((await call(SPARE_KEY, { agent })).status, 401);
    const answers = await caller.waitForAnswers(2, WITHIN_MILLISECONDS);
    assert.deepEqual(answers.map(({ status }) => status), [200, 401]);
    agent.destroy();
    caller.close();
});

test("a request whose key is removed while it waits is not sent, and one that runs is not broken off", async () => {
    await configure(tenants([MILL_KEY, SPARE_KEY]));
    const request = { path: "/llm/1", method: "POST", headers: { "Flamingospread-Model": FULL_MODEL } };
    const running = call(SPARE_KEY, { ...request, id: "running" });
    await until(() => executionsOf("running").length === 1);
    const waiting = call(SPARE_KEY, { ...request, id: "waiting" });
    const other = call(MILL_KEY, { ...request, id: "other" });
    const waits = (): unknown[] =>
        host.lines.filter(({ message }) => message === "request waits").map(({ fields }) => fields["request"]);
    await until(() => waits().includes("waiting") && waits().includes("other"));
    await configure(tenants([MILL_KEY]));
    const refused = await waiting;
    assert.deepEqual([refused.status, ranOf(refused)], [401, "not-run"]);
    assert.deepEqual([(await running).status, (await other).status], [200, 200]);
    assert.equal(executionsOf("waiting").length, 0);
});

test("a broken stream is not resumed under a key that was removed meanwhile, and a whole one goes on", async () => {
    await configure(tenants([MILL_KEY, SPARE_KEY]));
    const broken = call(SPARE_KEY, { path: "/streams/1", method: "POST", id: "broken-1" });
    const whole = call(SPARE_KEY, { path: "/llm/1", method: "POST", id: "whole-1" });
    await until(() => executionsOf("broken-1").length + executionsOf("whole-1").length === 2);
    await configure(tenants([MILL_KEY]));
    assert.equal((await broken).isComplete, false);
    assert.equal(executionsOf("broken-1").length, 1);
    await call(MILL_KEY, { path: "/streams/1", method: "POST", id: "broken-2" });
    assert.equal(executionsOf("broken-2").length, 2);
    const { body, isComplete, status } = await whole;
    assert.deepEqual([status, isComplete, body.includes("id: 8")], [200, true, true]);
});

test("an account cannot resume another account's stream, and can resume its own", async () => {
    const begun = await call(MILL_KEY, { path: "/streams/1", method: "POST", id: "broken-own" });
    assert.equal(begun.isComplete, false);
    const resume = (key: string): Promise<CallerAnswer> =>
        call(key, {
            path: "/streams/1",
            method: "POST",
            id: key === MILL_KEY ? "resumed-own" : "resumed-foreign",
            headers: { "Resumes": "broken-own", "Last-Event-Id": "2" },
        });
    const foreign = await resume(LOOM_KEY);
    assert.deepEqual([foreign.status, reasonOf(foreign)], [503, "version-unknown"]);
    assert.equal(executionsOf("resumed-foreign").length, 0);
    const own = await resume(MILL_KEY);
    assert.deepEqual([own.status, own.isComplete], [200, true]);
});

test("a host that may lack the newest configuration does not answer 401, and serves the keys that it knows", async () => {
    site.store.mode = "silent";
    await delay(DEADLINE_MILLISECONDS + 300);
    const unknown = await call(SPARE_KEY);
    assert.deepEqual([unknown.status, reasonOf(unknown)], [503, "configuration-outdated"]);
    assert.ok(Number(unknown.headers["retry-after"]) > 0);
    assert.equal((await call(MILL_KEY)).status, 200);
    site.store.mode = "up";
    await until(async () => (await call(SPARE_KEY)).status === 401, WITHIN_MILLISECONDS);
});

test("a key never stands in a log line or in the state that other hosts read", async () => {
    const state = await fetchState(`${host.settings.state.address}:${host.settings.state.port}`);
    const texts = [JSON.stringify(state), ...host.lines.map(line => JSON.stringify(line))];
    assert.ok(texts[0]?.includes(digestKey(MILL_KEY)));
    for (const key of [MILL_KEY, LOOM_KEY, SPARE_KEY]) {
        assert.equal(texts.filter(text => text.includes(key)).length, 0);
    }
    const shown = digestKey(SPARE_KEY).slice(0, 12);
    assert.ok(host.lines.some(({ fields, message }) => message === "request rejected" && fields["key"] === shown));
    assert.ok(host.lines.some(({ fields, message }) => message === "request ended" && fields["account"] === "mill"));
    assert.notEqual(accountTag("mill"), accountTag("loom"));
});

test("a configuration with a faulty account leaves the one before in force, and its error names no key", async () => {
    site.configure(ROUTES, undefined, tenants([MILL_KEY, LOOM_KEY]));
    await until(() => host.lines.some(({ message }) => message === "configuration not readable"));
    const line = host.lines.findLast(({ message }) => message === "configuration not readable");
    assert.match(String(line?.fields["detail"]), /"loom": has a key that account "mill" lists already/);
    assert.equal((await call(MILL_KEY)).status, 200);
});

test("a request without a known key is answered before its body has come", async () => {
    const caller = new OverlappingCaller(host);
    const request = renderRequest({ id: "half", path: "/reads/1", body: "x".repeat(60_000) });
    caller.write(request.slice(0, -1_000));
    const [answer] = await caller.waitForAnswers(1, WITHIN_MILLISECONDS);
    assert.equal(answer?.status, 401);
    await until(() => caller.isClosed, WITHIN_MILLISECONDS);
    caller.close();
});

test("without accounts, callers need no key, and engines get the same bytes as before", async () => {
    await configure({});
    const answer = await call("any", {
        id: "without-accounts",
        headers: { "Flamingospread-Tenant": "named", "X-Custom": "kept" },
    });
    assert.equal(answer.status, 200);
    const [sent] = executionsOf("without-accounts");
    const deadline = sent?.headers["flamingospread-deadline-ms"];
    const instance = sent?.headers["flamingospread-expect-instance"];
    assert.deepEqual(sent?.rawHeaders, [
        ...["Host", "site.example", "Flamingospread-Request-Id", "without-accounts"],
        ...["Authorization", "Bearer any", "Flamingospread-Tenant", "named", "X-Custom", "kept"],
        ...["flamingospread-expect-instance", String(instance), "flamingospread-deadline-ms", String(deadline)],
        ...["Connection", "keep-alive"],
    ]);
});

test("a host without a configuration answers 503", async () => {
    const empty = await EntrySite.start();
    const unconfigured = await empty.addHost("entry-2");
    const answer = await callHost(unconfigured, { path: "/reads/1" });
    assert.deepEqual([answer.status, reasonOf(answer)], [503, "no-configuration"]);
    await empty.close();
});
