import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer as createTcpServer, type Socket } from "node:net";
import { test } from "node:test";
import { type Digest } from "../generated/peers.js";
import { createPeerClient, type PeerHandlers, startPeerServer } from "./index.js";

const LOOPBACK = { address: "127.0.0.1", port: 0 };

const digest: Digest = {
    status: {
        identity: {
            host: "entry-1",
            incarnation: "a",
            zone: "west-1",
            region: "west",
            callersUrl: "http://127.0.0.1:1",
            peersUrl: "http://127.0.0.1:2",
        },
        heartbeat: 1,
        leaving: false,
        configurationRevision: 0,
        storeConfirmedMillisecondsAgo: -1,
    },
    known: [],
    engines: [],
    residency: [],
    suspects: [],
    demand: [],
};

function createHandlers(): { readonly receivedDigests: Digest[]; readonly handlers: PeerHandlers; } {
    const receivedDigests: Digest[] = [];
    return {
        receivedDigests,
        handlers: {
            receiveDigest: received => void receivedDigests.push(received),
            configurationRecord: () => undefined,
            sharedState: () => ({ residency: [], suspects: [] }),
            forwardOrder: () =>
                Promise.resolve({ type: "refused", reason: "host-leaving", ran: "not-run", message: "leaving" }),
            witness: () => Promise.resolve({ type: "recorded" }),
            requestAdapter: () => undefined,
        },
    };
}

test("the peer's handler receives a digest unchanged", async () => {
    const { receivedDigests, handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    assert.ok((await client.sendDigest(digest)).isOk());
    assert.deepEqual(receivedDigests, [digest]);
    assert.equal((await client.fetchConfiguration()).unwrap(), undefined);
    await client.close();
    await server.close();
});

test("a digest that does not match its schema is rejected without a call of the handler", async () => {
    const { receivedDigests, handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    const sent = await client.sendDigest({ ...digest, engines: Array.from({ length: 600 }, () => ({}) as never) });
    assert.equal(sent.isErr() && sent.error.kind, "rejected");
    assert.deepEqual(receivedDigests, []);
    await client.close();
    await server.close();
});

test("a call on a port without a listener fails as not sent", async () => {
    const { handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    await server.close();
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    const sent = await client.sendDigest(digest);
    assert.equal(sent.isErr() && sent.error.kind, "not-sent");
    await client.close();
});

test("after a call times out on an unresponsive connection, the next call opens a new connection", async context => {
    const { handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const openSockets: Socket[] = [];
    const acceptedSockets: Socket[] = [];
    const relay = createTcpServer(socket => {
        acceptedSockets.push(socket);
        openSockets.push(socket);
        socket.on("error", () => undefined);
        if (acceptedSockets.length > 1) {
            const forwarded = connect(server.port, "127.0.0.1");
            forwarded.on("error", () => undefined);
            openSockets.push(forwarded);
            socket.pipe(forwarded).pipe(socket);
        }
    });
    await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
    const client = createPeerClient(`http://127.0.0.1:${(relay.address() as AddressInfo).port}`);
    context.after(async () => {
        await client.close();
        openSockets.forEach(socket => socket.destroy());
        relay.close();
        await server.close();
    });
    const first = await client.sendDigest(digest);
    assert.equal(first.isErr() && first.error.kind, "no-answer");
    assert.ok((await client.sendDigest(digest)).isOk());
    assert.ok(acceptedSockets.length > 1);
});
