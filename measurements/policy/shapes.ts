/**
 * Deployments and arrivals of two workloads: a morning dispatch rush and a sports day.
 *
 * @module
 */
import { createSeededRandom, hashText, type RandomSource } from "../../src/decision/index.js";
import { type Deployment, deploymentSchema } from "../../src/generated/deployment.js";
import { type PromptPart } from "./engineModel.js";
import { type Arrival } from "./runTypes.js";

const MODEL_MEGABYTES = 10_000;
const SYSTEM_PROMPT_TOKENS = 800;
const TURN_TOKENS = 200;
const DOCUMENT_TOKENS = 1_500;
const PATIENT_SHARE = 0.15;
const CONTINUED_SESSION_SHARE = 0.65;
const MAXIMUM_SESSION_TURNS = 8;
const OPEN_SESSIONS = 40;
const SAME_HOST_SHARE = 0.8;

/** One pool of a shape. */
interface PoolShape {
    readonly name: string;
    readonly engines: number;
    readonly models: number;
    readonly adapters: number;
    /** Number of models that fit in an engine's memory. */
    readonly modelsPerEngine: number;
    readonly peakRequestsPerSecond: number;
}

/** A workload. */
export interface Shape {
    readonly name: string;
    readonly hosts: number;
    readonly pools: readonly PoolShape[];
    readonly durationMilliseconds: number;
    /** Returns the demand, as a share of the peak, at a share of the duration. */
    readonly demandAt: (progress: number) => number;
    /** Factor for the lengths of shared prompts and turns. */
    readonly promptScale: number;
    /** Number of phases, in each of which another model of a pool is in high demand, and the factor of its demand. */
    readonly hotPhases: number;
    readonly hotFactor: number;
    readonly weightStore: { readonly loadsPerSecond: number; readonly concurrentLoads: number; };
}

const SAKAN_STORE = { loadsPerSecond: 1.4, concurrentLoads: 7 };
const ARRIETA_STORE = { loadsPerSecond: 3, concurrentLoads: 3 };

/** Morning dispatch rush of the Kraft Bag Line Order Assistant: demand rises, stays level and falls. */
export const MORNING_RUSH: Shape = {
    name: "Sakan morning rush (6+3 engines, 14 models, 40 adapters)",
    hosts: 7,
    pools: [
        { name: "bag-llm", engines: 6, models: 10, adapters: 30, modelsPerEngine: 3, peakRequestsPerSecond: 8 },
        { name: "mill-ops", engines: 3, models: 4, adapters: 10, modelsPerEngine: 2, peakRequestsPerSecond: 3.5 },
    ],
    durationMilliseconds: 120_000,
    demandAt: progress => Math.max(0.3, Math.min(1, 3 * progress, 3 * (1 - progress))),
    promptScale: 1,
    hotPhases: 10,
    hotFactor: 2.5,
    weightStore: SAKAN_STORE,
};

/** The morning rush with bag specifications in the prompts, which makes them longer. */
export const LONG_PROMPTS: Shape = {
    ...MORNING_RUSH,
    name: "Sakan morning rush with prompts four times as long",
    promptScale: 4,
};

/** Sports Day Certificate Platform: demand in three waves, when events end and classes write certificates. */
export const SPORTS_DAY: Shape = {
    name: "Arrieta sports day (8+3 engines, 15 models, 80 adapters)",
    hosts: 9,
    pools: [
        { name: "redactor", engines: 8, models: 11, adapters: 64, modelsPerEngine: 3, peakRequestsPerSecond: 11 },
        { name: "pedidos", engines: 3, models: 4, adapters: 16, modelsPerEngine: 2, peakRequestsPerSecond: 3.5 },
    ],
    durationMilliseconds: 120_000,
    demandAt: progress => 0.3 + 0.7 * Math.sin(progress * 3 * Math.PI) ** 2,
    promptScale: 1,
    hotPhases: 11,
    hotFactor: 2.5,
    weightStore: ARRIETA_STORE,
};

