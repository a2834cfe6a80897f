/**
 * Finds models and adapters that cannot all be resident under any placement.
 *
 * @module
 */
import { type Deployment, type Model } from "../generated/deployment.js";
import { type TextDocument } from "./_document.js";
import { type PackingBin, type PackingItem, provePackingImpossible } from "./_packing.js";
import { type TextProblem } from "./problems.js";

/** Memory of one engine that its role leaves for models and adapters. */
interface EngineMemory {
    readonly engine: string;
    readonly pool: string;
    readonly megabytes: number;
}

function listAvailableMemory(deployment: Deployment): EngineMemory[] {
    return deployment.pools.flatMap(pool => {
        const roleMegabytes = pool.roles.find(({ name }) => name === pool.role)?.megabytes ?? 0;
        return pool.engines.map(engine => ({
            engine: engine.name,
            pool: pool.name,
            megabytes: (engine.memoryMegabytes ?? pool.memoryMegabytes) - roleMegabytes,
        }));
    });
}

/** Available megabytes of each engine, by pool. */
type MegabytesByPool = ReadonlyMap<string, readonly number[]>;

function groupByPool(engines: readonly EngineMemory[]): MegabytesByPool {
    const groups = new Map<string, number[]>();
    for (const { pool, megabytes } of engines) {
        const group = groups.get(pool) ?? [];
        group.push(megabytes);
        groups.set(pool, group);
    }
    return groups;
}

function largestAvailableMemory(model: Model, largestByPool: ReadonlyMap<string, number>): number {
    return Math.max(0, ...model.pools.map(pool => largestByPool.get(pool) ?? 0));
}

function countEnginesThatFit(model: Model, memoryByPool: MegabytesByPool): number {
    const countInPool = (pool: string) =>
        (memoryByPool.get(pool) ?? []).filter(megabytes => megabytes >= model.megabytes).length;
    return [...new Set(model.pools)].reduce((sum, pool) => sum + countInPool(pool), 0);
}

function roleProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const fullEngines = listAvailableMemory(deployment).filter(engine => engine.megabytes <= 0);
    const fullPools = new Set(fullEngines.map(engine => engine.pool));
    return deployment.pools.flatMap((pool, index) =>
        fullPools.has(pool.name)
            ? [document.problemAt(["pools", index, "role"], {
                message: "The role leaves no memory for models on an engine of the pool",
                allowed: "a role that leaves memory for models on every engine of the pool",
            })]
            : []
    );
}

function modelProblems(
    document: TextDocument,
    deployment: Deployment,
    memoryByPool: MegabytesByPool,
    largestByPool: ReadonlyMap<string, number>,
): TextProblem[] {
    return deployment.models.flatMap((model, index) => {
        const fitting = countEnginesThatFit(model, memoryByPool);
        if (fitting === 0) {
            return [document.problemAt(["models", index, "megabytes"], {
                message: `The model ${model.name} does not fit on any engine of its pools`,
                allowed: `at most ${
                    largestAvailableMemory(model, largestByPool)
                } megabytes, the most that the role leaves on an engine`,
            })];
        }
        return fitting >= model.minimumCopies ? [] : [document.problemAt(["models", index, "minimumCopies"], {
            message: `The model ${model.name} fits on fewer engines than it needs copies`,
            allowed: `at most ${fitting}, one for each engine that it fits on`,
        })];
    });
}

function adapterProblems(
    document: TextDocument,
    deployment: Deployment,
    largestByPool: ReadonlyMap<string, number>,
): TextProblem[] {
    const models = new Map(deployment.models.map(model => [model.name, model]));
    return deployment.adapters.flatMap((adapter, index) => {
        const model = models.get(adapter.model);
        const remainingMegabytes = model === undefined
            ? 0
            : largestAvailableMemory(model, largestByPool) - model.megabytes;
        return remainingMegabytes < 0 || adapter.megabytes <= remainingMegabytes
            ? []
            : [document.problemAt(["adapters", index, "megabytes"], {
                message:
                    `The adapter ${adapter.name} does not fit on any engine together with its model ${adapter.model}`,
                allowed: `at most ${remainingMegabytes} megabytes`,
            })];
    });
}

function packingProblems(
    document: TextDocument,
    deployment: Deployment,
    engines: readonly EngineMemory[],
): TextProblem[] {
    const poolIndices = new Map(deployment.pools.map((pool, index) => [pool.name, index]));
    const bins: PackingBin[] = engines.map(engine => ({
        kind: poolIndices.get(engine.pool) ?? 0,
        freeCapacity: engine.megabytes,
    }));
    const items: PackingItem[] = deployment.models.map(model => ({
        size: model.megabytes,
        copies: model.minimumCopies,
        kinds: new Set(model.pools.map(pool => poolIndices.get(pool) ?? 0)),
    }));
    const proof = provePackingImpossible(items, bins);
    return proof === undefined ? [] : [document.problemAt(["models"], {
        message: `The listed models cannot all be resident: ${proof}`,
        allowed: "models and copies for which some placement exists; add engines, or remove models or copies",
    })];
}

/**
 * Returns problems for a model that fits on no engine, an adapter that fits on no engine together with its model, and
 * a list of models for which no placement exists. A list is rejected only if that is proved.
 *
 * @param document The parsed configuration.
 * @param deployment The deployment in it, whose references must all resolve.
 */
export function capacityProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const engines = listAvailableMemory(deployment);
    const memoryByPool = groupByPool(engines);
    const largestByPool = new Map([...memoryByPool].map(([pool, megabytes]) => [pool, Math.max(0, ...megabytes)]));
    const problems = [
        ...roleProblems(document, deployment),
        ...modelProblems(document, deployment, memoryByPool, largestByPool),
        ...adapterProblems(document, deployment, largestByPool),
    ];
    return problems.length > 0 ? problems : packingProblems(document, deployment, engines);
}
