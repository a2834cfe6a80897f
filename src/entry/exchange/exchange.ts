/**
 * Handles one caller's request from its arrival to its final answer.
 *
 * @module
 */
import { type QueueFacts } from "../../admission/index.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { describeThrown } from "../../observability/index.js";
import { hasCallerLeft } from "../connections/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type LookUpOutcome } from "../streamVersions.js";
import { AnswerReceiver } from "./answerReceiver.js";
import { type Attempt, expectedAnswerBytes } from "./attempt.js";
import { AttemptFailures } from "./attemptFailures.js";
import { AttemptSender } from "./attemptSender.js";
import { crashVerdict, logConviction } from "./crashVerdict.js";
import { type WaitingRequest } from "./dispatchInOrder.js";
import { DispatchTimer } from "./dispatchTimer.js";
import { OTHER_HOST_MILLISECONDS } from "./expectedCapacity.js";
import { type HedgeCancellation, Hedging } from "./hedging.js";
import { findKeyProblem } from "./keyProblem.js";
import { RequestEnding } from "./requestEnding.js";
import { type CallerRequest } from "./requestFacts.js";
import { createRequestParts, remainingMilliseconds, type RequestParts } from "./requestParts.js";
import { RequestWait } from "./requestWait.js";
import { isMemoryShort, MEMORY_CHECK_MILLISECONDS } from "./shortMemory.js";
import { type WaitingRank } from "./waitingRank.js";
import { WaitTime } from "./waitTime.js";

/** Callbacks from an exchange to its forwarder. */
export interface ExchangeListener {
    readonly onEnded: () => void;
    /** The request waits until an engine has prefilled the prompts that it was sent before. */
    readonly onPrefillWait: () => void;
}

function describeQuiet({ quietMilliseconds }: Attempt): string {
    return `nothing came for ${Math.round(quietMilliseconds)} ms`;
}

/** Forwards one request, with retries, and notifies the forwarder when it has ended. */
export class Exchange implements WaitingRequest {
    readonly #context: ForwardingContext;
    readonly #parts: RequestParts;
    readonly #hedging: Hedging;
    readonly #dispatchTimer: DispatchTimer;
    readonly #waitTime: WaitTime;
    readonly #wait: RequestWait;
    readonly #ending: RequestEnding;
    readonly #failures: AttemptFailures;
    readonly #receiver: AnswerReceiver;
    readonly #sender: AttemptSender;
    readonly #handleCallerClosed = (): void => this.#guard(() => this.#ending.handleCallerClosed());
    readonly #handleResponseClosed = (): void => {
        this.#handleCallerClosed();
        clearTimeout(this.#deadlineTimer);
    };
    /** Runs until the caller's connection has taken the answer. */
    #deadlineTimer: NodeJS.Timeout | undefined;
    /** State of the copies at the last dispatch, where there was none that could run the request. */
    #lackedCopiesAt: string | undefined;

