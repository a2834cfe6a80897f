/**
 * Small simulations of several hosts in front of engines, for tests.
 *
 * @module
 */
import { HostsRun } from "../../measurements/policy/hostsRun.js";
import { type Arrival, type HostsRunOptions, type Network } from "../../measurements/policy/runTypes.js";
import { deploymentSchema } from "../../src/generated/deployment.js";
import { createRequestsDecision, type ModelRequest } from "../../src/requests/index.js";

/** Network delays and losses in the tests' simulations. */
export const NETWORK: Network = {
    reportIntervalMilliseconds: 500,
    digestDelayMilliseconds: 500,
    suspectsDelayMilliseconds: 50,
    crashNoticeLoss: 0,
    cacheEventLoss: 0,
    engineRestartMilliseconds: 3_000,
};

/** Options of a small simulation. */
export interface SmallRun {
    readonly seed: number;
    readonly hosts: number;
    readonly engines: number;
    readonly slots?: number;
    readonly patientMilliseconds?: number;
    readonly network?: Partial<Network>;
    readonly arrivals: readonly Arrival[];
    readonly endMilliseconds: number;
    readonly prepare?: (run: HostsRun) => void;
    readonly onEffect?: NonNullable<HostsRunOptions["onEffect"]>;
}

/** Simulates hosts in front of one pool whose engines all hold the only model. */
export function runSmall(options: SmallRun): HostsRun {
    const engines = Array.from({ length: options.engines }, (_, index) => `engine-${index}`);
    const deployment = deploymentSchema.parse({
        deployment: "small",
        zones: [{ name: "zone", region: "region" }],
        weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
        pools: [{
            name: "pool",
            checksFencing: true,
            memoryMegabytes: 100,
            slots: options.slots ?? 8,
            engines: engines.map(name => ({ name, url: "http://127.0.0.1:1", zone: "zone" })),
        }],
        models: [{
            name: "quotes",
            version: "1",
            megabytes: 10,
            pools: ["pool"],
            patientMilliseconds: options.patientMilliseconds ?? 120_000,
        }],
    });
    const run = new HostsRun({
        seed: options.seed,
        hosts: Array.from({ length: options.hosts }, (_, index) => hostName(index)),
        deployment,
        placement: new Map(engines.map(engine => [engine, ["quotes"]])),
        cacheTokens: 20_000,
        network: { ...NETWORK, ...options.network },
        arrivals: options.arrivals,
        createDecision: (host, random) => createRequestsDecision({ host, random }),
        endMilliseconds: options.endMilliseconds,
        ...(options.prepare === undefined ? {} : { prepare: options.prepare }),
        ...(options.onEffect === undefined ? {} : { onEffect: options.onEffect }),
    });
    run.run();
    return run;
}

/** Returns the name of a host of a small simulation. */
export function hostName(index: number): string {
    return `host-${index}`;
}

/** Creates a request that arrives at a host. */
export function createArrival(
    identifier: string,
    host: number,
    atMilliseconds: number,
    overrides: Partial<Pick<ModelRequest, "class" | "fingerprint">> & Partial<Arrival> = {},
): Arrival {
    const { class: requestClass = "urgent", fingerprint = identifier, ...arrivalOverrides } = overrides;
    return {
        atMilliseconds,
        host: hostName(host),
        request: { identifier, model: "quotes", class: requestClass, fingerprint, prefixKeys: [fingerprint] },
        prompt: [{ prefixKey: fingerprint, tokens: 200 }],
        outputTokens: 40,
        ...arrivalOverrides,
    };
}
