/**
 * Deployments for the residency tests.
 *
 * @module
 */
import { type Deployment, deploymentSchema } from "../../src/generated/deployment.js";
import { type Fleet } from "./residencyFleet.js";

/** Options of a deployment of a test. */
export interface DeploymentOptions {
    readonly checksFencing: boolean;
    readonly version?: string;
    readonly role?: string;
    readonly engines?: number;
    readonly moreAdapters?: boolean;
}

/** Creates a deployment with one pool of small engines that its models nearly fill. */
export function createDeployment(
    { checksFencing, version = "1", role = "serve", engines = 4, moreAdapters = false }: DeploymentOptions,
): Deployment {
    const sizes = [45, 40, 30, 25, 20, 15, 10];
    return deploymentSchema.parse({
        deployment: "test",
        zones: [{ name: "a", region: "r" }, { name: "b", region: "r" }],
        weightStore: { loadsPerSecond: 4, concurrentLoads: 3, concurrentAdapterLoads: 4 },
        placement: { attainmentWeight: 0.5, moveWeight: 0.5 },
        pools: [{
            name: "pool",
            checksFencing,
            memoryMegabytes: 100,
            slots: 4,
            role,
            roles: [{ name: "serve", megabytes: 4 }, { name: "wide", megabytes: 12 }],
            engines: Array.from({ length: engines }, (_, index) => ({
                name: `engine-${index}`,
                url: `http://127.0.0.1:${9000 + index}`,
                zone: index % 2 === 0 ? "a" : "b",
            })),
        }],
        models: sizes.map((megabytes, index) => ({
            name: `model-${index}`,
            version: index % 3 === 0 ? version : "1",
            megabytes,
            pools: ["pool"],
        })),
        adapters: Array.from({ length: moreAdapters ? 9 : 6 }, (_, index) => ({
            name: `adapter-${index}`,
            model: `model-${index % 3}`,
            megabytes: 2 + index % 3,
        })),
    });
}

/** Requests every adapter of the deployment in force. */
export function requestAdapters(fleet: Fleet): void {
    for (const adapter of fleet.text.adapters) {
        fleet.deliverToAll({ type: "adapter-wanted", model: adapter.model, adapter: adapter.name });
    }
}

/** Returns the models whose version in force is loaded on no engine. */
export function missingModels(fleet: Fleet): string[] {
    return fleet.text.models.filter(({ name, version }) =>
        !fleet.engines.some(engine => engine.loaded.has(`model ${name} ${version}`))
    ).map(model => model.name);
}
