/**
 * Finds lists of models that cannot all be resident, whatever is placed where.
 *
 * @module
 */
import { type Deployment, type Model } from "../generated/deployment.js";
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

/** Rooms in megabytes, by pool. */
type RoomsByPool = ReadonlyMap<string, readonly number[]>;

function groupByPool(all: readonly EngineRoom[]): RoomsByPool {
    const groups = new Map<string, number[]>();
    for (const { pool, megabytes } of all) {
        const group = groups.get(pool) ?? [];
        group.push(megabytes);
        groups.set(pool, group);
    }
    return groups;
}

function largestRoom(model: Model, largest: ReadonlyMap<string, number>): number {
    return Math.max(0, ...model.pools.map(pool => largest.get(pool) ?? 0));
}

function countFitting(model: Model, rooms: RoomsByPool): number {
    const inPool = (pool: string) => (rooms.get(pool) ?? []).filter(room => room >= model.megabytes).length;
    return [...new Set(model.pools)].reduce((sum, pool) => sum + inPool(pool), 0);
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

function modelProblems(
    document: TextDocument,
    deployment: Deployment,
    rooms: RoomsByPool,
    largest: ReadonlyMap<string, number>,
): TextProblem[] {
    return deployment.models.flatMap((model, index) => {
        const fitting = countFitting(model, rooms);
        if (fitting === 0) {
            return [document.problemAt(["models", index, "megabytes"], {
                message: `The model ${model.name} fits on no engine of its pools`,
                allowed: `at most ${largestRoom(model, largest)} megabytes, the largest room left beside the role`,
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
    largest: ReadonlyMap<string, number>,
): TextProblem[] {
    const models = new Map(deployment.models.map(model => [model.name, model]));
    return deployment.adapters.flatMap((adapter, index) => {
        const model = models.get(adapter.model);
        const left = model === undefined ? 0 : largestRoom(model, largest) - model.megabytes;
        return left < 0 || adapter.megabytes <= left ? [] : [document.problemAt(["adapters", index, "megabytes"], {
            message: `The adapter ${adapter.name} fits on no engine beside its model ${adapter.model}`,
            allowed: `at most ${left} megabytes`,
        })];
    });
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
        message: `The listed models cannot all be resident: ${proof}`,
        allowed: "models and copies for which some placement exists; add engines, or remove models or copies",
    })];
}

/**
 * Gives what provably cannot be resident: a model that fits nowhere, an adapter that fits nowhere beside its model,
 * and a list for which no placement exists. A list is refused only where that is proved.
 *
 * @param document The text.
 * @param deployment What it says; its references have to be sound.
 */
export function capacityProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const all = rooms(deployment);
    const byPool = groupByPool(all);
    const largest = new Map([...byPool].map(([pool, megabytes]) => [pool, Math.max(0, ...megabytes)]));
    const single = [
        ...roleProblems(document, deployment),
        ...modelProblems(document, deployment, byPool, largest),
        ...adapterProblems(document, deployment, largest),
    ];
    return single.length > 0 ? single : packingProblems(document, deployment, all);
}
