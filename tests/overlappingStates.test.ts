/**
 * Requests that are sent on a connection while the one before is in each of its states.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { createSeededRandom, type RandomSource } from "../src/decision/index.js";
import { type Behaviour, type ReceivedRequest } from "../standins/platform/upstream.js";
import { STREAM_EVENTS } from "./support/changeSite.js";
import { engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";
import {
    BODIES,
    type BodyForm,
    type ConnectionPlan,
    createFollower,
    DELIVERIES,
    findConnectionFaults,
    KINDS,
    nextId,
    type PlannedRequest,
    REFUSALS,
    runConnection,
    STATUS_OK,
    summarizeFaults,
} from "./support/overlappingRuns.js";

const SEED = Number(process.env["OVERLAP_SEED"] ?? "1");
const COUNTS = [2, 3, 10];
const STATES_AT_ONCE = 4;

const SLOW_MILLISECONDS = 400;

/** Time of an answer at an engine that runs one request at a time. */
const SHORT_MILLISECONDS = 50;

/** Longer than the time limit for heads in the tests that lower it. */
const VERY_SLOW_MILLISECONDS = 2_500;
const LOW_HEADER_TIMEOUT_MILLISECONDS = 1_000;
const LARGE_BYTES = 3_000_000;
const MANY_EVENTS = 10;
const BREAK_AFTER_EVENTS = 6;
const BODY_LIMIT_BYTES = 65_536;
const HEADER_LIMIT_BYTES = 16_384;
const LOW_HEADER_LIMIT_BYTES = 6_000;

/** Length of a head that one of the header limits allows and the other does not. */
const LONG_HEAD_BYTES = 8_000;

/** Ample for ten requests one after another beside the other connections of a test. */
const WITHIN_MILLISECONDS = 20_000;

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const SERVER_ERRORS = [500, 502, 503, 504];

const LIMITS = {
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 15_000,
    maxBodyBytes: BODY_LIMIT_BYTES,
    maxHeaderBytes: HEADER_LIMIT_BYTES,
};
const SERVICE = { healthPath: "/healthz", maxConnections: 400, protocol: "h1", tls: false };
const STREAM = { kind: "stream", resumable: true, targetGapMs: 150 };
const TIMES = { timeoutMs: WITHIN_MILLISECONDS, targetLatencyMs: 4_000 };

const ROUTES = [
    { pathPrefix: "/reads/" },
    { pathPrefix: "/orders/", kind: "non_idempotent" },
    { pathPrefix: "/streams/", ...STREAM },
    { pathPrefix: "/broken/", ...STREAM, resumable: false },
    { pathPrefix: "/tight/", service: "tight" },
    { pathPrefix: "/rejected/", service: "rejecting" },
    { pathPrefix: "/llm/", service: "llm", ...STREAM },
    { pathPrefix: "/generate/", service: "llm", kind: "non_idempotent" },
].map(route => ({ ...TIMES, ...route }));

function behave({ path }: ReceivedRequest): Behaviour {
    switch (path.split("/")[2]) {
        case "slow":
            return { type: "answer", afterMilliseconds: SLOW_MILLISECONDS };
        case "short":
            return { type: "answer", afterMilliseconds: SHORT_MILLISECONDS };
        case "very-slow":
            return { type: "answer", afterMilliseconds: VERY_SLOW_MILLISECONDS };
        case "head":
            return { type: "answer", bodyAfterMilliseconds: SLOW_MILLISECONDS };
        case "large":
            return { type: "answer", body: "x".repeat(LARGE_BYTES) };
        case "events":
            return { type: "stream", events: MANY_EVENTS, gapMilliseconds: SLOW_MILLISECONDS / MANY_EVENTS };
        case "few":
            return { type: "stream", events: STREAM_EVENTS, gapMilliseconds: 2 };
        case "cut":
            return { type: "stream", events: MANY_EVENTS, gapMilliseconds: 20, breakAfter: BREAK_AFTER_EVENTS };
        case "reset":
            return { type: "reset", afterMilliseconds: 100 };
        default:
            return { type: "answer" };
    }
}

