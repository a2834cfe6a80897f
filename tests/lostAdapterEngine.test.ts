/**
 * The only engine that holds an adapter is lost, while another engine of the model has room for the adapter.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { startEngineSite } from "./support/engineSite.js";
import {
    type CallerAnswer,
    engineSettings,
    requestAdapter,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";

const MODEL = "quotes";
const ADAPTER = "a1";
const EVENTS = 40;
const EVENT_GAP_MILLISECONDS = 25;

/** The host holds the engines, and orders adapters, from this time on. */
const SETTLED_MILLISECONDS = 6_000;

/** The engine is lost this long after the stream began there. */
const STREAMING_MILLISECONDS = 300;

/** A host, and two engines of which the first one holds the adapter. */
interface AdapterSite {
    readonly host: SiteHost;
    readonly holding: PlatformUpstreamStandIn;
    readonly other: PlatformUpstreamStandIn;
}

async function startSite(context: TestContext): Promise<AdapterSite> {
    const site = await startEngineSite({ engine: engineSettings(2, { [MODEL]: 4 }), timeoutMs: 8_000 });
    context.after(() => site.close());
    const addEngine = (id: string, adapters: readonly string[]): Promise<PlatformUpstreamStandIn> =>
        site.addUpstream({
            id,
            models: { [MODEL]: adapters },
            behave: () => ({ type: "stream", events: EVENTS, gapMilliseconds: EVENT_GAP_MILLISECONDS }),
        }, "llm");
    const holding = await addEngine("i-holding", [ADAPTER]);
    const other = await addEngine("i-other", []);
    const host = await site.addHost("entry-1");
    await waitUntilReady(host);
    await delay(SETTLED_MILLISECONDS);
    return { host, holding, other };
}

function countEvents({ body }: CallerAnswer): number {
    return [...body.matchAll(/^id: /gm)].length;
}

test("a stream of an adapter goes on where the adapter can be loaded when its engine is lost", async context => {
    const { host, holding, other } = await startSite(context);
    const stream = requestAdapter(host, ADAPTER);
    await until(() => holding.received.length > 0);
    await delay(STREAMING_MILLISECONDS);
    holding.crash();
    const answer = await stream;
    const outcome = host.lines.findLast(({ message }) => message === "request ended")?.fields["outcome"];
    assert.equal(countEvents(answer), EVENTS, `${String(outcome)}; ${other.received.length} requests at the other`);
});

test("an adapter that was lost with its engine is loaded at another one within the request's time", async context => {
    const { host, holding } = await startSite(context);
    holding.crash();
    const answer = await requestAdapter(host, ADAPTER);
    assert.equal(countEvents(answer), EVENTS, answer.body);
});
