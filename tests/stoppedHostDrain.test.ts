/**
 * A host that did not run for a while sends nothing to engines that left meanwhile: it acts on what changed, not on what
 * it knew before.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOST_NAME, until } from "./support/entrySite.js";
import { type CallerOutcome, type EngineArrival, StoppedHost, type StopTimes } from "./support/stoppedHost.js";

/** Stops of a host. */
const STOPS_MILLISECONDS = [500, 2_000, 3_400, 6_000];

/** The stop of facts other than an engine that drains. */
const USUAL_STOP_MILLISECONDS = 2_000;

/** Callers that stay are answered within this time of the end of a stop, plus that of the engine. */
const REACTION_MILLISECONDS = 100;

/** Where the store does not answer, requests reach an engine within this time of the end of a stop. */
const REACTION_WITHOUT_STORE_MILLISECONDS = 500;

const ENGINE_MILLISECONDS = 20;

const STATUS_BAD_GATEWAY = 502;

/** For the delays of a machine that runs other tests beside this one. */
const BUSY_MACHINE_ALLOWANCE_MILLISECONDS = 1_000;

const OCCUPIED_SLOTS = 4;

/** A host sends an engine one request more than it has slots. */
const OCCUPYING_REQUESTS = OCCUPIED_SLOTS + 1;

const FREE_SLOTS = 100;
const WAITING_REQUESTS = 8;
const CONNECTING_REQUESTS = 60;
const ARRIVING_REQUESTS = 24;

/** New connections of each route where the store is silent: few, since the bound on their time allows for no load. */
const REQUESTS_WITHOUT_STORE = 8;

/** Long enough that a request may wait for longer than the longest stop. */
const TIMEOUT_MILLISECONDS = 30_000;

/** Time in which a running host reads what was announced, and requests that are sent to it. */
const SETTLING_MILLISECONDS = 400;

/** Answers that occupy an engine end, and pauses end, within a stop. */
const OCCUPATION_MILLISECONDS = 350;

/** Requests of one case are on a route and a service of their own. */
type Cause = "all-full" | "paused" | "no-upstream" | "connecting" | "arriving";

/** What happens half-way through the stop. */
type Fact = "drains" | "is removed" | "starts again under another name" | "stays, and the store is silent";

const CAUSES: readonly { readonly cause: Cause; readonly description: string; }[] = [
    { cause: "all-full", description: "requests that wait for a slot" },
    { cause: "paused", description: "requests that wait for the end of a pause" },
    { cause: "no-upstream", description: "requests that wait for any engine" },
    { cause: "connecting", description: "requests whose connections are being made" },
    { cause: "arriving", description: "requests that arrive after it" },
];

/** Causes of which each stop hits some requests only, and which are therefore checked over all stops. */
const IMMEDIATE_CAUSES: ReadonlySet<Cause> = new Set(["connecting", "arriving"]);

/** Requests that arrive after their route was moved to another service. */
const MOVED_DESCRIPTION = "requests that arrive after their route was moved";

/** The services before and after the move of a route. */
const FORMER_SERVICE = "former";
const LATTER_SERVICE = "latter";

/** What happened to all requests around one stop. */
interface StopResult {
    readonly times: StopTimes;
    readonly arrivals: readonly EngineArrival[];
    readonly outcomes: readonly CallerOutcome[];
}

