/**
 * What the deployment in force says of models, adapters and engines, arranged for look-ups.
 *
 * @module
 */
import { type Deployment, type Model } from "../generated/deployment.js";

/** An engine as the operators' text describes it. */
export interface CatalogEngine {
    readonly name: string;
    /** Requests that it batches at once within its targets. */
    readonly slots: number;
}

/** Look-ups over one revision of the deployment. */
export interface Catalog {
    readonly revision: number;
    findModel(name: string): Model | undefined;
    /** Tells whether the model has this adapter. */
    hasAdapter(model: string, adapter: string): boolean;
    /** Engines of the pools that may hold the model, in the order of the text. */
    listEngines(model: string): readonly CatalogEngine[];
}

/**
 * Arranges one revision of the deployment for look-ups.
 *
 * @param deployment The checked text.
 * @param revision Its revision.
 * @returns The look-ups.
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
