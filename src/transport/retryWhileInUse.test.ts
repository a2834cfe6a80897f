/**
 * Addresses that cannot be bound yet.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type BindObstacle, retryWhileInUse } from "./index.js";

/** Longer than the machine may take to get an address of its own. */
const LONG_MILLISECONDS = 4_000;

function bindError(code: string): Error {
    return Object.assign(new Error("not bound"), { code });
}

/** Returns a function that fails with an error until it was called this many times. */
function failTimes(times: number, code: string): () => Promise<number> {
    let tries = 0;
    return () => {
        tries += 1;
        return tries <= times ? Promise.reject(bindError(code)) : Promise.resolve(tries);
    };
}

test("an address that is freed, or that the machine gets, is bound, and the wait is reported once", async () => {
    for (const [code, obstacle] of [["EADDRINUSE", "in-use"], ["EADDRNOTAVAIL", "not-available"]] as const) {
        const waits: BindObstacle[] = [];
        const options = {
            signal: new AbortController().signal,
            onWaiting: (seen: BindObstacle) => void waits.push(seen),
        };
        assert.equal(await retryWhileInUse(failTimes(3, code), options), 4);
        assert.deepEqual(waits, [obstacle]);
    }
});

// Guards against a host that ends since its predecessor is stopped for longer than its grace period.
test("an address in use is tried without a limit until the wait is ended", async () => {
    const ended = new AbortController();
    let isWaiting = true;
    const waiting = retryWhileInUse(() => Promise.reject(bindError("EADDRINUSE")), {
        signal: ended.signal,
        onWaiting: () => undefined,
    }).finally(() => void (isWaiting = false));
    waiting.catch(() => undefined);
    await new Promise(resolve => setTimeout(resolve, LONG_MILLISECONDS));
    assert.ok(isWaiting);
    ended.abort();
    await assert.rejects(waiting, { name: "AbortError" });
});

test("an address that the machine does not get, and any other error, is thrown", async () => {
    const options = { signal: new AbortController().signal, onWaiting: () => undefined };
    const missing = (): Promise<never> => Promise.reject(bindError("EADDRNOTAVAIL"));
    await assert.rejects(retryWhileInUse(missing, options), { code: "EADDRNOTAVAIL" });
    let tries = 0;
    const forbidden = (): Promise<never> => {
        tries += 1;
        return Promise.reject(bindError("EACCES"));
    };
    await assert.rejects(retryWhileInUse(forbidden, options), { code: "EACCES" });
    assert.equal(tries, 1);
});
