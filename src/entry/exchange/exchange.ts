/**
 * Handles one caller's request from its arrival to its final answer.
 *
 * @module
 */
import { type Verdict } from "../../crashes/index.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import {
    type AttemptFailure,
    decideAfterAttempt,
    decideWithoutRetry,
    type FailedAttempt,
    maximumWaitMilliseconds,
    mayRunAgain,
    provesNotRun,
    type RepeatDecision,
    retryDelayMilliseconds,
} from "../../forwarding/index.js";
import { PermitWait } from "../../rateLimits/index.js";
import { checkHead, isServerError, isSuccess } from "../_answerHead.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type LookUpOutcome } from "../streamVersions.js";
import { type AnswerHead, callUpstream } from "../upstreamCall.js";
import { Attempt } from "./attempt.js";
import { CallerAnswer } from "./callerAnswer.js";
import { type FailureReason } from "./failureReason.js";
import { type HedgeCancellation, Hedging } from "./hedging.js";
import { outgoingHeaders } from "./outgoingHeaders.js";
import { type CallerRequest, readRequestFacts, type RequestFacts } from "./requestFacts.js";
import { describeLimit, usePermit } from "./requestPermits.js";
import { RunningAttempts } from "./runningAttempts.js";
import { StreamProgress } from "./streamProgress.js";
import { UpstreamSelection } from "./upstreamSelection.js";
import { type WaitingRank, waitingRank } from "./waitingRank.js";

/** Connecting within a region takes a few milliseconds, or a second if the first packet is lost. */
const CONNECT_TIMEOUT_MILLISECONDS = 350;

/** Expected time until an upstream that is full or unreachable accepts a request. */
const EXPECTED_CAPACITY_MILLISECONDS = 1_000;

/** Time after which a caller that this host cannot serve has the address of another host. */
export const OTHER_HOST_MILLISECONDS = 200;

/** Interval of a waiting request's dispatches, which repeat its adapter request since datagrams may be lost. */
const DISPATCH_RETRY_MILLISECONDS = 120;

/** Minimum delay before a request that an upstream rejected is sent again. */
const REJECTED_RETRY_DELAY_MILLISECONDS = 15;

