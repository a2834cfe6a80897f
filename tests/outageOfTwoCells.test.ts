/**
 * An outage of the key-value service in a fleet of two cells.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { engineSettings, EntrySite, requestAdapter, until, waitUntilReady } from "./support/entrySite.js";

/** Two cells; one cell has 12 hosts at most. */
const HOST_COUNT = 14;

const ENGINES = ["i-engine-1", "i-engine-2", "i-engine-3"];
const READY_MILLISECONDS = 15_000;
const OUTAGE_MILLISECONDS = 8_000;
const REQUEST_INTERVAL_MILLISECONDS = 500;

test("hosts of two cells load adapters throughout an outage of the key-value service of 8 s", async context => {
    const site = await EntrySite.start();
    context.after(() => site.close());
    const route = { pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true };
    site.configure([route], engineSettings(4, { quotes: 40 }));
    for (const id of ENGINES) {
        await site.addUpstream(
            { id, models: { quotes: [] }, behave: () => ({ type: "stream", events: 3 }), slots: 8 },
            "llm",
        );
    }
    for (let index = 0; index < HOST_COUNT; index += 1) {
        await site.addHost(`entry-${String(index).padStart(2, "0")}`);
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host, READY_MILLISECONDS)));
    const isHeld = (engine: string): boolean =>
        site.hosts.some(({ lines }) =>
            lines.some(({ fields, message }) => message === "engine taken" && fields["engine"] === engine)
        );
    await until(() => ENGINES.every(isHeld), READY_MILLISECONDS);
    for (const host of site.hosts) {
        await until(async () => (await requestAdapter(host, "a39")).status === 200);
    }
    site.store.mode = "silent";
    const end = performance.now() + OUTAGE_MILLISECONDS;
    let adapter = 0;
    for (; performance.now() < end; adapter += 1) {
        const host = site.hosts[adapter % HOST_COUNT];
        assert.ok(host !== undefined);
        const answer = await requestAdapter(host, `a${adapter}`);
        assert.equal(answer.status, 200, `a${adapter} at ${host.name}: ${answer.body}`);
        await delay(REQUEST_INTERVAL_MILLISECONDS);
    }
    assert.ok(adapter > 4);
    const relinquished = site.hosts.flatMap(({ lines, name }) =>
        lines.filter(({ message }) => message === "engine relinquished").map(({ fields }) => ({ name, ...fields }))
    );
    assert.deepEqual(relinquished, []);
});