function configure(site: EntrySite, limits: Readonly<Record<string, number>> = {}): void {
    site.configure(ROUTES, undefined, {
        services: [
            { name: "plain", ...SERVICE },
            { name: "tight", ...SERVICE },
            { name: "rejecting", ...SERVICE },
            { name: "llm", ...SERVICE, engine: engineSettings(4, { quotes: 0 }) },
        ],
        limits: { ...LIMITS, ...limits },
    });
}

interface StartedSite {
    readonly site: EntrySite;
    readonly host: SiteHost;
}

async function startSite(limits: Readonly<Record<string, number>> = {}): Promise<StartedSite> {
    const site = await EntrySite.start();
    configure(site, limits);
    await site.addUpstream({ id: "i-plain", slots: 400, behave });
    await site.addUpstream({ id: "i-tight", slots: 1, behave }, "tight");
    await site.addUpstream(
        { id: "i-rejecting", slots: 50, behave: () => ({ type: "not-run", status: 503 }) },
        "rejecting",
    );
    await site.addUpstream({ id: "i-llm", slots: 200, behave, models: { quotes: [] } }, "llm");
    const host = await site.addHost("entry-1", { bounds: { retryExtra: 10_000 } });
    await waitUntilReady(host);
    await until(() => host.lines.filter(({ message }) => message === "upstream joined").length === 4);
    return { site, host };
}

async function closeSite({ host, site }: StartedSite): Promise<void> {
    await host.host.close();
    await site.close();
}

/** Stores other limits, and waits until they are in force. */
async function changeLimits({ host, site }: StartedSite, limits: Readonly<Record<string, number>>): Promise<void> {
    configure(site, limits);
    await until(() =>
        host.lines.some(({ fields, message }) =>
            message === "configuration in force" && fields["version"] === site.version
        )
    );
}

/** A state of the request before. */
interface State {
    readonly name: string;
    readonly createFirst: () => Omit<PlannedRequest, "id" | "isOrder"> & Partial<Pick<PlannedRequest, "isOrder">>;
    /** Statuses of the requests behind it; only success if absent. */
    readonly followerStatuses?: readonly number[];
    readonly notReadingMilliseconds?: number;
}

const PLAIN = { expects: { type: "plain" }, statuses: [STATUS_OK] } as const;

const STATES: readonly State[] = [
    {
        name: "waiting for room at a full engine",
        createFirst: () => ({ ...PLAIN, path: "/tight/short", statuses: [STATUS_OK, ...REFUSALS] }),
    },
    { name: "sent without a head of its answer", createFirst: () => ({ ...PLAIN, path: "/reads/slow" }) },
    {
        name: "sent without a head of its answer, and not idempotent",
        createFirst: () => ({ ...PLAIN, path: "/orders/slow", method: "POST", isOrder: true }),
    },
    {
        name: "answered with a head so far",
        createFirst: () => ({ ...PLAIN, path: "/orders/head", method: "POST", isOrder: true }),
    },
    {
        name: "streaming",
        createFirst: () => ({
            ...PLAIN,
            path: "/streams/events",
            method: "POST",
            expects: { type: "events", count: MANY_EVENTS },
        }),
    },
    {
        name: "answered with a large body that its caller reads slowly",
        createFirst: () => ({ ...PLAIN, path: "/reads/large", expects: { type: "length", bytes: LARGE_BYTES } }),
        notReadingMilliseconds: SLOW_MILLISECONDS,
    },
    {
        name: "refused with 503",
        createFirst: () => ({ ...PLAIN, path: "/rejected/soon", statuses: REFUSALS }),
    },
    { name: "answered with 404", createFirst: () => ({ ...PLAIN, path: "/nowhere/1", statuses: [STATUS_NOT_FOUND] }) },
    {
        name: "answered with 413",
        createFirst: () => ({
            ...PLAIN,
            path: "/orders/soon",
            method: "POST",
            isOrder: true,
            body: "l".repeat(BODY_LIMIT_BYTES + 1),
            statuses: [STATUS_TOO_LARGE],
        }),
        followerStatuses: [STATUS_OK, ...REFUSALS],
    },
    {
        name: "reset by its engine",
        createFirst: () => ({
            ...PLAIN,
            path: "/orders/reset",
            method: "POST",
            isOrder: true,
            statuses: SERVER_ERRORS,
        }),
    },
    {
        name: "broken off by its engine within its answer",
        createFirst: () => ({
            ...PLAIN,
            path: "/broken/cut",
            method: "POST",
            expects: { type: "events", count: MANY_EVENTS },
            isBrokenOff: true,
        }),
    },
];

