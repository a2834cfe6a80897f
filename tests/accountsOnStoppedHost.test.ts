/**
 * A host that does not run while the keys of an account change.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "./support/entryProgram.js";
import { type CallerAnswer, callHost, EntrySite, until } from "./support/entrySite.js";

const OLD_KEY = "asnmgkcuyj8pjbvk9m68";
const NEW_KEY = "k7b2ex5wa5xwyhks8nbk";

/** Longer than the deadline of configurations. */
const STOPPED_MILLISECONDS = 4_000;

const RECOVERED_MILLISECONDS = 12_000;

let site: EntrySite;
let settings: EntryProgramSettings;
let program: EntryProgram;

function configure(key: string): void {
    site.configure([{ pathPrefix: "/reads/", timeoutMs: 10_000 }], undefined, {
        tenants: [{ name: "mill", apiKeys: [key] }],
    });
}

function call(key: string): Promise<CallerAnswer> {
    const callers = { address: "127.0.0.1", port: settings.callers };
    const headers = { Authorization: `Bearer ${key}` };
    return callHost({ settings: { callers } }, { path: "/reads/1", method: "POST", body: "{}", headers });
}

before(async () => {
    site = await EntrySite.start();
    configure(OLD_KEY);
    await site.addUpstream({ id: "i-one", slots: 50 });
    settings = await createEntrySettings(site.store.address);
    program = startEntryProgram(settings.text);
    await waitUntilProgramReady(settings);
});

after(async () => {
    await program.close();
    await site.close();
});

test("a host that did not run serves a key that was added meanwhile, and refuses one that was removed", async () => {
    assert.equal((await call(OLD_KEY)).status, 200);
    program.child.kill("SIGSTOP");
    configure(NEW_KEY);
    const added = call(NEW_KEY);
    const removed = call(OLD_KEY);
    await delay(STOPPED_MILLISECONDS);
    program.child.kill("SIGCONT");
    assert.deepEqual([(await added).status, (await removed).status], [200, 401]);
});

test("a host that did not run, and cannot ask for changes, does not say that an added key is unknown", async () => {
    assert.equal((await call(NEW_KEY)).status, 200);
    site.store.mode = "silent";
    program.child.kill("SIGSTOP");
    configure(OLD_KEY);
    const added = call(OLD_KEY);
    await delay(STOPPED_MILLISECONDS);
    program.child.kill("SIGCONT");
    const { body, status } = await added;
    assert.deepEqual([status, body.includes("configuration-outdated")], [503, true]);
    site.store.mode = "up";
    await until(async () => (await call(OLD_KEY)).status === 200, RECOVERED_MILLISECONDS);
});
