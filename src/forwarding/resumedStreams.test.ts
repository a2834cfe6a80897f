/**
 * A seeded simulation of streams that can go on at one full engine only, beside new streams that can go to two.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom, type RandomSource } from "../decision/index.js";
import { type Candidate, chooseUpstream } from "./index.js";

const SLOTS = 64;
const STEP_MILLISECONDS = 10;

/** Mean duration of a stream; durations are distributed exponentially. */
const MEAN_STREAM_MILLISECONDS = 2_000;

/** New streams of all hosts; twice as many as both engines can run. */
const NEW_STREAMS_PER_SECOND = 128;

/** A waiting request looks for room again after this time. */
const RETRY_MILLISECONDS = 120;

const NEW_WAIT_MILLISECONDS = 400;
const RESUMED_WAIT_MILLISECONDS = 1_600;

/** Both engines are full by then. */
const RETURN_MILLISECONDS = 3_000;
const RETURN_SPREAD_MILLISECONDS = 200;
const RESUMED_STREAMS = 40;

/** Of the streams that go on, at least this share must be sent. */
const SENT_SHARE = 0.9;

class SimulatedEngine {
    readonly id: string;
    /** When each running stream ends. */
    #ends: number[] = [];
    #queued = 0;
    readonly #random: RandomSource;

    constructor(id: string, random: RandomSource) {
        this.id = id;
        this.#random = random;
    }

    get requests(): number {
        return this.#ends.length + this.#queued;
    }

    accept(nowMilliseconds: number): void {
        this.#queued += 1;
        this.advance(nowMilliseconds);
    }

    advance(nowMilliseconds: number): void {
        this.#ends = this.#ends.filter(end => end > nowMilliseconds);
        while (this.#queued > 0 && this.#ends.length < SLOTS) {
            this.#queued -= 1;
            this.#ends.push(nowMilliseconds - Math.log(1 - this.#random()) * MEAN_STREAM_MILLISECONDS);
        }
    }
}

interface WaitingStream {
    readonly isResumed: boolean;
    readonly untilMilliseconds: number;
    nextTryMilliseconds: number;
}

function candidateOf({ id, requests }: SimulatedEngine, mayQueue: boolean): Candidate {
    return {
        id,
        slots: SLOTS,
        batches: true,
        mayQueue,
        requests,
        prefillBacklogTokens: 0,
        hasFreeConnection: true,
        acceptsPrompt: true,
        sameZone: true,
        avoided: false,
        hasCachedPrompt: false,
        slowdown: 1,
        hostRank: undefined,
        longPromptTokens: 0,
        hasLongPrompt: false,
        memoryShare: 0,
    };
}

/** Returns the number of streams that go on which were sent in time. */
function countSent(seed: number): number {
    const random = createSeededRandom(seed);
    const engines = ["v1", "v1.1"].map(id => new SimulatedEngine(id, random));
    let waiting: WaitingStream[] = [];
    let sent = 0;
    let resumed = 0;
    const endMilliseconds = RETURN_MILLISECONDS + RETURN_SPREAD_MILLISECONDS + RESUMED_WAIT_MILLISECONDS;
    for (let now = 0; now < endMilliseconds; now += STEP_MILLISECONDS) {
        engines.forEach(engine => engine.advance(now));
        if (random() < NEW_STREAMS_PER_SECOND * STEP_MILLISECONDS / 1_000 / 2) {
            const untilMilliseconds = now + NEW_WAIT_MILLISECONDS;
            waiting.push({ isResumed: false, untilMilliseconds, nextTryMilliseconds: now });
            waiting.push({ isResumed: false, untilMilliseconds, nextTryMilliseconds: now });
        }
        const due = RESUMED_STREAMS * (now - RETURN_MILLISECONDS) / RETURN_SPREAD_MILLISECONDS;
        for (; resumed < Math.min(RESUMED_STREAMS, due); resumed += 1) {
            const untilMilliseconds = now + RESUMED_WAIT_MILLISECONDS;
            waiting.push({ isResumed: true, untilMilliseconds, nextTryMilliseconds: now });
        }
        for (const stream of waiting.filter(({ nextTryMilliseconds }) => nextTryMilliseconds <= now)) {
            const usable = stream.isResumed ? engines.slice(0, 1) : engines;
            const choice = chooseUpstream(usable.map(engine => candidateOf(engine, stream.isResumed)), random);
            stream.nextTryMilliseconds = now + RETRY_MILLISECONDS;
            if (choice.type === "send") {
                engines.find(({ id }) => id === choice.upstream)?.accept(now);
                sent += stream.isResumed ? 1 : 0;
                waiting = waiting.filter(each => each !== stream);
            }
        }
        waiting = waiting.filter(({ untilMilliseconds }) => untilMilliseconds > now);
    }
    return sent;
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    test(`streams that go on are not refused since new ones hold their only engine, seed ${seed}`, () => {
        const sent = countSent(seed);
        assert.ok(sent >= RESUMED_STREAMS * SENT_SHARE, `${sent} of ${RESUMED_STREAMS} were sent`);
    });
}