function createConfiguration(version: number, movedService: string): Readonly<Record<string, unknown>> {
    const services = [...CAUSES.map(({ cause }) => cause as string), FORMER_SERVICE, LATTER_SERVICE];
    const routes = [...CAUSES.map(({ cause }) => [cause, cause]), ["moved", movedService]];
    return {
        version,
        routes: routes.map(([name, service]) => ({
            name,
            host: HOST_NAME,
            pathPrefix: `/${name ?? ""}/`,
            kind: "idempotent",
            timeoutMs: TIMEOUT_MILLISECONDS,
            targetLatencyMs: 200,
            priority: 0,
            service,
            maxAttempts: 2,
        })),
        services: services.map(name => ({ name, healthPath: "/healthz", maxConnections: FREE_SLOTS })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

function leavingId(service: string): string {
    return `leaving-${service}`;
}

function otherId(service: string): string {
    return `other-${service}`;
}

/** The requests of one stop, in the order in which they are sent. */
class StopRun {
    readonly #host: StoppedHost;
    readonly #stopMilliseconds: number;
    readonly #fact: Fact;
    readonly #outcomes: Promise<CallerOutcome>[] = [];

    constructor(host: StoppedHost, stopMilliseconds: number, fact: Fact) {
        this.#host = host;
        this.#stopMilliseconds = stopMilliseconds;
        this.#fact = fact;
    }

    async run(): Promise<StopResult> {
        await this.#startEngines();
        await delay(SETTLING_MILLISECONDS);
        this.#send("all-full", "occupying", OCCUPYING_REQUESTS);
        this.#send("paused", "pausing", 1);
        await until(() => this.#host.output.includes("upstream asked for a pause"));
        await until(() => this.#engine(leavingId("all-full")).arrivals.length === OCCUPYING_REQUESTS);
        this.#send("all-full", "waiting", WAITING_REQUESTS);
        this.#send("paused", "waiting", WAITING_REQUESTS);
        this.#send("no-upstream", "waiting", WAITING_REQUESTS);
        await until(() => this.#host.output.split("\"request waits\"").length > WAITING_REQUESTS * 3);
        this.#send("connecting", "waiting", this.#isStoreSilent ? REQUESTS_WITHOUT_STORE : CONNECTING_REQUESTS);
        await until(() => this.#isConnecting());
        const times = await this.#host.stopFor(this.#stopMilliseconds, {
            atQuarter: () => this.#announceFirst(),
            atHalf: () => this.#change(),
            atThreeQuarters: () => {
                for (
                    let index = 0;
                    index < (this.#isStoreSilent ? REQUESTS_WITHOUT_STORE : ARRIVING_REQUESTS);
                    index += 1
                ) {
                    this.#sendOne("moved", "waiting", index);
                    this.#sendOne("arriving", "waiting", index);
                }
            },
        });
        const outcomes = await Promise.all(this.#outcomes);
        return { times, outcomes, arrivals: this.#host.engines.flatMap(({ arrivals }) => arrivals) };
    }

    get #isStoreSilent(): boolean {
        return this.#fact === "stays, and the store is silent";
    }

    #isConnecting(): boolean {
        return this.#host.output.split("\n").some(line => line.includes("request sent") && line.includes("connecting"));
    }

    #send(route: string, kind: string, count: number): void {
        for (let index = 0; index < count; index += 1) {
            this.#sendOne(route, kind, index);
        }
    }

    #sendOne(route: string, kind: string, index: number): void {
        this.#outcomes.push(this.#host.call(`/${route}/${kind}-${index}`));
    }

    async #startEngines(): Promise<void> {
        const occupationMilliseconds = OCCUPATION_MILLISECONDS + this.#stopMilliseconds / 2;
        for (const { cause } of CAUSES) {
            await this.#host.addEngine(leavingId(cause), cause, path => {
                if (path.includes("pausing")) {
                    return { type: "pause", retryAfterSeconds: occupationMilliseconds / 1_000 };
                }
                const isOccupying = path.includes("occupying");
                return {
                    type: "answer",
                    afterMilliseconds: isOccupying ? occupationMilliseconds : ENGINE_MILLISECONDS,
                };
            });
            await this.#host.addEngine(otherId(cause), cause, answerSoon);
        }
        for (const service of [FORMER_SERVICE, LATTER_SERVICE]) {
            const engine = await this.#host.addEngine(leavingId(service), service, answerSoon);
            this.#host.announce(engine, "ready", FREE_SLOTS);
        }
        for (const { cause } of CAUSES.filter(each => each.cause !== "no-upstream")) {
            this.#announce(leavingId(cause), "ready", cause === "all-full" ? OCCUPIED_SLOTS : FREE_SLOTS);
        }
    }

    /** Announces the first engine of the requests that have none, while the host does not run. */
    #announceFirst(): void {
        if (!this.#isStoreSilent) {
            this.#announce(leavingId("no-upstream"), "ready", FREE_SLOTS);
        }
    }

    #change(): void {
        if (this.#isStoreSilent) {
            this.#host.store.mode = "silent";
            return;
        }
        CAUSES.forEach(({ cause }) => this.#replace(cause));
        this.#host.configure(createConfiguration(2, LATTER_SERVICE));
    }

    /** Lets the engine of a service leave, and another one join. */
    #replace(service: Cause): void {
        const id = leavingId(service);
        if (this.#fact === "starts again under another name") {
            const engine = this.#engine(id);
            this.#host.withdraw(id);
            engine.restart(`again-${service}`);
            this.#host.announce(engine, "ready", FREE_SLOTS);
            return;
        }
        if (this.#fact === "drains") {
            this.#announce(id, "draining", FREE_SLOTS);
        }
        else {
            this.#host.withdraw(id);
        }
        this.#announce(otherId(service), "ready", FREE_SLOTS);
    }

    #announce(id: string, state: "ready" | "draining", slots: number): void {
        this.#host.announce(this.#engine(id), state, slots);
    }

    #engine(id: string): StoppedHost["engines"][number] {
        const engine = this.#host.engines.find(each => each.id === id);
        assert.ok(engine !== undefined);
        return engine;
    }
}

