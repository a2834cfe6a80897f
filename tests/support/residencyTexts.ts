/**
 * Texts for the residency tests.
 *
 * @module
 */
import { type Deployment, deploymentSchema } from "../../src/generated/deployment.js";
import { type Fleet } from "./residencyFleet.js";

/** What differs between the texts of a test. */
export interface TextOptions {
    readonly checksFencing: boolean;
    readonly version?: string;
    readonly role?: string;
    readonly engines?: number;
    readonly moreAdapters?: boolean;
}

/** Creates a text with one pool of small engines that its models nearly fill. */
export function createText(
    { checksFencing, version = "1", role = "serve", engines = 4, moreAdapters = false }: TextOptions,
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

/** Asks for every adapter of the text in force. */
export function wantAdapters(fleet: Fleet): void {
    for (const adapter of fleet.text.adapters) {
        fleet.tellAll({ type: "adapter-wanted", model: adapter.model, adapter: adapter.name });
    }
}

/** Lists models whose version in force is on no engine. */
export function missingModels(fleet: Fleet): string[] {
    return fleet.text.models.filter(({ name, version }) =>
        !fleet.engines.some(engine => engine.loaded.has(`model ${name} ${version}`))
    ).map(model => model.name);
}
