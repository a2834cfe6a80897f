/**
 * Requests that are in every state when a change arrives.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { IDLE_LIMIT_MILLISECONDS, LARGE_BYTES, STREAM_EVENTS } from "./changeSite.js";
import { type CallerAnswer, callHost, type SiteHost } from "./entrySite.js";
import { allEventIds, eventIds, holdAnswer } from "./heldAnswer.js";
import { reuseConnection, sendPiecewise } from "./rawCaller.js";

/** What a request must get that had begun before the change. */
export type Due =
    /** The engine's whole answer. */
    | "answer"
    /** The engine's whole answer, or a refusal. */
    | "answer-or-refusal"
    /** A whole answer, also one that the request failed, since its engine broke off. */
    | "any-answer"
    /** An answer at the route's time limit, which its engine does not keep. */
    | "time-out";

/** A request and its answer. */
export interface Outcome {
    readonly state: string;
    readonly due: Due;
    readonly id: string;
    readonly answer: CallerAnswer;
    readonly answeredAtMilliseconds: number;
    /** True if the body is the whole one that the engine sent. */
    readonly isBodyWhole: boolean;
    /** True if the host was reading the request when the change arrived. */
    readonly isBeingRead: boolean;
}

/** The moment of the change, for requests that time themselves by it. */
export interface ChangeMoment {
    /** Time from `counted` to the change. */
    readonly afterMilliseconds: number;
    /** Resolves when the time to the change begins to count. */
    readonly counted: Promise<void>;
    /** Resolves some time after the change was made. */
    readonly passed: Promise<void>;
}

/** Requests that reset at their first engine or ask for an adapter, at these intervals around the change. */
const AROUND_CHANGE_MILLISECONDS = [-40, -25, -15, -8, -4, 0, 4, 8, 15, 30];

/** Share of the idle limit after which callers still reuse a connection. */
const IDLE_SHARE = 0.8;

/** Body of a request that is sent in pieces. */
const PIECEWISE_BODY = "b".repeat(10_000);

type Body = "plain" | "events" | "large";

function isWhole(body: string, expected: Body, id: string): boolean {
    switch (expected) {
        case "plain":
            return body.endsWith(` ran ${id}`);
        case "large":
            return body.length === LARGE_BYTES;
        case "events":
            return JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(STREAM_EVENTS));
    }
}

/** Begins requests in all states; returns their outcomes once all have ended. */
export class RequestStates {
    readonly #host: SiteHost;
    readonly #outcomes: Promise<Outcome>[] = [];
    readonly #sentAtOnce: string[] = [];
    readonly #ended = new Set<string>();
    #count = 0;

    constructor(host: SiteHost) {
        this.#host = host;
    }

    /** Sends the requests, and returns their outcomes; some of them start only shortly before the change. */
    run(moment: ChangeMoment): Promise<Outcome[]> {
        this.#readInPieces(moment);
        this.#waiting();
        this.#atEngine(moment);
        this.#reusing(moment);
        for (const around of AROUND_CHANGE_MILLISECONDS) {
            this.#betweenAttempts(moment.afterMilliseconds + around);
            this.#waitingForAdapter(moment, around);
        }
        return Promise.all(this.#outcomes);
    }

    /** Returns whether each of the requests that were sent at once is handled by the host, or has ended. */
    areInState(handled: ReadonlySet<unknown>): boolean {
        return this.#sentAtOnce.length > 0
            && this.#sentAtOnce.every(id => handled.has(id) || this.#ended.has(id));
    }

    #nextId(state: string): string {
        this.#count += 1;
        return `${state.replaceAll(" ", "-")}-${this.#count}`;
    }

