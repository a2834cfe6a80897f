import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { ReadTimes } from "../../staleness/index.js";
import { UnreadTimes } from "./unreadTimes.js";

/** A host whose event loop goes on by steps. */
class SteppedHost {
    readonly reads = new ReadTimes(0);
    readonly unread = new UnreadTimes({
        acts: { afterReading: step => this.#steps.push(step) },
        reads: this.reads,
        readClock: () => this.now,
    });
    now = 0;
    #steps: (() => void)[] = [];

    /** Records that the sockets were polled after the given time. */
    readAll(polledAfterMilliseconds: number): void {
        this.reads.recordRead(this.now, polledAfterMilliseconds);
        this.#steps.splice(0).forEach(step => step());
    }

    accept(): PassThrough {
        const socket = new PassThrough();
        this.unread.recordAccepted(socket);
        return socket;
    }
}

test("what a connection brings arrived after everything before was read", () => {
    const host = new SteppedHost();
    const socket = host.accept();
    host.now = 100;
    host.readAll(98);
    host.now = 3_500;
    assert.equal(host.unread.longestMilliseconds(socket), 3_402);
    host.readAll(3_499);
    host.now = 3_510;
    assert.equal(host.unread.longestMilliseconds(socket), 11);
});

test("connections that waited to be accepted may be as old as the last time at which none waited", () => {
    const host = new SteppedHost();
    host.now = 100;
    host.readAll(100);
    host.now = 3_500;
    const first = host.accept();
    host.now = 3_501;
    assert.equal(host.unread.longestMilliseconds(first), 3_401);
    const second = host.accept();
    host.readAll(3_500.5);
    host.now = 3_502;
    assert.equal(host.unread.longestMilliseconds(first), 1.5, "it was read");
    assert.equal(host.unread.longestMilliseconds(second), 3_402);
    const third = host.accept();
    host.readAll(3_501.5);
    host.now = 3_503;
    assert.equal(host.unread.longestMilliseconds(third), 3_403);
    host.readAll(3_502.5);
    host.now = 3_504;
    const fourth = host.accept();
    assert.equal(host.unread.longestMilliseconds(fourth), 1.5, "no connection was accepted between two polls");
});
