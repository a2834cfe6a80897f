import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { deploymentSchema } from "../generated/deployment.js";
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
        const request: ModelRequest = {
            identifier,
            model: "quotes",
            class: "urgent",
            fingerprint: `fingerprint-${identifier}`,
            prefixKeys: [identifier],
            ...change,
        };
        return this.handle({ type: "submit", request });
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
