/**
 * One attempt to have a request answered by an upstream.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type AttemptFailure, EventSplitter, StreamPace } from "../../forwarding/index.js";
import { type RequestActivity } from "../../hedging/index.js";
import { type ExpectedMemory, type MemoryReservation } from "../../memory/index.js";
import { nameAdapter } from "../../placement/index.js";
import { type UpstreamUse } from "../../rateLimits/index.js";
import { type Route } from "../../routes/index.js";
import { type AnswerHead } from "../../transport/answers/index.js";
import { incarnationOf } from "../_upstreamIncarnation.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type UpstreamCall } from "../upstreamCall.js";
import { BufferedAnswer } from "./bufferedAnswer.js";
import { type RequestFacts } from "./requestFacts.js";

/** Load per slot from which an upstream may be silent only because the request is queued there. */
export const BUSY_LOAD_SHARE = 0.85;

/** An answer that has gone on for this long shows that its upstream did not crash when it began it. */
const ANSWERING_MILLISECONDS = 100;

/** Minimum number of events after a stream's first from which the pace of its upstream is taken. */
const PACE_EVENTS = 3;

/** What one read of a connection brings at most. */
const READ_BYTES = 64 * 1024;

/** What a connection that is not read on may have read already. */
const PAUSED_CONNECTION_BYTES = READ_BYTES;

/** Reads of a connection before it pauses: one that is passed on, one for the answer's stream, one for the socket's. */
const READS_BEFORE_PAUSE = 3;

/**
 * Returns what the answer of a call may take whether there is room for it or not. Streams come in small pieces, and are
 * counted as they come.
 */
export function expectedAnswerBytes({ kind }: Pick<Route, "kind">): number {
    return kind === "event-stream" ? 0 : READS_BEFORE_PAUSE * READ_BYTES;
}

/** Prefill backlog of an engine, with a request's own prompt, at the moment at which the request was sent. */
interface PrefillStart {
    readonly backlogTokens: number;
    readonly sentAtMilliseconds: number;
}

/** Options of {@linkcode Attempt}. */
export interface AttemptOptions {
    readonly context: ForwardingContext;
    readonly facts: RequestFacts;
    readonly upstream: UpstreamAnnouncement;
    readonly answerMemory: ExpectedMemory;
    /** Counts the attempts of a request, from 1. */
    readonly number: number;
}

/** An attempt: its call, what was received of its answer, and the slot and adapter that it uses until it is released. */
export class Attempt {
    readonly upstream: UpstreamAnnouncement;
    readonly number: number;
    readonly splitter = new EventSplitter();
    /** What was received of an answer that is not a stream. */
    readonly buffered: BufferedAnswer;
    readonly sentAtMilliseconds: number;
    /** Requests at the upstream when this one was sent, itself included. */
    readonly load: number;
    readonly backlogTokens: number;
    call: UpstreamCall | undefined;
    head: AnswerHead | undefined;
    /** True where nobody listened at the upstream's address. */
    wasConnectionRefused = false;
    readonly #context: ForwardingContext;
    readonly #facts: RequestFacts;
    readonly #pace = new StreamPace();
    /** Holds the unfinished event of a stream, and what a paused connection has read. */
    readonly #reservation: MemoryReservation;
    /** `undefined` where the upstream was busy, since the first token may then have waited for more than prefill. */
    readonly #prefillStart: PrefillStart | undefined;
    readonly #activity: RequestActivity;
    #heardAtMilliseconds: number;
    /** How long work took at the upstream when the request was sent, relative to the usual of its service. */
    readonly #slowdown: number;
    #isPaused = false;
    #firstEventAtMilliseconds: number | undefined;
    #lastEventAtMilliseconds = 0;
    #eventCount = 0;
    /** True once reading paused for the caller, so that the times of events say nothing of the upstream. */
    #wasPaused = false;
    /** True while the request may still crash the upstream, as far as is known. */
    #isOnTrial = true;
    #released = false;

