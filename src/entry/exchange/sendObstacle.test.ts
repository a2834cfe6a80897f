import assert from "node:assert/strict";
import { test } from "node:test";
import { type Attempt } from "./attempt.js";
import { type RequestParts } from "./requestParts.js";
import { findSendObstacle, type SendObstacle } from "./sendObstacle.js";

const NOW_MILLISECONDS = 10_000;

/** What has come between the choice of an upstream and the moment of sending. */
interface Situation {
    readonly hasConnectionEnded?: boolean;
    readonly deadlineAtMilliseconds?: number;
    readonly isUsable?: boolean;
    readonly isLimited?: boolean;
    readonly permittedAtMilliseconds?: number;
}

function obstacleOf({
    deadlineAtMilliseconds = NOW_MILLISECONDS + 1_000,
    hasConnectionEnded = false,
    isLimited = false,
    isUsable = true,
    permittedAtMilliseconds = NOW_MILLISECONDS,
}: Situation): SendObstacle | undefined {
    const parts = {
        request: {
            message: { socket: { destroyed: false, readableEnded: hasConnectionEnded } },
            response: { destroyed: false },
        },
        facts: { deadlineAtMilliseconds },
        context: {
            readClock: () => NOW_MILLISECONDS,
            view: { isUsableIncarnation: () => isUsable },
            rateLimiting: { limiter: { isLimited: () => isLimited } },
        },
    } as unknown as RequestParts;
    const attempt = { upstream: { id: "i-1" }, sentAtMilliseconds: permittedAtMilliseconds };
    return findSendObstacle(parts, attempt as unknown as Attempt);
}

test("a request leaves while nothing has come between", () => {
    assert.equal(obstacleOf({}), undefined);
    assert.equal(obstacleOf({ isLimited: true }), undefined);
    assert.equal(obstacleOf({ permittedAtMilliseconds: NOW_MILLISECONDS - 1_000 }), undefined);
});

test("a request whose caller's connection has ended is not sent, whatever else has come between", () => {
    const hasConnectionEnded = true;
    assert.equal(obstacleOf({ hasConnectionEnded }), "caller-left");
    assert.equal(obstacleOf({ hasConnectionEnded, deadlineAtMilliseconds: 0, isUsable: false }), "caller-left");
});

test("a request is not sent after its deadline, to an upstream that is gone, or under a permit that has lapsed", () => {
    assert.equal(obstacleOf({ deadlineAtMilliseconds: NOW_MILLISECONDS }), "out-of-time");
    assert.equal(obstacleOf({ isUsable: false }), "upstream-gone");
    assert.equal(obstacleOf({ isLimited: true, permittedAtMilliseconds: NOW_MILLISECONDS - 1_000 }), "permit-lapsed");
});