function answerSoon(): { readonly type: "answer"; readonly afterMilliseconds: number; } {
    return { type: "answer", afterMilliseconds: ENGINE_MILLISECONDS };
}

async function runStop(stopMilliseconds: number, fact: Fact): Promise<StopResult> {
    const host = await StoppedHost.start(createConfiguration(1, FORMER_SERVICE));
    try {
        return await new StopRun(host, stopMilliseconds, fact).run();
    }
    finally {
        await host.close();
    }
}

/** Runs each stop once, for the tests of all of its requests. */
const results = new Map<string, Promise<StopResult>>();

async function resultOf(stopMilliseconds: number, fact: Fact): Promise<StopResult> {
    const key = `${fact} ${stopMilliseconds}`;
    const result = results.get(key) ?? runStop(stopMilliseconds, fact);
    results.set(key, result);
    return result;
}

/** Returns the requests of a route that wait or arrive, without those that made others wait. */
function isOf(route: string): (request: { readonly path: string; }) => boolean {
    return ({ path }) => path.startsWith(`/${route}/waiting-`);
}

function assertNoneReaches(engine: string, route: string, { arrivals, times }: StopResult): void {
    const late = arrivals.filter(isOf(route)).filter(arrival =>
        arrival.engine === engine && arrival.atMilliseconds >= times.resumedAtMilliseconds
    );
    const afterFact = late.map(({ atMilliseconds }) => Math.round(atMilliseconds - times.factAtMilliseconds));
    assert.equal(late.length, 0, `${late.length} reach ${engine}, milliseconds after it left: ${afterFact.join(" ")}`);
}

/**
 * As {@linkcode assertNoneReaches}, for requests that are being sent as the host stops: the one whose bytes are being
 * handed to the kernel at that moment leaves when the host goes on.
 */
function assertAtMostOneReaches(engine: string, route: string, result: StopResult): void {
    const { arrivals, times: { resumedAtMilliseconds } } = result;
    const late = arrivals.filter(isOf(route)).filter(arrival =>
        arrival.engine === engine && arrival.atMilliseconds >= resumedAtMilliseconds
    );
    assert.ok(late.length <= 1, `${late.length} reach ${engine}`);
}

/** Returns a result without the requests that an engine had received, and cut off as it started again. */
function withoutCut(engine: string, { arrivals, outcomes, times }: StopResult): StopResult {
    const received = arrivals.filter(each => each.engine === engine && each.atMilliseconds < times.factAtMilliseconds);
    const receivedPaths = new Set(received.map(({ path }) => path));
    const kept = outcomes.filter(({ path, status }) => status !== STATUS_BAD_GATEWAY || !receivedPaths.has(path));
    return { arrivals, times, outcomes: kept };
}

