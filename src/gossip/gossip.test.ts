import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createAddresses, createDigest } from "../../tests/support/digests.js";
import { type HostRegistration } from "../generated/gossip.js";
import { type GossipMessage, openGossipLink, PeerTable, selectAddresses } from "./index.js";

function registration(host: string, zone = "a"): HostRegistration {
    return { host, session: "s", zone, addresses: createAddresses(host) };
}

function advertisedHosts(table: PeerTable, now: number): string[] {
    return table.advertised(now).map(({ host }) => host).sort();
}

test("callers are given hosts that sent a recent digest, are ready and are not leaving", () => {
    const table = new PeerTable("own", "a");
    ["one", "two", "three", "four"].forEach(host => {
        table.register(registration(host), 0);
        table.recordDigest(createDigest(host), 0);
    });
    table.recordDigest(createDigest("two", { leaving: true }), 1_000);
    table.recordDigest(createDigest("three", { ready: false }), 1_000);
    table.recordDigest(createDigest("one"), 1_000);
    assert.deepEqual(advertisedHosts(table, 1_100), ["four", "one"]);
    assert.deepEqual(
        advertisedHosts(table, 2_000),
        ["one"],
        "a host without a recent digest is left out before its lease expires",
    );
});

test("a host without a recent digest of any peer relies on the records", () => {
    const table = new PeerTable("own", "a");
    table.register(registration("one"), 0);
    table.recordDigest(createDigest("one"), 0);
    assert.deepEqual(advertisedHosts(table, 20_000), ["one"]);
    table.unregister("one", 20_000);
    assert.deepEqual(advertisedHosts(table, 20_000), []);
});

test("a peer without a record is kept for a while, since the key-value service may have been unavailable", () => {
    const table = new PeerTable("own", "a");
    table.recordDigest(createDigest("one"), 0);
    assert.equal(table.all(20_000).length, 1);
    assert.equal(table.all(31_000).length, 0);
});

test("possible holders have a record or a recent digest and are not leaving", () => {
    const table = new PeerTable("own", "a");
    ["recorded", "heard", "gone", "leaving"].forEach(host => table.recordDigest(createDigest(host), 0));
    ["recorded", "gone"].forEach(host => table.register(registration(host), 0));
    table.unregister("gone", 0);
    table.recordDigest(createDigest("heard"), 20_000);
    table.recordDigest(createDigest("leaving", { leaving: true }), 20_000);
    assert.deepEqual(table.possibleHolders(20_000).map(({ host }) => host).sort(), ["heard", "recorded"]);
});

test("the peer with the newest configuration is selected among those with a recent digest", () => {
    const table = new PeerTable("own", "a");
    table.recordDigest(createDigest("one", { configurationVersion: 5 }), 0);
    table.recordDigest(createDigest("two", { configurationVersion: 9 }), 0);
    assert.equal(table.withNewerConfiguration(4, 100)?.host, "two");
    assert.equal(table.withNewerConfiguration(9, 100), undefined);
    assert.equal(table.withNewerConfiguration(4, 9_000), undefined);
});

test("a caller is given only hosts of its zone if the zone has at least two", () => {
    const hosts = [["one", "a"], ["two", "a"], ["three", "b"]].map(([host = "", zone = ""]) => ({
        host,
        zone,
        address: host,
    }));
    assert.deepEqual(selectAddresses(hosts, "a"), ["one", "two"]);
    assert.deepEqual(selectAddresses(hosts, "b"), ["one", "two", "three"]);
    assert.deepEqual(selectAddresses(hosts, undefined), ["one", "two", "three"]);
});

test("links deliver messages and report invalid datagrams without delivering them", async () => {
    const received: GossipMessage[] = [];
    const problems: string[] = [];
    const port = await new Promise<number>(resolve => {
        const probe = createSocket("udp4");
        probe.bind(0, "127.0.0.1", () => {
            const found = probe.address().port;
            probe.close(() => resolve(found));
        });
    });
    const receiver = await openGossipLink({
        address: "127.0.0.1",
        port,
        onMessage: message => received.push(message),
        onProblem: ({ detail, reason }) => problems.push(`${reason}: ${detail}`),
    });
    const sender = await openGossipLink({
        address: "127.0.0.1",
        port: 0,
        onMessage: () => undefined,
        onProblem: ({ detail, reason }) => problems.push(`${reason}: ${detail}`),
    });
    sender.send(createDigest("one"), [`127.0.0.1:${port}`]);
    sender.send({ type: "wish", host: "one", engine: "e", model: "m", adapter: "a1" }, [`127.0.0.1:${port}`]);
    const raw = createSocket("udp4");
    for (const bytes of ["{", "{\"type\":\"digest\"}", "{\"type\":\"toString\"}", ""]) {
        raw.send(bytes, port, "127.0.0.1");
    }
    for (let poll = 0; poll < 200 && received.length + problems.length < 6; poll += 1) {
        await delay(50);
    }
    assert.deepEqual(received.map(({ type }) => type).sort(), ["digest", "wish"]);
    assert.equal(problems.length, 4);
    const reasons = problems.map(problem => problem.split(":")[0]).sort();
    assert.deepEqual(reasons, ["invalid", "no-message", "no-message", "unknown-type"]);
    sender.send(
        createDigest("one", {
            inFlight: Object.fromEntries(Array.from({ length: 9_000 }, (_, index) => [`engine-${index}`, 1])),
        }),
        [],
    );
    assert.match(problems.at(-1) ?? "", /^too-large: digest: .* were not sent$/);
    raw.close();
    sender.close();
    receiver.close();
});

test("hosts are counted by the build that they tell, so that operators see when an upgrade is done", () => {
    const table = new PeerTable("own", "a");
    table.recordDigest(createDigest("one", { build: "b2" }), 0);
    table.recordDigest(createDigest("two", { build: "b2" }), 0);
    table.recordDigest(createDigest("three"), 0);
    assert.deepEqual([...table.countBuilds(100)], [["b2", 2], ["earlier", 1]]);
    table.recordDigest(createDigest("three", { build: "b2" }), 200);
    assert.deepEqual([...table.countBuilds(300)], [["b2", 3]]);
    assert.deepEqual([...table.countBuilds(60_000)], []);
});

test("time in which a host itself read nothing is not taken for the silence of its peers, and no more than that", () => {
    let listened = 0;
    const table = new PeerTable("own", "a", { listened: () => listened });
    ["one", "two"].forEach(host => table.register(registration(host), 0));
    table.recordDigest(createDigest("one"), 0);
    listened = 1_000;
    table.recordDigest(createDigest("two"), 1_000);
    listened = 1_250;
    assert.deepEqual(advertisedHosts(table, 7_000), ["one", "two"]);
    listened = 1_600;
    assert.deepEqual(advertisedHosts(table, 7_350), ["two"], "it was silent for 1 s before");
});
