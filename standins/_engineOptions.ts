/**
 * Options of an engine stand-in, and the state that it records.
 *
 * @module
 */
import { z } from "zod";

/** Validates the options of an engine. */
export const engineOptionsSchema = z.object({
    port: z.number().default(0),
    name: z.string().default("engine"),
    memoryMegabytes: z.number().default(80_000),
    roleMegabytes: z.record(z.string(), z.number()).default({}),
    checksFencing: z.boolean().default(true),
    slots: z.number().int().default(16),
    longestQueue: z.number().int().default(64),
    firstTokenMilliseconds: z.number().default(5),
    /** Added to the time of the first token for each message that is not in the prefix cache. */
    uncachedMessageMilliseconds: z.number().default(0),
    tokenMilliseconds: z.number().default(2),
    loadMilliseconds: z.number().default(20),
    adapterMilliseconds: z.number().default(3),
    /** URL of the weight store that weights are read from; without it a load takes the times above. */
    weightStore: z.string().optional(),
    reportLagMilliseconds: z.number().default(0),
    cacheEntries: z.number().int().default(64),
    cacheEventLagMilliseconds: z.number().default(0),
    loseEveryCacheEvent: z.number().int().default(0),
    /** True where the crash marker ends the process; otherwise it restarts the stand-in within the process. */
    crashExits: z.boolean().default(false),
}).strict();
/** Options of an engine. */
export type EngineOptions = z.input<typeof engineOptionsSchema>;

/** Options of an engine with their defaults. */
export type ResolvedEngineOptions = z.output<typeof engineOptionsSchema>;

/** State of an engine; its counts cover all incarnations in this process. */
export interface EngineState {
    readonly incarnation: string;
    readonly restarts: number;
    readonly violations: readonly string[];
    readonly loads: number;
    readonly evictions: number;
    readonly usedMegabytes: number;
    readonly models: readonly { readonly name: string; readonly version: string; }[];
    readonly adapters: readonly string[];
    readonly role: string;
    readonly orders: number;
    readonly running: number;
    /** Number of completions begun, by request identifier. */
    readonly completions: Readonly<Record<string, number>>;
}