/** Asserts that callers with no answer when the host goes on have one soon after. */
function assertAnswered(route: string, { outcomes, times }: StopResult): void {
    const boundMilliseconds = REACTION_MILLISECONDS + ENGINE_MILLISECONDS + BUSY_MACHINE_ALLOWANCE_MILLISECONDS;
    const bad = outcomes.filter(isOf(route)).filter(({ atMilliseconds, status }) =>
        status !== 200 || atMilliseconds > times.resumedAtMilliseconds + boundMilliseconds
    );
    const seen = bad.map(({ atMilliseconds, body, status }) =>
        `${status ?? "none"} ${body} after ${Math.round(atMilliseconds - times.resumedAtMilliseconds)} ms`
    );
    assert.equal(bad.length, 0, `${bad.length} are not answered in time: ${seen.join(", ")}`);
}

function assertReachesInTime(route: string, { arrivals, outcomes, times }: StopResult): void {
    const requests = outcomes.filter(isOf(route));
    const late = requests.filter(({ path }) => {
        const first = arrivals.find(arrival => arrival.path === path);
        return first === undefined
            || first.atMilliseconds > times.resumedAtMilliseconds + REACTION_WITHOUT_STORE_MILLISECONDS;
    });
    assert.deepEqual(late.map(({ path }) => path), []);
    assert.deepEqual(requests.map(({ status }) => status), requests.map(() => 200));
}

/** Stops in which engines leave. */
const LEAVING_STOPS: readonly { readonly stopMilliseconds: number; readonly fact: Fact; }[] = [
    ...STOPS_MILLISECONDS.map(stopMilliseconds => ({ stopMilliseconds, fact: "drains" as const })),
    { stopMilliseconds: USUAL_STOP_MILLISECONDS, fact: "is removed" },
    { stopMilliseconds: USUAL_STOP_MILLISECONDS, fact: "starts again under another name" },
];

/** Returns the message with which a check of a stop fails; none where it holds. */
function problemOf(check: (result: StopResult) => void, result: StopResult): string[] {
    try {
        check(result);
        return [];
    }
    catch (error) {
        return [error instanceof Error ? error.message : String(error)];
    }
}

/** Runs checks on all stops, and fails with the failures of all of them. */
async function checkAllStops(checks: readonly ((result: StopResult) => void)[]): Promise<void> {
    const problems: string[] = [];
    for (const { fact, stopMilliseconds } of LEAVING_STOPS) {
        const result = await resultOf(stopMilliseconds, fact);
        const found = checks.flatMap(check => problemOf(check, result));
        problems.push(...found.map(problem => `${stopMilliseconds} ms, ${fact}: ${problem}`));
    }
    assert.deepEqual(problems, []);
}

for (const { fact, stopMilliseconds } of LEAVING_STOPS) {
    const seconds = (stopMilliseconds / 1_000).toFixed(1);
    for (const { cause, description } of CAUSES.filter(each => !IMMEDIATE_CAUSES.has(each.cause))) {
        test(`a host stopped for ${seconds} s sends an engine that meanwhile ${fact} none of the ${description}`, async () => {
            assertNoneReaches(leavingId(cause), cause, await resultOf(stopMilliseconds, fact));
        });
        test(`stopped for ${seconds} s while an engine ${fact}, a host serves in time the ${description}`, async () => {
            assertAnswered(cause, await resultOf(stopMilliseconds, fact));
        });
    }
}

for (const { cause, description } of CAUSES.filter(each => IMMEDIATE_CAUSES.has(each.cause))) {
    const assertStaysAway = cause === "connecting" ? assertAtMostOneReaches : assertNoneReaches;
    test(`after every stop a host sends engines that left none of the ${description}, and serves them in time`, async () => {
        await checkAllStops([
            result => assertStaysAway(leavingId(cause), cause, result),
            result => assertAnswered(cause, withoutCut(leavingId(cause), result)),
        ]);
    });
}

test(`after every stop a host sends the former service none of the ${MOVED_DESCRIPTION}, and serves them in time`, async () => {
    await checkAllStops([
        result => assertNoneReaches(leavingId(FORMER_SERVICE), "moved", result),
        result => assertAnswered("moved", result),
    ]);
});

for (const { cause, description } of CAUSES.filter(each => each.cause !== "no-upstream")) {
    test(`a silent store does not hold back, after a stop of ${USUAL_STOP_MILLISECONDS} ms, the ${description}`, async () => {
        assertReachesInTime(cause, await resultOf(USUAL_STOP_MILLISECONDS, "stays, and the store is silent"));
    });
}
