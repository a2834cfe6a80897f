/**
 * Simulates streams at engines that pause or hang, under a rule that decides when a stream moves to another engine.
 *
 * @module
 */
import { type RandomSource } from "../../src/decision/index.js";
import {
    type Alternative,
    decideOverlap,
    decideStall,
    EXCLUSIVE_OVERLAP_MILLISECONDS,
    type RequestActivity,
    STALL_RECHECK_MILLISECONDS,
    UpstreamLiveness,
} from "../../src/hedging/index.js";

const STEP_MILLISECONDS = 10;
const EVENT_GAP_MILLISECONDS = 120;
const EVENTS = 30;
const STALL_LIMIT_MILLISECONDS = 1_200;
const MAXIMUM_ATTEMPTS = 2;

/** Share of the streams at an engine that pauses which get an event in a step: one of six about every 300 ms. */
const TRICKLE_SHARE = 0.005;

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

const END_MILLISECONDS = 12_000;

/** A time in which an engine sends and reads nothing; it hangs for good where there is no end. */
export interface Pause {
    readonly fromMilliseconds: number;
    readonly toMilliseconds: number;
}

/** The engines, each with its pauses. */
export interface SimulatedEngines {
    readonly pauses: ReadonlyMap<string, readonly Pause[]>;
    /** True where two engines may not work on one request for long. */
    readonly isExclusive: boolean;
    /** Time that an engine works on a stream before its first event. */
    readonly firstEventMilliseconds: number;
    /** True where engines that pause answer probes all the while, and now and then send an event of some stream. */
    readonly trickles: boolean;
}

/**
 * `evidence` decides as hosts do. `timer` moves every stalled stream and gives up its first engine after the overlap.
 * `stay` moves none.
 */
export type StallRule = "evidence" | "timer" | "stay";

interface SimulatedAttempt {
    readonly engine: string;
    readonly activity: RequestActivity;
    readonly sentAtMilliseconds: number;
    /** Time for which the engine has worked on it. */
    workedMilliseconds: number;
    sentEvents: number;
}

class SimulatedStream {
    readonly attempts: SimulatedAttempt[] = [];
    attemptCount = 0;
    events = 0;
    heardAtMilliseconds = 0;
    eventAtMilliseconds = 0;
    checkAtMilliseconds = STALL_LIMIT_MILLISECONDS;
    outcome: "open" | "whole" | "lost" = "open";

    send(engine: string, activity: RequestActivity, now: number): void {
        this.attempts.push({ engine, activity, sentAtMilliseconds: now, workedMilliseconds: 0, sentEvents: 0 });
        this.attemptCount += 1;
        this.heardAtMilliseconds = now;
    }
}

/** Streams on some engines, from their start to their end. */
export class StallSimulation {
    readonly #engines: SimulatedEngines;
    readonly #rule: StallRule;
    readonly #random: RandomSource;
    readonly #liveness = new UpstreamLiveness();
    readonly #streams: SimulatedStream[] = [];
    #now = 0;

    constructor(engines: SimulatedEngines, rule: StallRule, random: RandomSource) {
        this.#engines = engines;
        this.#rule = rule;
        this.#random = random;
    }

    /** Runs some streams at each engine, and returns how many of them were lost. */
    run(streamsPerEngine: number): number {
        for (const engine of this.#engines.pauses.keys()) {
            for (let index = 0; index < streamsPerEngine; index += 1) {
                const stream = new SimulatedStream();
                this.#send(stream, engine);
                stream.attempts.forEach(attempt => {
                    attempt.workedMilliseconds = Math.floor(this.#random() * EVENT_GAP_MILLISECONDS);
                });
                this.#streams.push(stream);
            }
        }
        for (this.#now = 0; this.#now < END_MILLISECONDS; this.#now += STEP_MILLISECONDS) {
            const open = this.#streams.filter(({ outcome }) => outcome === "open");
            open.forEach(stream => this.#deliver(stream));
            open.forEach(stream => this.#decide(stream));
        }
        return this.#streams.filter(({ outcome }) => outcome !== "whole").length;
    }

    #send(stream: SimulatedStream, engine: string): void {
        stream.send(engine, this.#liveness.begin(engine, this.#now), this.#now);
    }

    /** Ends the attempts at a stream other than one; all where there is none. */
    #keepOnly(stream: SimulatedStream, kept?: SimulatedAttempt): void {
        const ended = stream.attempts.filter(attempt => attempt !== kept);
        ended.forEach(({ activity }) => activity.end());
        stream.attempts.splice(0, stream.attempts.length, ...kept === undefined ? [] : [kept]);
    }

    #isPaused(engine: string): boolean {
        const pauses = this.#engines.pauses.get(engine) ?? [];
        return pauses.some(({ fromMilliseconds, toMilliseconds }) =>
            fromMilliseconds <= this.#now && this.#now < toMilliseconds
        );
    }

    #deliver(stream: SimulatedStream): void {
        for (const attempt of [...stream.attempts]) {
            if (!stream.attempts.includes(attempt)) {
                continue;
            }
            if (this.#isPaused(attempt.engine)) {
                if (this.#engines.trickles && attempt.sentEvents > 0 && this.#random() < TRICKLE_SHARE) {
                    this.#deliverEvent(stream, attempt);
                }
                continue;
            }
            attempt.workedMilliseconds += STEP_MILLISECONDS;
            const due = this.#engines.firstEventMilliseconds + attempt.sentEvents * EVENT_GAP_MILLISECONDS;
            if (attempt.workedMilliseconds >= due) {
                this.#deliverEvent(stream, attempt);
            }
        }
        if (stream.outcome === "open" && this.#now - stream.eventAtMilliseconds >= CALLER_GAP_LIMIT_MILLISECONDS) {
            stream.outcome = "lost";
            this.#keepOnly(stream);
        }
    }

