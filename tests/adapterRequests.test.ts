/**
 * Requests that wait for adapters do not flood the holder of their engines with messages.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type GossipLink, type GossipMessage, openGossipLink } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import { createDigest } from "./support/digests.js";
import { startEngineSite } from "./support/engineSite.js";
import { engineSettings, requestAdapter, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";

const HOLDER = "entry-0";
const SESSION = "77120";
const ENGINES = 11;
const WAITING = 5;

/** Digests a second of all hosts of a cell of 11, and of one of them. */
const DIGESTS_OF_CELL_PER_SECOND = 20;
const DIGESTS_PER_SECOND = 2;

const MILLISECONDS_PER_SECOND = 1_000;

/** A waiting request repeats its message after 120 ms, since datagrams may be lost. */
const REQUESTS_PER_ADAPTER_AND_SECOND = 10;

/** Handles a message that the holder gets, and may answer it. */
type OnMessage = (message: GossipMessage, answer: (message: GossipMessage) => void) => void;

/** How the holder tells of its engines. */
interface HolderBehaviour {
    readonly digestsPerSecond: number;
    /** True where each digest tells of other adapters, none of them those that requests wait for. */
    readonly hasNews: boolean;
}

function engineName(index: number): string {
    return `i-engine-${index}`;
}

function memoryOf(engine: string, adapters: readonly string[] = []) {
    return {
        engine,
        startedAtMilliseconds: 1_700_000_000_000,
        orderCount: 5,
        models: [{ name: "quotes", adapters: [...adapters] }],
    };
}

/** Starts a host before engines that another host holds, which orders nothing and sends its digest at a fixed rate. */
async function startHost(
    context: TestContext,
    { digestsPerSecond, hasNews }: HolderBehaviour,
    onMessage: OnMessage,
): Promise<SiteHost> {
    const site = await startEngineSite({ engine: engineSettings(4, { quotes: 40 }), timeoutMs: 6_000 });
    for (let index = 0; index < ENGINES; index += 1) {
        await site.addUpstream({ id: engineName(index), models: { quotes: [] }, slots: 8 }, "llm");
    }
    const [port = 0, callers = 0, state = 0] = await findFreePorts(3);
    const addresses = {
        gossip: `127.0.0.1:${port}`,
        callers: `127.0.0.1:${callers}`,
        state: `127.0.0.1:${state}`,
    };
    site.store.put(`hosts/${HOLDER}`, { host: HOLDER, zone: "zone-a", session: SESSION, addresses });
    for (let index = 0; index < ENGINES; index += 1) {
        const record = { host: HOLDER, session: SESSION, released: false, settled: true };
        site.store.put(`holders/${engineName(index)}`, record);
    }
    const host = await site.addHost("entry-1");
    const { address, port: gossipPort } = host.settings.gossip;
    const send = (message: GossipMessage): void => link.send(message, [`${address}:${gossipPort}`]);
    const link: GossipLink = await openGossipLink({
        address: "127.0.0.1",
        port,
        onMessage: message => onMessage(message, send),
        onProblem: () => undefined,
    });
    let sequence = 0;
    const timer = setInterval(() => {
        sequence += 1;
        const engines = Array.from(
            { length: ENGINES },
            (_, index) => memoryOf(engineName(index), hasNews ? [`b${sequence % 2}`] : []),
        );
        send(createDigest(HOLDER, { sequence, zone: "zone-a", addresses, engines }));
    }, MILLISECONDS_PER_SECOND / digestsPerSecond);
    context.after(async () => {
        clearInterval(timer);
        link.close();
        await host.host.close();
        await site.close();
    });
    await waitUntilReady(host);
    await until(() => host.lines.filter(({ message }) => message === "upstream joined").length === ENGINES);
    return host;
}

/** Counts the requests for adapters that the holder gets in a second, while some requests wait. */
async function countRequests(context: TestContext, behaviour: HolderBehaviour, onMessage: OnMessage): Promise<number> {
    let count = 0;
    const host = await startHost(context, behaviour, (message, answer) => {
        if (message.type === "wish") {
            count += 1;
            onMessage(message, answer);
        }
    });
    const answers = Array.from({ length: WAITING }, (_, index) => requestAdapter(host, `a${index}`));
    await until(() => count > 0);
    const countAtStart = count;
    await delay(MILLISECONDS_PER_SECOND);
    const counted = count - countAtStart;
    context.diagnostic(`${counted} requests for adapters in a second`);
    void Promise.allSettled(answers);
    return counted;
}

const MAXIMUM_REQUESTS = WAITING * (REQUESTS_PER_ADAPTER_AND_SECOND + 1);

test("digests that tell nothing new do not make waiting requests repeat their messages", async context => {
    const count = await countRequests(
        context,
        { digestsPerSecond: DIGESTS_OF_CELL_PER_SECOND, hasNews: false },
        () => undefined,
    );
    assert.ok(count > 0 && count <= MAXIMUM_REQUESTS, `${count} requests for adapters in a second`);
});

test("a holder's answer to a request for an adapter is not answered by the same request", async context => {
    const count = await countRequests(
        context,
        { digestsPerSecond: DIGESTS_PER_SECOND, hasNews: false },
        (message, answer) => {
            if (message.type === "wish") {
                answer({ type: "news", host: HOLDER, engine: memoryOf(message.engine) });
            }
        },
    );
    assert.ok(count > 0 && count <= MAXIMUM_REQUESTS, `${count} requests for adapters in a second`);
});

test("digests with news of other adapters do not make waiting requests repeat their messages", async context => {
    const behaviour = { digestsPerSecond: DIGESTS_OF_CELL_PER_SECOND, hasNews: true };
    const count = await countRequests(context, behaviour, () => undefined);
    assert.ok(count > 0 && count <= MAXIMUM_REQUESTS, `${count} requests for adapters in a second`);
});
