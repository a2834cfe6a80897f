/**
 * Runs the requests decision: sends attempts to engines, and delivers answers to callers.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type AnswerSink, type Cancellable, createRefusal, type ParsedChatRequest } from "../callers/index.js";
import { type Refusal } from "../generated/callers.js";
import { type Deployment } from "../generated/deployment.js";
import { createRequestsDecision, type RequestsEffect, type RequestsMessage } from "../requests/index.js";
import { type Completion, type CompletionEvent } from "../upstreams/index.js";
import { type HostContext, listEngines, type PoolEngine } from "./context.js";
import { type HostEvent } from "./events.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 50;
const MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 2000;
const SILENCE_TIMEOUT_TO_FIRST_TOKEN_TARGET_RATIO = 5;
const PATIENT_SILENCE_TIMEOUT_MILLISECONDS = 60_000;

/** The running requests task. */
export interface RequestsTask {
    submit(request: ParsedChatRequest, sink: AnswerSink): Cancellable;
    /** Returns the number of requests without a final answer. */
    openRequests(): number;
    close(): void;
}

interface OpenRequest {
    readonly parsed: ParsedChatRequest;
    readonly sink: AnswerSink;
    readonly submittedAtMilliseconds: number;
    deliveredTokens: number;
    attempt: number;
    completion: Completion | undefined;
}

class RequestsRunner implements RequestsTask {
    readonly #context: HostContext;
    readonly #open = new Map<string, OpenRequest>();
    readonly #task;
    #deployment: Deployment | undefined;
    #engines = new Map<string, PoolEngine>();

    constructor(context: HostContext) {
        this.#context = context;
        const { host } = context.identity;
        const { queuedRequests } = context.settings.limits;
        const { random, seed } = context.traces.createSources();
        const decision = createRequestsDecision({ host, random, queuedRequests });
        const traced = context.traces.wrap("requests", { host, seed, queuedRequests }, decision);
        this.#task = createTask<RequestsMessage, RequestsEffect>(traced, {
            clock: context.clock,
            perform: effects => effects.forEach(effect => this.#perform(effect)),
            tick: {
                message: { type: "tick" },
                intervalMilliseconds: TICK_MILLISECONDS,
                isIdle: () => this.#open.size === 0,
            },
        });
        context.events.subscribe(event => this.#handleEvent(event));
    }