/** The same workloads with larger and longer shifts of demand, so that placement affects the results. */
export const SHIFTING_SHAPES: readonly Shape[] = [MORNING_RUSH, SPORTS_DAY].map(shape => ({
    ...shape,
    name: `${shape.name}, demand for one model after another rising tenfold`,
    durationMilliseconds: 300_000,
    hotPhases: 3,
    hotFactor: 10,
}));

/** Creates the deployment of a workload. */
export function describeDeployment(shape: Shape): Deployment {
    const models = shape.pools.flatMap(pool =>
        listNames(`${pool.name}-model`, pool.models).map(name => ({ name, pool: pool.name }))
    );
    return deploymentSchema.parse({
        deployment: "measured",
        zones: [{ name: "zone-1", region: "region-1" }],
        weightStore: shape.weightStore,
        pools: shape.pools.map(pool => ({
            name: pool.name,
            checksFencing: true,
            memoryMegabytes: pool.modelsPerEngine * MODEL_MEGABYTES,
            slots: 8,
            engines: listNames(pool.name, pool.engines).map(name => ({
                name,
                url: "http://127.0.0.1:1",
                zone: "zone-1",
            })),
        })),
        models: models.map(({ name, pool }) => ({
            name,
            version: "1",
            megabytes: MODEL_MEGABYTES,
            pools: [pool],
            patientMilliseconds: shape.durationMilliseconds,
        })),
        adapters: shape.pools.flatMap(pool =>
            listNames(`${pool.name}-adapter`, pool.adapters).map((name, index) => ({
                name,
                model: `${pool.name}-model-${index % pool.models + 1}`,
                megabytes: 50,
            }))
        ),
    });
}

/** Places one copy of every model, and further copies of the models with the most demand while there is memory. */
export function placeStatically(shape: Shape): ReadonlyMap<string, readonly string[]> {
    const placement = new Map<string, string[]>();
    for (const pool of shape.pools) {
        const engines = listNames(pool.name, pool.engines).map(name => ({ name, models: [] as string[] }));
        const models = listNames(`${pool.name}-model`, pool.models);
        const copies = pool.engines * pool.modelsPerEngine;
        for (let copy = 0; copy < copies; copy += 1) {
            const model = models[copy % models.length] ?? "";
            const candidates = engines.filter(engine =>
                engine.models.length < pool.modelsPerEngine && !engine.models.includes(model)
            );
            candidates.sort((left, right) => left.models.length - right.models.length);
            candidates[0]?.models.push(model);
        }
        engines.forEach(engine => placement.set(engine.name, engine.models));
    }
    return placement;
}

/** Draws the arrivals of one run. */
export function drawArrivals(shape: Shape, seed: number): readonly Arrival[] {
    const random = createSeededRandom(seed);
    return shape.pools.flatMap(pool => drawPoolArrivals(shape, pool, random));
}

interface Session {
    readonly host: string;
    readonly model: string;
    readonly adapter: string;
    readonly prompt: readonly PromptPart[];
}

function drawPoolArrivals(shape: Shape, pool: PoolShape, random: RandomSource): Arrival[] {
    const arrivals: Arrival[] = [];
    const sessions: Session[] = [];
    const pickModel = createModelPicker(shape, pool, random);
    const perMillisecond = pool.peakRequestsPerSecond / 1_000;
    let atMilliseconds = 0;
    for (;;) {
        atMilliseconds += -Math.log(1 - random()) / perMillisecond;
        if (atMilliseconds >= shape.durationMilliseconds) {
            return arrivals;
        }
        const progress = atMilliseconds / shape.durationMilliseconds;
        if (random() >= shape.demandAt(progress)) {
            continue;
        }
        const identifier = `${pool.name}-${arrivals.length}`;
        const model = pickModel(progress);
        arrivals.push(
            random() < PATIENT_SHARE
                ? drawPatient(shape, pool, model, identifier, atMilliseconds, random)
                : drawUrgent(shape, pool, model, identifier, atMilliseconds, sessions, random),
        );
    }
}

