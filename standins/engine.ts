/**
 * Stand-in of a model engine.
 *
 * Serves chat completions with tokens that follow from the request, keeps a memory ledger that records any
 * overcommitment, and restarts or ends when a prompt holds its crash marker.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { engineOrderSchema, type EngineReport } from "../src/generated/upstreams.js";
import { EngineCache } from "./_engineCache.js";
import { answerWhole, type CompletionRun, completionSchema, pause, streamCompletion } from "./_engineCompletions.js";
import { EngineMemory } from "./_engineMemory.js";
import { type EngineOptions, engineOptionsSchema, type EngineState } from "./_engineOptions.js";
import { EngineQueue } from "./_engineQueue.js";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInAnswer, type StandInRequest, startServer } from "./_server.js";

export { type EngineOptions, engineOptionsSchema, type EngineState } from "./_engineOptions.js";
export { DEFAULT_ANSWER_TOKENS, expectedTokens, type TokenRequest } from "./_engineTokens.js";

const CRASH_EXIT_CODE = 70;

/** A prompt that holds this ends the engine that runs it. */
export const CRASH_MARKER = "crash-this-engine";

function refuse(status: number, code: string, message: string): StandInAnswer {
    return json(status, { error: { code, message } });
}

/** Everything that a restart begins anew. */
interface Incarnation {
    readonly identifier: string;
    readonly memory: EngineMemory;
    readonly queue: EngineQueue;
    readonly cache: EngineCache;
    readonly cancels: Map<string, AbortController>;
    report: { readonly takenAt: number; readonly value: EngineReport; } | undefined;
}

/**
 * Starts an engine.
 *
 * @param given Port, memory, pace and faults of the engine.
 *
 * @example
 * ```ts
 * const engine = await startEngineStandIn({ name: "bag-llm-1", checksFencing: false });
 * await engine.close();
 * ```
 */