    constructor(context: ForwardingContext, request: CallerRequest, listener: ExchangeListener) {
        this.#context = context;
        const parts = createRequestParts(context, request);
        const hedging = (): Hedging => this.#hedging;
        const dispatchTimer = new DispatchTimer({ acts: context.acts, dispatch: () => this.dispatch() });
        this.#dispatchTimer = dispatchTimer;
        this.#parts = parts;
        this.#waitTime = new WaitTime(parts);
        this.#ending = new RequestEnding({
            parts,
            hedging,
            close: outcome => this.#close(outcome),
            onEnded: () => listener.onEnded(),
        });
        this.#wait = new RequestWait({
            parts,
            time: this.#waitTime,
            dispatchTimer,
            refuse: (reason, expectedMilliseconds) => this.#ending.refuse(reason, expectedMilliseconds),
            onPrefillWait: () => listener.onPrefillWait(),
        });
        this.#failures = new AttemptFailures({ parts, hedging, ending: this.#ending, dispatchTimer });
        this.#receiver = new AnswerReceiver({
            parts,
            hedging,
            isEnded: () => this.#ending.ended,
            canRetryElsewhere: attempt => this.#failures.canRetryElsewhere(attempt),
            onFailed: (attempt, failure, detail) => this.#failures.handle(attempt, failure, detail),
            onAnswered: outcome => this.#ending.end(outcome),
        });
        this.#sender = new AttemptSender({
            parts,
            time: this.#waitTime,
            hedging,
            receiver: this.#receiver,
            isEnded: () => this.#ending.ended,
            guard: step => this.#guard(step),
            onFailed: (attempt, failure, detail) => this.#failures.handle(attempt, failure, detail),
            onCallerLeft: () => this.#ending.handleCallerClosed(),
            onOutOfTime: () => this.#ending.handleDeadline(),
        });
        this.#hedging = this.#createHedging();
    }

    #createHedging(): Hedging {
        const { attempts, facts, request: { response, route }, selection } = this.#parts;
        return new Hedging({
            context: this.#context,
            route,
            attempts,
            selection,
            isExclusive: facts.model !== undefined,
            guard: step => this.#guard(step),
            isReceiving: () => !this.#ending.ended && !response.writableNeedDrain,
            mayHedge: () => this.#failures.isHedgeAllowed() && findKeyProblem(this.#parts) === undefined,
            payForHedge: () => this.#context.budget.tryConsume(facts.service ?? "", this.#context.readClock()),
            send: upstream => this.#sendHedge(upstream),
            onGivenUp: attempt => this.#failures.handle(attempt, "silent", describeQuiet(attempt)),
            onHedgeCancelled: (hedge, reason) => this.#cancelHedge(hedge, reason),
        });
    }

    /** True while the request waits for an upstream, a model or an adapter. */
    get isWaiting(): boolean {
        return this.#waitTime.isWaiting;
    }

    /** Equal for requests that can go to the same upstreams; `undefined` for one that only its own dispatch decides. */
    get waitKey(): string | undefined {
        return this.#parts.place.waitKey;
    }

    get queueFacts(): QueueFacts {
        return this.#parts.place.queueFacts;
    }

    get slotsLeftFree(): number {
        return this.#parts.place.slotsLeftFree;
    }

    /** Requests of its group in front of it at the last pass over the waiting requests. */
    get passPosition(): number | undefined {
        return this.#parts.place.passPosition;
    }

    set passPosition(position: number | undefined) {
        this.#parts.place.passPosition = position;
    }

    /** True while no upstream holds what the request needs, and nothing has changed in this since its last dispatch. */
    get lacksCopies(): boolean {
        return this.#lackedCopiesAt !== undefined && this.#lackedCopiesAt === this.#parts.selection.copiesState;
    }

    get rank(): WaitingRank {
        return this.#parts.place.rank;
    }

    start(): void {
        this.#guard(() => this.#begin());
    }

    /** Sends the request to an upstream, or lets it wait; called again when what it waits for may be available. */
    dispatch(): void {
        this.#guard(() => this.#dispatch());
    }

    /** Ends the request because the host is stopping. */
    abort(): void {
        this.#guard(() => this.#ending.handleDeadline());
    }

    #begin(): void {
        const { arrivedAtMilliseconds, message, response } = this.#parts.request;
        const { model, promptTokens, service, work } = this.#parts.facts;
        response.on("close", this.#handleResponseClosed);
        message.socket.once("end", this.#handleCallerClosed);
        response.on("drain", () => this.#guard(() => this.#receiver.handleDrain()));
        this.#scheduleDeadline(Math.max(0, remainingMilliseconds(this.#parts)));
        if (service === undefined) {
            this.#ending.refuse("no-service");
            return;
        }
        if (remainingMilliseconds(this.#parts) <= 0) {
            this.#ending.refuseOutOfTime();
            return;
        }
        this.#context.budget.recordRequest(service, arrivedAtMilliseconds);
        if (model !== undefined) {
            const namesAdapter = this.#parts.facts.adapter !== undefined;
            this.#context.demand.add({ model, namesAdapter, promptTokens, work }, this.#context.readClock());
        }
        this.#startStream();
    }

    #scheduleDeadline(milliseconds: number): void {
        clearTimeout(this.#deadlineTimer);
        this.#deadlineTimer = setTimeout(
            () => this.#context.acts.runOrEnqueue(() => this.#guard(() => this.#handleDeadline())),
            milliseconds,
        );
    }

    #handleDeadline(): void {
        if (this.#ending.ended) {
            this.#limitDelivery();
        }
        else {
            this.#ending.handleDeadline();
        }
    }

    /** Cuts off an answer that its caller has not taken by its deadline, once memory is short. */
    #limitDelivery(): void {
        const { answer, context: { memory } } = this.#parts;
        if (answer.isClosed) {
            return;
        }
        if (isMemoryShort(memory)) {
            this.#ending.cutOffDelivery();
        }
        else {
            this.#scheduleDeadline(MEMORY_CHECK_MILLISECONDS);
        }
    }

    /** Sends the request, once the version is known that began the stream which it resumes. */
    #startStream(): void {
        switch (this.#parts.progress.start()) {
            case "ready":
                this.#wait.requestCopyOfVersion();
                this.#dispatch();
                break;
            case "look-up":
                this.#parts.progress.lookUp(outcome => this.#guard(() => this.#handleLookUp(outcome)));
                break;
            case "unavailable":
                this.#ending.refuse("version-unavailable", this.#parts.place.expectedCapacityMilliseconds);
                break;
            case "unknown":
                this.#ending.refuse("version-unknown");
        }
    }

    #handleLookUp(outcome: LookUpOutcome): void {
        if (this.#ending.ended) {
            return;
        }
        this.#parts.logger.info("stream version looked up", {
            resumes: this.#parts.facts.resumedRequest,
            outcome: outcome.type,
            ...outcome.type === "found" ? { version: outcome.version, source: outcome.source } : {},
            tookMilliseconds: Math.round(this.#context.readClock() - this.#parts.request.arrivedAtMilliseconds),
        });
        this.#startStream();
    }

    #dispatch(): void {
        if (this.#ending.ended || this.#parts.attempts.count > 0) {
            return;
        }
        this.#dispatchTimer.close();
        this.#lackedCopiesAt = undefined;
        if (hasCallerLeft(this.#parts.request)) {
            this.#ending.handleCallerClosed();
            return;
        }
        if (this.#context.isPartitioned()) {
            this.#ending.refuse("host-partitioned", OTHER_HOST_MILLISECONDS);
            return;
        }
        if (this.#isKeyRemoved() || this.#isHeldBack()) {
            return;
        }
        const { counts, progress, selection } = this.#parts;
        const usable = selection.usable();
        if (progress.boundVersion !== undefined && usable.length === 0) {
            this.#ending.refuse("version-gone");
            return;
        }
        const resident = usable.filter(upstream => selection.residencyAt(upstream) === "held");
        this.#lackedCopiesAt = resident.length === 0 ? selection.copiesState : undefined;
        const choice = selection.choose(resident, this.isWaiting);
        const chosen = choice.type === "send" ? this.#context.view.get(choice.upstream) : undefined;
        const limited = selection.awaitingPermit(resident);
        if (chosen !== undefined && !this.#hasRoomForAnswer()) {
            this.#ending.refuse("no-room-for-answer", OTHER_HOST_MILLISECONDS);
            return;
        }
        if (chosen !== undefined) {
            selection.requestFurtherCopy(chosen.id);
            this.#sender.send(chosen, limited[0]?.id);
            return;
        }
        this.#wait.updatePermitWait(limited);
        const pause = selection.shortestPause(resident);
        if (pause !== undefined) {
            this.#wait.waitForPause(pause);
            return;
        }
        const loadable = usable.filter(upstream => selection.residencyAt(upstream) === "adapter-missing");
        if (limited.length > 0 && choice.type === "none") {
            this.#wait.waitForPermit(loadable);
        }
        else if (loadable.length > 0 && (resident.length === 0 || choice.type === "none")) {
            this.#wait.waitForAdapter(loadable);
        }
        else if (choice.type === "all-full") {
            this.#wait.waitForCapacity("all-full");
        }
        else if (choice.type === "may-reject") {
            this.#wait.waitForSlot(resident);
        }
        else if (choice.type === "reading") {
            this.#wait.waitForPrefill();
        }
        else if (resident.length > 0 && counts.rejected + counts.mayHaveRun > 0) {
            this.#ending.refuse("no-upstream", this.#parts.place.expectedCapacityMilliseconds);
        }
        else if (resident.length > 0 || usable.length === 0) {
            this.#wait.waitOrRefuse("no-upstream");
        }
        else {
            this.#wait.waitForModel();
        }
    }

    /** Returns whether the answer has room; that of a request which was sent before keeps the room that it had. */
    #hasRoomForAnswer(): boolean {
        const { attempts, context: { memory }, request: { route } } = this.#parts;
        const bytes = expectedAnswerBytes(route);
        return bytes === 0 || attempts.sentCount > 0 || memory.hasRoomFor("calls", bytes);
    }

    /** Refuses a request whose key was removed while it waited; returns false for others. */
    #isKeyRemoved(): boolean {
        const problem = findKeyProblem(this.#parts);
        if (problem === undefined) {
            return false;
        }
        this.#ending.refuse(problem, problem === "unknown-key" ? undefined : OTHER_HOST_MILLISECONDS);
        return true;
    }

    /**
     * Refuses a request that crashes upstreams, and lets one wait that may do so and is not to be tried now; returns
     * false for others.
     */
    #isHeldBack(): boolean {
        const verdict = crashVerdict(this.#parts);
        this.#parts.place.isDoubted = verdict.type === "doubted";
        if (verdict.type === "refused") {
            logConviction(this.#parts, verdict);
            this.#ending.refuse("crashes-engines");
            return true;
        }
        if (verdict.type === "doubted") {
            this.#wait.waitForTrial(verdict.untilMilliseconds - this.#context.readClock());
            return true;
        }
        return false;
    }

    /** Runs a step so that an exception in it fails this request only, not the process. */
    #guard(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            this.#context.logger.error("request handling failed", {
                request: this.#parts.request.requestId,
                detail: describeThrown(error),
            });
            this.#ending.failBroken();
        }
    }

    #sendHedge(upstream: UpstreamAnnouncement): void {
        const stalled = this.#parts.attempts.last;
        this.#context.metrics.count("repeats", { reason: "silent" });
        this.#parts.logger.info("request hedged", {
            upstream: stalled?.upstream.id,
            attempt: stalled?.number,
            hedge: upstream.id,
            ...stalled === undefined ? {} : this.#parts.logger.describeSilence(stalled),
        });
        this.#sender.send(upstream, undefined);
    }

    #cancelHedge(hedge: Attempt, reason: HedgeCancellation): void {
        this.#parts.logger.info("hedge cancelled", {
            reason,
            upstream: hedge.upstream.id,
            attempt: hedge.number,
            ...this.#parts.logger.describeSilence(hedge),
        });
        this.#context.metrics.count("hedges_cancelled", { reason });
        this.#parts.counts.recordCancelled(hedge.call?.mayHaveSent !== false);
        this.#parts.attempts.cancel(hedge);
        this.#parts.progress.recordAttemptFailed();
        if (reason === "hedge-silent") {
            this.#hedging.recheck();
        }
        else {
            this.#hedging.watch();
        }
    }

    /** Ends the timers and the wait of a request that has ended, but for that of its answer's delivery. */
    #close(outcome: string): void {
        if (this.#parts.answer.isClosed) {
            clearTimeout(this.#deadlineTimer);
        }
        this.#parts.request.message.socket.removeListener("end", this.#handleCallerClosed);
        this.#hedging.close();
        this.#dispatchTimer.close();
        this.#waitTime.end(outcome);
        this.#parts.permitWait.cancel();
        this.#parts.answerMemory.expect(0);
    }
}
