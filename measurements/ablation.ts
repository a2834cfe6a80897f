/**
 * Copies the sources with one mechanism disabled, so that its effect can be measured.
 *
 * Run with `npx tsx measurements/ablation.ts MECHANISM FOLDER`; without arguments it lists the mechanisms. The product has
 * no switches for this: each mechanism is disabled by replacing source text, and text that is not found is an error.
 *
 * @module
 */
import { cpSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const COPIED_PATHS = ["platform", "src", "schema", "deploy", "package.json", "package-lock.json", "tsconfig.json"];

/** A text replacement in one source file. */
interface Change {
    readonly file: string;
    readonly from: string;
    readonly to: string;
}

const MECHANISMS: Readonly<Record<string, readonly Change[]>> = {
    "prompt-bound": [{
        file: "src/entry/exchange/upstreamSelection.ts",
        from: "acceptsPrompt: acceptsAnyPrompt || backlog.accepts(upstream.id, prompt, now)",
        to: "acceptsPrompt: acceptsAnyPrompt || prompt.hostCount > 0",
    }],
    "quick-bound": [{
        file: "src/forwarding/prefillBacklogLimit.ts",
        from: "const QUICK_GROWTH_FACTOR = 1.03;",
        to: "const QUICK_GROWTH_FACTOR = 1.0004;",
    }],
    "reading-demand": [{
        file: "src/placement/planWeights.ts",
        from: "const readingLoad = readingDemand.get(model) ?? 0;",
        to: "const readingLoad = (readingDemand.get(model) ?? 0) * 0;",
    }],
    "moves-together": [{
        file: "src/placement/planWeights.ts",
        from: "return concurrent.chosen.map(move => describeMove(context, move));",
        to: "return concurrent.chosen.slice(0, 1).map(move => describeMove(context, move));",
    }],
    "prompt-memory": [{
        file: "src/forwarding/chooseUpstream.ts",
        from: "const CACHED_PROMPT_SHARE = 0.05;",
        to: "const CACHED_PROMPT_SHARE = 0;",
    }],
    "zone-preference": [{
        file: "src/forwarding/chooseUpstream.ts",
        from: "const OTHER_ZONE_SHARE = 0.12;",
        to: "const OTHER_ZONE_SHARE = 0;",
    }],
    "health": [{
        file: "src/forwarding/upstreamHealth.ts",
        from: "return health.failures >= MINIMUM_FAILURES && share >= AVOIDED_FAILURE_SHARE;",
        to: "return health.failures < 0 && share >= AVOIDED_FAILURE_SHARE;",
    }],
    "further-adapter-copies": [{
        file: "src/entry/exchange/exchange.ts",
        from: "selection.requestFurtherCopy(chosen.id);",
        to: "",
    }],
    "plan-horizon": [{
        file: "src/placement/planWeights.ts",
        from: "const HORIZON_MILLISECONDS = 12_000;",
        to: "const HORIZON_MILLISECONDS = Number.POSITIVE_INFINITY;",
    }],
    "silence-watch": [{
        file: "src/entry/exchange/hedging.ts",
        from: "if (mayRunAgain(kind, resumable)) {",
        to: "if (kind === \"non-idempotent\" && mayRunAgain(kind, resumable)) {",
    }],
};

function copyWithout(mechanism: string, changes: readonly Change[], folder: string): void {
    COPIED_PATHS.forEach(name => cpSync(name, join(folder, name), { recursive: true }));
    for (const { file, from, to } of changes) {
        const path = join(folder, file);
        const text = readFileSync(path, "utf8");
        if (!text.includes(from)) {
            throw new Error(`${mechanism}: ${file} has no "${from}"`);
        }
        writeFileSync(path, text.replace(from, to));
    }
}

const [mechanism, folder] = process.argv.slice(2);
const changes = MECHANISMS[mechanism ?? ""];
if (mechanism === undefined || folder === undefined || changes === undefined) {
    console.log(`usage: npx tsx measurements/ablation.ts MECHANISM FOLDER\n${Object.keys(MECHANISMS).join("\n")}`);
    process.exitCode = mechanism === undefined ? 0 : 1;
}
else {
    copyWithout(mechanism, changes, folder);
    console.log(`${folder}: the sources without ${mechanism}`);
}
