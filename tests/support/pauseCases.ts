/**
 * Pauses of one, most or all engines of a service, laid over requests in every state.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import {
    type Behaviour,
    type PlatformUpstreamStandIn,
    type ReceivedRequest,
} from "../../standins/platform/upstream.js";
import { type CallerAnswer, EntrySite, type SiteHost, until, waitUntilReady } from "./entrySite.js";
import { allEventIds, eventIds, holdAnswer } from "./heldAnswer.js";
import { CALLER_GAP_LIMIT_MILLISECONDS } from "./pausedSite.js";
import { measureStalls } from "./processStalls.js";
import { sendPiecewise } from "./rawCaller.js";

/** How an engine treats requests that another engine received before. */
export const REPLACEMENTS = ["rejects", "resets", "fails", "pauses", "late", "answers"] as const;

type Replacement = typeof REPLACEMENTS[number];

/** The engines of a service that pause at once. */
export const SCOPES = ["one", "most", "all"] as const;

/** A pause of engines. */
export interface PauseCase {
    readonly scope: typeof SCOPES[number];
    readonly pauseMilliseconds: number;
    readonly maxAttempts: number;
    /** Varies the times of the case. */
    readonly seed: number;
}

/** Times of a case, which its seed varies. */
interface CaseTimes {
    /** Time from the moment at which all requests have reached their engines until the pause. */
    readonly beforePause: number;
    /** Time after which an engine goes on with an answer that the pause interrupts. */
    readonly step: number;
    /** Time from the start of the pause until requests are sent, or their bodies are. */
    readonly duringPause: number;
    /** Replacements that pause do so this long after the first engines. */
    readonly laterPause: number;
    readonly failure: number;
    readonly lateEvent: number;
}

/** A moment of a case. */
interface Moment {
    readonly atMilliseconds: number;
    /** Time for which this process had not run by then. */
    readonly stalledMilliseconds: number;
}

/** What became of the requests of one state. */
interface Tally {
    readonly name: string;
    total: number;
    lost: number;
    readonly longGapsMilliseconds: number[];
}

/** Engines of a service, without the one that pauses first. */
const ENGINES = 4;
const PAUSING: Readonly<Record<PauseCase["scope"], number>> = { one: 1, most: 3, all: 4 };
const SLOTS = 100;

const STREAMS_BEING_REPLACED = 2;

/** Time for a host to start and to hear of upstreams beside other processes. */
const START_MILLISECONDS = 15_000;

/** Requests are sent this long before the pause, in which they reach their engines. */
const SENDING_MILLISECONDS = 350;

const EVENTS = 8;
const GAP_MILLISECONDS = 100;

/** The engine that pauses first does so this long before the others, and its streams are being replaced then. */
const LEAD_MILLISECONDS = 1_250;
const FIRST_PAUSE_MILLISECONDS = 1_600;

const TIMEOUT_MILLISECONDS = 8_000;

const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: GAP_MILLISECONDS } as const satisfies Behaviour;

const STREAM_TEXT = allEventIds(EVENTS).map(id => `id: ${id}\ndata: ${id}\n\n`).join("");

/** Chooses the times of a case, in milliseconds. */
function chooseTimes(random: RandomSource): CaseTimes {
    const between = (least: number, most: number): number => least + random() * (most - least);
    return {
        beforePause: between(0, 80),
        step: between(500, 700),
        duringPause: between(50, 200),
        laterPause: between(200, 600),
        failure: between(450, 900),
        lateEvent: between(800, 1_000),
    };
}

/** Returns how an engine answers requests that no other engine received before, by the last part of their path. */
function firstAnswers(stepMilliseconds: number): Readonly<Record<string, Behaviour>> {
    return {
        "running": STREAM,
        "without-head": { ...STREAM, firstTokenMilliseconds: stepMilliseconds },
        "with-head": { type: "answer", body: STREAM_TEXT, bodyAfterMilliseconds: stepMilliseconds },
        "read-without-head": { type: "answer", afterMilliseconds: stepMilliseconds },
        "read-with-head": { type: "answer", bodyAfterMilliseconds: stepMilliseconds },
        "read-with-half": { type: "answer", halfAfterMilliseconds: stepMilliseconds },
    };
}

