/**
 * Stand-in of a plain service: runs calls and counts the executions of each idempotency key.
 *
 * @module
 */
import { z } from "zod";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInRequest, startServer } from "./_server.js";

const CALLS_PREFIX = "/calls/";

/** Validates the options of a plain service. */
export const plainServiceOptionsSchema = z.object({
    port: z.number().default(0),
    name: z.string().default("plain"),
    runMilliseconds: z.number().default(0),
}).strict();
/** Options of a plain service. */
export type PlainServiceOptions = z.input<typeof plainServiceOptionsSchema>;

/** State of a plain service. */
export interface PlainServiceState {
    readonly totalRuns: number;
    /** Number of executions by idempotency key. */
    readonly runs: Readonly<Record<string, number>>;
    /** Keys that were executed more than once. */
    readonly violations: readonly string[];
}

/**
 * Starts a plain service.
 *
 * @param input Port, name and duration of a call.
 *
 * @example
 * ```ts
 * const service = await startPlainServiceStandIn({ runMilliseconds: 5 });
 * await service.close();
 * ```
 */
export async function startPlainServiceStandIn(input: PlainServiceOptions = {}): Promise<StandIn<PlainServiceState>> {
    const options = plainServiceOptionsSchema.parse(input);
    const runs = new Map<string, number>();
    let totalRuns = 0;

    function readState(): PlainServiceState {
        const violations = [...runs].filter(([, count]) => count > 1).map(([key]) => key);
        return { totalRuns, runs: Object.fromEntries(runs), violations };
    }

    async function handle(request: StandInRequest) {
        if (request.method !== "POST" || !request.path.startsWith(CALLS_PREFIX)) {
            return json(404, { error: "no such call" });
        }
        const key = String(request.headers["idempotency-key"] ?? "");
        totalRuns += 1;
        runs.set(key, (runs.get(key) ?? 0) + 1);
        await new Promise(resolve => setTimeout(resolve, options.runMilliseconds));
        return json(200, { ran: request.path.slice(CALLS_PREFIX.length), key, run: totalRuns, echo: request.body });
    }

    return startServer({
        port: options.port,
        handle,
        state: readState,
        // Tests check the counts of executions, so a restart keeps them.
        restart: () => undefined,
        setLeaving: () => undefined,
        close: () => undefined,
    });
}

await runAsProcess(import.meta.url, plainServiceOptionsSchema, startPlainServiceStandIn);
