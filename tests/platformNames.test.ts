import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

/** Names that only the adapter may know. */
const PLATFORM_NAMES = [
    /flamingospread-[a-z]/i,
    /\bkv-(key|range|watch|txn|lease|keep|from|fetch)\b/,
    /op\/config|servers\//,
    /\b(fenceToken|coldRemainingMs|targetLatencyMs|targetGapMs|trafficSplit|maxAttempts|pathPrefix"|remainingMs|storeRevision"|ttlS|nodeName|machineClass)\b/,
    /last-event-id/i,
];

/** Names of the product itself that look like the platform's. */
const OWN_NAMES = [/flamingospread-cli/];

function sources(folder: string): string[] {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .map(file => join(folder, file))
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"));
}

test("nothing outside the adapter knows the platform's names", () => {
    const found = ["src", "bin"].flatMap(sources).flatMap(file =>
        readFileSync(file, "utf8").split("\n").flatMap((line, index) =>
            PLATFORM_NAMES.some(name => name.test(line)) && !OWN_NAMES.some(name => name.test(line))
                ? [`${file}:${index + 1}: ${line.trim()}`]
                : []
        )
    );
    assert.deepEqual(found, []);
});