export async function startEngineStandIn(given: EngineOptions = {}): Promise<StandIn<EngineState>> {
    const options = engineOptionsSchema.parse(given);
    const violations: string[] = [];
    const completions = new Map<string, number>();
    const totals = { loads: 0, evictions: 0, restarts: 0, orders: 0 };
    let leaving = false;
    let current = createIncarnation();

    async function readWeights(kind: "model" | "adapter", name: string): Promise<void> {
        if (options.weightStore === undefined) {
            await pause(kind === "model" ? options.loadMilliseconds : options.adapterMilliseconds);
            return;
        }
        const answer = await fetch(`${options.weightStore}/v1/loads`, {
            method: "POST",
            body: JSON.stringify({ kind, name }),
        });
        await answer.arrayBuffer();
        if (!answer.ok) {
            throw new Error(`the weight store answered ${answer.status}`);
        }
    }

    function createIncarnation(): Incarnation {
        return {
            identifier: randomUUID(),
            memory: new EngineMemory({
                ...options,
                readWeights,
                onViolation: message => violations.push(message),
            }),
            queue: new EngineQueue(options.slots, options.longestQueue),
            cache: new EngineCache({
                entries: options.cacheEntries,
                eventLagMilliseconds: options.cacheEventLagMilliseconds,
                loseEveryEvent: options.loseEveryCacheEvent,
                readClock: () => performance.now(),
            }),
            cancels: new Map(),
            report: undefined,
        };
    }

    function restart(): void {
        totals.loads += current.memory.loads;
        totals.evictions += current.memory.evictions;
        totals.restarts += 1;
        current.cancels.forEach(cancel => {
            cancel.abort();
        });
        leaving = false;
        current = createIncarnation();
    }

    function crash(): never {
        if (options.crashExits) {
            process.exit(CRASH_EXIT_CODE);
        }
        server.setFaults({ restart: true });
        throw new Error("crashed by a prompt");
    }

    /** Reads the report, which may be as old as the lag. */
    function readReport(): EngineReport {
        const { memory, queue } = current;
        const now = performance.now();
        if (current.report !== undefined && now - current.report.takenAt < options.reportLagMilliseconds) {
            return current.report.value;
        }
        const value: EngineReport = {
            engine: options.name,
            incarnation: current.identifier,
            leaving,
            running: queue.running,
            waiting: queue.waiting,
            role: memory.role,
            models: memory.models(),
            adapters: memory.adapters(),
        };
        current.report = { takenAt: now, value };
        return value;
    }

    function holds(name: string): boolean {
        const [model, adapter] = name.split(":");
        const { memory } = current;
        return memory.models().some(held => held.name === model)
            && (adapter === undefined || memory.adapters().includes(adapter));
    }

    async function complete(request: StandInRequest): Promise<StandInAnswer> {
        const asked = completionSchema.safeParse(JSON.parse(request.body));
        if (!asked.success) {
            return refuse(400, "invalid", asked.error.message);
        }
        if (!holds(asked.data.model)) {
            return refuse(409, "not-resident", `${asked.data.model} is not loaded`);
        }
        if (current.queue.full) {
            return refuse(429, "busy", "no slot is free and the queue is full");
        }
        if (asked.data.messages.some(({ content }) => content.includes(CRASH_MARKER))) {
            crash();
        }
        const identifier = String(request.headers["x-request-id"] ?? randomUUID());
        completions.set(identifier, (completions.get(identifier) ?? 0) + 1);
        const incarnation = current;
        const cancel = new AbortController();
        incarnation.cancels.set(identifier, cancel);
        const urgent = request.headers["x-priority"] !== "patient";
        const { cache } = incarnation;
        const work: CompletionRun = { identifier, asked: asked.data, cancelled: cancel.signal, cache, options };
        const run = async <Value>(perform: () => Promise<Value>): Promise<Value | undefined> => {
            if (!await incarnation.queue.take(urgent, cancel.signal)) {
                return undefined;
            }
            return perform().finally(() => {
                incarnation.queue.release();
                incarnation.cancels.delete(identifier);
            });
        };
        if (!asked.data.stream) {
            const whole = await run(() => answerWhole(work));
            return whole ?? refuse(409, "cancelled", "the request was cancelled");
        }
        return {
            type: "stream",
            contentType: "text/event-stream",
            run: async writer => {
                writer.onEnded(() => {
                    cancel.abort();
                });
                await run(() => streamCompletion(work, writer));
            },
        };
    }

    async function applyOrder(request: StandInRequest): Promise<StandInAnswer> {
        const order = engineOrderSchema.safeParse(JSON.parse(request.body));
        if (!order.success) {
            return refuse(400, "invalid", order.error.message);
        }
        const { memory, identifier: incarnation } = current;
        totals.orders += 1;
        return json(200, { ...await memory.apply(order.data), incarnation });
    }

    function handle(request: StandInRequest): Promise<StandInAnswer> | StandInAnswer {
        const route = `${request.method} ${request.path}`;
        if (route === "POST /v1/chat/completions") {
            return complete(request);
        }
        if (route === "POST /admin/orders") {
            return applyOrder(request);
        }
        if (route === "GET /admin/report") {
            return json(200, readReport());
        }
        if (route === "GET /admin/cache-events") {
            return json(200, current.cache.eventsAfter(Number(request.query.get("after") ?? 0)));
        }
        if (route.startsWith("DELETE /v1/requests/")) {
            current.cancels.get(decodeURIComponent(request.path.slice("/v1/requests/".length)))?.abort();
            return json(200, {});
        }
        return refuse(404, "unknown-path", route);
    }

    const server = await startServer<EngineState>({
        port: options.port,
        handle,
        state: () => ({
            incarnation: current.identifier,
            restarts: totals.restarts,
            violations,
            loads: totals.loads + current.memory.loads,
            evictions: totals.evictions + current.memory.evictions,
            usedMegabytes: current.memory.usedMegabytes(),
            models: current.memory.models(),
            adapters: current.memory.adapters(),
            role: current.memory.role,
            orders: totals.orders,
            running: current.queue.running,
            completions: Object.fromEntries(completions),
        }),
        restart,
        setLeaving: now => {
            leaving = now;
        },
        close: () => {
            current.cancels.forEach(cancel => {
                cancel.abort();
            });
        },
    });
    return server;
}

await runAsProcess(import.meta.url, engineOptionsSchema, startEngineStandIn);
