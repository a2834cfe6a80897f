import assert from "node:assert/strict";
import { type Socket } from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ReadTurns } from "./index.js";

const LARGE_READ = Buffer.alloc(64 * 1024);

class FakeSocket {
    isRead = true;
    readonly _handle = {
        reading: true,
        readStart: () => void (this.isRead = true),
        readStop: () => void (this.isRead = false),
    };

    get socket(): Socket {
        return this as unknown as Socket;
    }
}

// Guards against a host that answers nobody while many connections bring as much as it reads.
test("reads two connections with large reads on in a turn, in the order of their reads", async () => {
    const turns = new ReadTurns();
    const connections = Array.from({ length: 5 }, () => new FakeSocket());
    connections.forEach(({ socket }) => turns.recordRead(socket, LARGE_READ));
    const read = (): number => connections.filter(({ isRead }) => isRead).length;
    assert.equal(read(), 0);
    for (const expected of [2, 4, 5]) {
        await nextTurn();
        assert.equal(read(), expected);
        assert.ok(connections.slice(0, expected).every(({ isRead }) => isRead));
    }
});

test("does not stop a connection after a small read", () => {
    const connection = new FakeSocket();
    new ReadTurns().recordRead(connection.socket, Buffer.alloc(1_000));
    assert.equal(connection.isRead, true);
});

test("does not read on where the stream no longer reads, or was closed", async () => {
    const turns = new ReadTurns();
    const paused = new FakeSocket();
    const closed = new FakeSocket();
    [paused, closed].forEach(({ socket }) => turns.recordRead(socket, LARGE_READ));
    paused._handle.reading = false;
    Object.assign(closed, { _handle: null });
    await nextTurn();
    assert.deepEqual([paused.isRead, closed.isRead], [false, false]);
});