    submit(parsed: ParsedChatRequest, sink: AnswerSink): Cancellable {
        const { identifier } = parsed.request;
        this.#open.set(identifier, {
            parsed,
            sink,
            submittedAtMilliseconds: this.#context.clock(),
            deliveredTokens: 0,
            attempt: 0,
            completion: undefined,
        });
        this.#context.metrics.increment("requests.accepted", { class: parsed.request.class });
        this.#task.send({ type: "submit", request: parsed.request });
        return { cancel: () => this.#cancel(identifier) };
    }

    openRequests(): number {
        return this.#open.size;
    }

    close(): void {
        this.#task.close();
        for (const open of this.#open.values()) {
            open.completion?.cancel();
        }
        this.#open.clear();
    }

    #cancel(identifier: string): void {
        const open = this.#open.get(identifier);
        if (open === undefined) {
            return;
        }
        this.#open.delete(identifier);
        open.completion?.cancel();
        this.#context.metrics.increment("requests.cancelled");
        this.#task.send({ type: "cancel", identifier });
    }

    #handleEvent(event: HostEvent): void {
        match(event)
            .with({ type: "deployment-activated" }, ({ deployment, record }) => {
                this.#deployment = deployment;
                this.#engines = new Map(listEngines(deployment).map(engine => [engine.name, engine]));
                this.#task.send({ type: "deployment", deployment, revision: record.revision });
            })
            .with(
                { type: "peers-changed" },
                ({ live }) => this.#task.send({ type: "peers", hosts: live.map(({ host }) => host) }),
            )
            .with({ type: "engine-observed" }, ({ digest }) => this.#task.send({ type: "engine-observed", digest }))
            .with(
                { type: "engine-crashed" },
                ({ engine, incarnation }) => this.#task.send({ type: "engine-crashed", engine, incarnation }),
            )
            .with({ type: "residency" }, ({ digest }) => this.#task.send({ type: "residency", digest }))
            .with({ type: "suspects", origin: "peer" }, ({ digests }) => this.#task.send({ type: "suspects", digests }))
            .with({ type: "leaving" }, () => this.#task.send({ type: "leave" }))
            .otherwise(() => undefined);
    }

    #perform(effect: RequestsEffect): void {
        match(effect)
            .with({ type: "dispatch" }, dispatch => this.#dispatch(dispatch))
            .with({ type: "cancel-attempt" }, ({ identifier, attempt }) => this.#cancelAttempt(identifier, attempt))
            .with({ type: "refuse" }, refusal => this.#refuse(refusal))
            .with(
                { type: "share-suspects" },
                ({ digests }) => this.#context.events.publish({ type: "suspects", digests, origin: "own" }),
            )
            .with(
                { type: "probe-engine" },
                ({ engine }) => this.#context.events.publish({ type: "engine-suspected", engine }),
            )
            .with(
                { type: "want-adapter" },
                ({ model, adapter }) =>
                    this.#context.events.publish({
                        type: "adapter-wanted",
                        adapterRequest: { model, adapter },
                        origin: "own",
                    }),
            )
            .with({ type: "count-retry" }, ({ reason }) => this.#context.metrics.increment(`retries.${reason}`))
            .with({ type: "ended" }, ended => this.#recordEnded(ended))
            .exhaustive();
    }

    #dispatch(dispatch: Extract<RequestsEffect, { type: "dispatch"; }>): void {
        const { identifier, attempt } = dispatch;
        const open = this.#open.get(identifier);
        const engine = this.#engines.get(dispatch.engine);
        if (open === undefined) {
            return;
        }
        if (engine === undefined) {
            this.#task.send({
                type: "attempt-failed",
                identifier,
                attempt,
                failure: "not-started",
                deliveredTokens: open.deliveredTokens,
            });
            return;
        }
        this.#context.metrics.increment("requests.attempts");
        open.attempt = attempt;
        open.completion = this.#context.engines.get(engine.name, engine.url).complete({
            identifier: `${identifier}-${attempt}`,
            body: open.parsed.body,
            priority: dispatch.class,
            resumeAtToken: open.parsed.resumeAtToken + open.deliveredTokens,
            silenceMilliseconds: this.#silenceTimeoutMilliseconds(open.parsed),
            onEvent: event => this.#handleCompletionEvent(open, { attempt, engine: engine.name, event }),
        });
    }

    #silenceTimeoutMilliseconds(parsed: ParsedChatRequest): number {
        if (parsed.request.class === "patient") {
            return PATIENT_SILENCE_TIMEOUT_MILLISECONDS;
        }
        const model = this.#deployment?.models.find(({ name }) => name === parsed.request.model);
        return Math.max(
            MINIMUM_SILENCE_TIMEOUT_MILLISECONDS,
            SILENCE_TIMEOUT_TO_FIRST_TOKEN_TARGET_RATIO * (model?.firstTokenMilliseconds ?? 0),
        );
    }

    #handleCompletionEvent(
        open: OpenRequest,
        received: { readonly attempt: number; readonly engine: string; readonly event: CompletionEvent; },
    ): void {
        const { identifier } = open.parsed.request;
        const { attempt, engine, event } = received;
        if (this.#open.get(identifier) !== open || open.attempt !== attempt) {
            return;
        }
        match(event)
            .with({ type: "tokens" }, part => this.#deliverTokens(open, part))
            .with({ type: "finished" }, ({ finishReason, totalTokens }) => {
                this.#open.delete(identifier);
                open.sink.finished({ finishReason, totalTokens });
                this.#task.send({ type: "attempt-finished", identifier, attempt });
            })
            .with({ type: "failed" }, ({ failure, message }) => {
                this.#context.logger.info("attempt failed", {
                    request: identifier,
                    attempt,
                    engine,
                    failure,
                    cause: message,
                });
                this.#task.send({
                    type: "attempt-failed",
                    identifier,
                    attempt,
                    failure,
                    deliveredTokens: open.deliveredTokens,
                });
            })
            .exhaustive();
    }

    #deliverTokens(open: OpenRequest, part: Extract<CompletionEvent, { type: "tokens"; }>): void {
        const { identifier, class: requestClass } = open.parsed.request;
        if (open.deliveredTokens === 0) {
            const waitMilliseconds = this.#context.clock() - open.submittedAtMilliseconds;
            this.#context.metrics.timing("requests.first_token", waitMilliseconds, { class: requestClass });
            this.#task.send({ type: "attempt-first-token", identifier, attempt: open.attempt });
        }
        open.deliveredTokens += part.count;
        open.sink.tokens(part);
    }

    #cancelAttempt(identifier: string, attempt: number): void {
        const open = this.#open.get(identifier);
        if (open?.attempt === attempt) {
            open.completion?.cancel();
            open.completion = undefined;
        }
    }

    #refuse(effect: Extract<RequestsEffect, { type: "refuse"; }>): void {
        const open = this.#open.get(effect.identifier);
        if (open === undefined) {
            return;
        }
        this.#open.delete(effect.identifier);
        const { reason, ran, message, retryAfterMilliseconds } = effect;
        const refusal: Refusal = createRefusal(reason, message, { ran, retryAfterMilliseconds });
        this.#context.metrics.increment(`refusals.${reason}`);
        this.#context.logger.info("request refused", {
            request: effect.identifier,
            model: open.parsed.request.model,
            reason,
            ran,
        });
        open.sink.refused(refusal);
    }

    #recordEnded(ended: Extract<RequestsEffect, { type: "ended"; }>): void {
        const { model, adapter, withinTarget } = ended;
        this.#context.metrics.increment("requests.finished", {
            class: ended.class,
            within_target: String(withinTarget),
        });
        const demand = {
            model,
            ...(adapter === undefined ? {} : { adapter }),
            arrivals: 1,
            missed: withinTarget ? 0 : 1,
        };
        this.#context.events.publish({ type: "demand", demand: [demand], origin: "own" });
    }
}

/**
 * Starts the requests task.
 *
 * @param context Settings, clients and observability of this host.
 *
 * @example
 * ```ts
 * const requests = startRequestsTask(context);
 * const running = requests.submit(parsed, sink);
 * running.cancel();
 * ```
 */
export function startRequestsTask(context: HostContext): RequestsTask {
    return new RequestsRunner(context);
}
