/**
 * Estimates engines' prefill backlogs and limits them.
 *
 * An engine prefills prompts in pieces between the tokens of its streams. Prompts that arrive together delay all its
 * streams, so each is sent once the previous ones are nearly prefilled. This does not delay its answer, since the
 * engine prefills prompts one after the other.
 *
 * @module
 */

import { type RandomSource } from "../decision/index.js";
import { PrefillBacklogLimit } from "./prefillBacklogLimit.js";
import { type StreamPart } from "./streamPace.js";

/** Time after which sent tokens count half as much, since the engine has prefilled many of them by then. */
const HALF_LIFE_MILLISECONDS = 60;

/** Share of the limit above which gaps in streams are attributed to the prefill backlog. */
const LIMITING_SHARE = 0.5;

/** Up to this backlog a prompt is sent whatever its length. */
const NEGLIGIBLE_BACKLOG_TOKENS = 100;

/** Time until peers have received the report of a sent prompt. */
const PEER_REPORT_DELAY_MILLISECONDS = 10;

interface Backlog {
    /** How long work takes at the engine now, relative to the usual of its service. */
    slowdown: number;
    /** Tokens sent by any host, decayed by age. */
    backlogTokens: number;
    /** The part of them that belongs to long prompts. */
    longTokens: number;
    decayedAtMilliseconds: number;
    /** Start of the window in which peers may not have received this host's reports, and the tokens it sent in it. */
    windowAtMilliseconds: number;
    windowTokens: number;
    /** Random share of a prompt, drawn for each window, that must fit in this host's share; from 0 to 1. */
    draw: number;
    /** When the backlog was last so large that it may have caused gaps in streams. */
    limitingAtMilliseconds: number;
}

/** A part of a stream that one engine ran. */
export interface ObservedPart extends StreamPart {
    /** Maximum gap that its callers accept. */
    readonly acceptedGapMilliseconds: number;
}

/** A prompt to be sent. */
export interface PromptToSend {
    readonly promptTokens: number;
    /** True for a request that has waited; all hosts dispatch such requests at the same moments. */
    readonly waits: boolean;
    /** Hosts that may send to the engine, this one included. */
    readonly hostCount: number;
}

/**
 * Decides when an engine may be sent another prompt, by an estimate of its prefill backlog.
 *
 * @example
 * ```ts
 * const backlog = new PrefillBacklog(Math.random);
 * backlog.recordSent("engine-3", 2_500, now);
 * backlog.accepts("engine-3", { promptTokens: 715, waits: false, hostCount: 9 }, now); // false until most is prefilled
 * ```
 */
export class PrefillBacklog {
    readonly #random: RandomSource;
    readonly #backlogs = new Map<string, Backlog>();
    readonly #slowdownOf: (engine: string, nowMilliseconds: number) => number;
    readonly #limit = new PrefillBacklogLimit();

    /**
     * @param random Source of the random shares of hosts whose requests wait.
     * @param slowdownOf Returns how long work takes at an engine, relative to the usual of its service; 1 by default.
     */
    constructor(random: RandomSource, slowdownOf: (engine: string, nowMilliseconds: number) => number = () => 1) {
        this.#random = random;
        this.#slowdownOf = slowdownOf;
    }

    /** Records a prompt that this host sends; `isLong` where it is long for its service. */
    recordSent(engine: string, promptTokens: number, nowMilliseconds: number, isLong = false): void {
        const backlog = this.#decayed(engine, nowMilliseconds);
        backlog.windowTokens += promptTokens;
        backlog.longTokens += isLong ? promptTokens : 0;
        this.#add(backlog, promptTokens, nowMilliseconds);
    }

    /** Records a peer's report that it has sent a prompt. */
    recordSentByPeer(engine: string, promptTokens: number, nowMilliseconds: number, isLong = false): void {
        const backlog = this.#decayed(engine, nowMilliseconds);
        backlog.longTokens += isLong ? promptTokens : 0;
        this.#add(backlog, promptTokens, nowMilliseconds);
    }

    /** Backlog tokens up to which engines of the usual speed are sent prompts. */
    get limitTokens(): number {
        return Math.round(this.#limit.tokens);
    }

    /** Records a part of a stream; one that ran beside a small backlog is inconclusive, and is ignored. */
    recordStreamPart(engine: string, part: ObservedPart, nowMilliseconds: number): void {
        if (this.#decayed(engine, nowMilliseconds).limitingAtMilliseconds >= part.startedAtMilliseconds) {
            this.#limit.record(part, nowMilliseconds);
        }
    }

    /** Returns the tokens that the engine probably has not prefilled yet. */
    backlogTokens(engine: string, nowMilliseconds: number): number {
        return this.#decayed(engine, nowMilliseconds).backlogTokens;
    }

    /** Returns the tokens of long prompts that the engine probably has not prefilled yet. */
    longTokens(engine: string, nowMilliseconds: number): number {
        return this.#decayed(engine, nowMilliseconds).longTokens;
    }

    /**
     * Returns whether the engine may be sent a prompt now. Hosts whose requests wait for the same engine see room at
     * the same moment, before they receive each other's reports. So for such requests each host uses only its share of
     * the room; it sends a prompt larger than the share with probability share / prompt tokens.
     */
    accepts(engine: string, { hostCount, promptTokens, waits }: PromptToSend, nowMilliseconds: number): boolean {
        const { draw, backlogTokens, slowdown, windowTokens } = this.#decayed(engine, nowMilliseconds);
        const limitTokens = this.#limit.tokens / slowdown;
        const room = limitTokens - backlogTokens;
        const tokens = Math.min(promptTokens, limitTokens);
        if (backlogTokens > NEGLIGIBLE_BACKLOG_TOKENS && tokens > room) {
            return false;
        }
        const share = (room + windowTokens) / hostCount;
        return !waits || windowTokens + tokens * draw <= share;
    }

    forget(engine: string): void {
        this.#backlogs.delete(engine);
    }

    #add(backlog: Backlog, promptTokens: number, nowMilliseconds: number): void {
        backlog.backlogTokens += promptTokens;
        if (backlog.backlogTokens > this.#limit.tokens / backlog.slowdown * LIMITING_SHARE) {
            backlog.limitingAtMilliseconds = nowMilliseconds;
        }
    }

    #decayed(engine: string, nowMilliseconds: number): Backlog {
        const known = this.#backlogs.get(engine);
        if (known?.decayedAtMilliseconds === nowMilliseconds) {
            return known;
        }
        const backlog = known ?? {
            slowdown: 1,
            backlogTokens: 0,
            longTokens: 0,
            decayedAtMilliseconds: nowMilliseconds,
            windowAtMilliseconds: Number.NEGATIVE_INFINITY,
            windowTokens: 0,
            draw: 0,
            limitingAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        const age = nowMilliseconds - backlog.decayedAtMilliseconds;
        backlog.slowdown = this.#slowdownOf(engine, nowMilliseconds);
        const remaining = 0.5 ** (age / (HALF_LIFE_MILLISECONDS * backlog.slowdown));
        backlog.backlogTokens *= remaining;
        backlog.longTokens *= remaining;
        backlog.decayedAtMilliseconds = nowMilliseconds;
        if (nowMilliseconds - backlog.windowAtMilliseconds >= PEER_REPORT_DELAY_MILLISECONDS) {
            backlog.windowAtMilliseconds = nowMilliseconds;
            backlog.windowTokens = 0;
            backlog.draw = this.#random();
        }
        this.#backlogs.set(engine, backlog);
        return backlog;
    }
}
