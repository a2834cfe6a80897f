/**
 * Hosts that list the store anew, since it has dropped the changes that they had not read, hear meanwhile of engines that
 * leave, however long the listing takes.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME } from "./support/entrySite.js";
import { measureStalls } from "./support/processStalls.js";
import { type CellHost, ProgramCell } from "./support/programCell.js";
import { type EngineAnswer } from "./support/stoppedHost.js";

const NAMES = ["entry-1", "entry-2", "entry-3", "entry-4"];
const SERVICE = "plain";
const SLOTS = 100;
const ANSWER: EngineAnswer = { type: "answer", afterMilliseconds: 5 };
const REQUEST_INTERVAL_MILLISECONDS = 40;

/** Eleven pages, behind that with the engines. */
const OTHER_KEYS = 500;
const PAGE_MILLISECONDS = 350;

/** Several rounds of digests. */
const SETTLED_MILLISECONDS = 1_500;

/** The first page of the listing has been answered, and the last one has not. */
const LISTING_MILLISECONDS = 1_000;

/** The listing has ended by then. */
const OBSERVED_MILLISECONDS = 4_000;

/** A change is read from a poll that is open, or from the next one after 120 ms. */
const READ_MILLISECONDS = 350;

/** A poll for each batch of changes, of which there are few, and one after each failure. */
const MAXIMUM_POLLS_OF_HOST = 12;

const POLL_PATH = "/kv-watch";

const CONFIGURATION = {
    version: 1,
    routes: [{
        name: SERVICE,
        host: HOST_NAME,
        pathPrefix: "/plain/",
        kind: "idempotent",
        timeoutMs: 30_000,
        targetLatencyMs: 200,
        priority: 0,
        service: SERVICE,
        maxAttempts: 2,
    }],
    services: [{ name: SERVICE, healthPath: "/healthz", maxConnections: SLOTS }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** What happened around a listing. */
interface ListingResult {
    readonly statuses: readonly (number | undefined)[];
    /** How long after the engine had said that it leaves the last request reached it, without the test's own stalls. */
    readonly latestMilliseconds: number;
    /** Polls of each host from the loss of the changes on. */
    readonly polls: readonly number[];
    readonly outputs: readonly string[];
}

let cell: ProgramCell | undefined;
let result: ListingResult | undefined;

async function sendRequests(host: CellHost): Promise<(number | undefined)[]> {
    const answers: Promise<number | undefined>[] = [];
    const endMilliseconds = performance.now() + LISTING_MILLISECONDS + OBSERVED_MILLISECONDS;
    while (performance.now() < endMilliseconds) {
        answers.push(host.call(`/plain/${host.name}/${answers.length}`));
        await delay(REQUEST_INTERVAL_MILLISECONDS);
    }
    return Promise.all(answers);
}

/** Lets the store drop changes that no host has read. */
function loseChanges({ hosts, store }: ProgramCell): void {
    hosts.forEach(({ relay }) => {
        relay.pageDelayMilliseconds = PAGE_MILLISECONDS;
        relay.hold();
    });
    store.put("other/0", "changed");
    store.compact();
    hosts.forEach(({ relay }) => relay.disconnect());
}

async function listAnew(started: ProgramCell): Promise<ListingResult> {
    const engines = await Promise.all(["staying", "leaving"].map(id => started.addEngine(id, SERVICE, () => ANSWER)));
    engines.forEach(engine => started.announce(engine, "ready", SLOTS));
    for (let index = 0; index < OTHER_KEYS; index += 1) {
        started.store.put(`x-other/${index}`, "unchanged");
    }
    await delay(SETTLED_MILLISECONDS);
    const callsBefore = started.hosts.map(({ relay }) => relay.calls.length);
    const outputBefore = started.hosts.map(({ output }) => output.length);
    const requests = Promise.all(started.hosts.map(sendRequests));
    loseChanges(started);
    await delay(LISTING_MILLISECONDS);
    const [, leaving] = engines;
    assert.ok(leaving !== undefined);
    const stalls = measureStalls();
    started.announce(leaving, "draining", SLOTS);
    const leftAtMilliseconds = performance.now();
    const statuses = (await requests).flat();
    const latest = Math.max(...leaving.arrivals.map(({ atMilliseconds }) => atMilliseconds), leftAtMilliseconds);
    const latestMilliseconds = latest - leftAtMilliseconds - stalls.read();
    stalls.close();
    return {
        statuses,
        latestMilliseconds,
        polls: started.hosts.map(({ relay }, index) =>
            relay.calls.slice(callsBefore[index]).filter(path => path.startsWith(POLL_PATH)).length
        ),
        outputs: started.hosts.map(({ output }, index) => output.slice(outputBefore[index])),
    };
}

before(async () => {
    cell = await ProgramCell.start(NAMES, CONFIGURATION);
    result = await listAnew(cell);
});

after(() => cell?.close());

test("all hosts list the store anew while they serve all requests", () => {
    assert.ok(result !== undefined);
    assert.ok(result.outputs.every(output => output.includes("\"key-value service listed\"")));
    assert.deepEqual(result.statuses.filter(status => status !== 200), []);
});

test("hosts that list the store for seconds send nothing to an engine that leaves meanwhile", () => {
    assert.ok(
        result !== undefined && result.latestMilliseconds <= READ_MILLISECONDS,
        `${result?.latestMilliseconds} ms`,
    );
});

test("hosts that list the store do not ask again and again for changes that it no longer has", () => {
    assert.ok(result?.polls.every(count => count <= MAXIMUM_POLLS_OF_HOST), result?.polls.join(" "));
});