    /** Counts the request at its upstream, and reports it to peers and to the engine's holder. */
    constructor({ answerMemory, context, facts, number, upstream }: AttemptOptions) {
        this.#context = context;
        this.#facts = facts;
        this.upstream = upstream;
        this.number = number;
        this.buffered = new BufferedAnswer({
            memory: context.memory,
            pages: context.pages,
            reservation: answerMemory.begin("answers"),
        });
        this.#reservation = answerMemory.begin("answers");
        const now = context.readClock();
        this.sentAtMilliseconds = now;
        this.#heardAtMilliseconds = now;
        this.#slowdown = context.speeds.slowdown(upstream.id, now);
        context.recordSent(facts.attributes);
        context.rejectionBounds.recordSent(this.#use(now), now);
        context.loads.recordStarted(upstream.id);
        context.memoryUse.recordStarted({
            engine: upstream.id,
            service: upstream.service,
            tokens: facts.totalTokens,
            outputTokens: Math.max(0, facts.totalTokens - facts.promptTokens),
        });
        context.contact.recordSent(upstream.id, now);
        this.#activity = context.liveness.begin(upstream.id, now);
        const isLong = context.promptSizes.isLong(upstream.service, facts.promptTokens);
        context.promptSizes.record(upstream.service, facts.promptTokens);
        context.backlog.recordSent(upstream.id, facts.promptTokens, now, isLong);
        this.backlogTokens = Math.round(context.backlog.backlogTokens(upstream.id, now));
        this.load = context.loads.estimate(upstream.id, now);
        const isBusy = this.load / Math.max(1, upstream.slots) >= BUSY_LOAD_SHARE;
        this.#prefillStart = isBusy ? undefined : { backlogTokens: this.backlogTokens, sentAtMilliseconds: now };
        this.#recordSent();
    }

    /** Time since a byte was last received, or since the request was sent. */
    get quietMilliseconds(): number {
        return this.#context.readClock() - this.#heardAtMilliseconds;
    }

    /**
     * Time in which the upstream probably reads the prompt, and those that it was sent before; 0 where this is not known
     * yet, and once the answer has begun.
     */
    get readingMilliseconds(): number {
        const { prefillTokensPerMillisecond } = this.#context.demand;
        const isReading = this.#facts.model !== undefined && this.#firstEventAtMilliseconds === undefined;
        return isReading && prefillTokensPerMillisecond !== undefined
            ? this.backlogTokens / prefillTokensPerMillisecond * this.#slowdown
            : 0;
    }

    /** Records that bytes were received. */
    recordHeard(): void {
        this.#heardAtMilliseconds = this.#context.readClock();
        this.#context.contact.recordHeard(this.#heardAtMilliseconds);
        this.#activity.recordHeard(this.#heardAtMilliseconds);
    }

    /** Stops reading the answer; has no effect while it is not read. */
    pause(): void {
        if (!this.#isPaused) {
            this.#isPaused = true;
            this.#wasPaused = true;
            this.call?.pause();
            this.holdMemory();
        }
    }

    /** Reads the answer on; has no effect while it is read. */
    resume(): void {
        if (this.#isPaused) {
            this.#isPaused = false;
            this.call?.resume();
            this.holdMemory();
        }
    }

    /** Reserves the memory that the unfinished event of a stream and a paused connection take now. */
    holdMemory(): void {
        const pausedBytes = this.#isPaused ? PAUSED_CONNECTION_BYTES : 0;
        this.#reservation.release();
        this.#reservation.reserve(this.splitter.heldBytes + pausedBytes);
    }

    /** Records the time to a stream's first token, from which prefill throughput is estimated. */
    recordFirstToken(): void {
        if (this.#prefillStart !== undefined) {
            const { sentAtMilliseconds, backlogTokens } = this.#prefillStart;
            const tookMilliseconds = this.#context.readClock() - sentAtMilliseconds;
            this.#context.demand.recordFirstToken({ prefillTokens: backlogTokens, tookMilliseconds });
            this.#recordForecast(backlogTokens, tookMilliseconds);
        }
    }

    /** Records events of a stream, and the gaps between them, from which the limit of prefill backlogs is adjusted. */
    recordEvents({ targetGapMilliseconds }: Route, count: number): void {
        const now = this.#context.readClock();
        if (this.#firstEventAtMilliseconds === undefined) {
            this.#firstEventAtMilliseconds = now;
        }
        else {
            this.#eventCount += count;
        }
        this.#lastEventAtMilliseconds = now;
        if (now - this.#firstEventAtMilliseconds >= ANSWERING_MILLISECONDS) {
            this.recordAnswered();
        }
        const part = this.#pace.recordEvents(now);
        if (part !== undefined && targetGapMilliseconds !== undefined) {
            const observed = { ...part, acceptedGapMilliseconds: targetGapMilliseconds };
            this.#context.backlog.recordStreamPart(this.upstream.id, observed, now);
        }
    }

    /** Records the time to a whole answer that is not a stream, from which the upstream's usual speed is estimated. */
    recordWholeAnswer(): void {
        if (this.#prefillStart !== undefined && !this.#wasPaused) {
            this.#context.speeds.recordPace(this.upstream.id, {
                measure: `${this.upstream.service} whole`,
                millisecondsPerUnit: (this.#context.readClock() - this.sentAtMilliseconds) / this.#facts.work,
            });
        }
    }

    /** Records that the answer has gone on for a while, or is complete: its request has not crashed the upstream. */
    recordAnswered(): void {
        if (this.#isOnTrial) {
            this.#isOnTrial = false;
            this.#context.recordAnswered(this.#facts.attributes, this.upstream);
        }
    }