/** Error code of a connection to an address at which nobody listens. */
const CONNECTION_REFUSED = "ECONNREFUSED";

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const MILLISECONDS_PER_SECOND = 1_000;

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
export class Exchange {
    readonly #context: ForwardingContext;
    readonly #request: CallerRequest;
    readonly #listener: ExchangeListener;
    readonly #facts: RequestFacts;
    readonly #selection: UpstreamSelection;
    readonly #answer: CallerAnswer;
    readonly #permitWait: PermitWait;
    readonly #progress: StreamProgress;
    #attemptsThatMayHaveRun = 0;
    #rejectedSends = 0;
    #attemptCount = 0;
    readonly #attempts = new RunningAttempts();
    readonly #hedging: Hedging;
    /** False once as many upstreams as allowed have rejected hedges of the request. */
    #mayHedge = true;
    #lastUpstream: string | undefined;
    #waitingSinceMilliseconds: number | undefined;
    /** True while the request waits for a copy of its model that another engine is loading. */
    #waitsForCopy = false;
    #hasRequestedCopy = false;
    /** True while the request waits since another one that may crash upstreams for the same reason is tried. */
    #isDoubted = false;
    #ended = false;
    #deadlineTimer: NodeJS.Timeout | undefined;
    #retryTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext, request: CallerRequest, listener: ExchangeListener) {
        this.#context = context;
        this.#request = request;
        this.#listener = listener;
        this.#facts = readRequestFacts(request, context.headers);
        this.#permitWait = new PermitWait({
            limiter: context.rateLimiting.limiter,
            onQueueChanged: () => context.rateLimiting.update(),
            readClock: () => context.readClock(),
            requestId: request.requestId,
            priority: request.route.priority,
        });
        this.#progress = new StreamProgress({ request, facts: this.#facts, versions: context.streamVersions });
        this.#selection = new UpstreamSelection(context, this.#facts, {
            permitRequest: () => this.#permitWait.request,
            allows: upstream => this.#progress.allows(upstream),
            isResumed: () => this.#progress.isBegun,
        });
        this.#hedging = this.#createHedging();
        this.#answer = new CallerAnswer({
            response: request.response,
            requestId: request.requestId,
            requestIdHeader: context.headers.requestId,
            isHead: request.message.method === "HEAD",
            closesConnections: () => context.closesConnections(),
            readClock: () => context.readClock(),
        });
    }

    #createHedging(): Hedging {
        const { response, route } = this.#request;
        return new Hedging({
            context: this.#context,
            route,
            attempts: this.#attempts,
            selection: this.#selection,
            isExclusive: this.#facts.model !== undefined,
            guard: step => this.#guard(step),
            isReceiving: () => !this.#ended && !response.writableNeedDrain,
            mayHedge: () => this.#isHedgeAllowed(),
            payForHedge: () => this.#context.budget.tryConsume(this.#facts.service ?? "", this.#now()),
            send: upstream => this.#sendHedge(upstream),
            onGivenUp: attempt => this.#attemptFailed(attempt, "silent", describeQuiet(attempt)),
            onHedgeCancelled: (hedge, reason) => this.#cancelHedge(hedge, reason),
        });
    }

    /** True while the request waits for an upstream, a model or an adapter. */
    get isWaiting(): boolean {
        return this.#waitingSinceMilliseconds !== undefined;
    }

    /**
     * Equal for requests that can go to the same upstreams; `undefined` once this one was sent, since the upstreams
     * that failed it are then excluded, while its own attributes hold it back, and until it is decided whether it should
     * wait for a permit.
     */
    get waitKey(): string | undefined {
        const { adapter, model, service } = this.#facts;
        const isOwn = this.#attemptCount > 0 || this.#isDoubted || this.#permitWait.isUndecided;
        return isOwn ? undefined : [service, model, adapter, this.#progress.version].join(" ");
    }

    get rank(): WaitingRank {
        const { arrivedAtMilliseconds, route } = this.#request;
        const isForPermit = this.#permitWait.upstream !== undefined;
        return waitingRank({
            route,
            arrivedAtMilliseconds,
            permitSinceMilliseconds: isForPermit ? this.#permitWait.request.sinceMilliseconds : undefined,
            isResumed: this.#progress.isBegun,
        }, this.#now());
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
        this.#guard(() => this.#handleDeadline());
    }

    #begin(): void {
        const { arrivedAtMilliseconds, response } = this.#request;
        const { model, promptTokens, service, work } = this.#facts;
        response.on("close", () => this.#guard(() => this.#handleCallerClosed()));
        response.on("drain", () => this.#guard(() => this.#handleDrain()));
        this.#deadlineTimer = setTimeout(() => this.abort(), Math.max(0, this.#remainingMilliseconds()));
        if (service === undefined) {
            this.#refuse("no-service");
            return;
        }
        if (this.#remainingMilliseconds() <= 0) {
            this.#refuse("out-of-time");
            return;
        }
        this.#context.budget.recordRequest(service, arrivedAtMilliseconds);
        if (model !== undefined) {
            const namesAdapter = this.#facts.adapter !== undefined;
            this.#context.demand.add({ model, namesAdapter, promptTokens, work }, this.#now());
        }
        this.#startStream();
    }

    /** Sends the request, once the version is known that began the stream which it resumes. */
    #startStream(): void {
        switch (this.#progress.start()) {
            case "ready":
                this.#dispatch();
                break;
            case "look-up":
                this.#progress.lookUp(outcome => this.#guard(() => this.#handleLookUp(outcome)));
                break;
            case "unavailable":
                this.#refuse("version-unavailable", EXPECTED_CAPACITY_MILLISECONDS);
                break;
            case "unknown":
                this.#refuse("version-unknown");
        }
    }

    #handleLookUp(outcome: LookUpOutcome): void {
        if (this.#ended) {
            return;
        }
        this.#log("stream version looked up", {
            resumes: this.#facts.resumedRequest,
            outcome: outcome.type,
            ...outcome.type === "found" ? { version: outcome.version, source: outcome.source } : {},
            tookMilliseconds: Math.round(this.#now() - this.#request.arrivedAtMilliseconds),
        });
        this.#startStream();
    }

    #dispatch(): void {
        if (this.#ended || this.#attempts.count > 0) {
            return;
        }
        clearTimeout(this.#retryTimer);
        if (this.#context.isPartitioned()) {
            this.#refuse("host-partitioned", OTHER_HOST_MILLISECONDS);
            return;
        }
        if (this.#isHeldBack()) {
            return;
        }
        const usable = this.#selection.usable();
        if (this.#progress.isBegun && usable.length === 0) {
            this.#refuse("version-gone");
            return;
        }
        const resident = usable.filter(upstream => this.#selection.residencyAt(upstream) === "held");
        const choice = this.#selection.choose(resident, this.isWaiting);
        const chosen = choice.type === "send" ? this.#context.view.get(choice.upstream) : undefined;
        const limited = this.#selection.awaitingPermit(resident);
        if (chosen !== undefined) {
            this.#selection.requestFurtherCopy(chosen.id);
            this.#send(chosen, limited[0]?.id);
            return;
        }
        this.#updatePermitWait(limited);
        const pause = this.#selection.shortestPause(resident);
        if (pause !== undefined) {
            this.#waitForPause(pause);
            return;
        }
        const loadable = usable.filter(upstream => this.#selection.residencyAt(upstream) === "adapter-missing");
        if (limited.length > 0 && choice.type === "none") {
            this.#waitForPermit(loadable);
        }
        else if (loadable.length > 0 && resident.length === 0) {
            this.#waitForAdapter(loadable);
        }
        else if (choice.type === "all-full") {
            this.#waitOrRefuse("all-full", EXPECTED_CAPACITY_MILLISECONDS);
        }
        else if (choice.type === "reading") {
            this.#waitForPrefill();
        }
        else if (resident.length > 0 && this.#rejectedSends + this.#attemptsThatMayHaveRun > 0) {
            this.#refuse("no-upstream", EXPECTED_CAPACITY_MILLISECONDS);
        }
        else if (resident.length > 0 || usable.length === 0) {
            this.#waitOrRefuse("no-upstream", EXPECTED_CAPACITY_MILLISECONDS);
        }
        else {
            this.#waitForModel();
        }
    }

    /**
     * Refuses a request that crashes upstreams, and lets one wait that may do so and is not to be tried now; returns
     * false for others.
     */
    #isHeldBack(): boolean {
        const verdict = this.#verdict();
        this.#isDoubted = verdict.type === "doubted";
        if (verdict.type === "refused") {
            this.#logConviction(verdict);
            this.#refuse("crashes-engines");
            return true;
        }
        if (verdict.type === "doubted") {
            this.#waitForTrial(verdict.untilMilliseconds - this.#now());
            return true;
        }
        return false;
    }

    /** An answer that has begun is not held up by a doubt. */
    #verdict(): Verdict {
        const verdict = this.#context.crashes.verdict(this.#facts.attributes, this.#now());
        return verdict.type === "doubted" && this.#answer.begun ? { type: "accepted" } : verdict;
    }

    #logConviction({ ageMilliseconds, attribute, crashes }: Extract<Verdict, { readonly type: "refused"; }>): void {
        this.#log("request has what crashes upstreams", {
            attribute,
            crashes,
            convictedAgeMilliseconds: Math.round(ageMilliseconds),
        });
    }

    /** Waits while a request with a suspected attribute in common is tried; refuses where that takes too long. */
    #waitForTrial(milliseconds: number): void {
        const remainingMilliseconds = this.#maximumWaitMilliseconds() - this.#ensureWaiting("crash-suspected");
        if (milliseconds > remainingMilliseconds) {
            this.#refuse("crash-suspected", milliseconds);
            return;
        }
        this.#scheduleDispatch(milliseconds);
    }

    #now(): number {
        return this.#context.readClock();
    }

    #remainingMilliseconds(): number {
        return this.#facts.deadlineAtMilliseconds - this.#now();
    }

    /** Waits for a permit of one of some upstreams; leaves permits to other requests where there are none. */
    #updatePermitWait(limited: readonly UpstreamAnnouncement[]): void {
        if (limited.length > 0) {
            this.#permitWait.begin(limited.map(({ id }) => id), this.#remainingWaitMilliseconds());
        }
        else {
            this.#permitWait.cancel();
        }
    }

    #waitForAdapter(loadable: readonly UpstreamAnnouncement[]): void {
        if (this.#waitOrRefuse("adapter-missing", EXPECTED_CAPACITY_MILLISECONDS)) {
            this.#selection.requestAdapter(loadable);
        }
    }

    /**
     * Waits for a permit, for the adapter on another engine or for a copy that is being loaded, whichever comes first;
     * refuses at once where none is expected in time.
     */
    #waitForPermit(loadable: readonly UpstreamAnnouncement[]): void {
        const elsewhere = this.#selection.withoutLimit(loadable);
        const expectedMilliseconds = this.#permitWait.expectedMilliseconds ?? EXPECTED_CAPACITY_MILLISECONDS;
        if (elsewhere.length > 0) {
            this.#waitForAdapter(elsewhere);
        }
        else if (this.#permitWait.isTooLate(this.#remainingWaitMilliseconds()) && !this.#isCopyArriving()) {
            this.#refuse("upstream-limit", expectedMilliseconds);
        }
        else {
            this.#waitOrRefuse("upstream-limit", expectedMilliseconds);
        }
    }

    /**
     * Returns whether another engine is loading the model, and should serve it within the request's maximum wait. The
     * latter is decided once: a load that takes longer than expected may end at any moment.
     */
    #isCopyArriving(): boolean {
        const arrivalMilliseconds = this.#selection.arrivingCopyMilliseconds() ?? Number.POSITIVE_INFINITY;
        const isInTime = this.#waitsForCopy || arrivalMilliseconds <= this.#remainingWaitMilliseconds();
        this.#waitsForCopy = Number.isFinite(arrivalMilliseconds) && isInTime;
        return this.#waitsForCopy;
    }

    /** Waits until the shortest requested pause ends, or refuses at once if that exceeds the remaining wait time. */
    #waitForPause(pauseMilliseconds: number): void {
        const remainingWaitMilliseconds = this.#maximumWaitMilliseconds() - this.#ensureWaiting("upstreams-pause");
        if (pauseMilliseconds > remainingWaitMilliseconds) {
            this.#refuse("upstreams-pause", pauseMilliseconds);
            return;
        }
        this.#scheduleDispatch(pauseMilliseconds);
    }

    /** Waits for engines to reduce their prefill backlog; the forwarder wakes the waiting requests in order. */
    #waitForPrefill(): void {
        if (this.#waitOrRefuse("prompts-unread", EXPECTED_CAPACITY_MILLISECONDS)) {
            this.#listener.onPrefillWait();
        }
    }

    /** Waits for a model that is expected in time; otherwise refuses, so that the caller retries once it is loaded. */
    #waitForModel(): void {
        this.#requestCopyOfVersion();
        const expectedMilliseconds = this.#selection.expectedModelMilliseconds();
        const remainingWaitMilliseconds = this.#maximumWaitMilliseconds() - this.#ensureWaiting("model-missing");
        if (expectedMilliseconds > remainingWaitMilliseconds) {
            this.#refuse("model-missing", expectedMilliseconds);
            return;
        }
        this.#scheduleDispatch();
    }

    /** Asks for a copy of the model at the version of a stream that goes on; copies at other versions are of no use. */
    #requestCopyOfVersion(): void {
        const { model, service } = this.#facts;
        const { version } = this.#progress;
        if (model !== undefined && service !== undefined && version !== undefined && !this.#hasRequestedCopy) {
            this.#hasRequestedCopy = true;
            this.#context.requestVersionCopy({ service, model, version });
        }
    }

    /** Refuses a request that exceeded its maximum wait, else keeps it waiting; returns whether it waits. */
    #waitOrRefuse(reason: FailureReason, expectedMilliseconds: number): boolean {
        const remainingMilliseconds = this.#maximumWaitMilliseconds() - this.#ensureWaiting(reason);
        if (remainingMilliseconds < 0) {
            this.#refuse(reason, expectedMilliseconds);
            return false;
        }
        this.#scheduleDispatch(remainingMilliseconds);
        return true;
    }

    #scheduleDispatch(milliseconds: number = DISPATCH_RETRY_MILLISECONDS): void {
        clearTimeout(this.#retryTimer);
        this.#retryTimer = setTimeout(() => this.dispatch(), Math.min(milliseconds, DISPATCH_RETRY_MILLISECONDS));
    }

    #maximumWaitMilliseconds(): number {
        const { arrivedAtMilliseconds, route } = this.#request;
        return maximumWaitMilliseconds(route, this.#facts.deadlineAtMilliseconds - arrivedAtMilliseconds);
    }

    /** Returns the time for which the request may still wait. */
    #remainingWaitMilliseconds(): number {
        const now = this.#now();
        return this.#maximumWaitMilliseconds() - (now - (this.#waitingSinceMilliseconds ?? now));
    }

    /** Starts the wait if the request was not waiting, and returns how long it has waited in milliseconds. */
    #ensureWaiting(reason: FailureReason): number {
        if (this.#waitingSinceMilliseconds === undefined) {
            this.#waitingSinceMilliseconds = this.#now();
            this.#log("request waits", {
                reason,
                longestMilliseconds: Math.round(this.#maximumWaitMilliseconds()),
                ...describeLimit(this.#context, this.#permitWait.upstream),
                ...this.#selection.describe(),
            });
        }
        return this.#now() - this.#waitingSinceMilliseconds;
    }

    #endWait(outcome: string): void {
        if (this.#waitingSinceMilliseconds !== undefined) {
            const waitedMilliseconds = this.#now() - this.#waitingSinceMilliseconds;
            this.#context.metrics.observe("residency_wait_seconds", waitedMilliseconds, { outcome });
            this.#waitingSinceMilliseconds = undefined;
        }
    }

    /** Sends the request; `passedOver` is an upstream that had no room within its rate limit. */
    #send(upstream: UpstreamAnnouncement, passedOver: string | undefined): void {
        this.#endWait("sent");
        usePermit(this.#context, { upstream, request: this.#permitWait.request, passedOver });
        this.#permitWait.cancel();
        this.#attemptCount += 1;
        const attempt = new Attempt({
            context: this.#context,
            facts: this.#facts,
            upstream,
            number: this.#attemptCount,
        });
        this.#attempts.add(attempt);
        this.#lastUpstream = upstream.id;
        this.#logSent(attempt, passedOver);
        const ifOpen = (step: () => void): void => {
            if (!this.#ended && this.#attempts.has(attempt)) {
                this.#guard(step);
            }
        };
        const { body, message } = this.#request;
        attempt.call = callUpstream({
            agent: this.#context.agentFor(upstream.service),
            address: upstream.address,
            method: message.method ?? "GET",
            path: message.url ?? "/",
            headers: this.#headersFor(upstream),
            body,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            onConnected: () => ifOpen(() => this.#hedging.handleConnected(attempt)),
            onHead: head => ifOpen(() => this.#handleHead(attempt, head)),
            onData: chunk => ifOpen(() => this.#handleData(attempt, chunk)),
            onEnd: () => ifOpen(() => this.#handleEnd(attempt)),
            onFailure: (failure, detail, code) =>
                ifOpen(() => {
                    attempt.wasConnectionRefused = code === CONNECTION_REFUSED;
                    this.#attemptFailed(attempt, failure, detail);
                }),
        });
        this.#hedging.watch();
    }

    #logSent(attempt: Attempt, passedOver: string | undefined): void {
        const { backlogTokens, load, number, upstream } = attempt;
        this.#log("request sent", {
            route: this.#request.route.name,
            upstream: upstream.id,
            upstreamVersion: upstream.softwareVersion,
            resumesAfter: this.#progress.lastEventId,
            resumes: this.#facts.resumedRequest,
            attempt: number,
            ...describeLimit(this.#context, passedOver),
            ...describeLimit(this.#context, upstream.id),
            load,
            unreadTokens: backlogTokens,
            boundTokens: this.#context.backlog.limitTokens,
            configurationVersion: this.#request.configurationVersion,
            remainingMilliseconds: Math.round(this.#remainingMilliseconds()),
            upstreamSilentMilliseconds: this.#upstreamSilentMilliseconds(attempt),
        });
    }

    /** Runs a step so that an exception in it fails this request only, not the process. */
    #guard(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            const detail = error instanceof Error ? error.stack : String(error);
            this.#context.logger.error("request handling failed", { request: this.#request.requestId, detail });
            this.#failBroken();
        }
    }

    /** Ends a request after an exception: fails it, or aborts its answer where one has begun. */
    #failBroken(): void {
        if (this.#ended) {
            return;
        }
        this.#releaseUpstreams();
        if (this.#answer.begun) {
            this.#abortAnswer("broken-invariant");
        }
        else {
            this.#fail(STATUS_BAD_GATEWAY, "broken-invariant");
        }
    }

    #headersFor(upstream: UpstreamAnnouncement): string[] {
        return outgoingHeaders(this.#request, this.#context.headers, {
            upstream,
            namesModel: this.#facts.model !== undefined,
            remainingMilliseconds: this.#remainingMilliseconds(),
            lastEventId: this.#progress.lastEventId,
        });
    }

    /** The caller reads again; what upstreams sent meanwhile was not received, so their silence begins anew. */
    #handleDrain(): void {
        if (this.#ended) {
            return;
        }
        for (const attempt of this.#attempts.list()) {
            attempt.recordHeard();
            attempt.call?.resume();
        }
        this.#hedging.watch();
    }

    /** Returns whether the request may run once more beside the attempts that run. */
    #isHedgeAllowed(): boolean {
        return this.#mayHedge
            && this.#attemptsThatMayHaveRun + this.#attempts.count < this.#request.route.maximumAttempts
            && this.#verdict().type === "accepted";
    }

    #sendHedge(upstream: UpstreamAnnouncement): void {
        const stalled = this.#attempts.last;
        this.#context.metrics.count("repeats", { reason: "silent" });
        this.#log("request hedged", {
            upstream: stalled?.upstream.id,
            attempt: stalled?.number,
            hedge: upstream.id,
            ...stalled === undefined ? {} : this.#describeSilence(stalled),
        });
        this.#send(upstream, undefined);
    }

    #cancelHedge(hedge: Attempt, reason: HedgeCancellation): void {
        this.#log("hedge cancelled", {
            reason,
            upstream: hedge.upstream.id,
            attempt: hedge.number,
            ...this.#describeSilence(hedge),
        });
        this.#context.metrics.count("hedges_cancelled", { reason });
        this.#attempts.cancel(hedge);
        this.#attemptsThatMayHaveRun += 1;
        this.#lastUpstream = this.#attempts.last?.upstream.id;
        this.#hedging.watch();
    }

    /** Returns log fields with the silence of an attempt, and that of its upstream towards all requests. */
    #describeSilence(attempt: Attempt): Readonly<Record<string, number | boolean | undefined>> {
        return {
            quietMilliseconds: Math.round(attempt.quietMilliseconds),
            upstreamSilentMilliseconds: this.#upstreamSilentMilliseconds(attempt),
            callerBlocks: this.#request.response.writableNeedDrain,
        };
    }

    /** Returns the time since the attempt's upstream was heard on any request; `undefined` where it never was. */
    #upstreamSilentMilliseconds({ upstream }: Attempt): number | undefined {
        const milliseconds = this.#context.liveness.silenceMilliseconds(upstream.id, this.#now());
        return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
    }

    /** Returns whether the request may be retried, and another upstream could accept it now. */
    #canRetryElsewhere({ upstream }: Attempt): boolean {
        const { route } = this.#request;
        return mayRunAgain(route.kind, route.resumable)
            && this.#attemptsThatMayHaveRun + this.#attempts.count < route.maximumAttempts
            && this.#context.budget.remaining(this.#facts.service ?? "", this.#now()) > 0
            && this.#selection.hasAlternative(new Set([upstream.id]));
    }

    #handleHead(attempt: Attempt, head: AnswerHead): void {
        attempt.recordHeard();
        this.#context.recordAnswerHead(attempt.upstream, head, attempt.sentAtMilliseconds);
        const failure = checkHead(head, {
            requestId: this.#request.requestId,
            upstream: attempt.upstream.id,
            namesModel: this.#facts.model !== undefined,
            answerBegun: this.#answer.begun,
            mayRetryError: () => this.#attempts.count > 1 || this.#canRetryElsewhere(attempt),
        }, this.#context.headers);
        if (failure !== undefined) {
            this.#attemptFailed(attempt, failure, `status ${head.status}`);
            return;
        }
        attempt.head = head;
        if (this.#facts.model !== undefined) {
            this.#hedging.keepOnly(attempt);
        }
    }

    #isStream(head: AnswerHead): boolean {
        return this.#request.route.kind === "event-stream" && isSuccess(head);
    }

    #handleData(attempt: Attempt, chunk: Buffer): void {
        if (attempt.head === undefined) {
            return;
        }
        attempt.recordHeard();
        if (!this.#isStream(attempt.head)) {
            this.#bufferAnswer(attempt, chunk);
            return;
        }
        const events = attempt.splitter.push(chunk);
        if (attempt.splitter.isTooLong) {
            this.#attemptFailed(attempt, "invalid-answer", "stream event exceeds the size limit");
            return;
        }
        if (events.count === 0) {
            return;
        }
        this.#hedging.keepOnly(attempt);
        this.#progress.recordEvents(attempt.upstream, events.lastIdentifier);
        const isFirst = this.#answer.firstByteAtMilliseconds === undefined;
        const callerKeepsUp = this.#answer.forwardEvents(attempt.head, events);
        if (isFirst) {
            this.#recordFirstByte();
            attempt.recordFirstToken();
        }
        attempt.recordEvents(this.#request.route);
        if (!callerKeepsUp) {
            attempt.call?.pause();
        }
    }

    /** Buffers an answer that is not a stream, so that a truncated one does not reach the caller in part. */
    #bufferAnswer(attempt: Attempt, chunk: Buffer): void {
        if (!attempt.buffer(chunk)) {
            this.#attemptFailed(
                attempt,
                "invalid-answer",
                `answer too large to buffer beyond ${attempt.heldBytes} bytes`,
            );
        }
    }

    #handleEnd(attempt: Attempt): void {
        const { head, splitter, upstream } = attempt;
        if (head === undefined) {
            this.#attemptFailed(attempt, "invalid-answer", "answer ended without a head");
            return;
        }
        if (this.#isStream(head) && splitter.unfinishedBytes > 0) {
            this.#attemptFailed(attempt, "connection-lost", "stream ended in the middle of an event");
            return;
        }
        this.#hedging.keepOnly(attempt);
        if (isServerError(head)) {
            this.#context.health.recordFailure(upstream.id, this.#now());
        }
        else {
            this.#context.health.recordSuccess(upstream.id, this.#now());
        }
        if (isSuccess(head)) {
            attempt.recordAnswered();
        }
        if (this.#isStream(head)) {
            this.#recordRun();
            this.#progress.recordWhole();
            this.#answer.endStream(head);
        }
        else {
            this.#answer.forwardWhole(head, attempt.bufferedAnswer());
            this.#recordFirstByte();
        }
        this.#attempts.release(attempt);
        this.#end(isServerError(head) ? "upstream-failure" : "answered");
    }

    #recordFirstByte(): void {
        const { arrivedAtMilliseconds, route } = this.#request;
        const tookMilliseconds = (this.#answer.firstByteAtMilliseconds ?? this.#now()) - arrivedAtMilliseconds;
        this.#context.metrics.observe("first_byte_seconds", tookMilliseconds, { kind: route.kind });
    }

    /** Records how long an engine ran a stream; only for complete streams that took one attempt. */
    #recordRun(): void {
        const firstByteAtMilliseconds = this.#answer.firstByteAtMilliseconds;
        if (firstByteAtMilliseconds !== undefined && this.#attemptCount === 1) {
            this.#context.demand.recordRun(this.#facts.work, this.#now() - firstByteAtMilliseconds);
        }
    }

    /** Cancels the attempts that run, and releases what they use. */
    #releaseUpstreams(): void {
        this.#hedging.close();
        this.#attempts.cancelAll();
    }

    #attemptFailed(attempt: Attempt, failure: AttemptFailure, detail: string): void {
        if (this.#ended || !this.#attempts.has(attempt)) {
            return;
        }
        const neverSent = failure === "silent" && attempt.call?.mayHaveSent === false;
        const provenFailure = neverSent ? "not-connected" : failure;
        if (provenFailure === "connection-lost") {
            attempt.recordLost();
        }
        const silence = this.#describeSilence(attempt);
        this.#attempts.cancel(attempt);
        if (attempt.recordFailure(provenFailure)) {
            this.#selection.recordTried(attempt.upstream.id);
        }
        const attemptState = this.#countFailedAttempt(provenFailure);
        const decision = decideAfterAttempt(attemptState);
        this.#context.metrics.count("attempt_failures", { reason: provenFailure });
        this.#log("attempt failed", {
            upstream: attempt.upstream.id,
            attempt: attempt.number,
            reason: provenFailure,
            detail,
            decision: this.#attempts.count === 0 ? decision.type : "go-on",
            sentBefore: this.#attemptsThatMayHaveRun,
            ...silence,
            answerBegun: this.#answer.begun,
            configurationVersion: this.#request.configurationVersion,
            ...provenFailure === "connection-lost" ? attempt.describeLoss() : {},
        });
        if (this.#attempts.count === 0) {
            this.#hedging.close();
            this.#applyDecision(decision, attemptState);
            return;
        }
        this.#lastUpstream = this.#attempts.last?.upstream.id;
        if (provenFailure !== "silent") {
            this.#mayHedge = decision.type === "repeat";
            this.#hedging.recheck();
        }
    }

    #countFailedAttempt(failure: AttemptFailure): FailedAttempt {
        if (!provesNotRun(failure)) {
            this.#attemptsThatMayHaveRun += 1;
        }
        else if (failure !== "not-connected") {
            this.#rejectedSends += 1;
        }
        const { kind, maximumAttempts, resumable } = this.#request.route;
        return {
            kind,
            resumable,
            failure,
            attemptsThatMayHaveRun: this.#attemptsThatMayHaveRun,
            rejectedSends: this.#rejectedSends,
            maximumAttempts,
            answerBegun: this.#answer.begun,
        };
    }

    #applyDecision(decision: RepeatDecision, attemptState: FailedAttempt): void {
        if (decision.type !== "repeat") {
            this.#abortRetries(decision, attemptState.failure);
            return;
        }
        const verdict = this.#verdict();
        if (verdict.type === "refused") {
            this.#logConviction(verdict);
            this.#abortRetries(decideWithoutRetry(attemptState), "crashes-engines");
            return;
        }
        const service = this.#facts.service ?? "";
        if (decision.drawsOnBudget && !this.#context.budget.tryConsume(service, this.#now())) {
            this.#context.metrics.count("repeats_denied", { service });
            this.#log("repeat denied", { service, reason: "budget" });
            this.#abortRetries(decideWithoutRetry(attemptState), "budget");
            return;
        }
        this.#context.metrics.count("repeats", { reason: attemptState.failure });
        const wasRejected = attemptState.failure === "not-resident" || attemptState.failure === "not-run";
        this.#retryTimer = setTimeout(() => this.dispatch(), wasRejected ? REJECTED_RETRY_DELAY_MILLISECONDS : 0);
    }

    #abortRetries(decision: RepeatDecision, reason: FailureReason): void {
        if (decision.type === "refuse") {
            this.#refuse(reason, reason === "crashes-engines" ? undefined : EXPECTED_CAPACITY_MILLISECONDS / 2);
        }
        else if (decision.type === "break-off") {
            this.#abortAnswer(reason);
        }
        else {
            this.#fail(STATUS_BAD_GATEWAY, reason);
        }
    }

    #handleDeadline(): void {
        if (this.#ended) {
            return;
        }
        const mayHaveRun = this.#attempts.mayHaveSent || this.#attemptsThatMayHaveRun > 0;
        this.#releaseUpstreams();
        if (this.#answer.begun) {
            this.#abortAnswer("out-of-time");
        }
        else if (mayHaveRun) {
            this.#fail(STATUS_GATEWAY_TIMEOUT, "out-of-time");
        }
        else {
            this.#refuse("out-of-time");
        }
    }

    /** Answers that the request has not run and never will, and after what time the caller should retry. */
    #refuse(reason: FailureReason, expectedMilliseconds?: number): void {
        if (this.#answer.begun) {
            this.#abortAnswer(reason);
            return;
        }
        if (this.#attemptsThatMayHaveRun > 0) {
            this.#fail(STATUS_BAD_GATEWAY, reason);
            return;
        }
        const retryAfterMilliseconds = expectedMilliseconds === undefined
            ? undefined
            : retryDelayMilliseconds(expectedMilliseconds, this.#remainingMilliseconds(), this.#context.random());
        this.#context.metrics.count("refusals", { reason });
        this.#log("request refused", {
            reason,
            expectedMilliseconds: expectedMilliseconds === undefined ? undefined : Math.round(expectedMilliseconds),
            retryAfterMilliseconds,
            ...describeLimit(this.#context, this.#permitWait.upstream),
            ...this.#selection.describe(),
        });
        const retryHeaders: Record<string, string> = retryAfterMilliseconds === undefined
            ? {}
            : { "retry-after": (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(2) };
        const body = JSON.stringify({ reason, ran: "not-run", retryAfterMilliseconds });
        this.#answer.sendHostAnswer(STATUS_UNAVAILABLE, retryHeaders, body);
        this.#end(`refused: ${reason}`);
    }

    /** Answers that the request failed and may have run. */
    #fail(status: number, reason: FailureReason): void {
        this.#context.metrics.count("failures", { reason });
        this.#answer.sendHostAnswer(status, {}, JSON.stringify({ reason, ran: "may-have-run" }));
        this.#end(`failed: ${reason}`);
    }

    /** Aborts an answer that has begun, so that the caller sees it as incomplete. */
    #abortAnswer(reason: FailureReason): void {
        this.#context.metrics.count("failures", { reason });
        this.#answer.abort();
        this.#end(`broken off: ${reason}`);
    }

    /**
     * Ends the request after its caller left. A non-idempotent one that may have reached the upstream is left to finish
     * there, since nobody gains from a partial execution.
     */
    #handleCallerClosed(): void {
        if (this.#ended) {
            this.#logUndelivered();
            return;
        }
        if (this.#request.route.kind === "non-idempotent") {
            this.#leaveToFinish();
        }
        this.#releaseUpstreams();
        this.#end("caller left");
    }

    /** Releases attempts that upstreams may have received, without cancelling them. */
    #leaveToFinish(): void {
        for (const attempt of this.#attempts.list()) {
            if (attempt.call?.mayHaveSent === true) {
                this.#attempts.release(attempt);
            }
        }
    }

    /** Logs an answer that was handed to the caller's connection and did not leave it whole. */
    #logUndelivered(): void {
        const { response } = this.#request;
        if (!response.writableFinished && !this.#answer.aborted) {
            this.#log("answer not delivered", {
                unsentBytes: response.writableLength,
                isLeaving: this.#context.isLeaving(),
            });
            this.#context.metrics.count("failures", { reason: "not-delivered" });
        }
    }

    #end(outcome: string): void {
        if (this.#ended) {
            return;
        }
        this.#ended = true;
        clearTimeout(this.#deadlineTimer);
        this.#hedging.close();
        clearTimeout(this.#retryTimer);
        this.#endWait(outcome);
        this.#permitWait.cancel();
        const { arrivedAtMilliseconds, route } = this.#request;
        const tookMilliseconds = this.#now() - arrivedAtMilliseconds;
        const firstByteAtMilliseconds = this.#answer.firstByteAtMilliseconds;
        const { events, longestGapMilliseconds } = this.#answer;
        this.#context.metrics.count("endings", { kind: route.kind, outcome });
        this.#context.metrics.observe("answer_seconds", tookMilliseconds, { kind: route.kind });
        this.#log("request ended", {
            route: route.name,
            outcome,
            upstream: this.#lastUpstream,
            attempts: this.#attemptCount,
            tookMilliseconds: Math.round(tookMilliseconds),
            firstByteMilliseconds: firstByteAtMilliseconds === undefined
                ? undefined
                : Math.round(firstByteAtMilliseconds - arrivedAtMilliseconds),
            ...events === 0 ? {} : { events, longestGapMilliseconds },
        });
        this.#listener.onEnded();
    }

    #log(message: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
        const { adapter, model } = this.#facts;
        this.#context.logger.info(message, { request: this.#request.requestId, model, adapter, ...fields });
    }
}
