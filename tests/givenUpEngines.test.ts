/**
 * Requests that were given up at a silent engine, and whose second engine fails.
 *
 * @module
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { allEventIds, eventIds, holdAnswer } from "./support/heldAnswer.js";

const EVENTS = 20;
const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: 150 } as const satisfies Behaviour;
const STREAMS = 6;

/** Slots of the second engine, so that some streams stay at the first. */
const FEW_SLOTS = 3;

const PAUSE_MILLISECONDS = 1_500;

/** The second engine fails this long after it got a stream: once the first was given up, and goes on. */
const FAILS_AFTER_MILLISECONDS = 450;

let site: EntrySite;
let host: SiteHost;

beforeEach(async () => {
    site = await EntrySite.start();
    const streams = { kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 15_000, maxAttempts: 4 };
    site.configure([{ ...streams, pathPrefix: "/streams/", service: "llm" }], engineSettings(4, { quotes: 0 }));
});

afterEach(async () => {
    await site.close();
});

async function addEngine(id: string, behaviour: Behaviour, slots: number) {
    return await site.addUpstream({ id, behave: () => behaviour, slots, models: { quotes: [] } }, "llm");
}

test("a stream goes on at the engine that paused where the second engine fails, and is not broken off", async () => {
    const paused = await addEngine("i-paused", STREAM, 100);
    host = await site.addHost("entry-1", { bounds: { retryExtra: 600 } });
    await waitUntilReady(host);
    const headers = { "Flamingospread-Model": "quotes" };
    const streams = Array.from(
        { length: STREAMS },
        (_, index) => holdAnswer(host, { path: `/streams/${index}`, method: "POST", headers }),
    );
    await until(() => streams.every(({ readBytes }) => readBytes() > 0));
    await addEngine("i-failing", { type: "reset", afterMilliseconds: FAILS_AFTER_MILLISECONDS }, FEW_SLOTS);
    await until(() =>
        host.lines.some(({ fields, message }) => message === "upstream joined" && fields["upstream"] === "i-failing")
    );
    paused.pause(PAUSE_MILLISECONDS);
    const answers = await Promise.all(streams.map(({ ended }) => ended));
    const givenUp = host.lines.filter(({ fields, message }) =>
        message === "attempt failed" && fields["reason"] === "silent" && fields["upstream"] === "i-paused"
    );
    assert.ok(givenUp.length > 0, "no stream was given up");
    const whole = answers.filter(({ body, isComplete }) =>
        isComplete && JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(EVENTS))
    );
    assert.equal(whole.length, STREAMS);
});
