/**
 * Receives the answers of a request's attempts, and forwards the one that goes on to the caller.
 *
 * @module
 */
import { type AttemptFailure } from "../../forwarding/index.js";
import { freeBytes } from "../../memory/index.js";
import { type AnswerHead } from "../../transport/answers/index.js";
import { checkHead, isServerError, isSuccess } from "../_answerHead.js";
import { type AnswerPiece, isCopied } from "../pagePool.js";
import { type Attempt } from "./attempt.js";
import { type BufferingLimit } from "./bufferedAnswer.js";
import { type Hedging } from "./hedging.js";
import { leaveCall } from "./leftCall.js";
import { type RequestParts } from "./requestParts.js";

/** Options of {@linkcode AnswerReceiver}. */
export interface AnswerReceiverOptions {
    readonly parts: RequestParts;
    readonly hedging: () => Hedging;
    readonly isEnded: () => boolean;
    /** Returns whether the request may be retried, and another upstream could accept it now. */
    readonly canRetryElsewhere: (attempt: Attempt) => boolean;
    readonly onFailed: (attempt: Attempt, failure: AttemptFailure, detail: string) => void;
    /** The caller has been sent the whole answer. */
    readonly onAnswered: (outcome: string) => void;
}

/** Handles the head, the data and the end of upstreams' answers to one request. */
export class AnswerReceiver {
    readonly #options: AnswerReceiverOptions;
    readonly #parts: RequestParts;

    constructor(options: AnswerReceiverOptions) {
        this.#options = options;
        this.#parts = options.parts;
    }

    handleHead(attempt: Attempt, head: AnswerHead): void {
        const { answer, attempts, context, facts, request } = this.#parts;
        attempt.recordHeard();
        context.recordAnswerHead(attempt.upstream, head, attempt.sentAtMilliseconds);
        const failure = checkHead(head, {
            requestId: request.requestId,
            upstream: attempt.upstream.id,
            namesModel: facts.model !== undefined,
            answerBegun: answer.begun,
            mayRetryError: () => attempts.count > 1 || this.#options.canRetryElsewhere(attempt),
        }, context.headers);
        if (failure !== undefined) {
            this.#options.onFailed(attempt, failure, `status ${head.status}`);
            return;
        }
        attempt.head = head;
        if (facts.model !== undefined) {
            this.#options.hedging().keepOnly(attempt);
        }
    }

    handleData(attempt: Attempt, chunk: Buffer): void {
        if (attempt.head === undefined) {
            return;
        }
        attempt.recordHeard();
        if (!this.#isStream(attempt.head)) {
            this.#receiveBody(attempt, attempt.head, chunk);
            if (isCopied(chunk)) {
                freeBytes(chunk);
            }
            return;
        }
        const events = attempt.splitter.push(chunk);
        attempt.holdMemory();
        if (attempt.splitter.isTooLong) {
            this.#options.onFailed(attempt, "invalid-answer", "stream event exceeds the size limit");
            return;
        }
        if (events.count === 0) {
            return;
        }
        const { answer, progress, request } = this.#parts;
        this.#options.hedging().keepOnly(attempt);
        progress.recordEvents(attempt.upstream, events.lastIdentifier);
        const isFirst = answer.firstByteAtMilliseconds === undefined;
        const callerKeepsUp = answer.forwardEvents(attempt.head, events);
        if (isFirst) {
            this.#recordFirstByte(attempt);
            attempt.recordFirstToken();
        }
        attempt.recordEvents(request.route, events.count);
        if (!callerKeepsUp) {
            this.#pause(attempt);
        }
    }