/** How an engine answers a request that another one received before. */
function replacementAnswer(replacement: Replacement, isStream: boolean, times: CaseTimes): Behaviour {
    switch (replacement) {
        case "rejects":
            return { type: "not-run", status: 503 };
        case "resets":
            return { type: "reset", afterMilliseconds: times.failure };
        case "fails":
            return { type: "answer", status: 500, afterMilliseconds: times.failure };
        case "late":
            return isStream
                ? { ...STREAM, firstTokenMilliseconds: times.lateEvent }
                : { type: "answer", afterMilliseconds: times.lateEvent };
        case "pauses":
        case "answers":
            return isStream ? STREAM : { type: "answer" };
    }
}

function createBehaviour(replacement: Replacement, times: CaseTimes): (request: ReceivedRequest) => Behaviour {
    const seen = new Set<string>();
    const answers = firstAnswers(times.step);
    return ({ id, path }) => {
        const [, , kind = "", action = ""] = path.split("/");
        if (seen.has(id)) {
            return replacementAnswer(replacement, kind === "streams", times);
        }
        seen.add(id);
        return answers[action] ?? { type: "answer" };
    };
}

interface ServiceOptions {
    readonly site: EntrySite;
    readonly host: SiteHost;
    readonly replacement: Replacement;
    readonly pauseCase: PauseCase;
    readonly times: CaseTimes;
    /** Returns for how long this process did not run. */
    readonly readStalled: () => number;
}

/** The engines of one service, and the requests at it. */
class Service {
    readonly #site: EntrySite;
    readonly #host: SiteHost;
    readonly #replacement: Replacement;
    readonly #case: PauseCase;
    readonly #times: CaseTimes;
    readonly #behave: (request: ReceivedRequest) => Behaviour;
    readonly #readStalled: () => number;
    readonly #engines: PlatformUpstreamStandIn[] = [];
    readonly #tallies = new Map<string, Tally>();
    readonly #answers: Promise<void>[] = [];
    #count = 0;
    /** When the engines paused; `undefined` before. */
    #pauseStart: Moment | undefined;
    readonly #paused: Promise<void>;
    #markPaused: () => void = () => undefined;

