/**
 * One caller's request from its arrival to its final answer.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import {
    type AttemptFailure,
    type AttemptSituation,
    type Candidate,
    chooseUpstream,
    decideAfterAttempt,
    EventSplitter,
    giveUpRepeat,
    lastSharedPart,
    longestWait,
    mayRunAgain,
    provesNotRun,
    type RepeatDecision,
    type ReportedLoad,
    returnAfter,
} from "../forwarding/index.js";
import { rankAdapterHomes } from "../placement/index.js";
import { chooseService, type Route } from "../routes/index.js";
import { passThroughHeaders } from "./_forwardedHeaders.js";
import { promptTokensOf, workOf } from "./demandMeter.js";
import { type ForwardingContext } from "./forwardingContext.js";
import { type AnswerHead, callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** A connection within a region stands within a few milliseconds; one whose first packet was lost takes a second. */
const CONNECT_TIMEOUT_MILLISECONDS = 350;

/** Callers abandon a stream after two seconds without an event, so a silent upstream is left before. */
const SILENT_STREAM_MILLISECONDS = 1_200;

/** From this load on, as a share of its slots, an upstream may be silent because the request waits there. */
const BUSY_UPSTREAM_SHARE = 0.85;

/** An idempotent request that is silent for this many times its target is sent to another upstream. */
const SILENT_TARGETS = 3;

/** Time until a model that nobody loads yet may be there. */
const ABSENT_MODEL_MILLISECONDS = 2_500;

/** Time until an upstream that is full, or cannot be reached, may take a request. */
const ROOM_MILLISECONDS = 1_000;

/** A wish for an adapter is repeated after this time, since datagrams may be lost. */
const WISH_INTERVAL_MILLISECONDS = 120;

/** A rejected request is sent again after this time at the earliest. */
const REJECTED_PAUSE_MILLISECONDS = 15;

/** Load, as a share of its slots, from which an adapter is wanted on a further engine too. */
const BUSY_ADAPTER_SHARE = 0.5;

const STATUS_OK_FIRST = 200;
const STATUS_OK_LAST = 299;
const STATUS_MISDIRECTED = 421;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;
const MILLISECONDS_PER_SECOND = 1_000;
const FINGERPRINT_DIGITS = 24;

/** A whole request as read from a caller. */
export interface CallerRequest {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly requestId: string;
    readonly route: Route;
    readonly arrivedAtMilliseconds: number;
    readonly configurationVersion: number;
}

interface BufferedAnswer {
    readonly head: AnswerHead;
    readonly pieces: Buffer[];
}

interface WaitState {
    readonly sinceMilliseconds: number;
    wishedAtMilliseconds: number;
}

/** Why a request is refused as not run, or given up. */
type RefusalReason =
    | AttemptFailure
    | "no-upstream"
    | "all-full"
    | "adapter-missing"
    | "model-missing"
    | "crashes-engines"
    | "out-of-time"
    | "no-service"
    | "broken-invariant"
    | "budget";

/** Carries one request; created by the forwarder, which is told when it has ended. */
export class Exchange {
    readonly #context: ForwardingContext;
    readonly #request: CallerRequest;
    readonly #onEnded: () => void;
    readonly #tried = new Set<string>();
    readonly #deadlineAt: number;
    readonly #model: string | undefined;
    readonly #adapter: string | undefined;
    readonly #prompt: string | undefined;
    readonly #fingerprint: string;
    readonly #service: string | undefined;
    #mayHaveRun = 0;
    #rejected = 0;
    #attempt = 0;
    #call: UpstreamCall | undefined;
    #upstream: UpstreamAnnouncement | undefined;
    #answer: BufferedAnswer | undefined;
    #splitter = new EventSplitter();
    #lastEventId: string | undefined;
    #headSent = false;
    #firstByteAt: number | undefined;
    #lastEventsAt: number | undefined;
    #events = 0;
    #longestGapMilliseconds = 0;
    #wait: WaitState | undefined;
    #ended = false;
    #deadlineTimer: NodeJS.Timeout | undefined;
    #silenceTimer: NodeJS.Timeout | undefined;
    #retryTimer: NodeJS.Timeout | undefined;

