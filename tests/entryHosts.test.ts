/**
 * Several entry hosts: readiness, addresses, shutdown, changes of the configuration, outages of the key-value service,
 * and engine holders.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { openGossipLink } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { startRelay } from "./_relay.js";
import {
    callAuxiliaryServer,
    callHost,
    engineSettings,
    EntrySite,
    reasonOf,
    requestAdapter,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";

/** Time by which a configuration is in force on a host that reaches the key-value service. */
/** No address of this machine: it is set aside for documentation. */
const FOREIGN_ADDRESS = "192.0.2.1";

const CONFIGURATION_MILLISECONDS = 2_000;

/** A failure of the key-value service older than this no longer excuses a late configuration. */
const STORE_FAILURE_EXCUSE_MILLISECONDS = 3_000;

const ENGINE = engineSettings(2, { quotes: 4, specs: 0 });

async function startSite(context: TestContext): Promise<EntrySite> {
    const site = await EntrySite.start();
    context.after(() => site.close());
    site.configure([{ pathPrefix: "/reads/" }, {
        pathPrefix: "/llm/",
        kind: "stream",
        service: "llm",
        resumable: true,
    }], ENGINE);
    return site;
}

function hasLogged(host: SiteHost, message: string, fields: Readonly<Record<string, unknown>> = {}): boolean {
    return host.lines.some(line =>
        line.message === message && Object.entries(fields).every(([name, value]) => line.fields[name] === value)
    );
}

/** A site of two hosts with one engine that one of them holds. */
interface HeldEngine {
    readonly site: EntrySite;
    readonly engine: PlatformUpstreamStandIn;
    readonly one: SiteHost;
    readonly holder: SiteHost;
    readonly other: SiteHost;
}

async function startHeldEngine(context: TestContext): Promise<HeldEngine> {
    const site = await startSite(context);
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [], specs: [] }, behave: () => ({ type: "stream", events: 3 }), slots: 8 },
        "llm",
    );
    const [one, two] = await Promise.all([site.addHost("one"), site.addHost("two")]);
    await Promise.all([one, two].map(host => waitUntilReady(host)));
    await until(() => [one, two].some(host => hasLogged(host, "engine taken", { engine: "i-engine" })));
    const [holder, other] = hasLogged(one, "engine taken") ? [one, two] : [two, one];
    return { site, engine, one, holder, other };
}

async function resolveAddresses(host: SiteHost, zone: string): Promise<string[]> {
    const { body } = await callAuxiliaryServer(
        host.settings.directory,
        `/resolve?name=site.example&region=r&zone=${zone}`,
    );
    return (JSON.parse(body) as { addresses: string[]; }).addresses.sort();
}

function callersAddress({ settings }: SiteHost): string {
    return `${settings.callers.address}:${settings.callers.port}`;
}

test("a host without a configuration is not ready and refuses requests; with one it serves them", async context => {
    const site = await EntrySite.start();
    context.after(() => site.close());
    const host = await site.addHost("entry-1");
    assert.equal((await callAuxiliaryServer(host.settings.readiness, "/ready")).status, 503);
    const refused = await callHost(host, { path: "/reads/1" });
    assert.deepEqual([refused.status, reasonOf(refused)], [503, "no-configuration"]);
    site.configure([{ pathPrefix: "/reads/" }]);
    await site.addUpstream({ id: "i-one" });
    await waitUntilReady(host);
    await until(async () => (await callHost(host, { path: "/reads/1" })).status === 200);
});

test("a host that cannot listen on one of its addresses fails to start and closes the sockets it had opened", async context => {
    const site = await startSite(context);
    const { state, ...others } = await site.createSettings("entry-2");
    const settings = { ...others, state: { ...state, address: FOREIGN_ADDRESS } };
    await assert.rejects(site.startHost(settings), /EADDRNOTAVAIL/);
    await waitUntilReady(await site.startHost({ ...settings, state }));
});

test("callers receive the hosts of their zone, all hosts if the zone has too few, and never a leaving host", async context => {
    const site = await startSite(context);
    const [one, two, three] = await Promise.all([
        site.addHost("one"),
        site.addHost("two"),
        site.addHost("three", { zone: "zone-b" }),
    ]);
    await Promise.all([one, two, three].map(host => waitUntilReady(host)));
    await until(async () => (await resolveAddresses(one, "zone-b")).length === 3);
    assert.deepEqual(await resolveAddresses(three, "zone-a"), [callersAddress(one), callersAddress(two)].sort());
    const stopped = two.host.stop();
    await until(async () => !(await resolveAddresses(one, "zone-a")).includes(callersAddress(two)), 500);
    assert.equal((await callAuxiliaryServer(two.settings.readiness, "/ready")).status, 503);
    assert.equal(
        (await callHost(two, { path: "/unknown/" })).status,
        404,
        "callers that cached the address are still served",
    );
    await stopped;
});