    #deliverEvent(stream: SimulatedStream, attempt: SimulatedAttempt): void {
        attempt.sentEvents += 1;
        attempt.activity.recordHeard(this.#now);
        this.#keepOnly(stream, attempt);
        stream.heardAtMilliseconds = this.#now;
        stream.eventAtMilliseconds = this.#now;
        stream.events += 1;
        if (stream.events === EVENTS) {
            stream.outcome = "whole";
            this.#keepOnly(stream);
        }
    }

    #decide(stream: SimulatedStream): void {
        if (stream.outcome !== "open" || this.#rule === "stay") {
            return;
        }
        const [first, hedge] = stream.attempts;
        if (first !== undefined && hedge !== undefined) {
            this.#decideOverlap(stream, first, hedge);
        }
        else if (first !== undefined && this.#now >= stream.checkAtMilliseconds) {
            this.#decideStall(stream, first);
        }
    }

    #decideStall(stream: SimulatedStream, first: SimulatedAttempt): void {
        const others = [...this.#engines.pauses.keys()].filter(engine => engine !== first.engine);
        const candidates = this.#rule === "timer" ? others : others.filter(each => this.#isAnswering(each));
        const alternative: Alternative = candidates.length > 0 ? "alive" : "unproven";
        const decision = decideStall({
            quietMilliseconds: this.#now - stream.heardAtMilliseconds,
            limitMilliseconds: STALL_LIMIT_MILLISECONDS,
            isBusy: false,
            alternative: () => stream.attemptCount < MAXIMUM_ATTEMPTS ? alternative : "none",
        });
        if (decision.type === "hedge") {
            this.#send(stream, candidates[Math.floor(this.#random() * candidates.length)] ?? "");
            return;
        }
        if (decision.type === "probe") {
            others.forEach(each => this.#probe(each));
        }
        stream.checkAtMilliseconds = this.#now + decision.milliseconds;
    }

    #decideOverlap(stream: SimulatedStream, first: SimulatedAttempt, hedge: SimulatedAttempt): void {
        const { isExclusive } = this.#engines;
        if (this.#now - hedge.sentAtMilliseconds < EXCLUSIVE_OVERLAP_MILLISECONDS) {
            this.#probe(hedge.engine);
            return;
        }
        if (this.#rule === "evidence" && !isExclusive) {
            return;
        }
        const decision = this.#rule === "timer"
            ? "cancel-stalled"
            : decideOverlap({ hasStallEnded: false, isHedgeAnswering: this.#hasAnswered(hedge) });
        if (decision === "cancel-stalled") {
            this.#keepOnly(stream, hedge);
        }
        else {
            this.#keepOnly(stream, first);
            stream.checkAtMilliseconds = this.#now + STALL_RECHECK_MILLISECONDS;
        }
    }

    #probe(engine: string): void {
        if (this.#engines.trickles || !this.#isPaused(engine)) {
            this.#liveness.recordProbeAnswered(engine, this.#now);
        }
    }

    #hasAnswered({ engine, sentAtMilliseconds }: SimulatedAttempt): boolean {
        return this.#liveness.hasRespondedSince(engine, sentAtMilliseconds)
            && !this.#liveness.isStalled(engine, this.#now);
    }

    #isAnswering(engine: string): boolean {
        return this.#liveness.isAnswering(engine, this.#now);
    }
}
