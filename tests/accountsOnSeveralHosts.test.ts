/**
 * Three entry hosts whose configuration names client accounts: what they tell each other, and a host that cannot reach
 * the key-value service.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Socket } from "node:dgram";
import { after, before, mock, test } from "node:test";
import { digestKey } from "../src/accounts/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { type CallerAnswer, callHost, EntrySite, reasonOf, type SiteHost, until } from "./support/entrySite.js";

const KEY = "asnmgkcuyj8pjbvk9m68";
const ADDED_KEY = "k7b2ex5wa5xwyhks8nbk";
const DEADLINE_MILLISECONDS = 3_000;

/** Datagrams that hosts of this process have sent. */
const datagrams: string[] = [];
let site: EntrySite;
/** Knows only what other hosts tell. */
let cutOff: SiteHost;

function configure(keys: readonly string[]): void {
    site.configure([{ pathPrefix: "/reads/" }], undefined, { tenants: [{ name: "mill", apiKeys: keys }] });
}

function call(host: SiteHost, key: string): Promise<CallerAnswer> {
    return callHost(host, { path: "/reads/1", headers: { Authorization: `Bearer ${key}` } });
}

before(async () => {
    const send = Reflect.get(Socket.prototype, "send") as () => void;
    mock.method(Socket.prototype, "send", function(this: Socket, ...parameters: unknown[]): void {
        datagrams.push(String(parameters[0]));
        Reflect.apply(send, this, parameters);
    });
    site = await EntrySite.start();
    configure([KEY]);
    await site.addUpstream({ id: "i-one", slots: 50 });
    const first = await site.addHost("entry-1");
    await site.addHost("entry-2");
    const [unusedPort] = await findFreePorts(1);
    cutOff = await site.addHost("entry-3", {
        storeAddress: `127.0.0.1:${unusedPort}`,
        seeds: [`${first.settings.state.address}:${first.settings.state.port}`],
    });
    await Promise.all(
        site.hosts.map(host => until(async () => (await call(host, KEY)).status === 200, DEADLINE_MILLISECONDS * 3)),
    );
});

after(async () => {
    mock.restoreAll();
    await site.close();
});

test("a key that is added works on all hosts within the deadline, and none answers 401 for it later", async () => {
    const addedAt = performance.now();
    configure([KEY, ADDED_KEY]);
    const reached = site.hosts.filter(host => host !== cutOff);
    while (performance.now() - addedAt < DEADLINE_MILLISECONDS) {
        await Promise.all(reached.map(host => call(host, ADDED_KEY)));
    }
    const answers = await Promise.all(reached.map(host => call(host, ADDED_KEY)));
    assert.deepEqual(answers.map(({ status }) => status), [200, 200]);
});

test("a host whose configuration comes from others only never says that a key is unknown", async () => {
    const unknown = await call(cutOff, "neverConfigured");
    assert.deepEqual([unknown.status, reasonOf(unknown)], [503, "configuration-outdated"]);
    assert.equal((await call(cutOff, KEY)).status, 200);
});

test("a key that is removed is refused by all hosts in contact within the deadline", async () => {
    configure([KEY]);
    const reached = site.hosts.filter(host => host !== cutOff);
    await Promise.all(
        reached.map(host => until(async () => (await call(host, ADDED_KEY)).status === 401, DEADLINE_MILLISECONDS)),
    );
});

test("no message between hosts has a key", () => {
    const passedOn = datagrams.filter(datagram => datagram.includes(digestKey(ADDED_KEY)));
    assert.ok(passedOn.length > 0);
    assert.deepEqual(datagrams.filter(datagram => datagram.includes(KEY) || datagram.includes(ADDED_KEY)), []);
});
