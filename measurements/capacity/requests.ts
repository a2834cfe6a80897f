/**
 * Measures the processor time and state of the requests decision by numbers of engines and models.
 *
 * @module
 */
import { createSeededRandom } from "../../src/decision/index.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { createRequestsDecision, type ModelRequest } from "../../src/requests/index.js";
import { heapBytes, microsecondsPerCall } from "./probe.js";
import { engineName, sampleDeployment } from "./sampleDeployment.js";

const REQUESTS_IN_BATCH = 500;
const DIGESTS_IN_BATCH = 500;
const REQUEST_INTERVAL_MILLISECONDS = 20;

/** Cost of the requests decision. */
export interface RequestsFigures {
    readonly engines: number;
    readonly models: number;
    /** From submission to the end of a single attempt. */
    readonly microsecondsPerRequest: number;
    readonly microsecondsPerEngineDigest: number;
    readonly microsecondsPerTick: number;
    readonly stateBytes: number;
}

type Requests = ReturnType<typeof createRequestsDecision>;

function prepare(deployment: Deployment, engines: number, models: number): Requests {
    const decision = createRequestsDecision({ host: "entry-0", random: createSeededRandom(1), queuedRequests: 10_000 });
    decision.handle({ type: "deployment", deployment, revision: 1 }, 0);
    const pools = deployment.pools.length;
    for (let index = 0; index < engines; index += 1) {
        const modelIndexes = Array.from({ length: models }, (_, model) => model).filter(model =>
            model % pools === index % pools
        );
        decision.handle({
            type: "residency",
            digest: {
                engine: engineName(index),
                incarnation: "a",
                recordRevision: 1,
                models: modelIndexes.map(model => ({ name: `model-${model}`, version: "1" })),
                adapters: [],
            },
        }, 0);
        observe(decision, index, 0);
    }
    return decision;
}

function observe(decision: Requests, index: number, now: number): void {
    const digest = {
        engine: engineName(index),
        incarnation: "a",
        running: 0,
        waiting: 0,
        leaving: false,
        observedMillisecondsAgo: 0,
    };
    decision.handle({ type: "engine-observed", digest }, now);
}

function serveOne(decision: Requests, index: number, models: number): void {
    const identifier = `r-${index}`;
    const now = (index + 1) * REQUEST_INTERVAL_MILLISECONDS;
    const request: ModelRequest = {
        identifier,
        model: `model-${index % models}`,
        class: "urgent",
        fingerprint: `f-${index}`,
        prefixKeys: [`p-${index % 50}`, `q-${index}`],
    };
    const dispatched = decision.handle({ type: "submit", request }, now).find(effect => effect.type === "dispatch");
    if (dispatched === undefined) {
        throw new Error("the request was not dispatched on submission");
    }
    const { attempt } = dispatched;
    decision.handle({ type: "attempt-first-token", identifier, attempt }, now + 5);
    decision.handle({ type: "attempt-finished", identifier, attempt }, now + 10);
}

/**
 * Measures the requests decision at one size.
 *
 * @param engines Number of engines.
 * @param models Number of models.
 *
 * @example
 * ```ts
 * console.log(measureRequests(1300, 1200).microsecondsPerRequest);
 * ```
 */
export function measureRequests(engines: number, models: number): RequestsFigures {
    const deployment = sampleDeployment({ engines, models, zones: 9 });
    const before = heapBytes();
    const decision = prepare(deployment, engines, models);
    const stateBytes = heapBytes() - before;
    let now = 0;
    const microsecondsPerRequest = microsecondsPerCall(REQUESTS_IN_BATCH, index => {
        now = (index + 1) * REQUEST_INTERVAL_MILLISECONDS;
        serveOne(decision, index, models);
    });
    const microsecondsPerEngineDigest = microsecondsPerCall(
        DIGESTS_IN_BATCH,
        index => observe(decision, index % engines, now + index),
    );
    const microsecondsPerTick = microsecondsPerCall(
        DIGESTS_IN_BATCH,
        index => void decision.handle({ type: "tick" }, now + index),
    );
    return { engines, models, microsecondsPerRequest, microsecondsPerEngineDigest, microsecondsPerTick, stateBytes };
}
