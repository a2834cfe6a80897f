/**
 * Requests that callers send on one connection without waiting for answers, and what each of them must get.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type RandomSource } from "../../src/decision/index.js";
import { type PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { STREAM_EVENTS } from "./changeSite.js";
import { type EntrySite, type SiteHost } from "./entrySite.js";
import { allEventIds, eventIds } from "./heldAnswer.js";
import { type OrderedAnswer, OverlappingCaller, type OverlappingRequest, renderRequest } from "./overlappingCaller.js";

/** How a request sends its body. */
export const BODIES = ["no body", "a body with a length", "a chunked body"] as const;

export type BodyForm = typeof BODIES[number];

/** How the bytes of the requests of one connection are written. */
export const DELIVERIES = ["one segment", "pieces", "heads split over two writes"] as const;

export type Delivery = typeof DELIVERIES[number];

/** Routes of the requests. */
export const KINDS = ["reads", "orders", "streams", "model streams", "model orders"] as const;

export type Kind = typeof KINDS[number];

/** What an engine's success has as its body. */
export type ExpectedBody =
    | { readonly type: "plain"; }
    | { readonly type: "events"; readonly count: number; }
    | { readonly type: "length"; readonly bytes: number; };

/** A request of a connection, with what it must get. */
export interface PlannedRequest extends OverlappingRequest {
    readonly isOrder: boolean;
    readonly expects: ExpectedBody;
    /** Statuses that it may get. */
    readonly statuses: readonly number[];
    /** True where the engine breaks off within its answer, so that the connection must close within it. */
    readonly isBrokenOff?: boolean;
    /** True where it may reach its time limit, at which its answer breaks off. */
    readonly mayRunOut?: boolean;
}

/** The requests of one connection. */
export interface ConnectionPlan {
    readonly name: string;
    readonly requests: readonly PlannedRequest[];
    readonly delivery: Delivery;
    /** Time for which the caller reads no answers; none if absent. */
    readonly notReadingMilliseconds?: number;
}

/** What became of the requests of a connection. */
export interface ConnectionRun {
    readonly plan: ConnectionPlan;
    readonly answers: readonly OrderedAnswer[];
    readonly closedAtMilliseconds: number | undefined;
    /** Times at which the last bytes of the requests were written; none for those that were not sent whole. */
    readonly sentAtMilliseconds: readonly number[];
}

export const STATUS_OK = 200;

/** Statuses that promise that a request has not run and will not. */
export const REFUSALS: readonly number[] = [408, 429, 503];

/** Statuses that an order gets only if it has not run. */
const NOT_RUN: readonly number[] = [...REFUSALS, 400, 404, 413, 431];

/** A request that arrives so shortly before its connection closes crosses the close (`lossSlackMs` of the platform). */
const CROSSING_MILLISECONDS = 200;

const PIECES_OF_REQUEST = 3;
const PIECE_GAP_MILLISECONDS = 2;
const BODY_BYTES = 700;

let requestCount = 0;

/** Returns an identifier that no other request has. */
export function nextId(prefix: string): string {
    requestCount += 1;
    return `${prefix.replaceAll(" ", "-")}-${requestCount}`;
}

/** Returns the fields that a body of a form adds to a request. */
export function bodyFields(form: BodyForm): Pick<OverlappingRequest, "body" | "isChunked"> {
    switch (form) {
        case "no body":
            return {};
        case "a body with a length":
            return { body: "b".repeat(BODY_BYTES) };
        case "a chunked body":
            return { body: "c".repeat(BODY_BYTES), isChunked: true };
    }
}

/** Creates a request that is answered soon. */
export function createFollower(
    kind: Kind,
    body: BodyForm,
    statuses: readonly number[] = [STATUS_OK],
): PlannedRequest {
    const common = { id: nextId(kind), statuses, ...bodyFields(body) };
    const model = { "Flamingospread-Model": "quotes" };
    const events = { type: "events", count: STREAM_EVENTS } as const;
    switch (kind) {
        case "reads":
            return { ...common, path: "/reads/soon", isOrder: false, expects: { type: "plain" } };
        case "orders":
            return { ...common, path: "/orders/soon", method: "POST", isOrder: true, expects: { type: "plain" } };
        case "streams":
            return { ...common, path: "/streams/few", method: "POST", isOrder: false, expects: events };
        case "model streams":
            return { ...common, path: "/llm/few", method: "POST", headers: model, isOrder: false, expects: events };
        case "model orders":
            return {
                ...common,
                path: "/generate/soon",
                method: "POST",
                headers: model,
                isOrder: true,
                expects: { type: "plain" },
            };
    }
}

