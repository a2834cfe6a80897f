/**
 * The key-value service is restored from an older snapshot. Records of holders may be lost, so that hosts must wait for
 * unknown holders to stop before they order engines, and must not return to older configurations or announcements.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { ENGINE_ROUTE, startEngineSite } from "./support/engineSite.js";
import {
    callHost,
    countLines,
    engineSettings,
    type EntrySite,
    requestAdapter,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";

/** Time after the last renewal it sent until a holder stops; the test's sites hand over within 300 ms more. */
const LOST_HOLDER_STOP_MILLISECONDS = 1_800;

const ENGINE = engineSettings(4, { quotes: 8 });

const READS_ROUTE = { pathPrefix: "/reads/" };

interface RestoredSite {
    readonly site: EntrySite;
    readonly engine: PlatformUpstreamStandIn;
    readonly hosts: readonly [SiteHost, SiteHost];
}

/** Starts a site without hosts or upstreams, whose key-value service was never restored. */
async function startEmptySite(context: TestContext): Promise<EntrySite> {
    const site = await startEngineSite({ engine: ENGINE, otherRoutes: [READS_ROUTE], era: 1 });
    context.after(() => site.close());
    return site;
}

async function startSite(context: TestContext): Promise<RestoredSite> {
    const site = await startEmptySite(context);
    await site.addUpstream({ id: "i-plain" });
    const hosts = await Promise.all([site.addHost("one"), site.addHost("two")]);
    await Promise.all(hosts.map(host => waitUntilReady(host)));
    const engine = await site.addUpstream(
        { id: "i-engine", models: { quotes: [] }, behave: () => ({ type: "stream", events: 3 }), slots: 8 },
        "llm",
    );
    return { site, engine, hosts };
}

function callPlain(host: SiteHost, path = "/reads/1"): ReturnType<typeof callHost> {
    return callHost(host, { path });
}

function fencingNumbersOf(engine: PlatformUpstreamStandIn): number[] {
    return engine.orders.map(({ order }) => Number(order["fenceToken"]));
}

/** Stops the key-value service briefly and restores it from its snapshot; returns when it was restored. */
async function restore(site: EntrySite, hosts: readonly SiteHost[]): Promise<number> {
    const before = hosts.map(host => countLines(host, "key-value service restored from an older copy"));
    site.store.mode = "refusing";
    await delay(100);
    site.store.restore();
    site.store.mode = "up";
    const restoredAt = performance.now();
    await until(() =>
        hosts.every((host, index) =>
            countLines(host, "key-value service restored from an older copy") > (before[index] ?? 0)
        )
    );
    return restoredAt;
}

test("a restore from an older snapshot fails no request and does not revert the configuration in force", async context => {
    const { hosts, site } = await startSite(context);
    await until(async () => (await callPlain(hosts[0])).status === 200);
    site.store.takeSnapshot();
    site.configure([READS_ROUTE, ENGINE_ROUTE, { pathPrefix: "/added/" }], ENGINE);
    for (const host of hosts) {
        await until(async () => (await callPlain(host, "/added/1")).status === 200);
    }
    await restore(site, hosts);
    const late = await site.addHost("late");
    for (let round = 0; round < 10; round += 1) {
        for (const host of hosts) {
            assert.equal((await callPlain(host, "/added/1")).status, 200);
            assert.equal((await callPlain(host)).status, 200);
        }
        await delay(50);
    }
    await until(async () => (await callPlain(late, "/added/1")).status === 200, 2_000);
    site.configure([READS_ROUTE, { pathPrefix: "/newest/" }], ENGINE);
    for (const host of [...hosts, late]) {
        await until(async () => (await callPlain(host, "/newest/1")).status === 200, 2_000);
    }
});

