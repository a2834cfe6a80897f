import assert from "node:assert/strict";
import { test } from "node:test";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { leaveFleet } from "./leaveFleet.js";

const GRACE_MILLISECONDS = 500;

/** Leaves a fleet while messages take a time to leave; returns the messages that wait at the end, and the time it took. */
async function leaveWith(backlogMilliseconds: number): Promise<{ waitingAtClose: number; tookMilliseconds: number; }> {
    const startedAt = performance.now();
    let publishedAt = startedAt;
    let waitingAtClose = 0;
    const readClock = (): number => performance.now();
    const readBacklog = (): number => Math.max(0, publishedAt + backlogMilliseconds - readClock());
    const done = (): Promise<void> => Promise.resolve();
    await leaveFleet(
        {
            context: {
                lifecycle: { leave: () => undefined, closeToCallers: () => undefined },
                logger: createCollectingLogger([]),
                readClock,
                settings: () => ({ bounds: { graceMilliseconds: GRACE_MILLISECONDS } }),
            },
            store: { endSession: done },
            orders: { leave: done, stop: () => undefined },
            forwarder: { abortAll: () => undefined },
            servers: { openRequestCount: 0, refuseWaiting: () => undefined, closeToCallers: () => undefined },
            publishDigest: () => {
                publishedAt = readClock();
            },
            backlogMilliseconds: readBacklog,
            close: () => {
                waitingAtClose = readBacklog();
                return done();
            },
        } as unknown as Parameters<typeof leaveFleet>[0],
    );
    return { waitingAtClose, tookMilliseconds: performance.now() - startedAt };
}

test("the last digest of a host that leaves reaches its peers before the host is closed", async () => {
    const { waitingAtClose } = await leaveWith(80);
    assert.equal(waitingAtClose, 0);
});

test("a host that leaves ends within its grace period also where its messages do not leave", async () => {
    const { tookMilliseconds } = await leaveWith(60_000);
    assert.ok(tookMilliseconds <= GRACE_MILLISECONDS, `${Math.round(tookMilliseconds)} ms`);
});