    constructor(context: ForwardingContext, request: CallerRequest, onEnded: () => void) {
        this.#context = context;
        this.#request = request;
        this.#onEnded = onEnded;
        const { headers } = context;
        const asked = Number(this.#header(headers.deadline));
        const callerLimit = Number.isFinite(asked) && asked > 0 ? asked : Number.POSITIVE_INFINITY;
        this.#deadlineAt = request.arrivedAtMilliseconds + Math.min(callerLimit, request.route.timeoutMilliseconds);
        const wanted = this.#header(headers.model);
        const slash = wanted?.indexOf("/") ?? -1;
        this.#model = slash === -1 ? wanted : wanted?.slice(0, slash);
        this.#adapter = slash === -1 ? undefined : wanted?.slice(slash + 1);
        this.#prompt = lastSharedPart(this.#header(headers.promptParts));
        this.#lastEventId = this.#header(headers.lastEventId);
        this.#service = chooseService(request.route, request.requestId);
        this.#fingerprint = createHash("sha1").update(request.message.url ?? "").update("\0").update(request.body)
            .digest("hex").slice(0, FINGERPRINT_DIGITS);
    }

    /** True while the request waits for an upstream, a model or an adapter. */
    get waits(): boolean {
        return this.#wait !== undefined;
    }

    /** Where the request stands among those that wait: urgent ones first, and of these those that can be in time. */
    get rank(): readonly [priority: number, late: number, arrivedAtMilliseconds: number] {
        const { arrivedAtMilliseconds, route } = this.#request;
        const late = this.#now() - arrivedAtMilliseconds > route.targetLatencyMilliseconds;
        return [route.priority, late ? 1 : 0, arrivedAtMilliseconds];
    }

    start(): void {
        const { response } = this.#request;
        response.on("close", () => this.#callerClosed());
        response.on("drain", () => this.#call?.resume());
        const remaining = this.#remaining();
        this.#deadlineTimer = setTimeout(() => this.#outOfTime(), Math.max(0, remaining));
        if (this.#service === undefined) {
            this.#refuse("no-service");
            return;
        }
        this.#context.budget.recordRequest(this.#service, this.#request.arrivedAtMilliseconds);
        if (this.#model !== undefined) {
            const work = workOf(this.#header(this.#context.headers.tokenCount));
            this.#context.demand.add(this.#model, work, this.#now());
        }
        if (this.#context.suspects.isRefused(this.#fingerprint)) {
            this.#refuse("crashes-engines");
            return;
        }
        this.dispatch();
    }

    /** Looks for an upstream; called again when what the request waits for may have come. */
    dispatch(): void {
        if (this.#ended || this.#call !== undefined) {
            return;
        }
        clearTimeout(this.#retryTimer);
        const usable = this.#context.view.usable(this.#service ?? "");
        const resident = usable.filter(upstream => this.#residencyAt(upstream) === "held");
        const choice = chooseUpstream(this.#candidates(resident), this.#context.random);
        if (choice.type === "send") {
            const upstream = this.#context.view.get(choice.upstream);
            if (upstream !== undefined) {
                this.#wishFurtherCopy(usable, upstream);
                this.#send(upstream);
                return;
            }
        }
        if (usable.length === 0) {
            this.#waitOrRefuse("no-upstream", ROOM_MILLISECONDS);
            return;
        }
        const loadable = usable.filter(upstream => this.#residencyAt(upstream) === "adapter-missing");
        if (loadable.length > 0 && resident.length === 0) {
            this.#waitForAdapter(loadable);
            return;
        }
        if (choice.type === "all-full") {
            this.#waitOrRefuse("all-full", ROOM_MILLISECONDS);
            return;
        }
        if (resident.length > 0 && this.#rejected + this.#mayHaveRun > 0) {
            this.#refuse("no-upstream", ROOM_MILLISECONDS);
            return;
        }
        if (resident.length > 0) {
            this.#waitOrRefuse("no-upstream", ROOM_MILLISECONDS);
            return;
        }
        this.#waitForModel(usable);
    }

    /** Ends the request because the host stops. */
    abort(): void {
        if (!this.#ended) {
            this.#finishDecision(
                { type: this.#headSent ? "break-off" : this.#mayHaveRun > 0 ? "fail" : "refuse" },
                "out-of-time",
            );
        }
    }

    #now(): number {
        return this.#context.readClock();
    }

    #remaining(): number {
        return this.#deadlineAt - this.#now();
    }

    #header(name: string): string | undefined {
        const value = this.#request.message.headers[name];
        return Array.isArray(value) ? value[0] : value;
    }

    #residencyAt(upstream: UpstreamAnnouncement): "held" | "adapter-missing" | "absent" {
        return this.#model === undefined
            ? "held"
            : this.#context.residency.holds(upstream.id, this.#model, this.#adapter);
    }

    #candidates(upstreams: readonly UpstreamAnnouncement[]): Candidate[] {
        const now = this.#now();
        const fresh = upstreams.filter(({ id }) =>
            !this.#tried.has(id) && !this.#context.health.isUnreachable(id, now)
        );
        return fresh.map(upstream => ({
            id: upstream.id,
            slots: Math.max(1, upstream.slots),
            requests: this.#context.loads.estimate(upstream.id, now),
            recentPromptTokens: this.#context.loads.recentPromptTokens(upstream.id, now),
            sameZone: upstream.zone === this.#context.zone,
            avoided: this.#context.health.isAvoided(upstream.id, now),
            knowsPrompt: this.#prompt !== undefined && this.#context.prompts.knows(upstream.id, this.#prompt),
        }));
    }

    /** Asks for the adapter on a further engine where those that hold it are busy. */
    #wishFurtherCopy(usable: readonly UpstreamAnnouncement[], chosen: UpstreamAnnouncement): void {
        if (this.#adapter === undefined || this.#model === undefined) {
            return;
        }
        this.#context.noteAdapterUse(chosen.id, this.#model, this.#adapter);
        const load = this.#context.loads.estimate(chosen.id, this.#now()) / Math.max(1, chosen.slots);
        if (load < BUSY_ADAPTER_SHARE) {
            return;
        }
        const others = usable.filter(upstream =>
            this.#residencyAt(upstream) === "adapter-missing"
            && this.#adapterSlots(upstream.service) > this.#context.residency.adapterCount(upstream.id)
        );
        const choice = chooseUpstream(this.#candidates(others), this.#context.random);
        if (choice.type === "send" && this.#loadShare(choice.upstream) < load / 2) {
            this.#context.wishAdapter(choice.upstream, this.#model, this.#adapter);
        }
    }

    #loadShare(upstream: string): number {
        const slots = this.#context.view.get(upstream)?.slots ?? 1;
        return this.#context.loads.estimate(upstream, this.#now()) / Math.max(1, slots);
    }

    #waitForAdapter(loadable: readonly UpstreamAnnouncement[]): void {
        const wait = this.#beginWait("adapter-missing");
        const now = this.#now();
        if (now - wait.sinceMilliseconds > this.#longestWait()) {
            this.#refuse("adapter-missing", ROOM_MILLISECONDS);
            return;
        }
        if (now - wait.wishedAtMilliseconds >= WISH_INTERVAL_MILLISECONDS) {
            wait.wishedAtMilliseconds = now;
            this.#wish(loadable);
        }
        this.#retryTimer = setTimeout(() => this.dispatch(), WISH_INTERVAL_MILLISECONDS);
    }

    /** Asks the holder of the adapter's home, or of the next engine where that one has no holder. */
    #wish(loadable: readonly UpstreamAnnouncement[]): void {
        const { residency } = this.#context;
        const [model, adapter] = [this.#model, this.#adapter];
        if (model === undefined || adapter === undefined) {
            return;
        }
        const homes = rankAdapterHomes(
            `${model}/${adapter}`,
            loadable.map(({ id, service }) => ({
                id,
                freeSlots: this.#adapterSlots(service) - residency.adapterCount(id),
                loadShare: this.#loadShare(id),
                loading: residency.loading(id) !== undefined,
            })),
        );
        homes.find(engine => this.#context.wishAdapter(engine, model, adapter));
    }

    #adapterSlots(service: string): number {
        return this.#context.routeTable()?.service(service)?.engine?.adapterSlots ?? 0;
    }

    /** A request waits for a model that comes in time; otherwise its caller comes back when the model is there. */
    #waitForModel(usable: readonly UpstreamAnnouncement[]): void {
        const expected = this.#expectedModelMilliseconds(usable);
        const left = this.#longestWait() - (this.#now() - this.#beginWait("model-missing").sinceMilliseconds);
        if (expected > left) {
            this.#refuse("model-missing", expected);
            return;
        }
        this.#retryTimer = setTimeout(() => this.dispatch(), WISH_INTERVAL_MILLISECONDS);
    }

