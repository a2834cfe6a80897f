import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import { callHost, EntrySite, ready, reasonOf, type SiteHost, until } from "./support/entrySite.js";

/** From this time after its word on, nothing that is new reaches an upstream that leaves. */
const DRAIN_MILLISECONDS = 2_000;

/** What was on its way may reach an upstream for so long after it asked for a pause. */
const ON_THE_WAY_MILLISECONDS = 500;

const PAUSE_SECONDS = 2;

/** Requests that may reach an upstream within its pause. */
const MOST_IN_PAUSE = 2;

const LEAVES = { "Server-Leaving": "1" };

let site: EntrySite;
let host: SiteHost;
/** What each upstream does with the next request; then it answers. */
let next: Map<string, Behaviour>;
/** Requests as they reached upstreams. */
let arrivals: { readonly upstream: string; readonly id: string; readonly at: number; }[];
/** Upstreams are new in each test. */
let round = 0;

function behaveAs(upstream: string): (request: ReceivedRequest) => Behaviour {
    return ({ id }) => {
        arrivals.push({ upstream, id, at: performance.now() });
        const behaviour = next.get(upstream) ?? { type: "answer" };
        next.delete(upstream);
        return behaviour;
    };
}

function name(upstream: string): string {
    return `i-${upstream}-${round}`;
}

async function addUpstreams(...upstreams: string[]): Promise<void> {
    for (const upstream of upstreams.map(name)) {
        await site.addUpstream({ id: upstream, behave: behaveAs(upstream), slots: 50 });
    }
    await until(async () => {
        await callHost(host, { path: "/orders/warm", method: "POST" });
        return upstreams.every(upstream => arrivals.some(arrival => arrival.upstream === name(upstream)));
    });
    arrivals = [];
}

/** Sends orders one after the other for a while. */
async function sendOrders(milliseconds: number): Promise<(number | undefined)[]> {
    const statuses: (number | undefined)[] = [];
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        statuses.push((await callHost(host, { path: "/orders/1", method: "POST" })).status);
        await delay(10);
    }
    return statuses;
}

before(async () => {
    site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 4_000 },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000 },
    ]);
    host = await site.addHost("entry-1");
    await ready(host);
});

beforeEach(() => {
    round += 1;
    next = new Map();
    arrivals = [];
});

afterEach(async () => {
    site.store.mode = "up";
    for (const upstream of site.upstreams.splice(0)) {
        site.store.remove(`servers/${upstream.id}`);
        await upstream.close();
    }
});

after(async () => {
    await site.close();
});

for (
    const [kind, behaviour] of [
        ["a success", { type: "answer", headers: LEAVES }],
        ["a failure of its own", { type: "answer", status: 500, headers: LEAVES }],
        ["a rejection", { type: "not-run", status: 503, headers: LEAVES }],
        ["the head of a stream", { type: "stream", events: 3, headers: LEAVES }],
    ] as const
) {
    test(`an upstream that says with ${kind} that it leaves gets no further request, also while the store is away`, async () => {
        await addUpstreams("one", "two");
        site.store.mode = "refusing";
        next.set(name("one"), behaviour);
        const path = behaviour.type === "stream" ? "/streams/1" : "/orders/1";
        while (!arrivals.some(({ upstream }) => upstream === name("one"))) {
            await callHost(host, { path, method: "POST" });
        }
        const toldAt = performance.now();
        const statuses = await sendOrders(DRAIN_MILLISECONDS / 4);
        const late = arrivals.filter(({ at, upstream }) => upstream === name("one") && at > toldAt);
        assert.deepEqual(late, []);
        assert.ok(statuses.every(status => status === 200), statuses.join());
    });
}

test("a host hears from its peer that an upstream leaves", async () => {
    const other = await site.addHost("entry-2");
    await ready(other);
    await addUpstreams("one", "two");
    next.set(name("one"), { type: "answer", headers: LEAVES });
    while (next.has(name("one"))) {
        await callHost(host, { path: "/orders/1", method: "POST" });
    }
    await until(() =>
        other.lines.some(({ fields, message }) => message === "upstream left" && fields["upstream"] === name("one"))
    );
    await other.host.stop();
});

test("an upstream that turns a request away gets nothing for the time that it asks for, and requests thereafter", async () => {
    await addUpstreams("one", "two");
    next.set(name("one"), { type: "not-run", status: 503, headers: { "Retry-After": String(PAUSE_SECONDS) } });
    while (next.has(name("one"))) {
        assert.equal((await callHost(host, { path: "/orders/1", method: "POST" })).status, 200, "run by the other one");
    }
    const askedAt = performance.now();
    await sendOrders(PAUSE_SECONDS * 1_000 + 500);
    const pauseEnds = askedAt + PAUSE_SECONDS * 1_000;
    const toOne = arrivals.filter(({ upstream }) => upstream === name("one"));
    const inPause = toOne.filter(({ at }) => at > askedAt + ON_THE_WAY_MILLISECONDS && at < pauseEnds);
    assert.ok(inPause.length <= MOST_IN_PAUSE, `${inPause.length} requests in the pause`);
    assert.ok(toOne.some(({ at }) => at >= pauseEnds), "used again after it");
});

test("where all upstreams want nothing for longer than a request may wait, it is refused at once with a true time", async () => {
    await addUpstreams("one");
    next.set(name("one"), { type: "not-run", status: 503, headers: { "Retry-After": "3" } });
    await callHost(host, { path: "/orders/1", method: "POST" });
    const refused = await callHost(host, {
        path: "/orders/1",
        method: "POST",
        headers: { "Flamingospread-Deadline-Ms": "4000" },
    });
    assert.equal(refused.status, 503);
    assert.equal(reasonOf(refused), "upstreams-pause");
    assert.ok(refused.tookMilliseconds < 200, `answered after ${refused.tookMilliseconds} ms`);
    assert.ok(Number(refused.headers["retry-after"]) > 1, String(refused.headers["retry-after"]));
});

test("a pause that is no time is told and changes nothing", async () => {
    await addUpstreams("one");
    next.set(name("one"), { type: "not-run", status: 503, headers: { "Retry-After": "-5" } });
    await callHost(host, { path: "/orders/1", method: "POST" });
    assert.equal((await callHost(host, { path: "/orders/1", method: "POST" })).status, 200);
    assert.ok(host.lines.some(({ message }) => message === "pause not readable"));
});
