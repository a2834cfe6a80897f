/**
 * Hosts stop one after another while engines pause and callers go on using their open connections: each request that a
 * host has sent to an engine gets its whole answer.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom } from "../src/decision/index.js";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import { countLines, engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { allEventIds, eventIds, holdAnswer, type TimedAnswer } from "./support/heldAnswer.js";

const SEEDS = [1];
const HOSTS = 3;
const ENGINES = 4;
const SLOTS = 100;
const CALLERS_OF_HOST = 6;
const EVENTS = 8;
const START_MILLISECONDS = 15_000;
const GRACE_MILLISECONDS = 6_000;

/** Time from the start of a pause until a host is stopped, at most. */
const STOP_IN_PAUSE_MILLISECONDS = 600;
const SHORTEST_PAUSE_MILLISECONDS = 1_500;
const PAUSE_SPREAD_MILLISECONDS = 500;

/** Time between the ends of the pauses and the next one. */
const BETWEEN_PAUSES_MILLISECONDS = 400;
const CALLER_DELAY_MILLISECONDS = 30;

const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: 60 } as const satisfies Behaviour;

/** An answer that a caller got, or did not get. */
interface CallerOutcome {
    readonly id: string;
    readonly answer: TimedAnswer;
}

/** Resets the second attempts of requests. */
function createBehaviour(): (request: ReceivedRequest) => Behaviour {
    const seen = new Set<string>();
    return ({ id, path }) => {
        if (seen.has(id)) {
            return { type: "reset", afterMilliseconds: 600 };
        }
        seen.add(id);
        return path.startsWith("/streams/") ? STREAM : { type: "answer", afterMilliseconds: 100 };
    };
}

async function startHosts(site: EntrySite): Promise<readonly SiteHost[]> {
    const hosts: SiteHost[] = [];
    for (let index = 1; index <= HOSTS; index += 1) {
        const seeds = hosts.map(({ settings: { state } }) => `${state.address}:${state.port}`);
        const bounds = { retryExtra: 600, graceMilliseconds: GRACE_MILLISECONDS };
        hosts.push(await site.addHost(`entry-${index}`, { seeds, bounds }));
    }
    await Promise.all(hosts.map(host => waitUntilReady(host, START_MILLISECONDS)));
    await until(() => hosts.every(host => countLines(host, "upstream joined") === ENGINES), START_MILLISECONDS);
    return hosts;
}

/** Calls a host on one connection after another, until the host accepts none or the test ends. */
async function callRepeatedly(host: SiteHost, name: string, isOver: () => boolean): Promise<readonly CallerOutcome[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const outcomes: CallerOutcome[] = [];
    for (let count = 1; !isOver() && countLines(host, "stopped") === 0; count += 1) {
        const id = `${name}-${count}`;
        const isStream = count % 2 === 0;
        const request = isStream ? { path: "/streams/1", method: "POST", id } : { path: "/reads/1", id };
        const answer = await holdAnswer(host, { ...request, agent }).ended;
        outcomes.push({ id, answer });
        await delay(CALLER_DELAY_MILLISECONDS);
    }
    agent.destroy();
    return outcomes;
}

/** Returns whether an answer is the engine's whole one. */
function isWhole({ body, isComplete, status }: TimedAnswer, id: string): boolean {
    const hasWholeBody = body.endsWith(` ran ${id}`)
        || JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(EVENTS));
    return isComplete && status === 200 && hasWholeBody;
}

/** Pauses most or all engines again and again, and stops a host in each pause. */
async function stopInTurn(site: EntrySite, hosts: readonly SiteHost[], seed: number): Promise<void> {
    const random = createSeededRandom(seed);
    for (const [index, host] of hosts.entries()) {
        const pauseMilliseconds = SHORTEST_PAUSE_MILLISECONDS + random() * PAUSE_SPREAD_MILLISECONDS;
        site.upstreams.slice(index % 2).forEach(upstream => upstream.pause(pauseMilliseconds));
        const stopMilliseconds = random() * STOP_IN_PAUSE_MILLISECONDS;
        await delay(stopMilliseconds);
        void host.host.stop();
        await delay(pauseMilliseconds - stopMilliseconds + BETWEEN_PAUSES_MILLISECONDS);
    }
    await until(() => hosts.every(host => countLines(host, "stopped") > 0), START_MILLISECONDS);
}

async function findLost(site: EntrySite, seed: number): Promise<readonly string[]> {
    const time = { timeoutMs: 5_000, maxAttempts: 2 };
    site.configure([
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, ...time },
        { pathPrefix: "/reads/", targetLatencyMs: 200, ...time },
    ], engineSettings(4, { quotes: 0 }));
    const behave = createBehaviour();
    for (let index = 1; index <= ENGINES; index += 1) {
        await site.addUpstream({ id: `i-${index}`, behave, slots: SLOTS });
    }
    const hosts = await startHosts(site);
    let isOver = false;
    const callers = hosts.flatMap(host =>
        Array.from(
            { length: CALLERS_OF_HOST },
            (_, index) => callRepeatedly(host, `${host.name}-${index}`, () => isOver),
        )
    );
    await delay(BETWEEN_PAUSES_MILLISECONDS);
    await stopInTurn(site, hosts, seed);
    isOver = true;
    const outcomes = (await Promise.all(callers)).flat();
    const sent = new Set(
        hosts.flatMap(({ lines }) => lines.filter(({ message }) => message === "request sent"))
            .map(({ fields }) => fields["request"]),
    );
    const begun = outcomes.filter(({ id }) => sent.has(id));
    assert.ok(begun.length > 0);
    const lost = begun.filter(({ answer, id }) => !isWhole(answer, id));
    return lost.length === 0
        ? []
        : [
            `${lost.length} of ${begun.length} lost`,
            ...lost.slice(0, 5).map(({ answer, id }) =>
                `${id}: status ${answer.status ?? "none"}, ${answer.isComplete ? "complete" : "cut off"}`
            ),
        ];
}

for (const seed of SEEDS) {
    test(`no request is lost where hosts stop in turn beside pauses of engines, with seed ${seed}`, async () => {
        const site = await EntrySite.start();
        try {
            assert.deepEqual(await findLost(site, seed), []);
        }
        finally {
            await site.close();
        }
    });
}
