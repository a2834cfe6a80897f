/**
 * Entries among the upstreams' announcements that another writer made: they name no upstream, and end no host.
 *
 * @module
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { callHost, engineSettings, EntrySite, waitUntilReady } from "./support/entrySite.js";

const UNUSABLE_ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:0", "300.1.1.1:80", "010.1.1.1:80", "256.0.0.1:8080"];

/** A name that no header can carry. */
const UNUSABLE_NAME = "x-\u2603";

/** Time after which a host whose upstreams are silent has tried to connect to others. */
const PROBED_MILLISECONDS = 1_500;

/** Time after which a host has taken an engine over and asked it for a report. */
const MANAGED_MILLISECONDS = 1_500;

/** Starts a site with a host that serves two services, and two plain upstreams that stay silent. */
async function startSilentSite(): Promise<EntrySite> {
    const site = await EntrySite.start();
    site.configure(
        [{ pathPrefix: "/plain/", maxAttempts: 2, timeoutMs: PROBED_MILLISECONDS }],
        engineSettings(4, { quotes: 1 }),
    );
    await site.addUpstream({ id: "plain-1", behave: () => ({ type: "silent" }) });
    await site.addUpstream({ id: "plain-2", behave: () => ({ type: "silent" }) });
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    return site;
}

/** Writes an entry with the name and the fields of another writer. */
function putEntry(site: EntrySite, name: string, fields: Readonly<Record<string, unknown>>): void {
    const [upstream] = site.upstreams;
    assert.ok(upstream);
    site.store.put(`servers/${name}`, { ...upstream.announcement("archive"), ...fields });
}

// Guards against hosts that end when an entry has a port beyond 65,535 and the upstreams fall silent.
test("an entry of another writer without a usable address does not end a host whose upstreams are silent", async () => {
    const site = await startSilentSite();
    const [host] = site.hosts;
    assert.ok(host);
    putEntry(site, "x-17", { address: "127.0.0.1:99999" });
    const answers = await Promise.all([1, 2, 3, 4].map(() => callHost(host, { path: "/plain/1" })));
    await site.close();
    assert.deepEqual(answers.map(({ status }) => status), [504, 504, 504, 504]);
});

// Guards against hosts that end when they ask an engine for a report that no address or header can name.
test("an entry of another writer for a model service does not end the host that would manage its engine", async () => {
    const site = await startSilentSite();
    const [host] = site.hosts;
    assert.ok(host);
    const names = [...UNUSABLE_ADDRESSES.map((_, index) => `x-${index}`), UNUSABLE_NAME];
    UNUSABLE_ADDRESSES.forEach((address, index) => putEntry(site, `x-${index}`, { service: "llm", address }));
    putEntry(site, UNUSABLE_NAME, { service: "llm" });
    await delay(MANAGED_MILLISECONDS);
    const unreadable = host.lines.filter(({ message }) => message === "announcement not readable");
    const taken = host.lines.filter(({ message }) => message === "engine taken");
    await site.close();
    assert.deepEqual(unreadable.map(({ fields }) => fields["upstream"]).sort(), names);
    assert.deepEqual(taken, []);
});

// Guards against a host that takes an address of no service for proof that it reaches upstreams.
test("an entry of a service that the configuration does not name is not probed", async () => {
    const site = await startSilentSite();
    const [host] = site.hosts;
    assert.ok(host);
    let connections = 0;
    const listener = createServer(() => {
        connections += 1;
    });
    await once(listener.listen(0, "127.0.0.1"), "listening");
    putEntry(site, "x-17", { address: `127.0.0.1:${(listener.address() as AddressInfo).port}` });
    await Promise.all([1, 2, 3, 4].map(() => callHost(host, { path: "/plain/1" })));
    await site.close();
    listener.close();
    assert.equal(connections, 0);
});
