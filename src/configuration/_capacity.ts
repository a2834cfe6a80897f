/**
 * Finds lists of models that can not all be resident, whatever is placed where.
 *
 * @module
 */
import { type Adapter, type Deployment, type Model } from "../generated/deployment.js";
import { type TextDocument } from "./_document.js";
import { type PackingBin, type PackingItem, provePackingImpossible } from "./_packing.js";
import { type TextProblem } from "./problems.js";

/** Room on one engine for models and adapters. */
interface EngineRoom {
    readonly engine: string;
    readonly pool: string;
    readonly megabytes: number;
}

function rooms(deployment: Deployment): EngineRoom[] {
    return deployment.pools.flatMap(pool => {
        const role = pool.roles.find(({ name }) => name === pool.role)?.megabytes ?? 0;
        return pool.engines.map(engine => ({
            engine: engine.name,
            pool: pool.name,
            megabytes: (engine.memoryMegabytes ?? pool.memoryMegabytes) - role,
        }));
    });
}

function roomsFor(model: Model, all: readonly EngineRoom[]): EngineRoom[] {
    return all.filter(room => model.pools.includes(room.pool));
}

function largest(list: readonly EngineRoom[]): number {
    return Math.max(0, ...list.map(room => room.megabytes));
}

function roleProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const full = rooms(deployment).filter(room => room.megabytes <= 0);
    const pools = new Set(full.map(room => room.pool));
    return deployment.pools.flatMap((pool, index) =>
        pools.has(pool.name)
            ? [document.problemAt(["pools", index, "role"], {
                message: "The role alone fills an engine of the pool",
                allowed: "a role that leaves memory for models on every engine of the pool",
            })]
            : []
    );
}

function modelProblems(document: TextDocument, model: Model, index: number, all: readonly EngineRoom[]): TextProblem[] {
    const candidates = roomsFor(model, all);
    const fitting = candidates.filter(room => room.megabytes >= model.megabytes);
    if (fitting.length === 0) {
        return [document.problemAt(["models", index, "megabytes"], {
            message: `The model ${model.name} fits on no engine of its pools`,
            allowed: `at most ${largest(candidates)} megabytes, the largest room left beside the role`,
        })];
    }
    if (fitting.length < model.minimumCopies) {
        return [document.problemAt(["models", index, "minimumCopies"], {
            message: `The model ${model.name} fits on fewer engines than it needs copies`,
            allowed: `at most ${fitting.length}, one for each engine that it fits on`,
        })];
    }
    return [];
}

function adapterProblems(
    document: TextDocument,
    adapter: Adapter,
    index: number,
    deployment: Deployment,
    all: readonly EngineRoom[],
): TextProblem[] {
    const model = deployment.models.find(({ name }) => name === adapter.model);
    if (model === undefined) {
        return [];
    }
    const room = largest(roomsFor(model, all));
    const left = room - model.megabytes;
    return left < 0 || adapter.megabytes <= left ? [] : [document.problemAt(["adapters", index, "megabytes"], {
        message: `The adapter ${adapter.name} fits on no engine beside its model ${model.name}`,
        allowed: `at most ${left} megabytes`,
    })];
}

function packingProblems(document: TextDocument, deployment: Deployment, all: readonly EngineRoom[]): TextProblem[] {
    const poolNumbers = new Map(deployment.pools.map((pool, index) => [pool.name, index]));
    const bins: PackingBin[] = all.map(room => ({ kind: poolNumbers.get(room.pool) ?? 0, room: room.megabytes }));
    const items: PackingItem[] = deployment.models.map(model => ({
        size: model.megabytes,
        copies: model.minimumCopies,
        kinds: new Set(model.pools.map(pool => poolNumbers.get(pool) ?? 0)),
    }));
    const proof = provePackingImpossible(items, bins);
    return proof === undefined ? [] : [document.problemAt(["models"], {
        message: `The listed models can not all be resident: ${proof}`,
        allowed: "models and copies for which some placement exists; add engines, or remove models or copies",
    })];
}

/**
 * Gives what provably can not be resident: a model that fits nowhere, an adapter that fits nowhere beside its model,
 * and a list for which no placement exists. A list is refused only where that is proved.
 *
 * @param document The text.
 * @param deployment What it says; its references have to be sound.
 */
export function capacityProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const all = rooms(deployment);
    const single = [
        ...roleProblems(document, deployment),
        ...deployment.models.flatMap((model, index) => modelProblems(document, model, index, all)),
        ...deployment.adapters.flatMap((adapter, index) => adapterProblems(document, adapter, index, deployment, all)),
    ];
    return single.length > 0 ? single : packingProblems(document, deployment, all);
}