/** Returns the positions at which the bytes of requests are cut into writes. */
function cutPositions(texts: readonly string[], delivery: Delivery, random: RandomSource): number[] {
    const length = texts.join("").length;
    switch (delivery) {
        case "one segment":
            return [];
        case "pieces":
            return Array.from(
                { length: texts.length * PIECES_OF_REQUEST },
                () => 1 + Math.floor(random() * (length - 1)),
            ).sort((left, right) => left - right);
        case "heads split over two writes": {
            let start = 0;
            return texts.map(text => {
                const middle = start + Math.floor(text.indexOf("\r\n\r\n") / 2);
                start += text.length;
                return middle;
            });
        }
    }
}

/** Writes the requests; returns the times at which the last bytes of those were written that were sent whole. */
async function writeRequests(
    caller: OverlappingCaller,
    { delivery, requests }: ConnectionPlan,
    random: RandomSource,
): Promise<number[]> {
    const texts = requests.map(renderRequest);
    const bytes = texts.join("");
    const ends = texts.map((_, index) => texts.slice(0, index + 1).join("").length);
    const sentAt: number[] = [];
    let written = 0;
    for (const position of [...cutPositions(texts, delivery, random), bytes.length]) {
        if (caller.isToldToClose || caller.isClosed) {
            break;
        }
        caller.write(bytes.slice(written, position));
        written = position;
        while ((ends[sentAt.length] ?? Infinity) <= written) {
            sentAt.push(performance.now());
        }
        if (written < bytes.length) {
            await delay(PIECE_GAP_MILLISECONDS);
        }
    }
    return sentAt;
}

/**
 * Sends the requests of a connection, and waits for their answers.
 *
 * @param host The host.
 * @param plan The requests.
 * @param options The time for all answers, and where the bytes are cut.
 */
export async function runConnection(
    host: SiteHost,
    plan: ConnectionPlan,
    { random, withinMilliseconds }: { readonly random: RandomSource; readonly withinMilliseconds: number; },
): Promise<ConnectionRun> {
    const caller = new OverlappingCaller(host);
    if (plan.notReadingMilliseconds !== undefined) {
        caller.pause();
    }
    const sentAtMilliseconds = await writeRequests(caller, plan, random);
    if (plan.notReadingMilliseconds !== undefined) {
        await delay(plan.notReadingMilliseconds);
        caller.resume();
    }
    const answers = await caller.waitForAnswers(plan.requests.length, withinMilliseconds);
    const { closedAtMilliseconds } = caller;
    caller.close();
    return { plan, answers, closedAtMilliseconds, sentAtMilliseconds };
}

function isExpectedBody(body: string, { expects, id }: PlannedRequest): boolean {
    switch (expects.type) {
        case "plain":
            return body.endsWith(` ran ${id}`);
        case "length":
            return body.length === expects.bytes;
        case "events":
            return JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(expects.count));
    }
}

/** Returns the upstreams that received a request, once for each time. */
function receivers(id: string, upstreams: readonly PlatformUpstreamStandIn[]): PlatformUpstreamStandIn[] {
    return upstreams.flatMap(upstream => upstream.received.filter(request => request.id === id).map(() => upstream));
}

/** Returns whether an upstream received another request than its caller sent. */
function isChanged(request: PlannedRequest, upstreams: readonly PlatformUpstreamStandIn[]): boolean {
    const { body = "", id, method = body === "" ? "GET" : "POST", path } = request;
    return upstreams.flatMap(({ received }) => received.filter(each => each.id === id)).some(each =>
        each.body !== body || each.method !== method || each.path !== path
    );
}

