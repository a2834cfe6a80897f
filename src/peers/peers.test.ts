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

function createHandlers(): { readonly taken: Digest[]; readonly handlers: PeerHandlers; } {
    const taken: Digest[] = [];
    return {
        taken,
        handlers: {
            takeDigest: received => void taken.push(received),
            configurationRecord: () => undefined,
            sharedState: () => ({ residency: [], suspects: [] }),
            forwardOrder: () =>
                Promise.resolve({ type: "refused", reason: "host-leaving", ran: "not-run", message: "leaving" }),
            witness: () => Promise.resolve({ type: "recorded" }),
            wantAdapter: () => undefined,
        },
    };
}

test("a digest reaches the peer's handler as it was sent", async () => {
    const { taken, handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    assert.ok((await client.sendDigest(digest)).isOk());
    assert.deepEqual(taken, [digest]);
    assert.equal((await client.fetchConfiguration()).unwrap(), undefined);
    await client.close();
    await server.close();
});

test("a digest that does not fit its schema is rejected before the handler", async () => {
    const { taken, handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    const sent = await client.sendDigest({ ...digest, engines: Array.from({ length: 600 }, () => ({}) as never) });
    assert.equal(sent.isErr() && sent.error.kind, "rejected");
    assert.deepEqual(taken, []);
    await client.close();
    await server.close();
});

test("a call on a port where nothing listens is not sent", async () => {
    const { handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    await server.close();
    const client = createPeerClient(`http://127.0.0.1:${server.port}`);
    const sent = await client.sendDigest(digest);
    assert.equal(sent.isErr() && sent.error.kind, "not-sent");
    await client.close();
});

test("after a connection went silent the next call takes a new one", async context => {
    const { handlers } = createHandlers();
    const server = await startPeerServer(LOOPBACK, handlers);
    const sockets: Socket[] = [];
    const accepted: Socket[] = [];
    const relay = createTcpServer(socket => {
        accepted.push(socket);
        sockets.push(socket);
        socket.on("error", () => undefined);
        if (accepted.length > 1) {
            const onward = connect(server.port, "127.0.0.1");
            onward.on("error", () => undefined);
            sockets.push(onward);
            socket.pipe(onward).pipe(socket);
        }
    });
    await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
    const client = createPeerClient(`http://127.0.0.1:${(relay.address() as AddressInfo).port}`);
    context.after(async () => {
        await client.close();
        sockets.forEach(socket => socket.destroy());
        relay.close();
        await server.close();
    });
    const first = await client.sendDigest(digest);
    assert.equal(first.isErr() && first.error.kind, "no-answer");
    assert.ok((await client.sendDigest(digest)).isOk());
    assert.ok(accepted.length > 1);
});