    /** Records that the connection was lost; the request may have crashed the upstream unless its answer went on. */
    recordLost(): void {
        if (this.#isOnTrial) {
            this.#isOnTrial = false;
            this.#context.recordLost(this.#facts.attributes, this.upstream);
        }
    }

    /**
     * Records what a failure of the attempt implies about the upstream's health and models.
     *
     * @returns Whether the request should not be sent to this upstream again.
     */
    recordFailure(failure: AttemptFailure): boolean {
        const { health, residency } = this.#context;
        const { adapter, model = "" } = this.#facts;
        const { id } = this.upstream;
        const now = this.#context.readClock();
        switch (failure) {
            case "not-connected":
                health.recordUnreachable(id, now);
                this.#context.recordUnreachable(id, this.wasConnectionRefused);
                return false;
            case "withdrawn":
                return false;
            case "not-resident":
                residency.recordAbsent(id, model, adapter);
                this.#context.recordModelAbsent(id, model);
                return false;
            case "misdirected":
                health.recordUnreachable(id, now);
                return true;
            case "not-run":
                this.#context.rejectionBounds.recordRejected(this.#use(now), now);
                return true;
            default:
                health.recordFailure(id, now);
                return true;
        }
    }

    /** Returns log fields with what a lost request may have in common with others that crash upstreams. */
    describeLoss(): Readonly<Record<string, string | boolean>> {
        const { fingerprint, parts } = this.#facts.attributes;
        return {
            incarnation: incarnationOf(this.upstream),
            fingerprint,
            promptParts: parts.join(","),
            upstreamHadBegun: this.#firstEventAtMilliseconds !== undefined,
        };
    }

    /** Releases the upstream's slot, the use of its adapter and the memory; has no effect a second time. */
    release(): void {
        if (this.#released) {
            return;
        }
        this.#released = true;
        this.buffered.release();
        this.#reservation.release();
        this.#context.loads.recordFinished(this.upstream.id);
        this.#context.memoryUse.recordFinished({ engine: this.upstream.id, tokens: this.#facts.totalTokens });
        this.#recordStreamPace();
        this.#context.rejectionBounds.recordEnded(this.upstream.id, this.#context.readClock());
        this.#activity.end();
        if (this.#isOnTrial) {
            this.#context.crashes.recordEnded(this.#facts.attributes);
        }
        const name = this.#adapterName();
        if (name !== undefined && this.#context.adapterUse.end(this.upstream.id, name)) {
            this.#context.reportAdapterUse(this.upstream.id, name, false);
        }
    }

    /** Ends the call without a callback, and releases what it uses. */
    cancel(): void {
        this.call?.cancel();
        this.release();
    }

    #use(nowMilliseconds: number): UpstreamUse {
        const { loads } = this.#context;
        const { id, service, slots } = this.upstream;
        const requests = loads.estimate(id, nowMilliseconds);
        return { id, service, slots, ownRequests: loads.inFlight(id), requests };
    }

    #recordForecast(backlogTokens: number, tookMilliseconds: number): void {
        const { demand: { prefillTokensPerMillisecond }, forecast, speeds } = this.#context;
        const { id, service } = this.upstream;
        if (prefillTokensPerMillisecond !== undefined && speeds.isReporting(id, service)) {
            const predictedMilliseconds = backlogTokens / prefillTokensPerMillisecond * this.#slowdown;
            forecast.record({ predictedMilliseconds, tookMilliseconds });
        }
    }

    /** Records how long a stream's events took after the first, from which the upstream's usual speed is estimated. */
    #recordStreamPace(): void {
        if (this.#firstEventAtMilliseconds === undefined || this.#eventCount < PACE_EVENTS || this.#wasPaused) {
            return;
        }
        const tookMilliseconds = this.#lastEventAtMilliseconds - this.#firstEventAtMilliseconds;
        this.#context.speeds.recordPace(this.upstream.id, {
            measure: `${this.upstream.service} stream`,
            millisecondsPerUnit: tookMilliseconds / this.#eventCount,
        });
    }

    #recordSent(): void {
        const { adapterUse, metrics, prompts } = this.#context;
        const { model, promptTokens, sharedPrompt } = this.#facts;
        metrics.count("attempts", { service: this.upstream.service });
        if (sharedPrompt !== undefined) {
            prompts.record(this.upstream.id, sharedPrompt);
        }
        if (model !== undefined) {
            this.#context.publishRequestSent(this.upstream.id, promptTokens);
        }
        const name = this.#adapterName();
        if (name !== undefined && adapterUse.begin(this.upstream.id, name)) {
            this.#context.reportAdapterUse(this.upstream.id, name, true);
        }
    }

    #adapterName(): string | undefined {
        const { adapter, model } = this.#facts;
        return adapter === undefined ? undefined : nameAdapter(model ?? "", adapter);
    }
}
