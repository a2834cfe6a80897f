import assert from "node:assert/strict";
import { test } from "node:test";
import { limitLeftCall } from "./leftCall.js";
import { MEMORY_CHECK_MILLISECONDS } from "./shortMemory.js";

const REMAINING_MILLISECONDS = 1_000;

interface LeftCall {
    readonly call: { readonly holdsBody: boolean; cancel(): void; };
    readonly log: string[];
    isShort: boolean;
    holdsBody: boolean;
}

function leaveCall(): LeftCall {
    const log: string[] = [];
    const left: LeftCall = {
        call: {
            get holdsBody() {
                return left.holdsBody;
            },
            cancel: () => {
                left.holdsBody = false;
                log.push("cancelled");
            },
        },
        log,
        isShort: true,
        holdsBody: true,
    };
    limitLeftCall(left.call, {
        remainingMilliseconds: REMAINING_MILLISECONDS,
        isMemoryShort: () => left.isShort,
        onCancelled: () => log.push("reported"),
    });
    return left;
}

test("a call whose caller left is cut off before its deadline, or holds its body for ever", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const { log } = leaveCall();
    context.mock.timers.tick(REMAINING_MILLISECONDS - 1);
    assert.deepEqual(log, []);
    context.mock.timers.tick(1);
    assert.deepEqual(log, ["cancelled", "reported"]);
});

test("a call whose caller left is cut off while there is memory", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const left = leaveCall();
    left.isShort = false;
    context.mock.timers.tick(REMAINING_MILLISECONDS + 3 * MEMORY_CHECK_MILLISECONDS);
    assert.deepEqual(left.log, []);
    left.isShort = true;
    context.mock.timers.tick(MEMORY_CHECK_MILLISECONDS);
    assert.deepEqual(left.log, ["cancelled", "reported"]);
});

test("a call whose upstream has taken the body is cut off", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const left = leaveCall();
    left.holdsBody = false;
    context.mock.timers.tick(REMAINING_MILLISECONDS);
    assert.deepEqual(left.log, []);
});
