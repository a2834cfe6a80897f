/**
 * A small model of an engine: continuous batching in steps, urgent before patient, a prefix cache with limited memory
 * that makes prefill cheaper, and a token rate that falls with the batch size.
 *
 * @module
 */
import { type RequestClass } from "../../src/generated/deployment.js";
import { type EventQueue } from "./eventQueue.js";

const STEP_BASE_MILLISECONDS = 8;
const STEP_PER_BATCH_SHARE_MILLISECONDS = 32;
const PREFILL_MILLISECONDS_PER_TOKEN = 0.12;
const MOST_PREFILL_TOKENS_PER_STEP = 512;
const BATCH_LIMIT_PER_SLOT = 1.5;
const RESUME_PREFILL_SHARE = 0.2;

/** A part of a prompt that ends where a cached prefix may end. */
export interface PromptPart {
    readonly prefixKey: string;
    readonly tokens: number;
}

/** One attempt as the engine sees it. */
export interface EngineJob {
    readonly model: string;
    readonly class: RequestClass;
    readonly prompt: readonly PromptPart[];
    readonly outputTokens: number;
    readonly resumeAtToken: number;
    /** The engine crashes this long after it began on the job. */
    readonly crashesAfterMilliseconds?: number;
    readonly onToken: (tokens: number) => void;
    readonly onFinished: () => void;
    /** The engine's process ended. */
    readonly onCrash: () => void;
}

interface RunningJob {
    readonly job: EngineJob;
    prefillTokens: number;
    tokens: number;
}

/** One engine. */
export interface EngineModel {
    readonly name: string;
    incarnation(): string;
    isUp(): boolean;
    submit(job: EngineJob): void;
    cancel(job: EngineJob): void;
    crash(): void;
    restart(): void;
    /** Prompt tokens of all jobs so far, and how many of them the cache did not have. */
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
 * Creates an engine that is up and idle.
 *
 * @param options Its size and its callbacks.
 * @returns The engine.
 */
export function createEngineModel(options: EngineModelOptions): EngineModel {
    const { events, name, slots } = options;
    const cache = new Map<string, number>();
    let cachedTokens = 0;
    let waiting: EngineJob[] = [];
    let running: RunningJob[] = [];
    let starts = 1;
    let up = true;
    let stepping = false;
    const prompted = { all: 0, uncached: 0 };

    const touch = (part: PromptPart): void => {
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
        prompted.uncached += uncached;
        prompted.all += job.prompt.reduce((sum, part) => sum + part.tokens, 1);
        running.push({ job, prefillTokens: uncached + resumed, tokens: job.resumeAtToken });
        job.prompt.forEach(touch);
        if (job.crashesAfterMilliseconds !== undefined) {
            const startedIn = starts;
            events.schedule(job.crashesAfterMilliseconds, () => {
                if (up && starts === startedIn && running.some(each => each.job === job)) {
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

    /** Spends the step's prefill tokens on the oldest jobs first; returns how many were spent. */
    const prefill = (): number => {
        let left = MOST_PREFILL_TOKENS_PER_STEP;
        for (const each of running) {
            const spent = Math.min(left, each.prefillTokens);
            each.prefillTokens -= spent;
            left -= spent;
        }
        return MOST_PREFILL_TOKENS_PER_STEP - left;
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
        const startedIn = starts;
        events.schedule(duration, () => {
            if (up && starts === startedIn) {
                finishStep(decoding);
                step();
            }
        });
    };

    const wake = (): void => {
        if (!stepping) {
            stepping = true;
            step();
        }
    };

    const engine: EngineModel = {
        name,
        incarnation: () => `${name}-process-${starts}`,
        isUp: () => up,
        submit: job => {
            waiting.push(job);
            wake();
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
            starts += 1;
            up = true;
        },
        promptTokens: () => prompted,
        running: () => running.length,
        waiting: () => waiting.length,
    };
    return engine;
}
