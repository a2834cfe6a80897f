/**
 * Stand-in of the weight store: answers a load once its weights have been read, within the store's limits.
 *
 * @module
 */
import { z } from "zod";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInRequest, startServer } from "./_server.js";

const MILLISECONDS_PER_SECOND = 1000;

/** Validates: Options of a weight store. */
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

/** What a weight store recorded. */
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
 * @param given Port, limits and how long a load takes at full speed.
 *
 * @example
 * ```ts
 * const store = await startWeightStoreStandIn({ loadsPerSecond: 1.4, concurrentLoads: 7 });
 * await store.close();
 * ```
 */
export async function startWeightStoreStandIn(given: WeightStoreOptions = {}): Promise<StandIn<WeightStoreState>> {
    const options = weightStoreOptionsSchema.parse(given);
    const inFlight = { model: 0, adapter: 0 };
    const total = { model: 0, adapter: 0 };
    const most = { model: 0, adapter: 0 };
    let nextModelStart = 0;

    /** Waits for the next start that the rate allows. */
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
        most[kind] = Math.max(most[kind], inFlight[kind]);
        const limit = kind === "model" ? options.concurrentLoads : options.concurrentAdapterLoads;
        const fullSpeed = kind === "model" ? options.modelMilliseconds : options.adapterMilliseconds;
        const slowdown = Math.max(1, inFlight[kind] / limit);
        await new Promise(resolve => setTimeout(resolve, fullSpeed * slowdown));
        inFlight[kind] -= 1;
        total[kind] += 1;
    }

    async function handle(request: StandInRequest) {
        const asked = loadSchema.safeParse(JSON.parse(request.body));
        if (request.path !== "/v1/loads" || !asked.success) {
            return json(400, {});
        }
        await load(asked.data.kind);
        return json(200, {});
    }

    return startServer({
        port: options.port,
        handle,
        state: () => ({
            modelLoads: total.model,
            adapterLoads: total.adapter,
            mostModelLoadsAtOnce: most.model,
            mostAdapterLoadsAtOnce: most.adapter,
        }),
        restart: () => undefined,
        setLeaving: () => undefined,
        close: () => undefined,
    });
}

await runAsProcess(import.meta.url, weightStoreOptionsSchema, startWeightStoreStandIn);