    #add(state: string, due: Due, id: string, expected: Body, answer: Promise<CallerAnswer>): void {
        const outcome = answer.then(each => ({
            state,
            due,
            id,
            answer: each,
            answeredAtMilliseconds: performance.now(),
            isBeingRead: state.endsWith("being read"),
            isBodyWhole: isWhole(each.body, expected, id),
        }));
        this.#outcomes.push(outcome);
    }

    #addSentAtOnce(state: string, due: Due, id: string, expected: Body, answer: Promise<CallerAnswer>): void {
        this.#sentAtOnce.push(id);
        void answer.then(() => this.#ended.add(id));
        this.#add(state, due, id, expected, answer);
    }

    #readInPieces({ passed }: ChangeMoment): void {
        for (const splitAt of ["head", "body"] as const) {
            const state = `${splitAt} being read`;
            for (const path of ["/orders/soon", "/reads/soon"]) {
                const id = this.#nextId(state);
                const request = { path, id, body: PIECEWISE_BODY, splitAt, goOn: passed };
                this.#add(state, "answer-or-refusal", id, "plain", sendPiecewise(this.#host, request));
            }
        }
    }

    #call(state: string, due: Due, path: string, method: string, expected: Body, headers = {}): void {
        const id = this.#nextId(state);
        const caller = holdAnswer(this.#host, { path, method, id, headers });
        this.#addSentAtOnce(state, due, id, expected, caller.ended);
    }

    #waiting(): void {
        for (let index = 0; index < 4; index += 1) {
            this.#call("waiting for room", "answer-or-refusal", "/tight/slow", "GET", "plain");
            this.#call("waiting for a permit", "answer-or-refusal", "/limited/1", "GET", "plain");
            this.#call("waiting for a copy", "answer-or-refusal", "/llm/events", "POST", "events", {
                "Flamingospread-Model": "essays",
            });
        }
    }

    #waitingForAdapter({ afterMilliseconds, counted }: ChangeMoment, around: number): void {
        const state = "waiting for an adapter";
        const id = this.#nextId(state);
        const headers = { "Flamingospread-Model": `quotes/a${this.#count % 8 + 1}` };
        const request = { path: "/llm/few", method: "POST", id, headers };
        const answer = counted
            .then(() => delay(afterMilliseconds + around))
            .then(() => callHost(this.#host, request));
        this.#add(state, "answer-or-refusal", id, "events", answer);
    }

    #atEngine({ passed }: ChangeMoment): void {
        for (let index = 0; index < 3; index += 1) {
            this.#call("sent without a head", "answer", "/reads/slow", "GET", "plain");
            this.#call("sent without a head", "answer", "/orders/slow", "POST", "plain");
            this.#call("head received", "answer", "/orders/head", "POST", "plain");
            this.#call("streaming", "answer", "/streams/events", "POST", "events");
            this.#call("silent engine", "answer", "/streams/silent", "POST", "events");
            this.#call("without an answer", "time-out", "/short/never", "POST", "plain");
        }
        const id = this.#nextId("unsent bytes");
        const caller = holdAnswer(this.#host, { path: "/orders/large", method: "POST", id }, true);
        void passed.then(() => caller.resume());
        this.#addSentAtOnce("unsent bytes", "answer", id, "large", caller.ended);
    }

    #betweenAttempts(resetAfterMilliseconds: number): void {
        const path = `/reads/reset-${Math.round(resetAfterMilliseconds)}`;
        this.#call("between attempts", "any-answer", path, "GET", "plain");
    }

    /** Reuses connections whose idle time is at its longest before, at and after the change. */
    #reusing({ counted }: ChangeMoment): void {
        const idleMilliseconds = IDLE_LIMIT_MILLISECONDS * IDLE_SHARE;
        for (const startsAtMilliseconds of [0, 100, 200]) {
            const state = "connection reused";
            const id = this.#nextId(state);
            const answer = counted
                .then(() => delay(startsAtMilliseconds))
                .then(() => reuseConnection(this.#host, ["/orders/1", "/orders/2"], idleMilliseconds, id));
            this.#add(state, "answer-or-refusal", id, "plain", answer);
        }
    }
}