function createFollowers(
    count: number,
    body: BodyForm,
    statuses: readonly number[] | undefined,
    random: RandomSource,
): PlannedRequest[] {
    const offset = Math.floor(random() * KINDS.length);
    return Array.from(
        { length: count },
        (_, index) => createFollower(KINDS[(offset + index) % KINDS.length] ?? "reads", body, statuses),
    );
}

/** Plans a connection for each number of requests, form of body, and way to write them. */
function planConnections(state: State, random: RandomSource): ConnectionPlan[] {
    const { createFirst, followerStatuses, notReadingMilliseconds } = state;
    return COUNTS.flatMap(count =>
        DELIVERIES.flatMap(delivery =>
            BODIES.map(body => {
                const first = { id: nextId("first"), isOrder: false, ...createFirst() };
                return {
                    name: `${count} requests in ${delivery}, ${body}`,
                    requests: [first, ...createFollowers(count - 1, body, followerStatuses, random)],
                    delivery,
                    ...notReadingMilliseconds !== undefined && { notReadingMilliseconds },
                };
            })
        )
    );
}

async function assertAnswered(
    { host, site }: StartedSite,
    plans: readonly ConnectionPlan[],
    random: RandomSource,
): Promise<void> {
    const options = { random, withinMilliseconds: WITHIN_MILLISECONDS };
    const runs = await Promise.all(plans.map(plan => runConnection(host, plan, options)));
    const faults = runs.flatMap(run => findConnectionFaults(run, site));
    const requestCount = plans.flatMap(({ requests }) => requests).length;
    assert.equal(faults.length, 0, summarizeFaults(faults, requestCount));
}

function slowRead(): PlannedRequest {
    return { id: nextId("first"), isOrder: false, ...PLAIN, path: "/reads/slow" };
}

/** Sends a request under the present limits, the others in one segment under later ones; returns their faults. */
async function callBeforeAndAfter(
    limited: StartedSite,
    laterLimits: Readonly<Record<string, number>>,
    requests: readonly PlannedRequest[],
): Promise<string[]> {
    const caller = new OverlappingCaller(limited.host);
    const first = slowRead();
    caller.write(renderRequest(first));
    await caller.waitForAnswers(1, WITHIN_MILLISECONDS);
    await changeLimits(limited, laterLimits);
    caller.write(requests.map(renderRequest).join(""));
    const sentAt = performance.now();
    const answers = await caller.waitForAnswers(requests.length + 1, WITHIN_MILLISECONDS);
    const plan = { name: "later limits", requests: [first, ...requests], delivery: "one segment" } as const;
    const { closedAtMilliseconds } = caller;
    caller.close();
    const sentAtMilliseconds = plan.requests.map(() => sentAt);
    return findConnectionFaults({ plan, answers, closedAtMilliseconds, sentAtMilliseconds }, limited.site);
}