/** Creates a function that draws models weighted by rank, with one model per phase in high demand. */
function createModelPicker(shape: Shape, pool: PoolShape, random: RandomSource): (progress: number) => string {
    const names = listNames(`${pool.name}-model`, pool.models);
    const hotOrder = [...names].sort((left, right) => hashText(left) - hashText(right));
    return progress => {
        const hot = hotOrder[Math.floor(progress * shape.hotPhases) % hotOrder.length];
        const weights = names.map((name, rank) => (1 / (rank + 1) ** 0.6) * (name === hot ? shape.hotFactor : 1));
        let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
        const index = weights.findIndex(weight => (remaining -= weight) < 0);
        return names[index] ?? names[0] ?? "";
    };
}

function drawUrgent(
    shape: Shape,
    pool: PoolShape,
    model: string,
    identifier: string,
    atMilliseconds: number,
    sessions: Session[],
    random: RandomSource,
): Arrival {
    const open = sessions.filter(session => session.model === model && session.prompt.length < MAXIMUM_SESSION_TURNS);
    const continued = random() < CONTINUED_SESSION_SHARE ? open[Math.floor(random() * open.length)] : undefined;
    const session = continued ?? startSession(shape, pool, model, random);
    const next: Session = {
        ...session,
        host: random() < SAME_HOST_SHARE ? session.host : drawHost(shape, random),
        prompt: [...session.prompt, { prefixKey: identifier, tokens: TURN_TOKENS * shape.promptScale }],
    };
    if (continued !== undefined) {
        sessions.splice(sessions.indexOf(continued), 1);
    }
    sessions.push(next);
    if (sessions.length > OPEN_SESSIONS * pool.models) {
        sessions.shift();
    }
    return describeArrival(next, "urgent", identifier, atMilliseconds, 60 + Math.floor(random() * 100));
}

function drawPatient(
    shape: Shape,
    pool: PoolShape,
    model: string,
    identifier: string,
    atMilliseconds: number,
    random: RandomSource,
): Arrival {
    const session = startSession(shape, pool, model, random);
    const prompt = [...session.prompt, { prefixKey: identifier, tokens: DOCUMENT_TOKENS }];
    return describeArrival(
        { ...session, prompt },
        "patient",
        identifier,
        atMilliseconds,
        150 + Math.floor(random() * 250),
    );
}

function startSession(shape: Shape, pool: PoolShape, model: string, random: RandomSource): Session {
    const ordinal = Number(model.split("-").at(-1)) - 1;
    const adapters = listNames(`${pool.name}-adapter`, pool.adapters).filter((_, index) =>
        index % pool.models === ordinal
    );
    const adapter = adapters[Math.floor(random() * adapters.length)] ?? "";
    const prompt = [{ prefixKey: `system-${adapter}`, tokens: SYSTEM_PROMPT_TOKENS * shape.promptScale }];
    return { host: drawHost(shape, random), model, adapter, prompt };
}

function describeArrival(
    session: Session,
    requestClass: "urgent" | "patient",
    identifier: string,
    atMilliseconds: number,
    outputTokens: number,
): Arrival {
    return {
        atMilliseconds,
        host: session.host,
        request: {
            identifier,
            model: session.model,
            adapter: session.adapter,
            class: requestClass,
            fingerprint: identifier,
            prefixKeys: session.prompt.map(part => part.prefixKey),
        },
        prompt: session.prompt,
        outputTokens,
    };
}

function drawHost(shape: Shape, random: RandomSource): string {
    return `host-${1 + Math.floor(random() * shape.hosts)}`;
}

/** Returns the names of a workload's hosts. */
export function listHosts(shape: Shape): readonly string[] {
    return listNames("host", shape.hosts);
}

function listNames(stem: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${stem}-${index + 1}`);
}
