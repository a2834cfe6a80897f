/**
 * Streams of real processes must be complete when connections stall, and when engines leave, freeze or are killed.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import { waitUntil } from "../demo/sites.js";
import { startRelay } from "./_relay.js";
import {
    chat,
    type ChatOptions,
    expectedText,
    findRunning,
    readEngine,
    setFaults,
    startTestSite,
    type TestSite,
} from "./_testSite.js";

/** Time after which a leaving upstream gets no new work; required is "after a few seconds". */
const LEAVING_MILLISECONDS = 5000;
const LONG: ChatOptions = { prompt: "A long quote", tokens: 400 };

let site: TestSite;
before(async () => {
    site = await startTestSite({ engine: { tokenMilliseconds: 5 } });
});
after(() => site.close());

function hostUrl(index: number): string {
    return site.hosts[index]?.callersUrl ?? "";
}

function engine(name: string) {
    const found = site.engines.get(name);
    assert.ok(found !== undefined);
    return found;
}

async function completionsAt(name: string): Promise<number> {
    return Object.keys((await readEngine(engine(name))).completions).length;
}

/** Starts a long stream and waits until its caller has received the first tokens. */
async function startLongStream(url: string, options: ChatOptions = LONG) {
    let received = "";
    const outcome = chat(url, {
        ...options,
        onText: text => {
            received = text;
        },
    });
    await waitUntil(() => Promise.resolve(received.split("\n\n").length > 10), "the stream begins");
    return { outcome, read: () => received };
}

function assertComplete(outcome: Awaited<ReturnType<typeof chat>>, options: ChatOptions): void {
    assert.deepEqual([outcome.status, outcome.refusal, outcome.isComplete], [200, undefined, true]);
    assert.equal(outcome.text, expectedText(options));
}

test("a stream is complete although the connection to its engine stalls for good, while new connections work", async () => {
    const streams = await Promise.all(Array.from({ length: 9 }, (_, index) => {
        const options = { ...LONG, prompt: `Quote ${index}` };
        return startLongStream(hostUrl(index % 3), options).then(({ outcome }) => ({ outcome, options }));
    }));
    assert.ok((await readEngine(engine("engine-1"))).running > 0, "no stream runs behind the relay");
    site.relay.stall();
    for (const { outcome, options } of streams) {
        assertComplete(await outcome, options);
    }
});

test("a caller whose connection stalls is answered on a new connection, and other callers are not affected", async () => {
    const relay = await startRelay(hostUrl(0));
    const stalled = await startLongStream(relay.url);
    relay.stall();
    assertComplete(await chat(relay.url, { prompt: "again" }), { prompt: "again" });
    assertComplete(await chat(hostUrl(0), { prompt: "another caller" }), { prompt: "another caller" });
    assert.ok(!stalled.read().includes("[DONE]"));
    await relay.close();
    await stalled.outcome;
});

async function listLeavingEngines(leavingEngines: readonly string[]): Promise<void> {
    const { url } = site.hostList;
    const listing = await (await request(`${url}/v1/hosts`)).body.json() as Record<string, unknown>;
    const answer = await request(`${url}/standin-hosts`, {
        method: "PUT",
        body: JSON.stringify({ ...listing, leavingEngines }),
    });
    await answer.body.dump();
}

test("an engine that reports that it is leaving gets no new work after a few seconds", async () => {
    await setFaults(engine("engine-2"), { leaving: true });
    await new Promise(resolve => setTimeout(resolve, LEAVING_MILLISECONDS));
    const before = await completionsAt("engine-2");
    const prompts = Array.from({ length: 24 }, (_, index) => `After leaving ${index}`);
    const outcomes = await Promise.all(prompts.map((prompt, index) => chat(hostUrl(index % 3), { prompt })));
    outcomes.forEach((outcome, index) => assertComplete(outcome, { prompt: prompts[index] ?? "" }));
    assert.equal(await completionsAt("engine-2"), before);
    await setFaults(engine("engine-2"), { leaving: false });
});

test("an engine that the platform's host list marks as leaving gets no new work after a few seconds", async () => {
    await listLeavingEngines(["engine-3"]);
    await new Promise(resolve => setTimeout(resolve, LEAVING_MILLISECONDS));
    const before = await completionsAt("engine-3");
    const prompts = Array.from({ length: 24 }, (_, index) => `After the list ${index}`);
    const outcomes = await Promise.all(prompts.map((prompt, index) => chat(hostUrl(index % 3), { prompt })));
    outcomes.forEach((outcome, index) => assertComplete(outcome, { prompt: prompts[index] ?? "" }));
    assert.equal(await completionsAt("engine-3"), before);
    await listLeavingEngines([]);
    await new Promise(resolve => setTimeout(resolve, LEAVING_MILLISECONDS));
});

test("streams of a frozen engine are complete, and so are requests sent meanwhile", async () => {
    const first = await startLongStream(hostUrl(0), { ...LONG, prompt: "Frozen" });
    const victim = await findRunning(site);
    engine(victim).process.child.kill("SIGSTOP");
    const prompts = Array.from({ length: 12 }, (_, index) => `While frozen ${index}`);
    const outcomes = await Promise.all(prompts.map((prompt, index) => chat(hostUrl(index % 3), { prompt })));
    assertComplete(await first.outcome, { ...LONG, prompt: "Frozen" });
    outcomes.forEach((outcome, index) => assertComplete(outcome, { prompt: prompts[index] ?? "" }));
    engine(victim).process.child.kill("SIGCONT");
});

test("a stream is complete although its engine is killed during it, and so are concurrent streams", async () => {
    const first = await startLongStream(hostUrl(0));
    const victim = await findRunning(site);
    const otherStreams = await Promise.all(
        [1, 2].map(index => startLongStream(hostUrl(index), { ...LONG, prompt: `Companion ${index}` })),
    );
    engine(victim).process.child.kill("SIGKILL");
    assertComplete(await first.outcome, LONG);
    for (const [index, { outcome }] of otherStreams.entries()) {
        assertComplete(await outcome, { ...LONG, prompt: `Companion ${index + 1}` });
    }
});
