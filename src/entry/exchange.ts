/**
 * One caller's request from its arrival to its final answer.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../fleet/index.js";
import {
    type AttemptFailure,
    type AttemptSituation,
    decideAfterAttempt,
    EventSplitter,
    giveUp,
    maximumWaitMilliseconds,
    mayRunAgain,
    provesNotRun,
    type RepeatDecision,
    retryDelayMilliseconds,
    StreamPace,
} from "../forwarding/index.js";
import { nameAdapter } from "../placement/index.js";
import { isServerError, isSuccess, judgeHead } from "./_answerHead.js";
import { CallerAnswer } from "./_callerAnswer.js";
import { passThroughHeaders } from "./_forwardedHeaders.js";
import { type CallerRequest, readRequestFacts, type RequestFacts } from "./_requestFacts.js";
import { incarnationOf } from "./_upstreamIncarnation.js";
import { UpstreamSelection } from "./_upstreamSelection.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { type AnswerHead, callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** A connection within a region stands within a few milliseconds; one whose first packet was lost takes a second. */
const CONNECT_TIMEOUT_MILLISECONDS = 350;

/** Callers abandon a stream after two seconds without an event, so a silent upstream is left before. */
const SILENT_STREAM_MILLISECONDS = 1_200;

/** An idempotent request that is silent for this many times its target is sent to another upstream. */
const SILENT_TARGETS = 3;

/** From this load on, as a share of its slots, an upstream may be silent because the request waits there. */
const BUSY_UPSTREAM_SHARE = 0.85;

/** Time until an upstream that is full, or cannot be reached, may take a request. */
const ROOM_MILLISECONDS = 1_000;

/** A waiting request looks again after this time, and repeats its wish for an adapter, since datagrams may be lost. */
const LOOK_AGAIN_MILLISECONDS = 120;

/** A rejected request is sent again after this time at the earliest. */
const REJECTED_PAUSE_MILLISECONDS = 15;

/** Engines know ten urgencies, 0 first. */
const LEAST_URGENT = 9;

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const MILLISECONDS_PER_SECOND = 1_000;

/** Why a request is refused as not run, or given up. */
type GiveUpReason =
    | AttemptFailure
    | "no-upstream"
    | "all-full"
    | "prompts-unread"
    | "upstreams-pause"
    | "adapter-missing"
    | "model-missing"
    | "crashes-engines"
    | "out-of-time"
    | "no-service"
    | "broken-invariant"
    | "budget";

/** Where a request stands among those that wait: urgent ones first, and of these those that can be in time. */
export type WaitingRank = readonly [priority: number, late: number, arrivedAtMilliseconds: number];

/** One attempt on an upstream. */
interface Attempt {
    readonly number: number;
    readonly upstream: UpstreamAnnouncement;
    readonly splitter: EventSplitter;
    readonly pace: StreamPace;
    readonly pieces: Buffer[];
    heldBytes: number;
    /** What its upstream had to read then, its own prompt included; `undefined` where it may wait for more than that. */
    firstTokenAfter: { readonly unreadTokens: number; readonly sentAtMilliseconds: number; } | undefined;
    call: UpstreamCall | undefined;
    head: AnswerHead | undefined;
}

/** What the forwarder is told of a request. */
export interface ExchangeListener {
    readonly onEnded: () => void;
    /** It waits until an engine has read the prompts that it was sent before. */
    readonly onReading: () => void;
}

