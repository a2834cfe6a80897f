/**
 * Stand-in of a model engine.
 *
 * Serves chat completions whose tokens are a function of the request, records each order that would overcommit its
 * memory, and restarts or exits where a prompt contains the crash marker.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { engineOrderSchema, type EngineReport } from "../src/generated/upstreams.js";
import { EngineCache } from "./_engineCache.js";
import {
    answerCompletion,
    type CompletionExecution,
    completionSchema,
    streamCompletion,
    wait,
} from "./_engineCompletions.js";
import { EngineMemory } from "./_engineMemory.js";
import { type EngineOptions, engineOptionsSchema, type EngineState } from "./_engineOptions.js";
import { EngineQueue } from "./_engineQueue.js";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInAnswer, type StandInRequest, startServer } from "./_server.js";

export { type EngineOptions, engineOptionsSchema, type EngineState } from "./_engineOptions.js";
export { DEFAULT_ANSWER_TOKENS, expectedTokens, type TokenRequest } from "./_engineTokens.js";

const CRASH_EXIT_CODE = 70;

/** A prompt that contains this text crashes the engine that receives it. */
export const CRASH_MARKER = "crash-this-engine";

function refuse(status: number, code: string, message: string): StandInAnswer {
    return json(status, { error: { code, message } });
}

/** State that a restart replaces. */
interface Incarnation {
    readonly identifier: string;
    readonly memory: EngineMemory;
    readonly queue: EngineQueue;
    readonly cache: EngineCache;
    readonly abortControllers: Map<string, AbortController>;
    report: { readonly observedAt: number; readonly value: EngineReport; } | undefined;
}

/**
 * Starts an engine.
 *
 * @param input Port, memory, speed and faults of the engine.
 *
 * @example
 * ```ts
 * const engine = await startEngineStandIn({ name: "bag-llm-1", checksFencing: false });
 * await engine.close();
 * ```
 */
export async function startEngineStandIn(input: EngineOptions = {}): Promise<StandIn<EngineState>> {
    const options = engineOptionsSchema.parse(input);
    const violations: string[] = [];
    const completions = new Map<string, number>();
    const totals = { loads: 0, evictions: 0, restarts: 0, orders: 0 };
    let leaving = false;
    let current = createIncarnation();

    async function readWeights(kind: "model" | "adapter", name: string): Promise<void> {
        if (options.weightStore === undefined) {
            await wait(kind === "model" ? options.loadMilliseconds : options.adapterMilliseconds);
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
                lostEventInterval: options.loseEveryCacheEvent,
                readClock: () => performance.now(),
            }),
            abortControllers: new Map(),
            report: undefined,
        };
    }

    function restart(): void {
        totals.loads += current.memory.loads;
        totals.evictions += current.memory.evictions;
        totals.restarts += 1;
        current.abortControllers.forEach(controller => {
            controller.abort();
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

    /** Returns the engine's report, which may be as old as the report lag. */
    function readReport(): EngineReport {
        const { memory, queue } = current;
        const now = performance.now();
        if (current.report !== undefined && now - current.report.observedAt < options.reportLagMilliseconds) {
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
        current.report = { observedAt: now, value };
        return value;
    }

    function isResident(name: string): boolean {
        const [model, adapter] = name.split(":");
        const { memory } = current;
        return memory.models().some(loaded => loaded.name === model)
            && (adapter === undefined || memory.adapters().includes(adapter));
    }

    async function complete(request: StandInRequest): Promise<StandInAnswer> {
        const parsed = completionSchema.safeParse(JSON.parse(request.body));
        if (!parsed.success) {
            return refuse(400, "invalid", parsed.error.message);
        }
        if (!isResident(parsed.data.model)) {
            return refuse(409, "not-resident", `${parsed.data.model} is not loaded`);
        }
        if (current.queue.isFull) {
            return refuse(429, "busy", "no slot is free and the queue is full");
        }
        if (parsed.data.messages.some(({ content }) => content.includes(CRASH_MARKER))) {
            crash();
        }
        const identifier = String(request.headers["x-request-id"] ?? randomUUID());
        completions.set(identifier, (completions.get(identifier) ?? 0) + 1);
        const incarnation = current;
        const abortController = new AbortController();
        incarnation.abortControllers.set(identifier, abortController);
        const isUrgent = request.headers["x-priority"] !== "patient";
        const { cache } = incarnation;
        const execution: CompletionExecution = {
            identifier,
            request: parsed.data,
            cancelled: abortController.signal,
            cache,
            options,
        };
        const runInSlot = async <Value>(perform: () => Promise<Value>): Promise<Value | undefined> => {
            if (!await incarnation.queue.acquireSlot(isUrgent, abortController.signal)) {
                return undefined;
            }
            return perform().finally(() => {
                incarnation.queue.release();
                incarnation.abortControllers.delete(identifier);
            });
        };
        if (!parsed.data.stream) {
            const answer = await runInSlot(() => answerCompletion(execution));
            return answer ?? refuse(409, "cancelled", "the request was cancelled");
        }
        return {
            type: "stream",
            contentType: "text/event-stream",
            run: async writer => {
                writer.onEnded(() => {
                    abortController.abort();
                });
                await runInSlot(() => streamCompletion(execution, writer));
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
            current.abortControllers.get(decodeURIComponent(request.path.slice("/v1/requests/".length)))?.abort();
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
        setLeaving: isLeaving => {
            leaving = isLeaving;
        },
        close: () => {
            current.abortControllers.forEach(controller => {
                controller.abort();
            });
        },
    });
    return server;
}

await runAsProcess(import.meta.url, engineOptionsSchema, startEngineStandIn);
