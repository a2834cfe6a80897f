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

function createRequest(identifier: string): ModelRequest {
    const fingerprint = `fingerprint-${identifier}`;
    return { identifier, model: "quotes", class: "urgent", fingerprint, prefixKeys: [identifier] };
}

/** Drives one decision with a clock that the test advances. */
class DecisionDriver {
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
        return this.handle({ type: "submit", request: { ...createRequest(identifier), ...change } });
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

function filterEffects<Type extends RequestsEffect["type"]>(effects: readonly RequestsEffect[], type: Type) {
    return effects.filter((effect): effect is Extract<RequestsEffect, { type: Type; }> => effect.type === type);
}

test("a request is dispatched immediately and ends once", () => {
    const driver = new DecisionDriver();
    const [dispatched] = filterEffects(driver.submit("a"), "dispatch");
    assert.equal(dispatched?.attempt, 1);
    driver.handle({ type: "attempt-first-token", identifier: "a", attempt: 1 });
    const ended = filterEffects(driver.handle({ type: "attempt-finished", identifier: "a", attempt: 1 }), "ended");
    assert.deepEqual(ended.map(({ withinTarget }) => withinTarget), [true]);
    assert.deepEqual(driver.handle({ type: "attempt-finished", identifier: "a", attempt: 1 }), []);
});

test("an engine reported as leaving receives no new requests", () => {
    const driver = new DecisionDriver();
    driver.observe("one", "first", true);
    const dispatches = ["a", "b"].flatMap(identifier => filterEffects(driver.submit(identifier), "dispatch"));
    assert.deepEqual(dispatches.map(({ engine }) => engine), ["two", "two"]);
});

test("a request whose connection to a live engine was lost resumes after the delivered tokens", () => {
    const driver = new DecisionDriver(["one"]);
    driver.submit("a");
    driver.handle({ type: "attempt-first-token", identifier: "a", attempt: 1 });
    const lost = { type: "attempt-failed", identifier: "a", attempt: 1, failure: "connection-lost" } as const;
    assert.equal(filterEffects(driver.handle({ ...lost, deliveredTokens: 7 }), "probe-engine").length, 1);
    driver.wait(100);
    driver.observe("one", "first");
    const [resumed] = filterEffects(driver.wait(2_000), "dispatch");
    assert.equal(resumed?.resumeAtToken, 7);
});

test("requests that timed out on one engine are all retried on the other, one after another", () => {
    const driver = new DecisionDriver();
    const dispatched = ["a", "b", "c", "d"].flatMap(identifier => filterEffects(driver.submit(identifier), "dispatch"));
    const timedOut = dispatched.filter(({ engine }) => engine === "one");
    assert.equal(timedOut.length, 2);
    for (const { identifier, attempt, engine } of dispatched) {
        driver.handle(
            engine === "one"
                ? { type: "attempt-failed", identifier, attempt, failure: "silent", deliveredTokens: 0 }
                : { type: "attempt-finished", identifier, attempt },
        );
    }
    const retryEngines: string[] = [];
    for (let step = 0; step < 60; step += 1) {
        const effects = [...driver.observe("two", "first"), ...driver.wait(200)];
        for (const { identifier, attempt, engine } of filterEffects(effects, "dispatch")) {
            retryEngines.push(engine);
            driver.handle({ type: "attempt-finished", identifier, attempt });
        }
    }
    assert.deepEqual(retryEngines, ["two", "two"]);
});

test("waiting requests for a model that a newer deployment removed are refused as not run", () => {
    const driver = new DecisionDriver(["one"]);
    for (const identifier of ["a", "b", "c"]) {
        driver.submit(identifier, { class: "patient" });
    }
    const deployment = { ...DEPLOYMENT, models: DEPLOYMENT.models.map(model => ({ ...model, name: "other" })) };
    const refused = filterEffects(driver.handle({ type: "deployment", deployment, revision: 2 }), "refuse");
    assert.deepEqual(refused.map(({ reason, ran }) => [reason, ran]), [["unknown-model", "not-run"], [
        "unknown-model",
        "not-run",
    ]]);
});

test("the queue orders requests by deadline and removes them from any position", () => {
    const times = fastCheck.array(fastCheck.nat(1_000), { minLength: 1, maxLength: 50 });
    fastCheck.assert(
        fastCheck.property(times, fastCheck.nat(49), (submittedAt, removedIndex) => {
            const queue = createRequestQueue();
            const model = DEPLOYMENT.models[0];
            assert.ok(model !== undefined);
            const tracked = submittedAt.map((at, index) => trackRequest(createRequest(`${index}`), model, at));
            tracked.forEach(each => queue.add(each));
            const removedRequest = tracked[removedIndex % tracked.length];
            assert.ok(removedRequest !== undefined);
            queue.remove(removedRequest);
            const remainingDeadlines = tracked.filter(each => each !== removedRequest).map(each =>
                each.deadlineMilliseconds
            );
            remainingDeadlines.sort((left, right) => left - right);
            assert.deepEqual(queue.list("quotes", "urgent").map(each => each.deadlineMilliseconds), remainingDeadlines);
            assert.equal(queue.count("urgent"), remainingDeadlines.length);
        }),
        { seed: SEED },
    );
});

test("urgent requests are dispatched before patient ones that were submitted earlier", () => {
    const driver = new DecisionDriver(["one"]);
    for (const identifier of ["x", "y", "z"]) {
        driver.submit(identifier);
    }
    driver.submit("patient", { class: "patient" });
    driver.submit("urgent");
    const dispatches = ["x", "y", "z", "urgent"].flatMap(identifier =>
        filterEffects(driver.handle({ type: "attempt-finished", identifier, attempt: 1 }), "dispatch")
    );
    assert.deepEqual(dispatches.map(({ identifier }) => identifier), ["urgent", "patient"]);
});

test("the retry budget keeps attempts under 1.1 per request when every attempt fails", () => {
    const driver = new DecisionDriver();
    const requests = 2_000;
    let attempts = 0;
    const fail = (effects: readonly RequestsEffect[]): void => {
        for (const { attempt, identifier } of filterEffects(effects, "dispatch")) {
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

test("a request whose retries fail after tokens were delivered is refused as incomplete and may have run", () => {
    const driver = new DecisionDriver(["one"]);
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
    const [refused] = filterEffects(effects, "refuse");
    assert.deepEqual([refused?.reason, refused?.ran], ["answer-incomplete", "may-have-run"]);
    assert.ok((refused?.retryAfterMilliseconds ?? 0) > 0);
});

test("an engine without a recent report is avoided, but used when the other one is full", () => {
    const driver = new DecisionDriver();
    driver.nowMilliseconds += 60_000;
    driver.observe("one", "first");
    const engines = ["a", "b", "c"].map(identifier => filterEffects(driver.submit(identifier), "dispatch")[0]?.engine);
    assert.deepEqual(engines, ["one", "one", "one"]);
    assert.equal(filterEffects(driver.submit("d"), "dispatch")[0]?.engine, "two");
});

test("a request is not run on an engine that a peer has claimed for a trial, until that claim ends", () => {
    const driver = new DecisionDriver(["one"]);
    driver.handle({ type: "peers", hosts: ["host-1", "host-2"] });
    const trial = { identifier: "claim", host: "host-2", engine: "one", state: "running" } as const;
    const digest = { fingerprint: "other", crashes: ["two/first"], trial };
    driver.handle({ type: "suspects", digests: [digest] });
    assert.deepEqual(filterEffects([...driver.submit("a", { class: "patient" }), ...driver.wait(100)], "dispatch"), []);
    const ended = { ...digest, trial: { ...trial, state: "ended" as const } };
    const [released] = filterEffects(driver.handle({ type: "suspects", digests: [ended] }), "dispatch");
    assert.equal(released?.identifier, "a");
});

test("requests with one fingerprint share an engine until one finishes and wait while its crash is unconfirmed", () => {
    const sameFingerprint = { fingerprint: "alike", class: "patient" } as const;
    const driver = new DecisionDriver();
    const [first] = filterEffects(driver.submit("a", sameFingerprint), "dispatch");
    assert.ok(first !== undefined);
    const busy = { engine: first.engine, incarnation: "first", observedMillisecondsAgo: 0, waiting: 0, leaving: false };
    driver.handle({ type: "engine-observed", digest: { ...busy, running: 2 } });
    assert.deepEqual(filterEffects(driver.submit("b", sameFingerprint), "dispatch"), []);
    driver.handle({
        type: "attempt-failed",
        identifier: "a",
        attempt: 1,
        failure: "connection-lost",
        deliveredTokens: 0,
    });
    assert.deepEqual(filterEffects([...driver.submit("c", sameFingerprint), ...driver.wait(1_000)], "dispatch"), []);
});

test("a cancelled request becomes a suspect if its engine crashes afterwards", () => {
    const driver = new DecisionDriver(["one"]);
    driver.submit("a", { fingerprint: "killer" });
    driver.handle({ type: "cancel", identifier: "a" });
    const effects = driver.handle({ type: "engine-crashed", engine: "one", incarnation: "first" });
    const digests = filterEffects(effects, "share-suspects").flatMap(effect => effect.digests);
    assert.deepEqual(digests.map(({ crashes, fingerprint }) => [fingerprint, crashes]), [["killer", ["one/first"]]]);
});

test("a suspect whose trial was cancelled is not run again until its engine is seen alive", () => {
    const driver = new DecisionDriver(["one"]);
    const suspect = { fingerprint: "suspect", class: "patient" } as const;
    driver.handle({ type: "suspects", digests: [{ fingerprint: "suspect", crashes: ["two/first"] }] });
    assert.equal(filterEffects(driver.submit("a", suspect), "dispatch").length, 1);
    driver.handle({ type: "cancel", identifier: "a" });
    assert.equal(filterEffects(driver.submit("b", suspect), "refuse")[0]?.reason, "upstream-failed");
    driver.wait(1_000);
    driver.observe("one", "first");
    assert.equal(filterEffects(driver.submit("c", suspect), "dispatch").length, 1);
});

test("a claim that its host no longer renews expires, although peers still forward it", () => {
    const driver = new DecisionDriver(["one"]);
    const trial = { identifier: "claim", host: "host-2", engine: "one", renewal: 1, state: "running" } as const;
    const forwardClaim = (): readonly RequestsEffect[] =>
        driver.handle({ type: "suspects", digests: [{ fingerprint: "other", crashes: ["two/first"], trial }] });
    forwardClaim();
    driver.submit("a", { class: "patient" });
    const effects = [1, 2, 3, 4, 5, 6].flatMap(() => [...driver.wait(1_000), ...forwardClaim()]);
    assert.equal(filterEffects(effects, "dispatch").length, 1);
});

test("attempts that no engine started do not count as started for a request with delivered tokens", () => {
    const driver = new DecisionDriver();
    driver.submit("a");
    for (const [index, failure] of (["incomplete", "engine-busy", "engine-busy", "incomplete"] as const).entries()) {
        const attempt = index + 1;
        const failed = { type: "attempt-failed", identifier: "a", attempt, failure, deliveredTokens: 1 } as const;
        assert.deepEqual(
            filterEffects([...driver.handle(failed), ...driver.wait(3_000)], "refuse"),
            [],
            `attempt ${attempt}`,
        );
    }
});