/** Carries one request; the forwarder is told when it has ended. */
export class Exchange {
    readonly #context: ForwardingContext;
    readonly #request: CallerRequest;
    readonly #told: ExchangeListener;
    readonly #facts: RequestFacts;
    readonly #options: UpstreamSelection;
    readonly #answer: CallerAnswer;
    #lastEventId: string | undefined;
    #attemptsThatMayHaveRun = 0;
    #rejectedSends = 0;
    #sends = 0;
    #attempt: Attempt | undefined;
    #lastUpstream: string | undefined;
    #waitsSinceMilliseconds: number | undefined;
    #ended = false;
    #deadlineTimer: NodeJS.Timeout | undefined;
    #silenceTimer: NodeJS.Timeout | undefined;
    #retryTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext, request: CallerRequest, told: ExchangeListener) {
        this.#context = context;
        this.#request = request;
        this.#told = told;
        this.#facts = readRequestFacts(request, context.headers);
        this.#options = new UpstreamSelection(context, this.#facts);
        this.#lastEventId = this.#facts.lastEventId;
        this.#answer = new CallerAnswer({
            response: request.response,
            requestId: request.requestId,
            requestIdHeader: context.headers.requestId,
            isHead: request.message.method === "HEAD",
            isLeaving: () => context.isLeaving(),
            readClock: () => context.readClock(),
        });
    }

    /** True while the request waits for an upstream, a model or an adapter. */
    get waits(): boolean {
        return this.#waitsSinceMilliseconds !== undefined;
    }

    /** Requests that need the same wait for the same upstreams; `undefined` once an upstream has failed this one. */
    get need(): string | undefined {
        const { adapter, model, service } = this.#facts;
        return this.#sends > 0 ? undefined : [service, model, adapter].join(" ");
    }

    get rank(): WaitingRank {
        const { arrivedAtMilliseconds, route } = this.#request;
        const late = this.#now() - arrivedAtMilliseconds > route.targetLatencyMilliseconds;
        return [route.priority, late ? 1 : 0, arrivedAtMilliseconds];
    }

    start(): void {
        const { arrivedAtMilliseconds, response } = this.#request;
        const { fingerprint, model, promptTokens, service, work } = this.#facts;
        response.on("close", () => this.#callerClosed());
        response.on("drain", () => this.#attempt?.call?.resume());
        this.#deadlineTimer = setTimeout(() => this.#outOfTime(), Math.max(0, this.#remaining()));
        if (service === undefined) {
            this.#refuse("no-service");
            return;
        }
        this.#context.budget.recordRequest(service, arrivedAtMilliseconds);
        if (model !== undefined) {
            const namesAdapter = this.#facts.adapter !== undefined;
            this.#context.demand.add({ model, namesAdapter, promptTokens, work }, this.#now());
        }
        if (this.#context.suspects.isRefused(fingerprint)) {
            this.#refuse("crashes-engines");
            return;
        }
        this.dispatch();
    }

    /** Looks for an upstream; called again when what the request waits for may have come. */
    dispatch(): void {
        if (this.#ended || this.#attempt !== undefined) {
            return;
        }
        clearTimeout(this.#retryTimer);
        const usable = this.#options.usable();
        const resident = usable.filter(upstream => this.#options.residencyAt(upstream) === "held");
        const choice = this.#options.choose(resident, this.waits);
        const chosen = choice.type === "send" ? this.#context.view.get(choice.upstream) : undefined;
        if (chosen !== undefined) {
            this.#options.requestFurtherCopy(chosen.id);
            this.#send(chosen);
            return;
        }
        const pause = this.#options.shortestPause(resident);
        if (pause !== undefined) {
            this.#waitForPause(pause);
            return;
        }
        const loadable = usable.filter(upstream => this.#options.residencyAt(upstream) === "adapter-missing");
        if (loadable.length > 0 && resident.length === 0) {
            this.#waitForAdapter(loadable);
        }
        else if (choice.type === "all-full") {
            this.#waitOrRefuse("all-full", ROOM_MILLISECONDS);
        }
        else if (choice.type === "reading") {
            this.#waitForReading();
        }
        else if (resident.length > 0 && this.#rejectedSends + this.#attemptsThatMayHaveRun > 0) {
            this.#refuse("no-upstream", ROOM_MILLISECONDS);
        }
        else if (resident.length > 0 || usable.length === 0) {
            this.#waitOrRefuse("no-upstream", ROOM_MILLISECONDS);
        }
        else {
            this.#waitForModel();
        }
    }

    /** Ends the request because the host stops. */
    abort(): void {
        if (!this.#ended) {
            this.#outOfTime();
        }
    }

    #now(): number {
        return this.#context.readClock();
    }

    #remaining(): number {
        return this.#facts.deadlineAtMilliseconds - this.#now();
    }

    #waitForAdapter(loadable: readonly UpstreamAnnouncement[]): void {
        if (this.#waitOrRefuse("adapter-missing", ROOM_MILLISECONDS)) {
            this.#options.requestAdapter(loadable);
        }
    }

    /** All upstreams want nothing for a while: a request waits where that ends in time, and is refused at once otherwise. */
    #waitForPause(pauseMilliseconds: number): void {
        const left = this.#longestWait() - this.#waited("upstreams-pause");
        if (pauseMilliseconds > left) {
            this.#refuse("upstreams-pause", pauseMilliseconds);
            return;
        }
        this.#lookAgain(pauseMilliseconds);
    }

    /** The engine has read the prompts before within moments; the forwarder lets those that wait go in order. */
    #waitForReading(): void {
        if (this.#waitOrRefuse("prompts-unread", ROOM_MILLISECONDS)) {
            this.#told.onReading();
        }
    }

    /** A request waits for a model that comes in time; otherwise its caller comes back when the model is there. */
    #waitForModel(): void {
        const expected = this.#options.expectedModelMilliseconds();
        const left = this.#longestWait() - this.#waited("model-missing");
        if (expected > left) {
            this.#refuse("model-missing", expected);
            return;
        }
        this.#lookAgain();
    }

    /** Waits on, or refuses the request where it has waited for long enough; tells whether it waits. */
    #waitOrRefuse(reason: GiveUpReason, expectedMilliseconds: number): boolean {
        if (this.#waited(reason) > this.#longestWait()) {
            this.#refuse(reason, expectedMilliseconds);
            return false;
        }
        this.#lookAgain();
        return true;
    }

    #lookAgain(milliseconds: number = LOOK_AGAIN_MILLISECONDS): void {
        clearTimeout(this.#retryTimer);
        this.#retryTimer = setTimeout(() => this.dispatch(), Math.min(milliseconds, LOOK_AGAIN_MILLISECONDS));
    }

    #longestWait(): number {
        const { arrivedAtMilliseconds, route } = this.#request;
        return maximumWaitMilliseconds(route, this.#facts.deadlineAtMilliseconds - arrivedAtMilliseconds);
    }

    /** Gives how long the request has waited; its wait begins here where it has not begun. */
    #waited(reason: GiveUpReason): number {
        if (this.#waitsSinceMilliseconds === undefined) {
            this.#waitsSinceMilliseconds = this.#now();
            this.#log("request waits", {
                reason,
                longestMilliseconds: Math.round(this.#longestWait()),
                ...this.#options.describe(),
            });
        }
        return this.#now() - this.#waitsSinceMilliseconds;
    }

    #endWait(outcome: string): void {
        if (this.#waitsSinceMilliseconds !== undefined) {
            const waited = this.#now() - this.#waitsSinceMilliseconds;
            this.#context.metrics.observe("residency_wait_seconds", waited, { outcome });
            this.#waitsSinceMilliseconds = undefined;
        }
    }

    #send(upstream: UpstreamAnnouncement): void {
        this.#endWait("sent");
        this.#sends += 1;
        const attempt: Attempt = {
            number: this.#sends,
            upstream,
            splitter: new EventSplitter(),
            pace: new StreamPace(),
            pieces: [],
            heldBytes: 0,
            firstTokenAfter: undefined,
            call: undefined,
            head: undefined,
        };
        this.#attempt = attempt;
        this.#lastUpstream = upstream.id;
        this.#noteSent(attempt);
        const ifCurrent = (step: () => void): void => {
            if (this.#attempt === attempt && !this.#ended) {
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
            onHead: head => ifCurrent(() => this.#takeHead(attempt, head)),
            onData: piece => ifCurrent(() => this.#takeData(attempt, piece)),
            onEnd: () => ifCurrent(() => this.#takeEnd(attempt)),
            onFailure: (failure, detail) => ifCurrent(() => this.#attemptFailed(attempt, failure, detail)),
        });
        this.#watchSilence(attempt);
    }

    /** Books the request at its upstream, and tells those who need to know. */
    #noteSent(attempt: Attempt): void {
        const { number, upstream } = attempt;
        const { adapterUse, backlog, loads, metrics, prompts } = this.#context;
        const { adapter, model, promptTokens, sharedPrompt } = this.#facts;
        loads.started(upstream.id);
        backlog.recordSent(upstream.id, promptTokens, this.#now());
        const unreadTokens = Math.round(backlog.backlogTokens(upstream.id, this.#now()));
        const load = loads.estimate(upstream.id, this.#now());
        if (load / Math.max(1, upstream.slots) < BUSY_UPSTREAM_SHARE) {
            attempt.firstTokenAfter = { unreadTokens, sentAtMilliseconds: this.#now() };
        }
        metrics.count("attempts", { service: upstream.service });
        if (sharedPrompt !== undefined) {
            prompts.record(upstream.id, sharedPrompt);
        }
        if (model !== undefined) {
            this.#context.publishRequestSent(upstream.id, promptTokens);
        }
        if (adapter !== undefined) {
            const name = nameAdapter(model ?? "", adapter);
            if (adapterUse.begin(upstream.id, name)) {
                this.#context.reportAdapterUse(upstream.id, name, true);
            }
        }
        this.#log("request sent", {
            route: this.#request.route.name,
            upstream: upstream.id,
            attempt: number,
            load,
            unreadTokens,
            boundTokens: backlog.boundTokens,
            configurationVersion: this.#request.configurationVersion,
            remainingMilliseconds: Math.round(this.#remaining()),
        });
    }

    /** A broken invariant ends this request alone. */
    #guard(step: () => void): void {
        try {
            step();
        }
        catch (error) {
            const detail = error instanceof Error ? error.stack : String(error);
            this.#context.logger.error("request handling failed", { request: this.#request.requestId, detail });
            this.#breakOff("broken-invariant");
        }
    }

    #headersFor(upstream: UpstreamAnnouncement): string[] {
        const names = this.#context.headers;
        const { body, message, route } = this.#request;
        const replaced = new Set([
            ...names.reserved,
            names.expectedUpstream,
            names.deadline,
            names.priority,
            names.lastEventId,
            "content-length",
        ]);
        const headers = passThroughHeaders(message.rawHeaders, replaced);
        headers.push(names.expectedUpstream, upstream.id);
        headers.push(names.deadline, String(Math.max(1, Math.floor(this.#remaining()))));
        if (this.#facts.model !== undefined) {
            headers.push(names.priority, String(Math.min(LEAST_URGENT, route.priority)));
        }
        if (this.#lastEventId !== undefined) {
            headers.push(names.lastEventId, this.#lastEventId);
        }
        const hadLength = message.headers["content-length"] !== undefined;
        if (body.length > 0 || hadLength || message.method === "POST") {
            headers.push("content-length", String(body.length));
        }
        return headers;
    }

    /** An upstream that shows no sign of life is left, where the request may run again. */
    #watchSilence(attempt: Attempt): void {
        clearTimeout(this.#silenceTimer);
        const { route } = this.#request;
        if (!mayRunAgain(route.kind, route.resumable)) {
            return;
        }
        const limit = route.kind === "event-stream"
            ? SILENT_STREAM_MILLISECONDS
            : route.targetLatencyMilliseconds * SILENT_TARGETS;
        this.#silenceTimer = setTimeout(() => this.#noteSilence(attempt, limit), limit);
    }

    /** Behind a full upstream a request waits its turn, and without another upstream there is nothing to gain. */
    #noteSilence(attempt: Attempt, limitMilliseconds: number): void {
        const waitsItsTurn = this.#options.loadShare(attempt.upstream.id) >= BUSY_UPSTREAM_SHARE;
        if (waitsItsTurn || !this.#mayMove(attempt)) {
            this.#watchSilence(attempt);
            return;
        }
        this.#attemptFailed(attempt, "silent", `nothing came for ${limitMilliseconds} ms`);
    }

    /** Tells whether the request may run on another upstream, and could now. */
    #mayMove({ upstream }: Attempt): boolean {
        const { route } = this.#request;
        return mayRunAgain(route.kind, route.resumable)
            && this.#attemptsThatMayHaveRun + 1 < route.maximumAttempts
            && this.#context.budget.remaining(this.#facts.service ?? "", this.#now()) > 0
            && this.#options.hasOther(upstream.id);
    }

    #takeHead(attempt: Attempt, head: AnswerHead): void {
        this.#context.recordAnswerHead(attempt.upstream, head);
        const failure = judgeHead(head, {
            requestId: this.#request.requestId,
            upstream: attempt.upstream.id,
            namesModel: this.#facts.model !== undefined,
            answerBegun: this.#answer.begun,
            mayRepeatError: () => this.#mayMove(attempt),
        }, this.#context.headers);
        if (failure !== undefined) {
            this.#attemptFailed(attempt, failure, `status ${head.status}`);
            return;
        }
        attempt.head = head;
        this.#watchSilence(attempt);
    }

    #isStream(head: AnswerHead): boolean {
        return this.#request.route.kind === "event-stream" && isSuccess(head);
    }

    #takeData(attempt: Attempt, piece: Buffer): void {
        if (attempt.head === undefined) {
            return;
        }
        this.#watchSilence(attempt);
        if (!this.#isStream(attempt.head)) {
            this.#hold(attempt, piece);
            return;
        }
        const events = attempt.splitter.push(piece);
        if (attempt.splitter.isEndless) {
            this.#attemptFailed(attempt, "invalid-answer", "an event without an end");
            return;
        }
        if (events.count === 0) {
            return;
        }
        this.#lastEventId = events.lastIdentifier ?? this.#lastEventId;
        const isFirst = this.#answer.firstByteAtMilliseconds === undefined;
        const readsOn = this.#answer.passEvents(attempt.head, events);
        if (isFirst) {
            this.#noteFirstByte();
            this.#noteFirstToken(attempt);
        }
        this.#notePace(attempt);
        if (!readsOn) {
            attempt.call?.pause();
        }
    }

    /** Gathers an answer, so that one which is cut does not reach the caller in part. */
    #hold(attempt: Attempt, piece: Buffer): void {
        if (!this.#context.heldBytes.tryHold(piece.length, attempt.heldBytes)) {
            this.#attemptFailed(attempt, "invalid-answer", `an answer of more than ${attempt.heldBytes} bytes`);
            return;
        }
        attempt.heldBytes += piece.length;
        attempt.pieces.push(piece);
    }

    #takeEnd(attempt: Attempt): void {
        const { head, splitter, upstream } = attempt;
        if (head === undefined) {
            this.#attemptFailed(attempt, "invalid-answer", "an answer without a head");
            return;
        }
        if (this.#isStream(head) && splitter.unfinishedBytes > 0) {
            this.#attemptFailed(attempt, "connection-lost", "the stream ended within an event");
            return;
        }
        if (isServerError(head)) {
            this.#context.health.recordFailure(upstream.id, this.#now());
        }
        else {
            this.#context.health.recordSuccess(upstream.id, this.#now());
        }
        if (this.#isStream(head)) {
            this.#noteRun();
            this.#answer.endStream(head);
        }
        else {
            this.#answer.passWhole(head, Buffer.concat(attempt.pieces));
            this.#noteFirstByte();
        }
        this.#release();
        this.#end(isServerError(head) ? "upstream-failure" : "answered");
    }

    #noteFirstByte(): void {
        const { arrivedAtMilliseconds, route } = this.#request;
        const waited = (this.#answer.firstByteAtMilliseconds ?? this.#now()) - arrivedAtMilliseconds;
        this.#context.metrics.observe("first_byte_seconds", waited, { kind: route.kind });
    }

    /** The first token of a stream tells how fast engines read. */
    #noteFirstToken({ firstTokenAfter }: Attempt): void {
        if (firstTokenAfter !== undefined) {
            const { sentAtMilliseconds, unreadTokens } = firstTokenAfter;
            const tookMilliseconds = this.#now() - sentAtMilliseconds;
            this.#context.demand.recordFirstToken({ prefillTokens: unreadTokens, tookMilliseconds });
        }
    }

    /** A whole stream tells how long engines take for the work of a request. */
    #noteRun(): void {
        const firstByteAt = this.#answer.firstByteAtMilliseconds;
        if (firstByteAt !== undefined && this.#sends === 1) {
            this.#context.demand.recordRun(this.#facts.work, this.#now() - firstByteAt);
        }
    }

    /** Pauses of a stream tell how many prompts its engine bears. */
    #notePace({ pace, upstream }: Attempt): void {
        const now = this.#now();
        const part = pace.noteEvents(now);
        const acceptedPauseMilliseconds = this.#request.route.targetGapMilliseconds;
        if (part !== undefined && acceptedPauseMilliseconds !== undefined) {
            this.#context.backlog.recordStreamPart(upstream.id, { ...part, acceptedPauseMilliseconds }, now);
        }
    }

    /** Takes the request off its upstream's books. */
    #release(): void {
        clearTimeout(this.#silenceTimer);
        this.#context.heldBytes.release(this.#attempt?.heldBytes ?? 0);
        const upstream = this.#attempt?.upstream.id;
        this.#attempt = undefined;
        if (upstream === undefined) {
            return;
        }
        this.#context.loads.finished(upstream);
        const { adapter, model } = this.#facts;
        if (adapter !== undefined) {
            const name = nameAdapter(model ?? "", adapter);
            if (this.#context.adapterUse.end(upstream, name)) {
                this.#context.reportAdapterUse(upstream, name, false);
            }
        }
    }

    #attemptFailed(attempt: Attempt, failure: AttemptFailure, detail: string): void {
        if (this.#attempt !== attempt || this.#ended) {
            return;
        }
        const neverSent = failure === "silent" && attempt.call?.mayHaveSent === false;
        const proved = neverSent ? "not-connected" : failure;
        attempt.call?.cancel();
        this.#release();
        this.#noteFailure(proved, attempt.upstream);
        const situation = this.#situationAfter(proved);
        const decision = decideAfterAttempt(situation);
        this.#context.metrics.count("attempt_failures", { reason: proved });
        this.#log("attempt failed", {
            upstream: attempt.upstream.id,
            attempt: attempt.number,
            reason: proved,
            detail,
            decision: decision.type,
            sentBefore: this.#attemptsThatMayHaveRun,
        });
        this.#follow(decision, situation);
    }

    #situationAfter(failure: AttemptFailure): AttemptSituation {
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

    /** Books what the failure says of the upstream. */
    #noteFailure(failure: AttemptFailure, upstream: UpstreamAnnouncement): void {
        const { health, residency, suspects } = this.#context;
        const { adapter, fingerprint, model } = this.#facts;
        const now = this.#now();
        switch (failure) {
            case "not-connected":
                health.recordUnreachable(upstream.id, now);
                this.#context.recordUnreachable(upstream.id);
                return;
            case "not-resident":
                residency.recordAbsent(upstream.id, model ?? "", adapter);
                this.#context.recordModelAbsent(upstream.id, model ?? "");
                return;
            case "misdirected":
                health.recordUnreachable(upstream.id, now);
                break;
            case "not-run":
                break;
            case "connection-lost":
                suspects.recordLostRequest(fingerprint, incarnationOf(upstream), now);
                health.recordFailure(upstream.id, now);
                break;
            default:
                health.recordFailure(upstream.id, now);
        }
        this.#options.recordTried(upstream.id);
    }

    #follow(decision: RepeatDecision, situation: AttemptSituation): void {
        if (decision.type !== "repeat") {
            this.#giveUp(decision, situation.failure);
            return;
        }
        const service = this.#facts.service ?? "";
        if (decision.drawsOnBudget && !this.#context.budget.tryTake(service, this.#now())) {
            this.#context.metrics.count("repeats_denied", { service });
            this.#log("repeat denied", { service, reason: "budget" });
            this.#giveUp(giveUp(situation), "budget");
            return;
        }
        this.#context.metrics.count("repeats", { reason: situation.failure });
        if (this.#context.suspects.isRefused(this.#facts.fingerprint)) {
            this.#giveUp(giveUp(situation), "crashes-engines");
            return;
        }
        const wasRejected = situation.failure === "not-resident" || situation.failure === "not-run";
        this.#retryTimer = setTimeout(() => this.dispatch(), wasRejected ? REJECTED_PAUSE_MILLISECONDS : 0);
    }

    #giveUp(decision: RepeatDecision, reason: GiveUpReason): void {
        if (decision.type === "refuse") {
            this.#refuse(reason, reason === "crashes-engines" ? undefined : ROOM_MILLISECONDS / 2);
        }
        else if (decision.type === "break-off") {
            this.#breakOff(reason);
        }
        else {
            this.#fail(STATUS_BAD_GATEWAY, reason);
        }
    }

    #outOfTime(): void {
        if (this.#ended) {
            return;
        }
        const call = this.#attempt?.call;
        const mayHaveRun = call?.mayHaveSent === true || this.#attemptsThatMayHaveRun > 0;
        call?.cancel();
        this.#release();
        if (this.#answer.begun) {
            this.#breakOff("out-of-time");
        }
        else if (mayHaveRun) {
            this.#fail(STATUS_GATEWAY_TIMEOUT, "out-of-time");
        }
        else {
            this.#refuse("out-of-time");
        }
    }

    /** Says that the request has not run and never will, and when to come back. */
    #refuse(reason: GiveUpReason, expectedMilliseconds?: number): void {
        if (this.#answer.begun) {
            this.#breakOff(reason);
            return;
        }
        if (this.#attemptsThatMayHaveRun > 0) {
            this.#fail(STATUS_BAD_GATEWAY, reason);
            return;
        }
        const retryAfterMilliseconds = expectedMilliseconds === undefined
            ? undefined
            : retryDelayMilliseconds(expectedMilliseconds, this.#remaining(), this.#context.random());
        this.#context.metrics.count("refusals", { reason });
        this.#log("request refused", {
            reason,
            expectedMilliseconds: expectedMilliseconds === undefined ? undefined : Math.round(expectedMilliseconds),
            retryAfterMilliseconds,
            ...this.#options.describe(),
        });
        const later: Record<string, string> = retryAfterMilliseconds === undefined
            ? {}
            : { "retry-after": (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(2) };
        const body = JSON.stringify({ reason, ran: "not-run", retryAfterMilliseconds });
        this.#answer.giveOwn(STATUS_UNAVAILABLE, later, body);
        this.#end(`refused: ${reason}`);
    }

    /** Says that the request failed, without a promise. */
    #fail(status: number, reason: GiveUpReason): void {
        this.#context.metrics.count("failures", { reason });
        this.#answer.giveOwn(status, {}, JSON.stringify({ reason, ran: "may-have-run" }));
        this.#end(`failed: ${reason}`);
    }

    /** Ends an answer that has begun so that it does not look complete. */
    #breakOff(reason: GiveUpReason): void {
        this.#context.metrics.count("failures", { reason });
        this.#answer.breakOff();
        this.#end(`broken off: ${reason}`);
    }

    /** What may run once is left to its upstream: ending it half-way would help nobody. */
    #callerClosed(): void {
        if (this.#ended) {
            return;
        }
        const call = this.#attempt?.call;
        if (this.#request.route.kind !== "non-idempotent" || call?.mayHaveSent !== true) {
            call?.cancel();
        }
        this.#release();
        this.#end("caller left");
    }

    #end(outcome: string): void {
        if (this.#ended) {
            return;
        }
        this.#ended = true;
        clearTimeout(this.#deadlineTimer);
        clearTimeout(this.#silenceTimer);
        clearTimeout(this.#retryTimer);
        this.#endWait(outcome);
        const { arrivedAtMilliseconds, route } = this.#request;
        const took = this.#now() - arrivedAtMilliseconds;
        const firstByteAt = this.#answer.firstByteAtMilliseconds;
        const { events, longestGapMilliseconds } = this.#answer;
        this.#context.metrics.count("endings", { kind: route.kind, outcome });
        this.#context.metrics.observe("answer_seconds", took, { kind: route.kind });
        this.#log("request ended", {
            route: route.name,
            outcome,
            upstream: this.#lastUpstream,
            attempts: this.#sends,
            tookMilliseconds: Math.round(took),
            firstByteMilliseconds: firstByteAt === undefined
                ? undefined
                : Math.round(firstByteAt - arrivedAtMilliseconds),
            ...events === 0 ? {} : { events, longestGapMilliseconds },
        });
        this.#told.onEnded();
    }

    #log(message: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
        const { adapter, model } = this.#facts;
        this.#context.logger.info(message, { request: this.#request.requestId, model, adapter, ...fields });
    }
}
