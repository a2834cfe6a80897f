/**
 * Prompts that engines were sent lately and may still have to read.
 *
 * An engine reads prompts in pieces between the tokens of its streams. Prompts that come together hold up all streams
 * that it runs, so each is sent once the ones before it are nearly read; it is not answered later for that, since the
 * engine reads one after the other.
 *
 * @module
 */

import { type RandomSource } from "../decision/index.js";
import { PromptBound } from "./promptBound.js";
import { type StreamPart } from "./streamPace.js";

/** Tokens that were sent count half as much after this time, in which an engine has read many of them. */
const HALF_LIFE_MILLISECONDS = 60;

/** From this share of the bound on, unread prompts are what streams pause for. */
const BINDING_SHARE = 0.5;

/** From fewer unread tokens than this on, a prompt is sent however long it is. */
const FEW_UNREAD_TOKENS = 100;

/** Time until peers have heard that a prompt was sent. */
const TOLD_MILLISECONDS = 10;

interface Backlog {
    /** Sent by any host, the older ones weighed less. */
    unreadTokens: number;
    weighedAtMilliseconds: number;
    /** Begin of the time of which peers may not have heard, and what this host has sent in it. */
    windowAtMilliseconds: number;
    windowTokens: number;
    /** Decides for the window by how much of a prompt this host may exceed its share; from 0 to 1. */
    draw: number;
    /** When so many prompts were unread last that streams may have paused for them. */
    boundAtMilliseconds: number;
}

/** A part of a stream that one engine ran. */
export interface ObservedPart extends StreamPart {
    /** Longest pause that its callers accept. */
    readonly acceptedPauseMilliseconds: number;
}

/** A prompt that is to be sent. */
export interface PromptToSend {
    readonly promptTokens: number;
    /** True for a request that has waited; such requests are let go on all hosts at the same moments. */
    readonly waits: boolean;
    /** Hosts that may send to the engine, this one included. */
    readonly hostCount: number;
}

/**
 * Tells when an engine may be sent another prompt.
 *
 * @example
 * ```ts
 * const backlog = new PromptBacklog(Math.random);
 * backlog.sent("engine-3", 2_500, now);
 * backlog.takes("engine-3", { promptTokens: 715, waits: false, hostCount: 9 }, now); // false until most of it is read
 * ```
 */
export class PrefillBacklog {
    readonly #random: RandomSource;
    readonly #backlogs = new Map<string, Backlog>();
    readonly #bound = new PromptBound();

    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Takes note of a prompt that this host sends. */
    recordSent(engine: string, promptTokens: number, nowMilliseconds: number): void {
        const backlog = this.#weighed(engine, nowMilliseconds);
        backlog.windowTokens += promptTokens;
        this.#add(backlog, promptTokens, nowMilliseconds);
    }

    /** Takes a peer's word that it has sent a prompt. */
    recordSentByPeer(engine: string, promptTokens: number, nowMilliseconds: number): void {
        this.#add(this.#weighed(engine, nowMilliseconds), promptTokens, nowMilliseconds);
    }

    /** Unread tokens up to which engines are sent prompts. */
    get boundTokens(): number {
        return Math.round(this.#bound.tokens);
    }

    /** Takes a part of a stream; what ran beside few unread prompts tells nothing of how many an engine bears. */
    recordStreamPart(engine: string, part: ObservedPart, nowMilliseconds: number): void {
        if (this.#weighed(engine, nowMilliseconds).boundAtMilliseconds >= part.startedAtMilliseconds) {
            this.#bound.note(part, nowMilliseconds);
        }
    }

    /** Gives the tokens that the engine may still have to read. */
    backlogTokens(engine: string, nowMilliseconds: number): number {
        return this.#weighed(engine, nowMilliseconds).unreadTokens;
    }

    /**
     * Tells whether the engine may be sent a prompt now. Hosts whose requests wait for the same engine see room at the
     * same moment and do not know of each other's prompts yet; so each takes its share of the room, and a prompt that is
     * larger than the share as often as the share goes into it.
     */
    accepts(engine: string, { hostCount, promptTokens, waits }: PromptToSend, nowMilliseconds: number): boolean {
        const { draw, unreadTokens, windowTokens } = this.#weighed(engine, nowMilliseconds);
        const room = this.#bound.tokens - unreadTokens;
        const tokens = Math.min(promptTokens, this.#bound.tokens);
        if (unreadTokens > FEW_UNREAD_TOKENS && tokens > room) {
            return false;
        }
        const share = (room + windowTokens) / hostCount;
        return !waits || windowTokens + tokens * draw <= share;
    }

    forget(engine: string): void {
        this.#backlogs.delete(engine);
    }

    #add(backlog: Backlog, promptTokens: number, nowMilliseconds: number): void {
        backlog.unreadTokens += promptTokens;
        if (backlog.unreadTokens > this.#bound.tokens * BINDING_SHARE) {
            backlog.boundAtMilliseconds = nowMilliseconds;
        }
    }

    #weighed(engine: string, nowMilliseconds: number): Backlog {
        const backlog = this.#backlogs.get(engine) ?? {
            unreadTokens: 0,
            weighedAtMilliseconds: nowMilliseconds,
            windowAtMilliseconds: Number.NEGATIVE_INFINITY,
            windowTokens: 0,
            draw: 0,
            boundAtMilliseconds: Number.NEGATIVE_INFINITY,
        };
        const age = nowMilliseconds - backlog.weighedAtMilliseconds;
        backlog.unreadTokens *= 0.5 ** (age / HALF_LIFE_MILLISECONDS);
        backlog.weighedAtMilliseconds = nowMilliseconds;
        if (nowMilliseconds - backlog.windowAtMilliseconds >= TOLD_MILLISECONDS) {
            backlog.windowAtMilliseconds = nowMilliseconds;
            backlog.windowTokens = 0;
            backlog.draw = this.#random();
        }
        this.#backlogs.set(engine, backlog);
        return backlog;
    }
}
