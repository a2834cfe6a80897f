/**
 * Streams whose prompts take an engine longer to read than an answer may stand still.
 *
 * @module
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { holdAnswer, type TimedAnswer } from "./support/heldAnswer.js";

const ENGINES = ["i-1", "i-2", "i-3"];
const TOKENS_PER_MILLISECOND = 4;

/** Read in 1.7 seconds. */
const LONG_PROMPT_TOKENS = 6_800;

/** Prompts from which hosts learn how fast engines read. */
const SHORT_PROMPTS = 48;

/** Callers abandon a stream that brings nothing for this long. */
const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

let site: EntrySite;
let host: SiteHost;

beforeEach(async () => {
    site = await EntrySite.start();
    const streams = { kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000, maxAttempts: 3 };
    site.configure([{ ...streams, pathPrefix: "/streams/", service: "llm" }], engineSettings(4, { quotes: 0 }));
    for (const id of ENGINES) {
        await site.addUpstream({
            id,
            slots: 50,
            models: { quotes: [] },
            behave: ({ headers }) => {
                const promptTokens = Number.parseInt(String(headers["flamingospread-token-count"]), 10);
                return { type: "stream", events: 3, firstTokenMilliseconds: promptTokens / TOKENS_PER_MILLISECOND };
            },
        }, "llm");
    }
    host = await site.addHost("entry-1", { bounds: { retryExtra: 600 } });
    await waitUntilReady(host);
    await until(() => host.lines.filter(({ message }) => message === "upstream joined").length === ENGINES.length);
});

afterEach(async () => {
    await site.close();
});

function readStream(name: string, promptTokens: number): Promise<TimedAnswer> {
    const headers = { "Flamingospread-Model": "quotes", "Flamingospread-Token-Count": `${promptTokens},80` };
    return holdAnswer(host, { path: `/streams/${name}`, method: "POST", headers }).ended;
}

test("a stream is not moved from an engine that reads its long prompt, so that no engine reads it in time", async () => {
    for (let index = 0; index < SHORT_PROMPTS; index += 1) {
        await readStream(`short-${index}`, 50 + index * 37 % 400);
    }
    const answers: TimedAnswer[] = [];
    for (let index = 0; index < 3; index += 1) {
        answers.push(await readStream(`long-${index}`, LONG_PROMPT_TOKENS));
    }
    assert.ok(answers.every(({ isComplete }) => isComplete));
    const gaps = answers.map(({ longestGapMilliseconds }) => Math.round(longestGapMilliseconds));
    assert.ok(
        gaps.every(milliseconds => milliseconds < CALLER_GAP_LIMIT_MILLISECONDS),
        `gaps of ${gaps.join(", ")} ms`,
    );
});
