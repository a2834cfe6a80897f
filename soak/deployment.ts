/**
 * The deployment of a soak: the store, the engines and the hosts.
 *
 * @module
 */
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { ACCOUNTS } from "./accounts.js";
import { SoakEngines } from "./engines.js";
import { SoakHost } from "./hostProcess.js";
import { type SoakPlan } from "./plan.js";
import { SITE_HOST, zoneOf } from "./settings.js";
import { type SoakLog } from "./soakLog.js";

const PLAIN_ENGINES = 3;
const MODEL_ENGINES = 3;
const SEEDS = 3;
const LINK_MEGABITS = 1_000;
const FIRST_NETWORK = 20;
const ADDRESSES_PER_PROCESS = 256;
const PROCESSES_WITH_ADDRESSES = 50_000;
const VERSION_STEP = 3;

const ROUTES = [
    { pathPrefix: "/orders/", kind: "non_idempotent", service: "mill-ops" },
    { pathPrefix: "/reads/", kind: "idempotent", service: "mill-ops" },
    { pathPrefix: "/chat/", kind: "stream", service: "bag-llm", targetGapMs: 150, timeoutMs: 15_000 },
    {
        pathPrefix: "/digest/",
        kind: "stream",
        service: "bag-llm",
        targetGapMs: 150,
        timeoutMs: 25_000,
        resumable: true,
    },
] as const;

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

const MODELS = ["quotes", "captions"].map(name => ({
    name,
    weightsMb: 100,
    loadTimeS: 1,
    adapters: 4,
    adapterMb: 1,
}));

const ENGINE = { slots: 64, kvCapacity: 140_000, weightsMb: 300, adapterSlots: 4, loadsPerS: 2, models: MODELS };

let addressCount = 0;

/** Returns a loopback address that no other process of these scripts has, so that all its ports are free. */
function takeAddress(): string {
    addressCount += 1;
    const number = process.pid % PROCESSES_WITH_ADDRESSES * ADDRESSES_PER_PROCESS
        + addressCount % ADDRESSES_PER_PROCESS;
    return `127.${FIRST_NETWORK + (number >> 16)}.${number >> 8 & 255}.${number & 255}`;
}

/** A deployment; `close` ends its processes and servers. */
export class SoakDeployment {
    readonly store: PlatformStoreStandIn;
    readonly engines: SoakEngines;
    readonly hosts: readonly SoakHost[];
    #version = 0;

    private constructor(store: PlatformStoreStandIn, engines: SoakEngines, hosts: readonly SoakHost[]) {
        this.store = store;
        this.engines = engines;
        this.hosts = hosts;
    }

    /**
     * Starts a deployment; its hosts are not ready yet.
     *
     * @param targetFolder Folder of the launcher.
     * @param folder Folder of the hosts' settings files and output.
     */
    static async start(plan: SoakPlan, targetFolder: string, folder: string, log: SoakLog): Promise<SoakDeployment> {
        const store = await PlatformStoreStandIn.start();
        const engines = new SoakEngines(store, log);
        const addresses = Array.from({ length: plan.hosts }, takeAddress);
        const hosts = addresses.map((address, index) => {
            const settings = {
                name: `front-${zoneOf(index)}-${index + 1}`,
                zone: zoneOf(index),
                address,
                storeAddress: store.address,
                seeds: addresses.slice(0, SEEDS),
                memoryMegabytes: plan.memoryMegabytes,
                linkMegabits: LINK_MEGABITS,
            };
            return new SoakHost(settings, targetFolder, folder, log);
        });
        const deployment = new SoakDeployment(store, engines, hosts);
        deployment.configure(0);
        await Promise.all(Array.from({ length: PLAIN_ENGINES }, () => engines.add("mill-ops")));
        await Promise.all(Array.from({ length: MODEL_ENGINES }, () => engines.add("bag-llm")));
        hosts.forEach(host => host.start());
        return deployment;
    }

    /** Stores a configuration with further routes, of which nobody makes use. */
    configure(furtherRoutes: number): void {
        this.#version += VERSION_STEP;
        const further = Array.from({ length: furtherRoutes }, (_, index) => ({ pathPrefix: `/further-${index}/` }));
        const routes = [...ROUTES, ...further].map(route => ({
            name: route.pathPrefix,
            host: SITE_HOST,
            kind: "idempotent",
            service: "mill-ops",
            timeoutMs: 4_000 + furtherRoutes,
            targetLatencyMs: 300,
            priority: 0,
            maxAttempts: 3,
            sticky: false,
            resumable: false,
            ...route,
        }));
        const service = { healthPath: "/healthz", maxConnections: 370, protocol: "h1", tls: false };
        const services = [{ name: "mill-ops", ...service }, { name: "bag-llm", ...service, engine: ENGINE }];
        this.store.put("op/config", { version: this.#version, routes, services, limits: LIMITS, tenants: ACCOUNTS });
    }

    async close(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.close()));
        await this.engines.close();
        await this.store.close();
    }
}
