import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { deploymentSchema } from "../generated/deployment.js";
import { createRequestQueue } from "./_queue.js";
import { trackRequest } from "./_trackedRequest.js";
import { createRequestsDecision, type ModelRequest, type RequestsEffect, type RequestsMessage } from "./index.js";

const SEED = 20261203;

const DEPLOYMENT = deploymentSchema.parse({
    deployment: "mill",
    zones: [{ name: "a", region: "r" }],
    weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
    pools: [{
        name: "pool",
        checksFencing: true,
        memoryMegabytes: 100,
        slots: 2,
        engines: ["one", "two"].map(name => ({ name, url: "http://127.0.0.1:1", zone: "a" })),
    }],
    models: [{ name: "quotes", version: "1", megabytes: 10, pools: ["pool"] }],
    adapters: [{ name: "gentle", model: "quotes", megabytes: 1 }],
});

function describeRequest(identifier: string): ModelRequest {
    const fingerprint = `fingerprint-${identifier}`;
    return { identifier, model: "quotes", class: "urgent", fingerprint, prefixKeys: [identifier] };
}

/** Drives one decision by hand. */
class Driver {
    readonly #decision = createRequestsDecision({ host: "host-1", random: createSeededRandom(SEED) });
    nowMilliseconds = 1_000;

    constructor(engines: readonly string[] = ["one", "two"]) {
        this.handle({ type: "deployment", deployment: DEPLOYMENT, revision: 1 });
        for (const engine of engines) {
            this.observe(engine, "first");
            this.residency(engine, "first");
        }
    }

    handle(message: RequestsMessage): readonly RequestsEffect[] {
        return this.#decision.handle(message, this.nowMilliseconds);
    }

    observe(engine: string, incarnation: string, leaving = false): readonly RequestsEffect[] {
        const digest = { engine, incarnation, observedMillisecondsAgo: 0, running: 0, waiting: 0, leaving };
        return this.handle({ type: "engine-observed", digest });
    }

    residency(engine: string, incarnation: string, recordRevision = 1): readonly RequestsEffect[] {
        const models = [{ name: "quotes", version: "1" }];
        return this.handle({
            type: "residency",
            digest: { engine, incarnation, recordRevision, models, adapters: [] },
        });
    }

    submit(identifier: string, change: Partial<ModelRequest> = {}): readonly RequestsEffect[] {
        return this.handle({ type: "submit", request: { ...describeRequest(identifier), ...change } });
    }

    wait(milliseconds: number): readonly RequestsEffect[] {
        const effects: RequestsEffect[] = [];
        for (const end = this.nowMilliseconds + milliseconds; this.nowMilliseconds < end;) {
            this.nowMilliseconds += 50;
            effects.push(...this.handle({ type: "tick" }));
        }
        return effects;
    }
}

function pick<Type extends RequestsEffect["type"]>(effects: readonly RequestsEffect[], type: Type) {
    return effects.filter((effect): effect is Extract<RequestsEffect, { type: Type; }> => effect.type === type);
}

test("a request is dispatched at once and ends once", () => {
    const driver = new Driver();
    const [dispatched] = pick(driver.submit("a"), "dispatch");
    assert.equal(dispatched?.attempt, 1);
    driver.handle({ type: "attempt-first-token", identifier: "a", attempt: 1 });
    const ended = pick(driver.handle({ type: "attempt-finished", identifier: "a", attempt: 1 }), "ended");
    assert.deepEqual(ended.map(({ withinTarget }) => withinTarget), [true]);
    assert.deepEqual(driver.handle({ type: "attempt-finished", identifier: "a", attempt: 1 }), []);
});

test("a leaving engine gets no new work from the moment that is known", () => {
    const driver = new Driver();
    driver.observe("one", "first", true);
    const engines = ["a", "b"].flatMap(identifier => pick(driver.submit(identifier), "dispatch"));
    assert.deepEqual(engines.map(({ engine }) => engine), ["two", "two"]);
});

test("a cut connection to a living engine is resumed behind the delivered tokens", () => {
    const driver = new Driver(["one"]);
    driver.submit("a");
    driver.handle({ type: "attempt-first-token", identifier: "a", attempt: 1 });
    const lost = { type: "attempt-failed", identifier: "a", attempt: 1, failure: "connection-lost" } as const;
    assert.equal(pick(driver.handle({ ...lost, deliveredTokens: 7 }), "probe-engine").length, 1);
    driver.wait(100);
    driver.observe("one", "first");
    const [again] = pick(driver.wait(2_000), "dispatch");
    assert.equal(again?.resumeAtToken, 7);
});