    /** Time until an engine that loads the model has it, by the time that a load from the weight store takes. */
    #expectedModelMilliseconds(usable: readonly UpstreamAnnouncement[]): number {
        const model = this.#model ?? "";
        const engine = this.#context.routeTable()?.service(this.#service ?? "")?.engine;
        const load = engine?.models.find(({ name }) => name === model)?.storeLoadMilliseconds ?? 0;
        const now = this.#now();
        const expected = usable.flatMap(({ id }) => {
            const since = this.#context.residency.loadingSince(id, model);
            return since === undefined ? [] : [Math.max(0, since + load - now)];
        });
        return Math.min(ABSENT_MODEL_MILLISECONDS, ...expected);
    }

    #waitOrRefuse(reason: RefusalReason, expectedMilliseconds: number): void {
        const wait = this.#beginWait(reason);
        if (this.#now() - wait.sinceMilliseconds > this.#longestWait()) {
            this.#refuse(reason, expectedMilliseconds);
            return;
        }
        this.#retryTimer = setTimeout(() => this.dispatch(), WISH_INTERVAL_MILLISECONDS);
    }

    #longestWait(): number {
        const { arrivedAtMilliseconds, route } = this.#request;
        return longestWait(route, this.#deadlineAt - arrivedAtMilliseconds);
    }

    #beginWait(reason: RefusalReason): WaitState {
        if (this.#wait === undefined) {
            this.#wait = { sinceMilliseconds: this.#now(), wishedAtMilliseconds: Number.NEGATIVE_INFINITY };
            this.#context.logger.info("request waits", {
                request: this.#request.requestId,
                reason,
                model: this.#model,
                adapter: this.#adapter,
                longestMilliseconds: Math.round(this.#longestWait()),
                ...this.#describeUpstreams(),
            });
        }
        return this.#wait;
    }

    /** What the choice of an upstream was made from. */
    #describeUpstreams(): Record<string, number> {
        const usable = this.#context.view.usable(this.#service ?? "");
        const resident = usable.filter(upstream => this.#residencyAt(upstream) === "held");
        return { usableUpstreams: usable.length, residentUpstreams: resident.length, triedUpstreams: this.#tried.size };
    }

    #endWait(outcome: string): void {
        if (this.#wait !== undefined) {
            const waited = this.#now() - this.#wait.sinceMilliseconds;
            this.#context.metrics.observe("residency_wait_seconds", waited, { outcome });
            this.#wait = undefined;
        }
    }

    #send(upstream: UpstreamAnnouncement): void {
        this.#endWait("sent");
        const { context, request } = { context: this.#context, request: this.#request };
        this.#attempt += 1;
        this.#upstream = upstream;
        this.#answer = undefined;
        this.#splitter = new EventSplitter();
        const promptTokens = promptTokensOf(this.#header(context.headers.tokenCount));
        context.loads.started(upstream.id, promptTokens, this.#now());
        if (this.#model !== undefined) {
            context.tellSent(upstream.id, promptTokens);
        }
        if (this.#adapter !== undefined) {
            context.adapterUse.begin(upstream.id, `${this.#model ?? ""}/${this.#adapter}`);
        }
        context.metrics.count("attempts", { service: upstream.service });
        if (this.#prompt !== undefined) {
            context.prompts.note(upstream.id, this.#prompt);
        }
        const remaining = this.#remaining();
        context.logger.info("request sent", {
            request: request.requestId,
            route: request.route.name,
            upstream: upstream.id,
            attempt: this.#attempt,
            model: this.#model,
            adapter: this.#adapter,
            load: context.loads.estimate(upstream.id, this.#now()),
            configurationVersion: request.configurationVersion,
            remainingMilliseconds: Math.round(remaining),
        });
        const attempt = this.#attempt;
        const ifCurrent = (step: () => void): void => {
            if (this.#attempt === attempt && !this.#ended) {
                this.#guard(step);
            }
        };
        this.#call = callUpstream({
            agent: context.agentFor(upstream.service),
            address: upstream.address,
            method: request.message.method ?? "GET",
            path: request.message.url ?? "/",
            headers: this.#headersFor(upstream, remaining),
            body: request.body,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            onHead: head => ifCurrent(() => this.#takeHead(head)),
            onData: piece => ifCurrent(() => this.#takeData(piece)),
            onEnd: () => ifCurrent(() => this.#takeEnd()),
            onFailure: (failure, detail) => ifCurrent(() => this.#attemptFailed(failure, detail)),
        });
        this.#watchSilence();
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

    #headersFor(upstream: UpstreamAnnouncement, remaining: number): string[] {
        const { headers } = this.#context;
        const replaced = new Set([
            ...headers.reserved,
            headers.expectedUpstream,
            headers.deadline,
            headers.priority,
            headers.lastEventId,
            "content-length",
        ]);
        const passed = passThroughHeaders(this.#request.message.rawHeaders, replaced);
        passed.push(headers.expectedUpstream, upstream.id);
        passed.push(headers.deadline, String(Math.max(1, Math.floor(remaining))));
        if (this.#model !== undefined) {
            passed.push(headers.priority, String(Math.min(9, this.#request.route.priority)));
        }
        if (this.#lastEventId !== undefined) {
            passed.push(headers.lastEventId, this.#lastEventId);
        }
        const hasBody = this.#request.body.length > 0 || this.#request.message.method === "POST"
            || this.#header("content-length") !== undefined;
        if (hasBody) {
            passed.push("content-length", String(this.#request.body.length));
        }
        return passed;
    }

    /** An upstream that shows no sign of life is left, where the request may run again. */
    #watchSilence(): void {
        clearTimeout(this.#silenceTimer);
        const { route } = this.#request;
        if (!mayRunAgain(route.kind, route.resumable)) {
            return;
        }
        const limit = route.kind === "event-stream"
            ? SILENT_STREAM_MILLISECONDS
            : route.targetLatencyMilliseconds * SILENT_TARGETS;
        this.#silenceTimer = setTimeout(() => this.#noteSilence(limit), limit);
    }

    /** Behind a full upstream a request waits its turn, and without another upstream there is nothing to gain. */
    #noteSilence(limitMilliseconds: number): void {
        const upstream = this.#upstream;
        const waitsItsTurn = upstream !== undefined && this.#loadShare(upstream.id) >= BUSY_UPSTREAM_SHARE;
        if (waitsItsTurn || !this.#mayMove()) {
            this.#watchSilence();
            return;
        }
        this.#attemptFailed("silent", `nothing came for ${limitMilliseconds} ms`);
    }

    /** Tells whether the request could run on another upstream now. */
    #mayMove(): boolean {
        const { route } = this.#request;
        const service = this.#service ?? "";
        const others = this.#context.view.usable(service).filter(upstream =>
            upstream.id !== this.#upstream?.id && this.#residencyAt(upstream) === "held"
        );
        return this.#mayHaveRun + 1 < route.maximumAttempts
            && this.#context.budget.left(service, this.#now()) > 0
            && chooseUpstream(this.#candidates(others), this.#context.random).type === "send";
    }

    #takeHead(head: AnswerHead): void {
        this.#noteLoad(head);
        if (this.#upstream !== undefined) {
            this.#context.noteReached(this.#upstream.id);
        }
        const failure = this.#judgeHead(head);
        if (failure !== undefined) {
            this.#attemptFailed(failure, `status ${head.status}`);
            return;
        }
        this.#answer = { head, pieces: [] };
        this.#watchSilence();
    }

    #noteLoad(head: AnswerHead): void {
        const { headers, loads } = this.#context;
        const text = head.headers[headers.load];
        if (typeof text !== "string" || this.#upstream === undefined) {
            return;
        }
        const [running, waiting, slots] = text.split(",").map(Number);
        if (
            running !== undefined && waiting !== undefined && slots !== undefined && Number.isFinite(running + waiting)
        ) {
            const reported: ReportedLoad = { running, waiting, slots };
            loads.report(this.#upstream.id, reported, this.#now());
        }
    }

    /** Tells what is wrong with an answer, by its head; `undefined` for one to pass on. */
    #judgeHead(head: AnswerHead): AttemptFailure | undefined {
        const { headers } = this.#context;
        if (head.headers[headers.notRun] !== undefined || head.status === STATUS_MISDIRECTED) {
            return this.#judgeNotRun(head);
        }
        const echoed = head.headers[headers.requestId];
        if (echoed !== this.#request.requestId) {
            return "invalid-answer";
        }
        const hasReceipt = head.headers[headers.receipt] !== undefined;
        const succeeded = head.status >= STATUS_OK_FIRST && head.status <= STATUS_OK_LAST;
        if (succeeded && !hasReceipt) {
            return "invalid-answer";
        }
        if (head.headers["content-encoding"] !== undefined) {
            return "invalid-answer";
        }
        if (this.#headSent && !succeeded) {
            return "upstream-error";
        }
        if (head.status >= FIRST_SERVER_ERROR && (!hasReceipt || this.#canRepeatError())) {
            return "upstream-error";
        }
        return undefined;
    }

    #judgeNotRun(head: AnswerHead): AttemptFailure {
        if (head.status !== STATUS_MISDIRECTED) {
            return "not-run";
        }
        const answering = head.headers[this.#context.headers.answeringUpstream];
        const other = answering !== undefined && answering !== this.#upstream?.id;
        return other || this.#model === undefined ? "misdirected" : "not-resident";
    }

    /** Tells whether an upstream's own failure is worth another upstream, rather than being passed on. */
    #canRepeatError(): boolean {
        const { route } = this.#request;
        return mayRunAgain(route.kind, route.resumable) && this.#mayMove();
    }

    #takeData(piece: Buffer): void {
        if (this.#answer === undefined) {
            return;
        }
        this.#watchSilence();
        if (!this.#isStream()) {
            this.#answer.pieces.push(piece);
            return;
        }
        const events = this.#splitter.push(piece);
        if (events.count === 0) {
            return;
        }
        this.#lastEventId = events.lastIdentifier ?? this.#lastEventId;
        this.#sendHead(this.#answer.head);
        this.#noteFirstByte();
        this.#noteEvents(events.count);
        if (!this.#request.response.write(events.bytes)) {
            this.#call?.pause();
        }
    }

    #isStream(): boolean {
        const head = this.#answer?.head;
        return this.#request.route.kind === "event-stream" && head !== undefined
            && head.status >= STATUS_OK_FIRST && head.status <= STATUS_OK_LAST;
    }

    #takeEnd(): void {
        const answer = this.#answer;
        if (answer === undefined) {
            this.#attemptFailed("invalid-answer", "an answer without a head");
            return;
        }
        if (this.#isStream() && this.#splitter.unfinishedBytes > 0) {
            this.#attemptFailed("connection-lost", "the stream ended within an event");
            return;
        }
        this.#noteOutcomeAtUpstream(answer.head.status < FIRST_SERVER_ERROR);
        if (this.#isStream()) {
            this.#noteRun();
            this.#sendHead(answer.head);
            this.#request.response.end();
        }
        else {
            this.#noteFirstByte();
            const body = Buffer.concat(answer.pieces);
            const { response, message } = this.#request;
            const headers = passThroughHeaders(answer.head.rawHeaders, new Set(["content-length"]));
            const length = message.method === "HEAD" ? [] : ["Content-Length", String(body.length)];
            response.writeHead(answer.head.status, [...headers, ...length, ...this.#closingHeaders()]);
            response.end(body);
            this.#headSent = true;
        }
        this.#releaseUpstream();
        this.#end(answer.head.status < FIRST_SERVER_ERROR ? "answered" : "upstream-failure");
    }

    #closingHeaders(): string[] {
        return this.#context.isLeaving() ? ["Connection", "close"] : [];
    }

    #sendHead(head: AnswerHead): void {
        if (this.#headSent) {
            return;
        }
        this.#headSent = true;
        const headers = passThroughHeaders(head.rawHeaders, new Set(["content-length"]));
        this.#request.response.writeHead(head.status, [...headers, ...this.#closingHeaders()]);
    }

    #noteFirstByte(): void {
        if (this.#firstByteAt === undefined) {
            this.#firstByteAt = this.#now();
            const waited = this.#firstByteAt - this.#request.arrivedAtMilliseconds;
            this.#context.metrics.observe("first_byte_seconds", waited, { kind: this.#request.route.kind });
        }
    }

    #noteEvents(count: number): void {
        const now = this.#now();
        this.#longestGapMilliseconds = Math.max(this.#longestGapMilliseconds, now - (this.#lastEventsAt ?? now));
        this.#lastEventsAt = now;
        this.#events += count;
    }

    /** A whole stream tells how long engines take for the work of a request. */
    #noteRun(): void {
        if (this.#firstByteAt !== undefined && this.#attempt === 1) {
            const work = workOf(this.#header(this.#context.headers.tokenCount));
            this.#context.demand.noteRun(work, this.#now() - this.#firstByteAt);
        }
    }

    #noteOutcomeAtUpstream(succeeded: boolean): void {
        if (this.#upstream === undefined) {
            return;
        }
        if (succeeded) {
            this.#context.health.noteSuccess(this.#upstream.id, this.#now());
        }
        else {
            this.#context.health.noteFailure(this.#upstream.id, this.#now());
        }
    }

    #releaseUpstream(): void {
        clearTimeout(this.#silenceTimer);
        if (this.#call !== undefined && this.#upstream !== undefined) {
            this.#context.loads.finished(this.#upstream.id);
            if (this.#adapter !== undefined) {
                this.#context.adapterUse.end(this.#upstream.id, `${this.#model ?? ""}/${this.#adapter}`);
            }
        }
        this.#call = undefined;
    }

    #attemptFailed(failure: AttemptFailure, detail: string): void {
        const upstream = this.#upstream;
        const call = this.#call;
        if (upstream === undefined || call === undefined || this.#ended) {
            return;
        }
        const proved: AttemptFailure = failure === "silent" && !call.mayHaveSent ? "not-connected" : failure;
        call.cancel();
        this.#releaseUpstream();
        this.#noteFailure(proved, upstream);
        this.#context.metrics.count("attempt_failures", { reason: proved });
        const situation = this.#situationAfter(proved);
        const decision = decideAfterAttempt(situation);
        this.#context.logger.info("attempt failed", {
            request: this.#request.requestId,
            upstream: upstream.id,
            attempt: this.#attempt,
            reason: proved,
            detail,
            decision: decision.type,
            sentBefore: this.#mayHaveRun,
        });
        this.#follow(decision, situation);
    }

    #situationAfter(failure: AttemptFailure): AttemptSituation {
        if (!provesNotRun(failure)) {
            this.#mayHaveRun += 1;
        }
        else if (failure !== "not-connected") {
            this.#rejected += 1;
        }
        const { route } = this.#request;
        return {
            kind: route.kind,
            resumable: route.resumable,
            failure,
            attemptsThatMayHaveRun: this.#mayHaveRun,
            rejectedSends: this.#rejected,
            maximumAttempts: route.maximumAttempts,
            answerBegun: this.#headSent,
        };
    }

    #noteFailure(failure: AttemptFailure, upstream: UpstreamAnnouncement): void {
        const { health, residency, suspects } = this.#context;
        const now = this.#now();
        switch (failure) {
            case "not-connected":
                health.noteUnreachable(upstream.id, now);
                this.#context.noteUnreachable(upstream.id);
                break;
            case "misdirected":
                health.noteUnreachable(upstream.id, now);
                this.#tried.add(upstream.id);
                break;
            case "not-resident":
                residency.noteAbsent(upstream.id, this.#model ?? "", this.#adapter);
                this.#context.noteModelAbsent(upstream.id, this.#model ?? "");
                break;
            case "not-run":
                this.#tried.add(upstream.id);
                break;
            case "connection-lost":
                suspects.noteLost(this.#fingerprint, runOf(upstream), now);
                health.noteFailure(upstream.id, now);
                this.#tried.add(upstream.id);
                break;
            default:
                health.noteFailure(upstream.id, now);
                this.#tried.add(upstream.id);
        }
    }

    #follow(decision: RepeatDecision, situation: AttemptSituation): void {
        if (decision.type !== "repeat") {
            this.#finishDecision(decision, situation.failure);
            return;
        }
        const service = this.#service ?? "";
        if (decision.drawsOnBudget && !this.#context.budget.tryTake(service, this.#now())) {
            this.#context.metrics.count("repeats_denied", { service });
            this.#context.logger.info("repeat denied", { request: this.#request.requestId, service, reason: "budget" });
            this.#finishDecision(giveUpRepeat(situation), "budget");
            return;
        }
        this.#context.metrics.count("repeats", { reason: situation.failure });
        if (this.#context.suspects.isRefused(this.#fingerprint)) {
            this.#finishDecision(giveUpRepeat(situation), "crashes-engines");
            return;
        }
        const pause = situation.failure === "not-resident" || situation.failure === "not-run"
            ? REJECTED_PAUSE_MILLISECONDS
            : 0;
        this.#retryTimer = setTimeout(() => this.dispatch(), pause);
    }

    #finishDecision(decision: RepeatDecision, reason: RefusalReason): void {
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
        const sent = this.#call?.mayHaveSent === true;
        this.#call?.cancel();
        this.#releaseUpstream();
        if (this.#headSent) {
            this.#breakOff("out-of-time");
        }
        else if (sent || this.#mayHaveRun > 0) {
            this.#fail(STATUS_GATEWAY_TIMEOUT, "out-of-time");
        }
        else {
            this.#refuse("out-of-time");
        }
    }

    /** Says that the request has not run and never will, and when to come back. */
    #refuse(reason: RefusalReason, expectedMilliseconds?: number): void {
        if (this.#mayHaveRun > 0) {
            this.#fail(STATUS_BAD_GATEWAY, reason);
            return;
        }
        if (this.#headSent) {
            this.#breakOff(reason);
            return;
        }
        const retryAfter = expectedMilliseconds === undefined
            ? undefined
            : returnAfter(expectedMilliseconds, this.#remaining(), this.#context.random());
        this.#context.metrics.count("refusals", { reason });
        this.#context.logger.info("request refused", {
            request: this.#request.requestId,
            reason,
            model: this.#model,
            adapter: this.#adapter,
            expectedMilliseconds: expectedMilliseconds === undefined ? undefined : Math.round(expectedMilliseconds),
            retryAfterMilliseconds: retryAfter,
            ...this.#describeUpstreams(),
        });
        const headers: Record<string, string> = { "content-type": "application/json" };
        if (retryAfter !== undefined) {
            headers["retry-after"] = (retryAfter / MILLISECONDS_PER_SECOND).toFixed(2);
        }
        const body = JSON.stringify({ reason, ran: "not-run", retryAfterMilliseconds: retryAfter });
        this.#answerSelf(STATUS_UNAVAILABLE, headers, body);
        this.#end(`refused: ${reason}`);
    }

    /** Says that the request failed, without a promise. */
    #fail(status: number, reason: RefusalReason): void {
        this.#context.metrics.count("failures", { reason });
        const body = JSON.stringify({ reason, ran: "may-have-run" });
        this.#answerSelf(status, { "content-type": "application/json" }, body);
        this.#end(`failed: ${reason}`);
    }

    #answerSelf(status: number, headers: Readonly<Record<string, string>>, body: string): void {
        const { response, requestId } = this.#request;
        if (response.headersSent || response.destroyed) {
            return;
        }
        this.#headSent = true;
        const closing = this.#context.isLeaving() ? { connection: "close" } : {};
        const echoed = { [this.#context.headers.requestId]: requestId };
        response.writeHead(status, { ...headers, ...echoed, ...closing, "content-length": Buffer.byteLength(body) });
        response.end(body);
    }

    /** Ends an answer that has begun so that it does not look complete. */
    #breakOff(reason: RefusalReason): void {
        this.#context.metrics.count("failures", { reason });
        this.#request.response.destroy();
        this.#end(`broken off: ${reason}`);
    }

    #callerClosed(): void {
        if (this.#ended) {
            return;
        }
        const mayStop = this.#request.route.kind !== "non-idempotent" || this.#call?.mayHaveSent !== true;
        if (mayStop) {
            this.#call?.cancel();
        }
        this.#releaseUpstream();
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
        const { route, requestId, arrivedAtMilliseconds } = this.#request;
        const took = this.#now() - arrivedAtMilliseconds;
        this.#context.metrics.count("endings", { kind: route.kind, outcome });
        this.#context.metrics.observe("answer_seconds", took, { kind: route.kind });
        this.#context.logger.info("request ended", {
            request: requestId,
            route: route.name,
            outcome,
            upstream: this.#upstream?.id,
            attempts: this.#attempt,
            model: this.#model,
            adapter: this.#adapter,
            tookMilliseconds: Math.round(took),
            firstByteMilliseconds: this.#firstByteAt === undefined
                ? undefined
                : Math.round(this.#firstByteAt - arrivedAtMilliseconds),
            ...this.#events === 0
                ? {}
                : { events: this.#events, longestGapMilliseconds: Math.round(this.#longestGapMilliseconds) },
        });
        this.#onEnded();
    }
}

/** Names one run of an upstream's process. */
export function runOf(upstream: UpstreamAnnouncement): string {
    return `${upstream.id}/${upstream.startedAtMilliseconds ?? 0}`;
}