test("a stopping host finishes accepted requests, and refuses later ones as not run once cached addresses have expired", async context => {
    const site = await startSite(context);
    site.configure([{ pathPrefix: "/reads/", timeoutMs: 4_000 }]);
    await site.addUpstream({
        id: "i-one",
        slots: 50,
        behave: ({ path }) => ({ type: "answer", afterMilliseconds: path === "/reads/slow" ? 2_500 : 0 }),
    });
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await until(async () => (await callHost(host, { path: "/reads/1" })).status === 200);
    const early = callHost(host, { path: "/reads/slow", id: "early" });
    await delay(50);
    const stopping = host.host.stop();
    await delay(600);
    const late = callHost(host, { path: "/reads/slow", id: "late" });
    assert.equal((await early).status, 200);
    assert.deepEqual([(await late).status, (await late).headers.connection], [200, "close"]);
    await delay(500);
    const after = await callHost(host, { path: "/reads/1" });
    assert.ok(after.status === undefined || after.status === 503, `status ${after.status}`);
    await stopping;
});

test("a change of the configuration is in force on every host within a second, and an older version changes nothing", async context => {
    const site = await startSite(context);
    await site.addUpstream({ id: "i-one" });
    const one = await site.addHost("one");
    const two = await site.addHost("two");
    await Promise.all([one, two].map(host => waitUntilReady(host)));
    await until(async () => (await callHost(two, { path: "/reads/1" })).status === 200);
    site.configure([{ pathPrefix: "/added/" }]);
    for (const host of [one, two]) {
        await until(async () => (await callHost(host, { path: "/added/1" })).status === 200, 1_000);
        assert.equal((await callHost(host, { path: "/reads/1" })).status, 404);
    }
    site.store.put("op/config", { version: site.version - 1, routes: [], services: [], limits: {} });
    await delay(200);
    assert.equal(
        (await callHost(one, { path: "/added/1" })).status,
        200,
        "an older or unreadable version changes nothing",
    );
});

test("hosts serve requests during an outage of the key-value service, and a host that starts then gets its state from a seed", async context => {
    const site = await startSite(context);
    await site.addUpstream({ id: "i-one" });
    await site.addUpstream({ id: "i-engine", models: { quotes: [], specs: [] }, slots: 8 }, "llm");
    const one = await site.addHost("one");
    await waitUntilReady(one);
    await until(() => hasLogged(one, "engine taken", { engine: "i-engine" }));
    await until(async () => (await callHost(one, { path: "/reads/1" })).status === 200);
    site.store.mode = "refusing";
    await until(() => hasLogged(one, "key-value service lost"), 9_000);
    assert.equal((await callHost(one, { path: "/reads/1" })).status, 200);
    const { state } = one.settings;
    const late = await site.addHost("late", { seeds: [`${state.address}:${state.port}`] });
    await until(async () => (await callHost(late, { path: "/reads/1" })).status === 200, 3_000);
    await delay(2_500);
    const before = site.store.calls.length;
    await delay(2_000);
    const calls = site.store.calls.slice(before);
    assert.ok(!calls.includes("/kv-txn"), "no host tries to take engines in an outage");
    assert.ok(calls.length <= 20, `${calls.length} calls of two hosts in two seconds of an outage`);
    site.store.mode = "up";
    await until(() => hasLogged(one, "key-value service regained"), 3_000);
    await until(() => hasLogged(late, "session began"), 3_000);
});

test("holders order engines during an outage of the key-value service while all hosts consent, but not once one has stopped", async context => {
    const { engine, holder, one, other, site } = await startHeldEngine(context);
    await until(async () => (await requestAdapter(one, "a1")).status === 200);
    site.store.mode = "refusing";
    await delay(1_900);
    assert.equal((await requestAdapter(one, "a2")).status, 200);
    assert.ok(![holder, other].some(host => hasLogged(host, "engine relinquished")));
    await other.host.close();
    await until(() => hasLogged(holder, "engine relinquished"), 1_900);
    const ordered = engine.orders.length;
    if (holder === one) {
        assert.notEqual((await requestAdapter(one, "a3")).status, 200);
    }
    assert.equal(engine.orders.length, ordered);
});