/** Sends requests and then other bytes in one segment; returns the statuses of all answers until the connection closes. */
async function callBefore(
    { host }: StartedSite,
    requests: readonly PlannedRequest[],
    lastBytes: string,
): Promise<number[]> {
    const caller = new OverlappingCaller(host);
    caller.write(requests.map(renderRequest).join("") + lastBytes);
    const answers = await caller.waitForAnswers(requests.length + 1, WITHIN_MILLISECONDS);
    caller.close();
    return answers.map(({ status }) => status);
}

let started: StartedSite;

before(async () => {
    started = await startSite();
});

after(async () => {
    await closeSite(started);
});

describe("requests behind one that is not answered yet are answered or refused in order", {
    concurrency: STATES_AT_ONCE,
}, () => {
    for (const [index, state] of STATES.entries()) {
        test(`no request is lost behind one that is ${state.name}`, async () => {
            const random = createSeededRandom(SEED * STATES.length + index);
            await assertAnswered(started, planConnections(state, random), random);
        });
    }

    test("no request is lost before or behind one whose head is too long to be read", async () => {
        const random = createSeededRandom(SEED);
        const tooLong = (): PlannedRequest => ({
            ...createFollower("reads", "no body", [STATUS_HEADERS_TOO_LARGE]),
            headers: { "X-Long": "x".repeat(2 * HEADER_LIMIT_BYTES) },
        });
        const plans = COUNTS.flatMap(count =>
            DELIVERIES.map((delivery): ConnectionPlan => ({
                name: `${count} requests in ${delivery}, the last too long`,
                delivery,
                requests: [
                    slowRead(),
                    ...createFollowers(count - 2, "no body", undefined, random),
                    tooLong(),
                ],
            }))
        );
        await assertAnswered(started, plans, random);
    });

    test("no request is lost beside one whose head is too long since the limit was lowered", async () => {
        const limited = await startSite();
        const longHead = createFollower("reads", "no body", [STATUS_HEADERS_TOO_LARGE]);
        const answers = await callBeforeAndAfter(limited, { maxHeaderBytes: LOW_HEADER_LIMIT_BYTES }, [
            slowRead(),
            { ...longHead, headers: { "X-Long": "x".repeat(LONG_HEAD_BYTES) } },
            createFollower("orders", "no body", [STATUS_OK, ...REFUSALS]),
            createFollower("reads", "a chunked body", [STATUS_OK, ...REFUSALS]),
        ]);
        await closeSite(limited);
        assert.deepEqual(answers, []);
    });

    test("no request is lost before one whose head only a raised limit allows", async () => {
        const limited = await startSite({ maxHeaderBytes: LOW_HEADER_LIMIT_BYTES });
        const longHead = createFollower("reads", "no body", REFUSALS);
        const answers = await callBeforeAndAfter(limited, { maxHeaderBytes: HEADER_LIMIT_BYTES }, [
            slowRead(),
            createFollower("orders", "a body with a length"),
            { ...longHead, headers: { "X-Long": "x".repeat(LONG_HEAD_BYTES) } },
        ]);
        await closeSite(limited);
        assert.deepEqual(answers, []);
    });

    test("no request is lost before bytes that are no request", async () => {
        const answers = await callBefore(
            started,
            [slowRead(), createFollower("orders", "no body")],
            "no request\r\n\r\n",
        );
        assert.deepEqual(answers, [STATUS_OK, STATUS_OK, STATUS_BAD_REQUEST]);
    });

    test("no request is lost before one whose head does not end within the time limit for heads", async () => {
        const limited = await startSite({ headerTimeoutMs: LOW_HEADER_TIMEOUT_MILLISECONDS });
        const first = { ...slowRead(), path: "/reads/very-slow" };
        const answers = await callBefore(limited, [first, createFollower("orders", "no body")], "GET /reads/soon HT");
        await closeSite(limited);
        assert.deepEqual(answers, [STATUS_OK, STATUS_OK, STATUS_REQUEST_TIMEOUT]);
    });
});