function mayBreakOff({ isBrokenOff, mayRunOut }: PlannedRequest): boolean {
    return isBrokenOff === true || mayRunOut === true;
}

/** Returns whether an answer names the request; answers to heads that cannot be read name none. */
function namesRequest({ headers, status }: OrderedAnswer, { id }: PlannedRequest): boolean {
    const named = headers["flamingospread-request-id"];
    return named === id || (named === undefined && status !== STATUS_OK);
}

/** Describes what is wrong with an answer; `undefined` if nothing is. */
function findAnswerFault(
    request: PlannedRequest,
    answer: OrderedAnswer,
    runCount: number,
): string | undefined {
    const { isOrder, statuses } = request;
    const { body, headers, isComplete, status } = answer;
    if (!namesRequest(answer, request)) {
        return `got the answer to ${headers["flamingospread-request-id"] ?? "no request"}, ${status}`;
    }
    if (!isComplete) {
        return mayBreakOff(request) ? undefined : `answer cut off, ${status}`;
    }
    if (request.isBrokenOff === true && status === STATUS_OK) {
        return "an answer that its engine broke off looks complete";
    }
    if (!statuses.includes(status)) {
        return `status ${status}, ${body.slice(0, 80)}`;
    }
    if (status === STATUS_OK && !isExpectedBody(body, request)) {
        return `another body, ${body.slice(0, 80)}`;
    }
    return isOrder && NOT_RUN.includes(status) && runCount > 0 ? `refused with ${status}, and has run` : undefined;
}

/** Returns whether a request that has no answer may have none: it was not sent whole, or crossed the connection's close. */
function mayBeUnanswered(
    { answers, closedAtMilliseconds, plan, sentAtMilliseconds }: ConnectionRun,
    index: number,
): boolean {
    const sentAt = sentAtMilliseconds[index];
    const last = answers.at(-1);
    const lastAnswered = plan.requests[answers.length - 1];
    const isBrokenOff = lastAnswered !== undefined && mayBreakOff(lastAnswered) && last?.isComplete === false;
    if (sentAt === undefined || (isBrokenOff && closedAtMilliseconds !== undefined)) {
        return true;
    }
    return plan.delivery !== "one segment"
        && closedAtMilliseconds !== undefined
        && closedAtMilliseconds - sentAt < CROSSING_MILLISECONDS
        && last?.headers["connection"] === "close";
}

function findRequestFault(
    run: ConnectionRun,
    index: number,
    upstreams: readonly PlatformUpstreamStandIn[],
): string | undefined {
    const request = run.plan.requests[index];
    if (request === undefined) {
        return "an answer that no request belongs to";
    }
    const runCount = receivers(request.id, upstreams).length;
    if (isChanged(request, upstreams)) {
        return "its engine received another request";
    }
    if (request.isOrder && runCount > 1) {
        return `has run ${runCount} times`;
    }
    const answer = run.answers[index];
    if (answer !== undefined) {
        return findAnswerFault(request, answer, runCount);
    }
    if (runCount > 0) {
        return "passed on, and got no answer";
    }
    const end = run.closedAtMilliseconds === undefined ? "its connection is open" : "its connection was closed";
    return mayBeUnanswered(run, index) ? undefined : `got no answer, ${end}`;
}

/**
 * Describes what the requests of a connection got that they must not, or did not get that they must.
 *
 * @param run The connection's run.
 * @param site The site, whose upstreams tell what was passed on.
 */
export function findConnectionFaults(run: ConnectionRun, { upstreams }: Pick<EntrySite, "upstreams">): string[] {
    const { answers, plan: { name, requests } } = run;
    const count = Math.max(requests.length, answers.length);
    return Array.from({ length: count }, (_, index) => findRequestFault(run, index, upstreams)).flatMap(
        (fault, index) => fault === undefined ? [] : [`${name}, request ${index + 1} of ${requests.length}: ${fault}`],
    );
}

/** Describes faults, without listing more than a few of them. */
export function summarizeFaults(faults: readonly string[], requestCount: number): string {
    const listed = faults.slice(0, 8).map(fault => `\n    ${fault}`);
    return `${faults.length} of ${requestCount} requests at fault${listed.join("")}`;
}