test("requests of an engine that fell silent all go to the other copy, one after another", () => {
    const driver = new Driver();
    const dispatched = ["a", "b", "c", "d"].flatMap(identifier => pick(driver.submit(identifier), "dispatch"));
    const silent = dispatched.filter(({ engine }) => engine === "one");
    assert.equal(silent.length, 2);
    for (const { identifier, attempt, engine } of dispatched) {
        driver.handle(
            engine === "one"
                ? { type: "attempt-failed", identifier, attempt, failure: "silent", deliveredTokens: 0 }
                : { type: "attempt-finished", identifier, attempt },
        );
    }
    const again: string[] = [];
    for (let step = 0; step < 60; step += 1) {
        const effects = [...driver.observe("two", "first"), ...driver.wait(200)];
        for (const { identifier, attempt, engine } of pick(effects, "dispatch")) {
            again.push(engine);
            driver.handle({ type: "attempt-finished", identifier, attempt });
        }
    }
    assert.deepEqual(again, ["two", "two"]);
});

test("a model that a newer deployment no longer lists is refused as not run", () => {
    const driver = new Driver(["one"]);
    for (const identifier of ["a", "b", "c"]) {
        driver.submit(identifier, { class: "patient" });
    }
    const deployment = { ...DEPLOYMENT, models: DEPLOYMENT.models.map(model => ({ ...model, name: "other" })) };
    const refused = pick(driver.handle({ type: "deployment", deployment, revision: 2 }), "refuse");
    assert.deepEqual(refused.map(({ reason, ran }) => [reason, ran]), [["unknown-model", "not-run"], [
        "unknown-model",
        "not-run",
    ]]);
});

test("waiting requests stand in the order of their deadlines, and are taken out wherever they stand", () => {
    const times = fastCheck.array(fastCheck.nat(1_000), { minLength: 1, maxLength: 50 });
    fastCheck.assert(
        fastCheck.property(times, fastCheck.nat(49), (submittedAt, removed) => {
            const queue = createRequestQueue();
            const model = DEPLOYMENT.models[0];
            assert.ok(model !== undefined);
            const tracked = submittedAt.map((at, index) => trackRequest(describeRequest(`${index}`), model, at));
            tracked.forEach(each => queue.add(each));
            const gone = tracked[removed % tracked.length];
            assert.ok(gone !== undefined);
            queue.remove(gone);
            const rest = tracked.filter(each => each !== gone).map(each => each.deadlineMilliseconds);
            rest.sort((left, right) => left - right);
            assert.deepEqual(queue.list("quotes", "urgent").map(each => each.deadlineMilliseconds), rest);
            assert.equal(queue.count("urgent"), rest.length);
        }),
        { seed: SEED },
    );
});

test("urgent requests leave the queue before patient ones that came earlier", () => {
    const driver = new Driver(["one"]);
    for (const identifier of ["x", "y", "z"]) {
        driver.submit(identifier);
    }
    driver.submit("patient", { class: "patient" });
    driver.submit("urgent");
    const order = ["x", "y", "z", "urgent"].flatMap(identifier =>
        pick(driver.handle({ type: "attempt-finished", identifier, attempt: 1 }), "dispatch")
    );
    assert.deepEqual(order.map(({ identifier }) => identifier), ["urgent", "patient"]);
});

test("attempts stay under 1.1 for each request although every attempt fails", () => {
    const driver = new Driver();
    const requests = 2_000;
    let attempts = 0;
    const fail = (effects: readonly RequestsEffect[]): void => {
        for (const { attempt, identifier } of pick(effects, "dispatch")) {
            attempts += 1;
            const failed = { type: "attempt-failed", identifier, attempt, failure: "incomplete" } as const;
            fail(driver.handle({ ...failed, deliveredTokens: 0 }));
        }
    };
    for (let index = 0; index < requests; index += 1) {
        fail(driver.submit(`request-${index}`));
        fail(driver.wait(50));
    }
    assert.ok(attempts > requests && attempts < 1.1 * requests, `${attempts} attempts for ${requests} requests`);
});

test("a request with delivered tokens that nothing can resume is refused as an incomplete answer that may have run", () => {
    const driver = new Driver(["one"]);
    driver.submit("a");
    const effects = [1, 2, 3].flatMap(attempt => [
        ...driver.handle({
            type: "attempt-failed",
            identifier: "a",
            attempt,
            failure: "incomplete",
            deliveredTokens: attempt,
        }),
        ...driver.wait(3_000),
    ]);
    const [refused] = pick(effects, "refuse");
    assert.deepEqual([refused?.reason, refused?.ran], ["answer-incomplete", "may-have-run"]);
    assert.ok((refused?.retryAfterMilliseconds ?? 0) > 0);
});

