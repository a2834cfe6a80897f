import assert from "node:assert/strict";
import { test } from "node:test";
import { AdapterUsers } from "./index.js";

const USE = { engine: "engine", adapter: "quotes/a1", inUse: true };

test("an adapter is in use until the last host reports that its requests have ended", () => {
    const users = new AdapterUsers();
    assert.equal(users.isUsed("engine", "quotes/a1", 0), false);
    users.recordUse("one", USE, 0);
    users.recordUse("two", USE, 10);
    users.recordUse("one", { ...USE, inUse: false }, 20);
    assert.equal(users.isUsed("engine", "quotes/a1", 20), true);
    assert.equal(users.isUsed("engine", "quotes/a2", 20), false);
    assert.equal(users.isUsed("other", "quotes/a1", 20), false);
    users.recordUse("two", { ...USE, inUse: false }, 30);
    assert.equal(users.isUsed("engine", "quotes/a1", 30), false);
});

test("a digest corrects for lost reports of the start and of the end of a use", () => {
    const users = new AdapterUsers();
    users.recordUse("one", USE, 0);
    users.replaceUses("one", {}, 400);
    assert.equal(users.isUsed("engine", "quotes/a1", 400), false);
    users.replaceUses("one", { engine: ["quotes/a1"] }, 800);
    assert.equal(users.isUsed("engine", "quotes/a1", 800), true);
});

test("adapter uses of an unresponsive host expire", () => {
    const users = new AdapterUsers();
    users.recordUse("one", USE, 0);
    assert.equal(users.isUsed("engine", "quotes/a1", 1_900), true);
    assert.equal(users.isUsed("engine", "quotes/a1", 2_100), false);
});
