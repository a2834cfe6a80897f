/**
 * Look-ups of models, adapters and engines in the deployment in force.
 *
 * @module
 */
import { type Deployment, type Model } from "../generated/deployment.js";

/** An engine as the configuration describes it. */
export interface CatalogEngine {
    readonly name: string;
    /** Number of requests that it can batch within its targets. */
    readonly slots: number;
}

/** Look-ups in one revision of the deployment. */
export interface Catalog {
    readonly revision: number;
    findModel(name: string): Model | undefined;
    /** Returns whether the model has this adapter. */
    hasAdapter(model: string, adapter: string): boolean;
    /** Returns the engines of the pools that may hold the model, in the order of the configuration. */
    listEngines(model: string): readonly CatalogEngine[];
}

/**
 * Indexes one revision of the deployment.
 *
 * @param deployment The validated deployment.
 * @param revision Its revision.
 * @returns The catalog.
 */
export function createCatalog(deployment: Deployment, revision: number): Catalog {
    const models = new Map(deployment.models.map(model => [model.name, model]));
    const adapters = new Set(deployment.adapters.map(adapter => `${adapter.model}:${adapter.name}`));
    const enginesByPool = new Map(
        deployment.pools.map(pool => [
            pool.name,
            pool.engines.map(engine => ({ name: engine.name, slots: pool.slots })),
        ]),
    );
    const enginesByModel = new Map(
        deployment.models.map(model => [model.name, model.pools.flatMap(pool => enginesByPool.get(pool) ?? [])]),
    );
    return {
        revision,
        findModel: name => models.get(name),
        hasAdapter: (model, adapter) => adapters.has(`${model}:${adapter}`),
        listEngines: model => enginesByModel.get(model) ?? [],
    };
}