    constructor({ host, pauseCase, readStalled, replacement, site, times }: ServiceOptions) {
        this.#site = site;
        this.#host = host;
        this.#replacement = replacement;
        this.#case = pauseCase;
        this.#times = times;
        this.#readStalled = readStalled;
        this.#behave = createBehaviour(replacement, times);
        this.#paused = new Promise(resolve => {
            this.#markPaused = resolve;
        });
    }

    /** Begins streams at an engine, which then pauses; resolves once the engines have joined that pause next. */
    async beginFirst(): Promise<void> {
        const first = await this.#addEngine();
        await this.#untilJoined(1);
        for (let index = 0; index < STREAMS_BEING_REPLACED; index += 1) {
            this.#stream("being replaced", "running");
        }
        await until(() => first.received.length === STREAMS_BEING_REPLACED, START_MILLISECONDS);
        await delay(GAP_MILLISECONDS);
        first.pause(FIRST_PAUSE_MILLISECONDS);
        for (let index = 0; index < PAUSING[this.#case.scope]; index += 1) {
            await this.#addEngine();
        }
    }

    /** Begins requests that the pause will interrupt; resolves once the host has sent all that it has read. */
    async beginRequests(): Promise<void> {
        this.#beginBeforePause();
        const count = this.#count;
        this.#readBodyDuringPause();
        await until(() => this.#countSent() >= count, START_MILLISECONDS);
    }

    #beginBeforePause(): void {
        for (let index = 0; index < 2; index += 1) {
            this.#stream("stream without head", "without-head", true);
            this.#stream("stream with head", "with-head", true);
            this.#stream("running stream", "running");
            this.#read("read without head", "GET", "reads/read-without-head");
            this.#read("read with head", "GET", "reads/read-with-head");
            this.#read("read with half a body", "GET", "reads/read-with-half");
        }
        this.#read("order", "POST", "orders/read-without-head");
    }

    /** Returns how many requests at the service the host has sent. */
    #countSent(): number {
        const ids = this.#host.lines.filter(({ message }) => message === "request sent").map(({ fields }) =>
            String(fields["request"])
        );
        return new Set(ids.filter(id => id.startsWith(`${this.#replacement}-`))).size;
    }

    /** Pauses engines, and adds the other ones. */
    async pause(): Promise<void> {
        const { pauseMilliseconds, scope } = this.#case;
        this.#pauseStart = this.#now();
        this.#engines.slice(1).forEach(engine => engine.pause(pauseMilliseconds));
        this.#markPaused();
        for (let index = PAUSING[scope]; index < ENGINES; index += 1) {
            const engine = await this.#addEngine();
            if (this.#replacement === "pauses") {
                setTimeout(() => engine.pause(pauseMilliseconds), this.#times.laterPause);
            }
        }
        await delay(this.#times.duringPause);
        this.#stream("stream sent during the pause", "running");
        this.#read("read sent during the pause", "GET", "reads/soon");
    }

    /** Returns the tallies once all requests have ended. */
    async finish(): Promise<readonly Tally[]> {
        await Promise.all(this.#answers);
        return [...this.#tallies.values()];
    }

    async #addEngine(): Promise<PlatformUpstreamStandIn> {
        const id = `i-${this.#replacement}-${this.#engines.length}`;
        const engine = await this.#site.addUpstream({ id, behave: this.#behave, slots: SLOTS }, this.#replacement);
        this.#engines.push(engine);
        return engine;
    }

    async #untilJoined(count: number): Promise<void> {
        const prefix = `i-${this.#replacement}-`;
        await until(
            () =>
                this.#host.lines.filter(({ fields, message }) =>
                    message === "upstream joined" && String(fields["upstream"]).startsWith(prefix)
                ).length === count,
            START_MILLISECONDS,
        );
    }

    #nextId(state: string): string {
        this.#count += 1;
        return `${this.#replacement}-${state.replaceAll(" ", "-")}-${this.#count}`;
    }

    /** Begins a stream; `hasNoEvent` is true for one that should have no event before the pause. */
    #stream(state: string, action: string, hasNoEvent = false): void {
        const id = this.#nextId(state);
        const path = `/${this.#replacement}/streams/${action}`;
        const sent = this.#now();
        const { ended } = holdAnswer(this.#host, { path, method: "POST", id });
        this.#answers.push(ended.then(answer => {
            const firstEventAtMilliseconds = sent.atMilliseconds + answer.firstGapMilliseconds;
            const start = hasNoEvent ? this.#startOfWait(sent, firstEventAtMilliseconds) : sent;
            const waitMilliseconds = firstEventAtMilliseconds - start.atMilliseconds;
            const gapMilliseconds = Math.max(waitMilliseconds, answer.longestLaterGapMilliseconds);
            const stalledMilliseconds = this.#readStalled() - start.stalledMilliseconds;
            const isLong = gapMilliseconds >= this.#gapLimitMilliseconds() + stalledMilliseconds;
            this.#record(state, isWholeStream(answer), isLong ? gapMilliseconds : undefined);
        }));
    }

    /** Returns from when on the pause makes a caller wait that may have begun to wait before it. */
    #startOfWait(sent: Moment, firstEventAtMilliseconds: number): Moment {
        const pauseStart = this.#pauseStart;
        return pauseStart !== undefined && pauseStart.atMilliseconds < firstEventAtMilliseconds ? pauseStart : sent;
    }

    #now(): Moment {
        return { atMilliseconds: performance.now(), stalledMilliseconds: this.#readStalled() };
    }

    /** Returns the longest gap for callers, beside the pause where that alone lasts as long. */
    #gapLimitMilliseconds(): number {
        const { pauseMilliseconds } = this.#case;
        return pauseMilliseconds < CALLER_GAP_LIMIT_MILLISECONDS
            ? CALLER_GAP_LIMIT_MILLISECONDS
            : pauseMilliseconds + this.#times.step;
    }

    #read(state: string, method: string, path: string): void {
        const id = this.#nextId(state);
        const request = { path: `/${this.#replacement}/${path}`, method, id };
        this.#answers.push(
            holdAnswer(this.#host, request).ended.then(each => this.#record(state, isWholeRead(each, id))),
        );
    }

    #readBodyDuringPause(): void {
        const state = "body being read";
        const goOn = this.#paused.then(() => delay(this.#times.duringPause));
        const body = "b".repeat(10_000);
        for (const kind of ["reads", "orders"]) {
            const id = this.#nextId(state);
            const path = `/${this.#replacement}/${kind}/soon`;
            this.#answers.push(
                sendPiecewise(this.#host, { path, id, body, splitAt: "body", goOn })
                    .then(each => this.#record(state, isWholeRead(each, id))),
            );
        }
    }

    /** Counts an answer; the gap counts in one that is whole. */
    #record(state: string, isWhole: boolean, longGapMilliseconds?: number): void {
        const name = `${this.#replacement}, ${state}`;
        const tally = this.#tallies.get(name) ?? { name, total: 0, lost: 0, longGapsMilliseconds: [] };
        this.#tallies.set(name, tally);
        tally.total += 1;
        if (!isWhole) {
            tally.lost += 1;
        }
        else if (longGapMilliseconds !== undefined) {
            tally.longGapsMilliseconds.push(longGapMilliseconds);
        }
    }
}

