/**
 * A host whose process does not run for a moment does not take that for the silence of its peers.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EntrySite, until, waitUntilReady } from "./support/entrySite.js";

const HOSTS = 5;

/** Hosts of a cell that watch the key-value service. */
const WATCHERS = 3;

/** More than the age at which a digest is no longer recent. */
const STALL_MILLISECONDS = 2_500;

/** Several rounds of digests. */
const SETTLED_MILLISECONDS = 2_000;

const CHANGES: ReadonlySet<string> = new Set(["watch begun", "watch left to others of the cell", "cell changed"]);

function stall(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

async function startSite(context: TestContext): Promise<EntrySite> {
    const site = await EntrySite.start();
    context.after(async () => {
        await Promise.all(site.hosts.map(({ host }) => host.close()));
        await site.close();
    });
    site.configure([{ pathPrefix: "/a/" }]);
    for (let index = 0; index < HOSTS; index += 1) {
        await site.addHost(`entry-${index}`);
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    const leavers = site.hosts.slice(WATCHERS);
    await until(() =>
        leavers.every(({ lines }) => lines.some(({ message }) => message === "watch left to others of the cell"))
    );
    await delay(SETTLED_MILLISECONDS);
    return site;
}

test("hosts that did not run for 2.5 s do not watch the service in place of peers that they did not hear meanwhile", async context => {
    const site = await startSite(context);
    const before = site.hosts.map(({ lines }) => lines.length);
    stall(STALL_MILLISECONDS);
    await delay(SETTLED_MILLISECONDS);
    const changes = site.hosts.flatMap(({ lines, name }, index) =>
        lines.slice(before[index]).filter(({ message }) => CHANGES.has(message)).map(({ message }) =>
            `${name}: ${message}`
        )
    );
    assert.deepEqual(changes, []);
});
