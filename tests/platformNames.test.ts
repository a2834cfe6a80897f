/**
 * Guards the boundary of the adapter in `platform/`: `src` and `bin` must not contain the platform's names.
 *
 * @module
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

/** Names that only the adapter may contain. */
const PLATFORM_NAMES = [
    /flamingospread-[a-z]/i,
    /\bkv-(key|range|watch|txn|lease|keep|from|fetch)\b/,
    /op\/config|servers\//,
    /\b(fenceToken|coldRemainingMs|targetLatencyMs|targetGapMs|trafficSplit|maxAttempts|pathPrefix"|remainingMs|storeRevision"|ttlS|nodeName|machineClass)\b/,
    /last-event-id/i,
];

/** Names of this project that the patterns above match too. */
const OWN_NAMES = [/flamingospread-cli/];

function sources(folder: string): string[] {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .map(file => join(folder, file))
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"));
}

test("src and bin contain none of the platform's names", () => {
    const found = ["src", "bin"].flatMap(sources).flatMap(file =>
        readFileSync(file, "utf8").split("\n").flatMap((line, index) =>
            PLATFORM_NAMES.some(name => name.test(line)) && !OWN_NAMES.some(name => name.test(line))
                ? [`${file}:${index + 1}: ${line.trim()}`]
                : []
        )
    );
    assert.deepEqual(found, []);
});
