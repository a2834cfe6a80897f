/**
 * Records in the key-value service that a host of another build wrote.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { engineSettings, EntrySite, until, waitUntilReady } from "./support/entrySite.js";

const VERSIONS_KEY = "streams/versions";
const RESTORES_KEY = "restores";

/** A host that would write a record has done so within this time. */
const WRITE_MILLISECONDS = 1_500;

/** Starts a host that has versions of engines to record. */
async function startRecordingHost(
    context: TestContext,
    records: Readonly<Record<string, unknown>>,
): Promise<EntrySite> {
    const site = await EntrySite.start();
    context.after(() => site.close());
    site.configure([{ pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true }], engineSettings(2, {}));
    Object.entries(records).forEach(([key, record]) => site.store.put(key, record));
    await site.addUpstream({ id: "i-engine", softwareVersion: "v1", models: { quotes: [] } }, "llm");
    await waitUntilReady(await site.addHost("entry-1"));
    return site;
}

function readRecord(site: EntrySite, key: string): unknown {
    return JSON.parse(site.store.get(key) ?? "");
}

test("a host that changes a record keeps the fields that it does not know", async context => {
    const site = await startRecordingHost(context, {
        [VERSIONS_KEY]: { restores: 0, services: [], later: { field: 1 } },
    });
    const versions = { restores: 0, services: [{ service: "llm", versions: ["v1"] }], later: { field: 1 } };
    await until(() => JSON.stringify(readRecord(site, VERSIONS_KEY)).includes("v1"));
    assert.deepEqual(readRecord(site, VERSIONS_KEY), versions);
    site.store.put(RESTORES_KEY, { restores: 0, later: [2] });
    site.store.takeSnapshot();
    site.store.restore();
    const hasSettled = (): boolean => (readRecord(site, RESTORES_KEY) as { restores: number; }).restores === 1;
    await until(hasSettled, 15_000);
    assert.deepEqual(readRecord(site, RESTORES_KEY), { restores: 1, later: [2] });
});

test("a host never overwrites a record that it cannot read", async context => {
    const records = {
        [VERSIONS_KEY]: { restores: "many", of: "a later build" },
        [RESTORES_KEY]: { restores: ["a later build"] },
        "holders/i-engine": { holders: ["entry-1", "entry-2"] },
    };
    const site = await startRecordingHost(context, records);
    site.store.takeSnapshot();
    site.store.restore();
    await delay(WRITE_MILLISECONDS * 4);
    for (const [key, record] of Object.entries(records)) {
        assert.deepEqual(readRecord(site, key), record, key);
    }
});

test("a host replaces a record that is no record of any build", async context => {
    const site = await startRecordingHost(context, { [VERSIONS_KEY]: "{" });
    const versions = { restores: 0, services: [{ service: "llm", versions: ["v1"] }] };
    await until(() => site.store.get(VERSIONS_KEY) === JSON.stringify(versions), WRITE_MILLISECONDS);
});