function isWholeStream({ body, isComplete, status }: CallerAnswer): boolean {
    return status === 200 && isComplete && JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(EVENTS));
}

function isWholeRead({ body, isComplete, status }: CallerAnswer, id: string): boolean {
    return status === 200 && isComplete && body.endsWith(` ran ${id}`);
}

function configure(site: EntrySite, maxAttempts: number): void {
    const common = { timeoutMs: TIMEOUT_MILLISECONDS, maxAttempts };
    const routes = REPLACEMENTS.flatMap(service => [
        { pathPrefix: `/${service}/streams/`, kind: "stream", resumable: true, targetGapMs: 150, service, ...common },
        { pathPrefix: `/${service}/reads/`, targetLatencyMs: 200, service, ...common },
        { pathPrefix: `/${service}/orders/`, kind: "non_idempotent", service, ...common },
    ]);
    const services = REPLACEMENTS.map(name => ({
        name,
        healthPath: "/healthz",
        maxConnections: 100,
        protocol: "h1",
        tls: false,
    }));
    site.configure(routes, undefined, { services });
}

function describeTally({ longGapsMilliseconds, lost, name, total }: Tally): string {
    const gaps = longGapsMilliseconds.map(each => `${Math.round(each)} ms`).join(", ");
    return `${name}: ${lost} of ${total} lost, ${longGapsMilliseconds.length} long gaps ${gaps}`.trimEnd();
}

/**
 * Runs requests in every state beside a pause, with each kind of replacement.
 *
 * @param pauseCase The pause.
 * @returns The states in which answers were lost, or callers waited for longer than the pause makes them.
 */
export async function findPauseFaults(pauseCase: PauseCase): Promise<readonly string[]> {
    const site = await EntrySite.start();
    const stalls = measureStalls();
    const times = chooseTimes(createSeededRandom(pauseCase.seed));
    try {
        configure(site, pauseCase.maxAttempts);
        const host = await site.addHost("entry-1", { bounds: { retryExtra: 600 } });
        await waitUntilReady(host, START_MILLISECONDS);
        const services = REPLACEMENTS.map(each =>
            new Service({ site, host, replacement: each, pauseCase, times, readStalled: () => stalls.read() })
        );
        await Promise.all(services.map(service => service.beginFirst()));
        await delay(LEAD_MILLISECONDS - SENDING_MILLISECONDS);
        await Promise.all(services.map(service => service.beginRequests()));
        await delay(times.beforePause);
        await Promise.all(services.map(service => service.pause()));
        const tallies = (await Promise.all(services.map(service => service.finish()))).flat();
        return tallies.filter(({ longGapsMilliseconds, lost }) => longGapsMilliseconds.length + lost > 0).map(
            describeTally,
        );
    }
    finally {
        stalls.close();
        await Promise.all(site.hosts.map(({ host }) => host.close()));
        await site.close();
    }
}
