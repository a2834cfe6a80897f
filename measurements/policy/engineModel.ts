/**
 * A simple model of an engine: continuous batching in steps, urgent requests before patient ones, a prefix cache of limited
 * size that saves prefill, and a token rate that falls with the batch size.
 *
 * @module
 */
import { type RequestClass } from "../../src/generated/deployment.js";
import { type EventQueue } from "./eventQueue.js";

const STEP_BASE_MILLISECONDS = 8;
const STEP_PER_BATCH_SHARE_MILLISECONDS = 32;
const PREFILL_MILLISECONDS_PER_TOKEN = 0.12;
const MAXIMUM_PREFILL_TOKENS_PER_STEP = 512;
const BATCH_LIMIT_PER_SLOT = 1.5;
const RESUME_PREFILL_SHARE = 0.2;

/** A part of a prompt, at whose end a cached prefix may end. */
export interface PromptPart {
    readonly prefixKey: string;
    readonly tokens: number;
}

/** One attempt to run a request on an engine. */
export interface EngineJob {
    readonly model: string;
    readonly class: RequestClass;
    readonly prompt: readonly PromptPart[];
    readonly outputTokens: number;
    readonly resumeAtToken: number;
    /** The engine crashes this long after it has started the job. */
    readonly crashesAfterMilliseconds?: number;
    readonly onToken: (tokens: number) => void;
    readonly onFinished: () => void;
    /** Called when the engine's process crashes. */
    readonly onCrash: () => void;
}

interface RunningJob {
    readonly job: EngineJob;
    prefillTokens: number;
    tokens: number;
}

/** A simulated engine. */
export interface EngineModel {
    readonly name: string;
    incarnation(): string;
    isUp(): boolean;
    submit(job: EngineJob): void;
    cancel(job: EngineJob): void;
    crash(): void;
    restart(): void;
    /** Returns the prompt tokens of all jobs so far, and how many of them were not in the cache. */
    promptTokens(): { readonly all: number; readonly uncached: number; };
    running(): number;
    waiting(): number;
}

/** Options of an engine model. */
export interface EngineModelOptions {
    readonly name: string;
    readonly slots: number;
    /** Prompt tokens that the prefix cache holds. */
    readonly cacheTokens: number;
    readonly events: EventQueue;
    readonly onCacheChange: (prefixKey: string, cached: boolean) => void;
    readonly onCrash: () => void;
}

/**
 * Creates an engine that is running and idle.
 *
 * @param options Size and callbacks of the engine.
 * @returns The engine.
 */
export function createEngineModel(options: EngineModelOptions): EngineModel {
    const { events, name, slots } = options;
    const cache = new Map<string, number>();
    let cachedTokens = 0;
    let waiting: EngineJob[] = [];
    let running: RunningJob[] = [];
    let incarnationNumber = 1;
    let up = true;
    let stepping = false;
    const promptTotals = { all: 0, uncached: 0 };

    const cachePart = (part: PromptPart): void => {
        cachedTokens += part.tokens - (cache.get(part.prefixKey) ?? 0);
        if (!cache.delete(part.prefixKey)) {
            options.onCacheChange(part.prefixKey, true);
        }
        cache.set(part.prefixKey, part.tokens);
        for (const [oldest, tokens] of cache) {
            if (cachedTokens <= options.cacheTokens) {
                return;
            }
            cache.delete(oldest);
            cachedTokens -= tokens;
            options.onCacheChange(oldest, false);
        }
    };

    const countUncached = (prompt: readonly PromptPart[]): number => {
        const firstMissing = prompt.findIndex(part => !cache.has(part.prefixKey));
        const missing = firstMissing === -1 ? [] : prompt.slice(firstMissing);
        return missing.reduce((sum, part) => sum + part.tokens, 1);
    };

    const begin = (job: EngineJob): void => {
        const resumed = job.resumeAtToken * RESUME_PREFILL_SHARE;
        const uncached = countUncached(job.prompt);
        promptTotals.uncached += uncached;
        promptTotals.all += job.prompt.reduce((sum, part) => sum + part.tokens, 1);
        running.push({ job, prefillTokens: uncached + resumed, tokens: job.resumeAtToken });
        job.prompt.forEach(cachePart);
        if (job.crashesAfterMilliseconds !== undefined) {
            const startedInIncarnation = incarnationNumber;
            events.schedule(job.crashesAfterMilliseconds, () => {
                if (up && incarnationNumber === startedInIncarnation && running.some(each => each.job === job)) {
                    engine.crash();
                }
            });
        }
    };

    const admit = (): void => {
        while (running.length < slots * BATCH_LIMIT_PER_SLOT && waiting.length > 0) {
            const urgent = waiting.findIndex(job => job.class === "urgent");
            const [job] = waiting.splice(Math.max(0, urgent), 1);
            if (job !== undefined) {
                begin(job);
            }
        }
    };

    /** Prefills up to the step's token limit, oldest jobs first; returns the number of prefilled tokens. */
    const prefill = (): number => {
        let remaining = MAXIMUM_PREFILL_TOKENS_PER_STEP;
        for (const each of running) {
            const prefilled = Math.min(remaining, each.prefillTokens);
            each.prefillTokens -= prefilled;
            remaining -= prefilled;
        }
        return MAXIMUM_PREFILL_TOKENS_PER_STEP - remaining;
    };

    const finishStep = (decoding: readonly RunningJob[]): void => {
        for (const each of decoding) {
            if (!running.includes(each)) {
                continue;
            }
            each.tokens += 1;
            each.job.onToken(each.tokens);
            if (each.tokens >= each.job.outputTokens) {
                running = running.filter(other => other !== each);
                each.job.onFinished();
            }
        }
    };

    const step = (): void => {
        admit();
        if (running.length === 0) {
            stepping = false;
            return;
        }
        const prefilled = prefill();
        const decoding = running.filter(each => each.prefillTokens === 0);
        const duration = STEP_BASE_MILLISECONDS + STEP_PER_BATCH_SHARE_MILLISECONDS * decoding.length / slots
            + PREFILL_MILLISECONDS_PER_TOKEN * prefilled;
        const startedInIncarnation = incarnationNumber;
        events.schedule(duration, () => {
            if (up && incarnationNumber === startedInIncarnation) {
                finishStep(decoding);
                step();
            }
        });
    };

    const startStepping = (): void => {
        if (!stepping) {
            stepping = true;
            step();
        }
    };

    const engine: EngineModel = {
        name,
        incarnation: () => `${name}-process-${incarnationNumber}`,
        isUp: () => up,
        submit: job => {
            waiting.push(job);
            startStepping();
        },
        cancel: job => {
            waiting = waiting.filter(each => each !== job);
            running = running.filter(each => each.job !== job);
        },
        crash: () => {
            const lost = [...running.map(each => each.job), ...waiting];
            up = false;
            stepping = false;
            running = [];
            waiting = [];
            cache.clear();
            cachedTokens = 0;
            options.onCrash();
            lost.forEach(job => job.onCrash());
        },
        restart: () => {
            incarnationNumber += 1;
            up = true;
        },
        promptTokens: () => promptTotals,
        running: () => running.length,
        waiting: () => waiting.length,
    };
    return engine;
}