test("after a restore no host orders engines until holders with lost records have stopped, and fencing numbers never decrease", async context => {
    const { engine, hosts, site } = await startSite(context);
    site.store.takeSnapshot();
    await until(async () => (await requestAdapter(hosts[0], "a1")).status === 200, 6_000);
    const ordersBefore = engine.orders.length;
    const restoredAt = await restore(site, hosts);
    const waiting = hosts.map(host => requestAdapter(host, "a2"));
    while (performance.now() < restoredAt + LOST_HOLDER_STOP_MILLISECONDS - 50) {
        assert.equal(engine.orders.length, ordersBefore, "no order yet");
        await delay(20);
    }
    await Promise.all(waiting);
    await until(async () => (await requestAdapter(hosts[1], "a3")).status === 200, 4_000);
    const fencingNumbers = fencingNumbersOf(engine);
    assert.deepEqual(fencingNumbers, [...fencingNumbers].sort((left, right) => left - right));
    assert.ok((fencingNumbers.at(-1) ?? 0) > (fencingNumbers[ordersBefore - 1] ?? 0));
    await until(() => site.store.get("restores") === JSON.stringify({ restores: 2 }));
});

test("a process that starts soon after a restore also waits before ordering, and one that starts later does not", async context => {
    const { engine, hosts, site } = await startSite(context);
    await until(() => site.store.get("restores") !== undefined, 4_000);
    site.store.takeSnapshot();
    await until(async () => (await requestAdapter(hosts[0], "a1")).status === 200, 6_000);
    const ordersBefore = engine.orders.length;
    await Promise.all(hosts.map(({ host }) => host.close()));
    site.store.restore();
    const early = await site.addHost("early");
    const startedAt = performance.now();
    await waitUntilReady(early);
    while (performance.now() < startedAt + LOST_HOLDER_STOP_MILLISECONDS - 100) {
        void requestAdapter(early, "a2");
        await delay(100);
        assert.equal(engine.orders.length, ordersBefore, "no order yet");
    }
    await until(async () => (await requestAdapter(early, "a3")).status === 200, 6_000);
    await until(() => site.store.get("restores") === JSON.stringify({ restores: 2 }));
    const late = await site.addHost("late");
    await waitUntilReady(late);
    assert.equal(countLines(late, "key-value service restored from an older copy"), 0);
    const other = await site.addUpstream({ id: "i-other", models: { quotes: [] }, slots: 8 }, "llm");
    const announcedAt = performance.now();
    await until(() =>
        [early, late].some(host =>
            host.lines.some(line => line.message === "engine taken" && line.fields["engine"] === "i-other")
        )
    );
    void requestAdapter(late, "a4");
    void requestAdapter(late, "a5");
    await until(() => other.orders.length + engine.orders.length > ordersBefore + 1, 2_000);
    assert.ok(performance.now() - announcedAt < LOST_HOLDER_STOP_MILLISECONDS);
});

test("an upstream removed since the snapshot is not used from its restored announcement, but is used once it announces itself", async context => {
    const { hosts, site } = await startSite(context);
    const leaving = await site.addUpstream({ id: "i-leaving" });
    const receivesRequests = async (): Promise<boolean> => {
        for (let request = 0; request < 12; request += 1) {
            await callPlain(hosts[0]);
        }
        return leaving.received.length > 0;
    };
    await until(receivesRequests);
    site.store.takeSnapshot();
    await delay(1_600);
    site.store.remove("servers/i-leaving");
    await delay(300);
    await restore(site, hosts);
    await delay(200);
    leaving.received.length = 0;
    assert.equal(await receivesRequests(), false, "its announcement comes from the snapshot");
    site.announce(leaving, "plain", { sequence: 900 });
    await until(receivesRequests);
});

test("a restore to a snapshot from before any restore was recorded is recorded as settled", async context => {
    const site = await startEmptySite(context);
    site.store.takeSnapshot();
    const host = await site.addHost("one");
    await site.addUpstream({ id: "i-engine", models: { quotes: [] }, slots: 8 }, "llm");
    await until(() => site.store.get("restores") === JSON.stringify({ restores: 1 }), 6_000);
    await restore(site, [host]);
    await until(() => site.store.get("restores") === JSON.stringify({ restores: 2 }), 6_000);
});
