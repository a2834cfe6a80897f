/**
 * Entries and configurations of another writer, within the size that the store takes: they end no host, keep none from
 * its callers, and change nothing that is in force.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { CONFIGURATION, type ObservedSite, startObservedSite } from "./support/observedSite.js";

/** Size of a value that the store takes, with room for the other fields. */
const LIST_BYTES = 1_000_000;

/** Time in which a host reads what was written, and works on. */
const READING_MILLISECONDS = 2_500;

let bundled: BundledProgram;

before(async () => {
    bundled = await bundleProgram();
});

after(() => bundled.close());

function listOf(item: unknown): unknown[] {
    const count = Math.floor(LIST_BYTES / (JSON.stringify(item).length + 1));
    return Array.from({ length: count }, () => item);
}

const ENTRY = {
    service: "orders",
    address: "127.0.0.1:9",
    zone: "zone-a",
    version: "v1",
    slots: 6,
    state: "draining",
    coldRemainingMs: 0,
    sequence: 1,
};

/** Entries with as many items as they have room for: of another type, or of the type that is expected. */
const ENTRIES: Readonly<Record<string, object>> = {
    "numbers as models": { ...ENTRY, models: listOf(1) },
    "numbers as models, and fields missing": { service: "orders", models: listOf(1) },
    "texts as models": { ...ENTRY, models: listOf("x") },
    "numbers as adapters": { ...ENTRY, models: [{ name: "m", adapters: listOf(1) }] },
    "numbers as models at hand": { ...ENTRY, atHand: { inMemory: listOf(1), onDisk: [] } },
    "very many models": { ...ENTRY, models: listOf({ name: "m" }) },
    "very many adapters": { ...ENTRY, models: [{ name: "m", adapters: listOf("a1") }] },
    "very many fields": Object.fromEntries(listOf("123456").map((_, index) => [index, 1])),
};

const CONFIGURATIONS: Readonly<Record<string, object>> = {
    "numbers as routes": { ...CONFIGURATION, version: 2, routes: listOf(1) },
    "objects as routes": { ...CONFIGURATION, version: 2, routes: listOf({}) },
    "numbers as services": { ...CONFIGURATION, version: 2, services: listOf(1) },
};

/** Writes documents in batches with one that is sound, and again once they were read; then asks what was seen. */
async function writeAll(site: ObservedSite, key: string, documents: Readonly<Record<string, object>>): Promise<void> {
    for (const [name, document] of Object.entries(documents)) {
        site.store.put(`${key}${key.endsWith("/") ? name.replaceAll(/\W/g, "-") : ""}`, document);
        await delay(READING_MILLISECONDS / 5);
    }
    await delay(READING_MILLISECONDS);
    site.assertHeld();
}

const UNASKED = (): void => undefined;

// Guards against hosts that end at an entry, or at each start while it is there.
test("malformed entries of very many parts end no host, and hide no engine", async context => {
    const site = await startObservedSite(context, bundled, UNASKED);
    await writeAll(site, "servers/", ENTRIES);
});

test("malformed entries of very many parts do not end a host that starts", async context => {
    const site = await startObservedSite(context, bundled, UNASKED, { entries: ENTRIES });
    await delay(READING_MILLISECONDS);
    site.assertHeld();
});

// Guards against hosts that end at a configuration that is no configuration.
test("malformed configurations of very many parts end no host, and leave the one in force", async context => {
    const site = await startObservedSite(context, bundled, UNASKED);
    await writeAll(site, "op/config", CONFIGURATIONS);
});
