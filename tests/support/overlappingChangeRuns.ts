/**
 * Lays a change over connections on which callers have sent several requests, and checks what each of them gets.
 *
 * @module
 */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import {
    BASE,
    type Change,
    type ChangeSite,
    type ConfigurationParts,
    LARGE_BYTES,
    SHORT_TIMEOUT_MILLISECONDS,
    startChangeSite,
    STREAM_EVENTS,
} from "./changeSite.js";
import { type SiteHost, until } from "./entrySite.js";
import { OverlappingCaller, renderRequest } from "./overlappingCaller.js";
import {
    BODIES,
    type BodyForm,
    type ConnectionPlan,
    type ConnectionRun,
    createFollower,
    findConnectionFaults,
    type Kind,
    nextId,
    type PlannedRequest,
    REFUSALS,
    STATUS_OK,
    summarizeFaults,
} from "./overlappingRuns.js";

/** Time from the start of the requests until the change. */
const EARLIEST_CHANGE_MILLISECONDS = 200;
const CHANGE_SPREAD_MILLISECONDS = 300;

/** Time from the change until the callers send the rest of their last requests. */
const AFTER_CHANGE_MILLISECONDS = 400;

/** Ample for all answers of a connection where this process gets little time to run. */
const WITHIN_MILLISECONDS = 25_000;

/** Time limits are raised by this factor, since those of waiting requests run from their arrival. */
const AMPLE_FACTOR = 4;

const STATUS_NOT_FOUND = 404;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Requests behind the first one; the last two are being read at the change and after it. */
const FOLLOWERS = 5;

/** Routes that the site of the changes has. */
const FOLLOWER_KINDS: readonly Kind[] = ["reads", "orders", "streams", "model streams"];

type First = Omit<PlannedRequest, "id">;

const READ = { isOrder: false, expects: { type: "plain" }, statuses: [STATUS_OK] } as const;
const ORDER = { ...READ, isOrder: true, method: "POST" } as const;
const STREAM = { ...READ, method: "POST", expects: { type: "events", count: STREAM_EVENTS } } as const;
const MAY_BE_REFUSED = [STATUS_OK, ...REFUSALS];

/** The first requests of the connections, by their state at the change. */
const FIRSTS: Readonly<Record<string, First>> = {
    "sent": { ...READ, path: "/reads/slow" },
    "order sent": { ...ORDER, path: "/orders/slow" },
    "head received": { ...ORDER, path: "/orders/head" },
    "streaming": { ...STREAM, path: "/streams/events" },
    "silent engine": { ...STREAM, path: "/streams/silent" },
    "model stream": { ...STREAM, path: "/llm/events", headers: { "Flamingospread-Model": "quotes" } },
    "unsent bytes": { ...ORDER, path: "/orders/large", expects: { type: "length", bytes: LARGE_BYTES } },
    "holding the room": { ...READ, path: "/tight/slow", statuses: MAY_BE_REFUSED },
    "waiting for room": { ...READ, path: "/tight/slow", statuses: MAY_BE_REFUSED },
    "waiting for a permit": { ...READ, path: "/limited/1", statuses: MAY_BE_REFUSED },
    "without an answer": { ...ORDER, path: "/short/never", statuses: [STATUS_GATEWAY_TIMEOUT] },
    "not allowed": { ...READ, path: "/nowhere/1", statuses: [STATUS_NOT_FOUND] },
};

/** The moments at which the callers go on. */
interface Moments {
    readonly changed: Promise<void>;
    readonly passed: Promise<void>;
}

function createFollowers(change: Change, offset: number): PlannedRequest[] {
    const mayRunOut = change.lowersTimeLimits === true;
    const statuses = [
        ...MAY_BE_REFUSED,
        ...change.removesRoutes === true ? [STATUS_NOT_FOUND] : [],
        ...mayRunOut ? [STATUS_GATEWAY_TIMEOUT] : [],
    ];
    return Array.from({ length: FOLLOWERS }, (_, index) => {
        const kind = FOLLOWER_KINDS[(offset + index) % FOLLOWER_KINDS.length] ?? "reads";
        const body: BodyForm = index < FOLLOWERS - 2
            ? BODIES[(offset + index) % BODIES.length] ?? "no body"
            : "a body with a length";
        return { ...createFollower(kind, body, statuses), mayRunOut };
    });
}

function mustNotSend(caller: OverlappingCaller): boolean {
    return caller.isToldToClose || caller.isClosed;
}

