/**
 * Stand-in of the weight store. Answers a load request after the time that reading the weights takes under the store's
 * limits on rate and concurrency.
 *
 * @module
 */
import { z } from "zod";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInRequest, startServer } from "./_server.js";

const MILLISECONDS_PER_SECOND = 1000;

/** Validates the options of a weight store. */
export const weightStoreOptionsSchema = z.object({
    port: z.number().default(0),
    loadsPerSecond: z.number().positive().default(3),
    concurrentLoads: z.number().int().positive().default(3),
    concurrentAdapterLoads: z.number().int().positive().default(24),
    modelMilliseconds: z.number().default(200),
    adapterMilliseconds: z.number().default(5),
}).strict();
/** Options of a weight store. */
export type WeightStoreOptions = z.input<typeof weightStoreOptionsSchema>;

/** State of a weight store. */
export interface WeightStoreState {
    readonly modelLoads: number;
    readonly adapterLoads: number;
    readonly mostModelLoadsAtOnce: number;
    readonly mostAdapterLoadsAtOnce: number;
}

const loadSchema = z.object({ kind: z.enum(["model", "adapter"]), name: z.string() });

/**
 * Starts a weight store.
 *
 * @param input Port, limits, and durations of loads below the limit on concurrency.
 *
 * @example
 * ```ts
 * const store = await startWeightStoreStandIn({ loadsPerSecond: 1.4, concurrentLoads: 7 });
 * await store.close();
 * ```
 */
export async function startWeightStoreStandIn(input: WeightStoreOptions = {}): Promise<StandIn<WeightStoreState>> {
    const options = weightStoreOptionsSchema.parse(input);
    const inFlight = { model: 0, adapter: 0 };
    const completed = { model: 0, adapter: 0 };
    const maximumInFlight = { model: 0, adapter: 0 };
    let nextModelStart = 0;

    /** Waits until the rate limit allows another load to start. */
    async function waitForRate(): Promise<void> {
        const now = performance.now();
        const start = Math.max(now, nextModelStart);
        nextModelStart = start + MILLISECONDS_PER_SECOND / options.loadsPerSecond;
        await new Promise(resolve => setTimeout(resolve, start - now));
    }

    async function load(kind: "model" | "adapter"): Promise<void> {
        if (kind === "model") {
            await waitForRate();
        }
        inFlight[kind] += 1;
        maximumInFlight[kind] = Math.max(maximumInFlight[kind], inFlight[kind]);
        const limit = kind === "model" ? options.concurrentLoads : options.concurrentAdapterLoads;
        const durationMilliseconds = kind === "model" ? options.modelMilliseconds : options.adapterMilliseconds;
        const slowdown = Math.max(1, inFlight[kind] / limit);
        await new Promise(resolve => setTimeout(resolve, durationMilliseconds * slowdown));
        inFlight[kind] -= 1;
        completed[kind] += 1;
    }

    async function handle(request: StandInRequest) {
        const parsed = loadSchema.safeParse(JSON.parse(request.body));
        if (request.path !== "/v1/loads" || !parsed.success) {
            return json(400, {});
        }
        await load(parsed.data.kind);
        return json(200, {});
    }

    return startServer({
        port: options.port,
        handle,
        state: () => ({
            modelLoads: completed.model,
            adapterLoads: completed.adapter,
            mostModelLoadsAtOnce: maximumInFlight.model,
            mostAdapterLoadsAtOnce: maximumInFlight.adapter,
        }),
        restart: () => undefined,
        setLeaving: () => undefined,
        close: () => undefined,
    });
}

await runAsProcess(import.meta.url, weightStoreOptionsSchema, startWeightStoreStandIn);
