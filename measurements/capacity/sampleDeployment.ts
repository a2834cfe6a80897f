/**
 * Creates deployments of any size for measurements.
 *
 * @module
 */
import { type Deployment, deploymentSchema } from "../../src/generated/deployment.js";
import { type HostIdentity } from "../../src/generated/peers.js";

const ENGINES_IN_POOL = 10;
const ZONES_IN_REGION = 3;

/** Sizes of a deployment. */
export interface DeploymentSize {
    readonly engines: number;
    readonly models: number;
    readonly zones: number;
}

/** Returns the name of the zone of the n-th host or engine. */
export function zoneName(index: number, zones: number): string {
    return `zone-${index % zones}`;
}

/** Returns the name of the region of the n-th host's or engine's zone. */
export function regionName(index: number, zones: number): string {
    return `region-${Math.floor((index % zones) / ZONES_IN_REGION)}`;
}

/** Returns the name of the n-th engine. */
export function engineName(index: number): string {
    return `engine-${index}`;
}

/**
 * Creates a deployment with pools of ten engines; each model belongs to one pool.
 *
 * @param size Numbers of engines, models and zones.
 *
 * @example
 * ```ts
 * const deployment = sampleDeployment({ engines: 1300, models: 1200, zones: 9 });
 * ```
 */
export function sampleDeployment(size: DeploymentSize): Deployment {
    const pools = Math.max(1, Math.round(size.engines / ENGINES_IN_POOL));
    return deploymentSchema.parse({
        deployment: "sample",
        zones: Array.from(
            { length: size.zones },
            (_, index) => ({ name: zoneName(index, size.zones), region: regionName(index, size.zones) }),
        ),
        weightStore: { loadsPerSecond: 100, concurrentLoads: 100 },
        pools: Array.from({ length: pools }, (_, pool) => ({
            name: `pool-${pool}`,
            checksFencing: pool % 2 === 0,
            memoryMegabytes: 320_000,
            slots: 64,
            engines: Array.from({ length: size.engines }, (_, index) => index)
                .filter(index => index % pools === pool)
                .map(index => ({
                    name: engineName(index),
                    url: `http://127.0.0.1:${10_000 + index}`,
                    zone: zoneName(index, size.zones),
                })),
        })),
        models: Array.from({ length: size.models }, (_, index) => ({
            name: `model-${index}`,
            version: "1",
            megabytes: 40_000,
            pools: [`pool-${index % pools}`],
            minimumCopies: 2,
        })),
    });
}

/** Creates the identity of the n-th host. */
export function sampleIdentity(index: number, zones: number): HostIdentity {
    return {
        host: `entry-${index}`,
        incarnation: `0mi0000000${index.toString(16).padStart(8, "0")}`,
        zone: zoneName(index, zones),
        region: regionName(index, zones),
        callersUrl: `http://10.0.${index >> 8}.${index & 255}:8080`,
        peersUrl: `http://10.0.${index >> 8}.${index & 255}:8081`,
    };
}
