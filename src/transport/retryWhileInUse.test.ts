/**
 * Addresses that another process holds.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { retryWhileInUse } from "./index.js";

function inUse(): Error {
    return Object.assign(new Error("address in use"), { code: "EADDRINUSE" });
}

test("an address that is freed in time is bound, and its use is told once", async () => {
    let tries = 0;
    let told = 0;
    const bind = (): Promise<number> => {
        tries += 1;
        return tries < 4 ? Promise.reject(inUse()) : Promise.resolve(tries);
    };
    const options = { limitMilliseconds: 5_000, onInUse: () => void (told += 1) };
    assert.deepEqual([await retryWhileInUse(bind, options), told], [4, 1]);
});

test("an address in use beyond the limit, and any other error, is thrown", async () => {
    const options = { limitMilliseconds: 120, onInUse: () => undefined };
    await assert.rejects(retryWhileInUse(() => Promise.reject(inUse()), options), { code: "EADDRINUSE" });
    let tries = 0;
    const forbidden = (): Promise<never> => {
        tries += 1;
        return Promise.reject(Object.assign(new Error("forbidden"), { code: "EACCES" }));
    };
    await assert.rejects(retryWhileInUse(forbidden, options), { code: "EACCES" });
    assert.equal(tries, 1);
});
