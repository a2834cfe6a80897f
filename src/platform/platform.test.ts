import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { type AddressInfo } from "node:net";
import { after, test } from "node:test";
import { startHostListStandIn } from "../../standins/hostList.js";
import { startKeyValueStandIn } from "../../standins/keyValue.js";
import { createHostListClient, createKeyValueClient, type WatchEvent } from "./index.js";

const standIn = await startKeyValueStandIn({ progressMilliseconds: 20 });
const keyValue = createKeyValueClient({ urls: [standIn.url] });
after(async () => {
    await keyValue.close();
    await standIn.close();
});

async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

async function startRawServer(onConnection: (socket: Socket) => void): Promise<{ server: Server; url: string; }> {
    const server = createServer(onConnection).listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

test("a compare-and-swap writes once per revision and returns the current entry on a conflict", async () => {
    const key = "configuration é";
    const first = (await keyValue.compareAndSwap(key, { expectedRevision: 0, value: "one" })).unwrap();
    assert.equal(first.type, "written");
    const second = (await keyValue.compareAndSwap(key, { expectedRevision: 0, value: "two" })).unwrap();
    const entry = (await keyValue.get(key)).unwrap();
    assert.deepEqual(second, { type: "conflict", current: entry });
    assert.equal(entry?.value, "one");
    const third = await keyValue.compareAndSwap(key, { expectedRevision: entry.revision, value: "three" });
    assert.equal(third.unwrap().type, "written");
    assert.equal((await keyValue.get("absent")).unwrap(), undefined);
});

test("a list returns only the keys under its prefix", async () => {
    for (const key of ["engine/a/1", "engine/a/2", "engine0", "engine/b/1"]) {
        await keyValue.compareAndSwap(key, { expectedRevision: 0, value: key });
    }
    const found = (await keyValue.list("engine/a/")).unwrap();
    assert.deepEqual(found.map(({ key }) => key), ["engine/a/1", "engine/a/2"]);
});

test("the end of a lease deletes its keys, and renewing it afterwards is rejected", async () => {
    const { lease } = (await keyValue.grantLease(1000)).unwrap();
    await keyValue.compareAndSwap("held/x", { expectedRevision: 0, value: "me", lease });
    assert.equal((await keyValue.renewLease(lease)).unwrap().timeToLiveMilliseconds, 1000);
    const events: WatchEvent[] = [];
    const watch = keyValue.watch("held/", event => events.push(event));
    await waitFor(() => events.some(event => event.type === "delete" && event.key === "held/x"));
    assert.equal((await keyValue.renewLease(lease)).unwrapErr().kind, "rejected");
    const boundToEndedLease = await keyValue.compareAndSwap("held/x", { expectedRevision: 0, value: "me", lease });
    assert.equal(boundToEndedLease.unwrapErr().kind, "rejected");
    await watch.close();
});

test("a watch reports changes in order, starting from an earlier revision where one is given", async () => {
    const events: WatchEvent[] = [];
    await keyValue.compareAndSwap("w/1", { expectedRevision: 0, value: "a" });
    const fromRevision = (await keyValue.get("w/1")).unwrap()?.revision ?? 0;
    let started = false;
    const watch = keyValue.watch("w/", event => events.push(event), {
        fromRevision,
        onStarted: () => {
            started = true;
        },
    });
    await waitFor(() => started);
    await keyValue.compareAndSwap("w/2", { expectedRevision: 0, value: "b" });
    await waitFor(() => events.length === 2);
    assert.deepEqual(events.map(event => event.type === "put" && event.entry.value), ["a", "b"]);
    await watch.close();
});

test("a write whose answer is lost takes effect but fails as no-answer; one to a closed port is not-sent", async () => {
    standIn.setFaults({ dropAnswers: 1 });
    const lost = await keyValue.compareAndSwap("lost", { expectedRevision: 0, value: "kept" });
    assert.equal(lost.unwrapErr().kind, "no-answer");
    assert.equal((await keyValue.get("lost")).unwrap()?.value, "kept");
    const { server, url } = await startRawServer(() => undefined);
    server.close();
    await once(server, "close");
    const client = createKeyValueClient({ urls: [url] });
    assert.equal((await client.get("lost")).unwrapErr().kind, "not-sent");
    const clientWithFallback = createKeyValueClient({ urls: [url, standIn.url] });
    assert.equal((await clientWithFallback.get("lost")).unwrap()?.value, "kept");
    await Promise.all([client.close(), clientWithFallback.close()]);
});

test("a call fails as no-answer, not as not-sent, when the reused connection that carries it closes", async () => {
    let receivedCalls = 0;
    const { server, url } = await startRawServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            receivedCalls += 1;
            if (receivedCalls > 1) {
                socket.destroy();
                return;
            }
            const body = "{\"header\":{\"revision\":\"1\"}}";
            socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
        });
    });
    const client = createKeyValueClient({ urls: [url] });
    assert.ok((await client.get("a")).isOk());
    assert.equal((await client.get("a")).unwrapErr().kind, "no-answer");
    await client.close();
    server.close();
});

test("a malformed answer fails as invalid, and an error status as rejected", async () => {
    const { server, url } = await startRawServer(socket => {
        socket.on("data", () => {
            socket.end("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"kvs\":\"no\"");
        });
    });
    const client = createKeyValueClient({ urls: [url] });
    assert.equal((await client.get("a")).unwrapErr().kind, "invalid");
    await client.close();
    server.close();
    standIn.setFaults({ refuse: 1 });
    assert.equal((await keyValue.get("a")).unwrapErr().kind, "rejected");
});

test("a watch ends when its connection stops sending data or is closed", async () => {
    const client = createKeyValueClient({ urls: [standIn.url], watchIdleTimeoutMilliseconds: 500 });
    const idleWatchEvents: WatchEvent[] = [];
    client.watch("w/", event => idleWatchEvents.push(event));
    await waitFor(() => standIn.state().openWatches === 1);
    standIn.setFaults({ freeze: true });
    await waitFor(() => idleWatchEvents.some(({ type }) => type === "ended"));
    standIn.setFaults({ freeze: false });
    const closedWatchEvents: WatchEvent[] = [];
    client.watch("w/", event => closedWatchEvents.push(event));
    await waitFor(() => standIn.state().openWatches === 1);
    standIn.setFaults({ outage: true });
    await waitFor(() => closedWatchEvents.some(({ type }) => type === "ended"));
    standIn.setFaults({ outage: false });
    assert.equal(idleWatchEvents.length + closedWatchEvents.length, 2);
    await client.close();
});

test("the host list is read with its defaults, and a server without a host list fails as rejected", async () => {
    const live = [{ host: "host-1", peersUrl: "http://127.0.0.1:1" }];
    const list = await startHostListStandIn({ hosts: { live, leaving: ["host-2"] } });
    const client = createHostListClient({ url: list.url });
    assert.deepEqual((await client.read()).unwrap(), { live, leaving: ["host-2"], leavingEngines: [] });
    await client.close();
    await list.close();
    const clientOfOtherServer = createHostListClient({ url: standIn.url });
    assert.equal((await clientOfOtherServer.read()).unwrapErr().kind, "rejected");
    await clientOfOtherServer.close();
});