test("a holder that stops during an outage of the key-value service sends orders until it ends, then relinquishes the engine", async context => {
    const { engine, holder, other, site } = await startHeldEngine(context);
    await until(async () => (await requestAdapter(other, "a1")).status === 200);
    site.store.mode = "refusing";
    await until(() => hasLogged(holder, "key-value service lost"), 2_000);
    await delay(800);
    const calls = site.store.calls.length;
    site.store.keepsLeasesWhileUnavailable = true;
    const stopping = holder.host.stop();
    await delay(1_500);
    assert.equal((await requestAdapter(other, "a2")).status, 200);
    await stopping;
    const written = site.store.calls.slice(calls).filter(call => call === "/kv-txn");
    assert.deepEqual(written, [], "an unanswered release could take effect later");
    assert.ok(hasLogged(holder, "engine relinquished", { engine: "i-engine", reason: "host stops" }));
    const ordered = engine.orders.length;
    assert.notEqual((await requestAdapter(other, "a3")).status, 200);
    assert.equal(engine.orders.length, ordered);
});

test("a holder whose session ends logs the engines it relinquishes", async context => {
    const site = await startSite(context);
    await site.addUpstream({ id: "i-engine", models: { quotes: [], specs: [] }, slots: 8 }, "llm");
    const one = await site.addHost("one");
    await until(() => hasLogged(one, "engine taken", { engine: "i-engine" }));
    const began = one.lines.find(({ message }) => message === "session began");
    site.store.expireLease(Number(began?.fields["session"]));
    await until(() => hasLogged(one, "session lost"), 1_000);
    assert.ok(hasLogged(one, "engine relinquished", { engine: "i-engine", reason: "session lost" }));
});

test("a host lists the key-value service again after the history of changes was lost", async context => {
    const site = await startSite(context);
    const removed = await site.addUpstream({ id: "i-gone" });
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await until(() => hasLogged(host, "upstream joined", { upstream: "i-gone" }));
    site.store.mode = "silent";
    site.store.remove("servers/i-gone");
    site.store.compact();
    await site.addUpstream({ id: "i-new" });
    site.store.mode = "up";
    site.store.compact();
    await until(() => hasLogged(host, "upstream joined", { upstream: "i-new" }), 5_000);
    await until(() => hasLogged(host, "upstream left", { upstream: "i-gone" }), 5_000);
    assert.equal(removed.received.length, 0);
});

test("an adapter that a request names is loaded by the engine's holder, whichever host received the request", async context => {
    const site = await startSite(context);
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [], specs: [] }, behave: () => ({ type: "stream", events: 3 }), slots: 8 },
        "llm",
    );
    const hosts = [await site.addHost("one"), await site.addHost("two")];
    await Promise.all(hosts.map(host => waitUntilReady(host)));
    await until(() => hosts.some(host => hasLogged(host, "engine taken", { engine: "i-engine" })));
    await until(() => hosts.every(host => hasLogged(host, "upstream joined", { upstream: "i-engine" })));
    for (const [index, host] of hosts.entries()) {
        const headers = { "Flamingospread-Model": `quotes/a${index + 1}`, "Flamingospread-Token-Count": "100,20" };
        const answer = await callHost(host, { path: "/llm/1", method: "POST", headers });
        assert.equal(answer.status, 200, `through ${host.name}`);
    }
    const holders = new Set(engine.orders.map(({ order }) => order["holder"]));
    assert.equal(holders.size, 1, "one holder sends all orders");
    assert.deepEqual(engine.orders.map(({ status }) => status), [202, 202]);
});

test("a further adapter replaces an unused one, and the engine's adapter slots are never exceeded", async context => {
    const site = await startSite(context);
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [], specs: [] }, behave: () => ({ type: "stream", events: 2 }), slots: 8 },
        "llm",
    );
    const host = await site.addHost("one");
    await waitUntilReady(host);
    await until(() => hasLogged(host, "engine taken", { engine: "i-engine" }));
    for (const adapter of ["a1", "a2", "a3", "a4"]) {
        const answer = await callHost(host, {
            path: "/llm/1",
            method: "POST",
            headers: { "Flamingospread-Model": `quotes/${adapter}` },
        });
        assert.equal(answer.status, 200, adapter);
    }
    let adapterCount = 0;
    for (const { order } of engine.orders) {
        adapterCount += order["operation"] === "load" ? 1 : -1;
        assert.ok(adapterCount <= ENGINE.adapterSlots);
    }
});