/** Sends all but the last two requests at once, and parts of these at the change and after it; returns when. */
async function writeAround(
    caller: OverlappingCaller,
    requests: readonly PlannedRequest[],
    { changed, passed }: Moments,
): Promise<number[]> {
    const texts = requests.map(renderRequest);
    const bytes = texts.join("");
    const [beforeLast = "", last = ""] = texts.slice(-2);
    const middleOfLast = bytes.length - Math.floor(last.length / 3);
    const middleBefore = bytes.length - last.length - Math.floor(beforeLast.length / 3);
    caller.write(bytes.slice(0, middleBefore));
    const sentAt = texts.slice(0, -2).map(() => performance.now());
    await changed;
    if (mustNotSend(caller)) {
        return sentAt;
    }
    caller.write(bytes.slice(middleBefore, middleOfLast));
    sentAt.push(performance.now());
    await passed;
    if (mustNotSend(caller)) {
        return sentAt;
    }
    caller.write(bytes.slice(middleOfLast));
    sentAt.push(performance.now());
    return sentAt;
}

async function runAroundChange(host: SiteHost, plan: ConnectionPlan, moments: Moments): Promise<ConnectionRun> {
    const caller = new OverlappingCaller(host);
    if (plan.name === "unsent bytes") {
        caller.pause();
        void moments.passed.then(() => caller.resume());
    }
    const sentAtMilliseconds = await writeAround(caller, plan.requests, moments);
    const answers = await caller.waitForAnswers(plan.requests.length, WITHIN_MILLISECONDS);
    const { closedAtMilliseconds } = caller;
    caller.close();
    return { plan, answers, closedAtMilliseconds, sentAtMilliseconds };
}

/** Returns whether each of the requests was sent, waits or was rejected. */
function haveBegun(ids: readonly (string | undefined)[], { lines }: SiteHost): boolean {
    const messages = ["request sent", "request waits", "request rejected"];
    const begun = new Set(lines.filter(line => messages.includes(line.message)).map(line => line.fields["request"]));
    return ids.every(id => begun.has(id));
}

/** Raises the time limits, but the one of the route whose requests get no answer. */
function withAmpleTime(parts: ConfigurationParts): ConfigurationParts {
    const routes = parts.routes.map(route => {
        const { timeoutMs } = route;
        const isAmple = typeof timeoutMs !== "number" || timeoutMs === SHORT_TIMEOUT_MILLISECONDS;
        return isAmple ? route : { ...route, timeoutMs: timeoutMs * AMPLE_FACTOR };
    });
    return { ...parts, routes };
}

/** Starts the site of the changes with ample time limits in all configurations. */
async function startAmpleSite(random: RandomSource): Promise<ChangeSite> {
    const site = await startChangeSite(random);
    const put = (parts: ConfigurationParts): void => site.put(withAmpleTime(parts));
    put(BASE);
    await until(
        () =>
            site.host.lines.some(({ fields, message }) =>
                message === "configuration in force" && fields["version"] === site.site.version
            ),
        WITHIN_MILLISECONDS,
    );
    return { ...site, put };
}

/** Runs the connections, makes the change while their requests wait, and returns what went wrong. */
async function findFaults(change: Change, site: ChangeSite, random: RandomSource): Promise<string> {
    const afterMilliseconds = EARLIEST_CHANGE_MILLISECONDS + random() * CHANGE_SPREAD_MILLISECONDS;
    if (change.stopsBeforeMilliseconds !== undefined) {
        void site.host.host.stop();
        await delay(change.stopsBeforeMilliseconds - afterMilliseconds);
    }
    const plans = Object.entries(FIRSTS).map(([name, first], index): ConnectionPlan => ({
        name,
        delivery: "pieces",
        requests: [{ ...first, id: nextId(name) }, ...createFollowers(change, index)],
    }));
    const firstIds = plans.map(({ requests: [first] }) => first?.id);
    const changed = until(() => haveBegun(firstIds, site.host), WITHIN_MILLISECONDS)
        .then(() => delay(afterMilliseconds))
        .then(() => void change.apply(site, random));
    const passed = changed.then(() => delay(AFTER_CHANGE_MILLISECONDS));
    const runs = await Promise.all(plans.map(plan => runAroundChange(site.host, plan, { changed, passed })));
    const faults = runs.flatMap(run => findConnectionFaults(run, site.site));
    return faults.length === 0 ? "" : summarizeFaults(faults, plans.flatMap(({ requests }) => requests).length);
}

/**
 * Fails unless all requests of connections get what they must beside a change.
 *
 * @param change The change.
 * @param seed Varies its moment and its parts.
 */
export async function assertAnsweredBeside(change: Change, seed: number): Promise<void> {
    const random = createSeededRandom(seed);
    const site = await startAmpleSite(random);
    try {
        assert.equal(await findFaults(change, site, random), "");
        assert.deepEqual(site.host.lines.filter(({ message }) => message === "request handling failed"), []);
    }
    finally {
        await site.close();
    }
}