test("an engine that was not heard of for long is avoided, and used before a request is refused", () => {
    const driver = new Driver();
    driver.nowMilliseconds += 60_000;
    driver.observe("one", "first");
    const engines = ["a", "b", "c"].map(identifier => pick(driver.submit(identifier), "dispatch")[0]?.engine);
    assert.deepEqual(engines, ["one", "one", "one"]);
    assert.equal(pick(driver.submit("d"), "dispatch")[0]?.engine, "two");
});

test("a suspect waits for its trial while a peer has claimed the engine, and is not run beside healthy work", () => {
    const driver = new Driver(["one"]);
    driver.handle({ type: "peers", hosts: ["host-1", "host-2"] });
    const trial = { identifier: "claim", host: "host-2", engine: "one", state: "running" } as const;
    const digest = { fingerprint: "other", crashes: ["two/first"], trial };
    driver.handle({ type: "suspects", digests: [digest] });
    assert.deepEqual(pick([...driver.submit("a", { class: "patient" }), ...driver.wait(100)], "dispatch"), []);
    const ended = { ...digest, trial: { ...trial, state: "ended" as const } };
    const [released] = pick(driver.handle({ type: "suspects", digests: [ended] }), "dispatch");
    assert.equal(released?.identifier, "a");
});

test("requests that are alike stay on one engine until one of them has ended well, and wait for its verdict", () => {
    const alike = { fingerprint: "alike", class: "patient" } as const;
    const driver = new Driver();
    const [first] = pick(driver.submit("a", alike), "dispatch");
    assert.ok(first !== undefined);
    const busy = { engine: first.engine, incarnation: "first", observedMillisecondsAgo: 0, waiting: 0, leaving: false };
    driver.handle({ type: "engine-observed", digest: { ...busy, running: 2 } });
    assert.deepEqual(pick(driver.submit("b", alike), "dispatch"), []);
    driver.handle({
        type: "attempt-failed",
        identifier: "a",
        attempt: 1,
        failure: "connection-lost",
        deliveredTokens: 0,
    });
    assert.deepEqual(pick([...driver.submit("c", alike), ...driver.wait(1_000)], "dispatch"), []);
});

test("a request that its caller took back is a suspect if its engine crashes then", () => {
    const driver = new Driver(["one"]);
    driver.submit("a", { fingerprint: "killer" });
    driver.handle({ type: "cancel", identifier: "a" });
    const effects = driver.handle({ type: "engine-crashed", engine: "one", incarnation: "first" });
    const digests = pick(effects, "share-suspects").flatMap(effect => effect.digests);
    assert.deepEqual(digests.map(({ crashes, fingerprint }) => [fingerprint, crashes]), [["killer", ["one/first"]]]);
});

test("a suspect whose trial was taken back is not run again until its engine is seen alive", () => {
    const driver = new Driver(["one"]);
    const suspect = { fingerprint: "suspect", class: "patient" } as const;
    driver.handle({ type: "suspects", digests: [{ fingerprint: "suspect", crashes: ["two/first"] }] });
    assert.equal(pick(driver.submit("a", suspect), "dispatch").length, 1);
    driver.handle({ type: "cancel", identifier: "a" });
    assert.equal(pick(driver.submit("b", suspect), "refuse")[0]?.reason, "upstream-failed");
    driver.wait(1_000);
    driver.observe("one", "first");
    assert.equal(pick(driver.submit("c", suspect), "dispatch").length, 1);
});

test("a claim that only others still repeat runs out, as its host has died", () => {
    const driver = new Driver(["one"]);
    const trial = { identifier: "claim", host: "host-2", engine: "one", renewal: 1, state: "running" } as const;
    const repeat = (): readonly RequestsEffect[] =>
        driver.handle({ type: "suspects", digests: [{ fingerprint: "other", crashes: ["two/first"], trial }] });
    repeat();
    driver.submit("a", { class: "patient" });
    const effects = [1, 2, 3, 4, 5, 6].flatMap(() => [...driver.wait(1_000), ...repeat()]);
    assert.equal(pick(effects, "dispatch").length, 1);
});

test("attempts that no engine took do not use up a request that has tokens already", () => {
    const driver = new Driver();
    driver.submit("a");
    for (const [index, failure] of (["incomplete", "engine-busy", "engine-busy", "incomplete"] as const).entries()) {
        const attempt = index + 1;
        const failed = { type: "attempt-failed", identifier: "a", attempt, failure, deliveredTokens: 1 } as const;
        assert.deepEqual(pick([...driver.handle(failed), ...driver.wait(3_000)], "refuse"), [], `attempt ${attempt}`);
    }
});