test("a model without a copy is loaded, and requests waiting for it are served", async context => {
    const site = await startSite(context);
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [] }, behave: () => ({ type: "stream", events: 2 }), slots: 8 },
        "llm",
    );
    const host = await site.addHost("one");
    await waitUntilReady(host);
    await until(
        () => engine.orders.some(({ order }) => order["model"] === "specs" && order["operation"] === "load"),
        4_000,
    );
    site.announce(engine, "llm", { sequence: 41 });
    const answer = await callHost(host, {
        path: "/llm/1",
        method: "POST",
        headers: { "Flamingospread-Model": "specs" },
    });
    assert.equal(answer.status, 200);
});

test("when a holder stops, another host takes its engine, and fencing numbers of orders never decrease", async context => {
    const site = await startSite(context);
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [], specs: [] }, behave: () => ({ type: "stream", events: 2 }), slots: 8 },
        "llm",
    );
    const hosts = [await site.addHost("one"), await site.addHost("two")];
    await Promise.all(hosts.map(host => waitUntilReady(host)));
    await until(() => hosts.some(host => hasLogged(host, "engine taken", { engine: "i-engine" })));
    const holder = hosts.find(host => hasLogged(host, "engine taken", { engine: "i-engine" }));
    const other = hosts.find(host => host !== holder);
    assert.ok(holder !== undefined && other !== undefined);
    const requestAdapterFrom = (host: SiteHost, adapter: string): ReturnType<typeof callHost> =>
        callHost(host, { path: "/llm/1", method: "POST", headers: { "Flamingospread-Model": `quotes/${adapter}` } });
    await until(async () => (await requestAdapterFrom(other, "a1")).status === 200);
    const stopped = holder.host.stop();
    await until(() => hasLogged(other, "engine taken", { engine: "i-engine" }));
    await until(async () => (await requestAdapterFrom(other, "a2")).status === 200);
    const fencingNumbers = engine.orders.map(({ order }) => Number(order["fenceToken"]));
    assert.deepEqual(fencingNumbers, [...fencingNumbers].sort((left, right) => left - right));
    assert.ok(new Set(engine.orders.map(({ order }) => order["holder"])).size === 2);
    await stopped;
});

test("a host that takes over an engine notifies the previous holder, which may not reach the key-value service", async context => {
    const site = await startSite(context);
    const [port = 0] = await findFreePorts(1);
    const notifications: { readonly engine: string; readonly host: string; }[] = [];
    const link = await openGossipLink({
        address: "127.0.0.1",
        port,
        onMessage: message => {
            if (message.type === "holder") {
                notifications.push({ engine: message.engine, host: message.holder.host });
            }
        },
        onProblem: () => undefined,
    });
    context.after(() => link.close());
    const address = `127.0.0.1:${port}`;
    const addresses = { callers: address, gossip: address, state: address };
    site.store.put("hosts/before", { host: "before", session: "restarted", zone: "zone-a", addresses });
    site.store.put("holders/i-engine", { host: "before", session: "ended", released: false, settled: true });
    await site.addUpstream({ id: "i-engine", models: { quotes: [], specs: [] } }, "llm");
    await site.addHost("entry-1");
    await until(() => notifications.length > 0);
    assert.deepEqual(notifications[0], { engine: "i-engine", host: "entry-1" });
});

test("a host that reaches the key-value service learns of changes while the watching hosts of its cell get no answers", async context => {
    const site = await startSite(context);
    const relay = await startRelay(`http://${site.store.address}`);
    context.after(() => relay.close());
    const watchers = ["entry-1", "entry-2", "entry-3"];
    const storeAddress = relay.url.replace("http://", "");
    await Promise.all(watchers.map(name => site.addHost(name, { storeAddress })));
    const connected = await site.addHost("entry-4");
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    await until(() => hasLogged(connected, "watch left to others of the cell"));
    relay.stallIncludingNew();
    await delay(STORE_FAILURE_EXCUSE_MILLISECONDS);
    site.configure([{ pathPrefix: "/reads/" }, { pathPrefix: "/new/" }], ENGINE);
    const { version } = site;
    await until(() => hasLogged(connected, "configuration in force", { version }), CONFIGURATION_MILLISECONDS);
});