    handleEnd(attempt: Attempt): void {
        const { head, splitter } = attempt;
        if (head === undefined) {
            this.#options.onFailed(attempt, "invalid-answer", "answer ended without a head");
            return;
        }
        if (this.#isStream(head) && splitter.unfinishedBytes > 0) {
            this.#options.onFailed(attempt, "connection-lost", "stream ended in the middle of an event");
            return;
        }
        this.#options.hedging().keepOnly(attempt);
        this.#recordHealth(attempt, head);
        if (isSuccess(head)) {
            attempt.recordAnswered();
            if (!this.#isStream(head)) {
                attempt.recordWholeAnswer();
            }
        }
        this.#finishAnswer(attempt, head);
        leaveCall(this.#parts, attempt);
        this.#options.onAnswered(isServerError(head) ? "upstream-failure" : "answered");
    }

    /** The caller reads again; what upstreams sent meanwhile was not received, so their silence begins anew. */
    handleDrain(): void {
        const callerKeepsUp = this.#parts.answer.handleDrain();
        if (!callerKeepsUp || this.#options.isEnded()) {
            return;
        }
        for (const attempt of this.#parts.attempts.list()) {
            attempt.recordHeard();
            attempt.resume();
        }
        this.#options.hedging().watch();
    }

    #isStream(head: AnswerHead): boolean {
        return this.#parts.request.route.kind === "event-stream" && isSuccess(head);
    }

    /**
     * Buffers an answer that is not a stream, so that a truncated one does not reach the caller in part. Where there is
     * no room for it, it is passed on as its caller reads it.
     */
    #receiveBody(attempt: Attempt, head: AnswerHead, chunk: Buffer): void {
        const { answer, context: { pages } } = this.#parts;
        if (answer.passedOnFor !== undefined) {
            this.#passOn(attempt, pages.store(chunk));
            return;
        }
        const limit = attempt.buffered.tryAdd(chunk);
        if (limit !== undefined) {
            this.#beginPassingOn(attempt, head, limit);
            this.#passOn(attempt, [...attempt.buffered.take(), ...pages.store(chunk)]);
        }
    }

    #beginPassingOn(attempt: Attempt, head: AnswerHead, limit: BufferingLimit): void {
        const { answer, context: { metrics } } = this.#parts;
        this.#options.hedging().keepOnly(attempt);
        metrics.count("answers_passed_on", { reason: limit });
        answer.beginPassingOn(head, limit);
        this.#recordFirstByte(attempt);
    }

    #passOn(attempt: Attempt, pieces: readonly AnswerPiece[]): void {
        if (!this.#parts.answer.passOn(pieces)) {
            this.#pause(attempt);
        }
    }

    /** Stops reading from an upstream until the caller has read. */
    #pause(attempt: Attempt): void {
        const { answer, context: { metrics }, request: { route } } = this.#parts;
        answer.recordPause();
        metrics.count("answer_pauses", { kind: route.kind });
        attempt.pause();
    }

    #recordHealth({ upstream }: Attempt, head: AnswerHead): void {
        const { health, readClock } = this.#parts.context;
        if (isServerError(head)) {
            health.recordFailure(upstream.id, readClock());
        }
        else {
            health.recordSuccess(upstream.id, readClock());
        }
    }

    #finishAnswer(attempt: Attempt, head: AnswerHead): void {
        const { answer, progress } = this.#parts;
        if (this.#isStream(head)) {
            this.#recordRun();
            progress.recordWhole();
            answer.endStream(head);
        }
        else if (answer.passedOnFor !== undefined) {
            answer.endPassingOn();
        }
        else {
            answer.forwardWhole(head, attempt.buffered.take());
            this.#recordFirstByte(attempt);
        }
    }

    #recordFirstByte({ sentAtMilliseconds, upstream }: Attempt): void {
        const { answer, context, request: { arrivedAtMilliseconds, route } } = this.#parts;
        const firstByteAtMilliseconds = answer.firstByteAtMilliseconds ?? context.readClock();
        const tookMilliseconds = firstByteAtMilliseconds - arrivedAtMilliseconds;
        context.admission.firstEvents.record(upstream.service, firstByteAtMilliseconds - sentAtMilliseconds);
        context.metrics.observe("first_byte_seconds", tookMilliseconds, { kind: route.kind });
    }

    /** Records how long an engine ran a stream; only for complete streams that took one attempt. */
    #recordRun(): void {
        const { answer: { firstByteAtMilliseconds }, attempts, context, facts } = this.#parts;
        if (firstByteAtMilliseconds !== undefined && attempts.sentCount === 1) {
            context.demand.recordRun(facts.work, context.readClock() - firstByteAtMilliseconds);
        }
    }
}
