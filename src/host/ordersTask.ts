/**
 * Runs the orders decision: forwards orders, exchanges witness requests, claims keys and calls plain services.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type CallerOrder, type Cancellable } from "../callers/index.js";
import { type Deployment } from "../generated/deployment.js";
import {
    type ForwardedOrder,
    type HostIdentity,
    type OrderOutcome,
    type WitnessAnswer,
    type WitnessRequest,
} from "../generated/peers.js";
import {
    createOrdersDecision,
    hashOrderBody,
    type Order,
    type OrdersDecision,
    type OrdersEffect,
    type OrdersMessage,
} from "../orders/index.js";
import { type ClaimsTask, startClaimsTask } from "./claimsTask.js";
import { createIdentifier } from "./clock.js";
import { type HostContext } from "./context.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 100;
const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 10_000;
/** Added to a call's time limit while waiting for the answer of the host that an order was forwarded to. */
const FORWARD_MARGIN_MILLISECONDS = 3000;

/** The running orders task. */
export interface OrdersTask {
    submit(order: CallerOrder, onOutcome: (outcome: OrderOutcome) => void): Cancellable;
    handleForwardedOrder(order: ForwardedOrder): Promise<OrderOutcome>;
    handleWitnessRequest(request: WitnessRequest): Promise<WitnessAnswer>;
    /** Returns the ticket for orders sent to a host. */
    ticketFor(owner: HostIdentity): string;
    /** Returns the number of orders without a final answer, or whose outcome the witness has not confirmed. */
    openOrders(): number;
    close(): void;
}

class OrdersRunner implements OrdersTask {
    readonly #context: HostContext;
    readonly #decision: OrdersDecision;
    readonly #task;
    readonly #claims: ClaimsTask;
    readonly #replyCallbacks = new Map<string, (outcome: OrderOutcome) => void>();
    readonly #witnessCallbacks = new Map<string, (answer: WitnessAnswer) => void>();
    #deployment: Deployment | undefined;
    #liveIncludingLeaving: readonly HostIdentity[] = [];

    constructor(context: HostContext) {
        this.#context = context;
        const { random, seed } = context.traces.createSources();
        const options = {
            identity: context.identity,
            wallClockOffsetMilliseconds: performance.timeOrigin,
            acceptWhileLeavingMilliseconds: context.settings.addressKeepMilliseconds,
        };
        this.#decision = createOrdersDecision({ ...options, random });
        const traced = context.traces.wrap("orders", { ...options, seed }, this.#decision);
        this.#task = createTask<OrdersMessage, OrdersEffect>(traced, {
            clock: context.clock,
            perform: effects => effects.forEach(effect => this.#perform(effect)),
            tick: {
                message: { type: "tick" },
                intervalMilliseconds: TICK_MILLISECONDS,
                isIdle: () => this.openOrders() === 0 && this.#witnessCallbacks.size === 0,
            },
        });
        this.#claims = startClaimsTask(context, message => this.#task.send(message));
        context.events.subscribe(event => {
            if (event.type === "deployment-activated") {
                this.#deployment = event.deployment;
                this.#task.send({ type: "deployment", deployment: event.deployment, revision: event.record.revision });
            }
            else if (event.type === "peers-changed") {
                this.#handlePeersChanged(event.live, event.liveIncludingLeaving);
            }
            else if (event.type === "leaving") {
                this.#task.send({ type: "leave" });
            }
        });
    }

    submit(order: CallerOrder, onOutcome: (outcome: OrderOutcome) => void): Cancellable {
        this.#context.metrics.increment("orders.accepted", { service: order.service });
        const identifier = createIdentifier();
        this.#replyCallbacks.set(identifier, outcome => {
            this.#countOutcome(order.service, outcome);
            onOutcome(outcome);
        });
        const { service, call, body, contentType, key = "" } = order;
        const hashedOrder: Order = { key, service, call, body, contentType, bodyHash: hashOrderBody(order) };
        this.#task.send({ type: "order-received", identifier, order: hashedOrder, from: "caller" });
        return { cancel: () => this.#abandon(identifier) };
    }

    handleForwardedOrder(order: ForwardedOrder): Promise<OrderOutcome> {
        return new Promise(resolve => {
            const identifier = createIdentifier();
            this.#replyCallbacks.set(identifier, resolve);
            this.#task.send({
                type: "order-received",
                identifier,
                order: { ...order, bodyHash: hashOrderBody(order) },
                from: "peer",
            });
        });
    }

    handleWitnessRequest(request: WitnessRequest): Promise<WitnessAnswer> {
        return new Promise(resolve => {
            const identifier = createIdentifier();
            this.#witnessCallbacks.set(identifier, resolve);
            this.#task.send({ type: "witness-asked", identifier, request });
        });
    }

    ticketFor(owner: HostIdentity): string {
        return this.#decision.ticketFor(owner);
    }

    openOrders(): number {
        return Math.max(this.#replyCallbacks.size, this.#decision.snapshot().inProgress);
    }

    close(): void {
        this.#claims.close();
        this.#task.close();
    }

    #abandon(identifier: string): void {
        if (this.#replyCallbacks.delete(identifier)) {
            this.#task.send({ type: "abandoned", identifier });
        }
    }

    #handlePeersChanged(live: readonly HostIdentity[], liveIncludingLeaving: readonly HostIdentity[]): void {
        const liveHosts = new Set(live.map(({ host }) => host));
        const leaving = liveIncludingLeaving.map(({ host }) => host).filter(host => !liveHosts.has(host));
        this.#liveIncludingLeaving = liveIncludingLeaving;
        this.#task.send({ type: "peers", identities: liveIncludingLeaving, leaving });
        this.#claims.handlePeersChanged(liveIncludingLeaving.length);
    }

    #perform(effect: OrdersEffect): void {
        match(effect)
            .with({ type: "reply" }, ({ identifier, outcome }) => this.#reply(identifier, outcome))
            .with({ type: "forward" }, ({ order, to }) => void this.#forward(order, to))
            .with({ type: "ask-witness" }, inquiry => void this.#sendWitnessRequest(inquiry))
            .with({ type: "answer-witness" }, ({ identifier, answer }) => this.#answerWitness(identifier, answer))
            .with({ type: "dispatch" }, dispatch => void this.#dispatch(dispatch))
            .with({ type: "claim" }, ({ key, bodyHash }) => this.#claims.claim(key, bodyHash))
            .with({ type: "count-retry" }, ({ reason }) => this.#context.metrics.increment(`retries.${reason}`))
            .exhaustive();
    }

    #countOutcome(service: string, outcome: OrderOutcome): void {
        if (outcome.type === "answered") {
            this.#context.metrics.increment("orders.answered", { service });
            return;
        }
        if (outcome.ran === "may-have-run") {
            this.#context.metrics.increment("orders.may_have_run", { service });
        }
        this.#context.logger.info("order refused", { service, reason: outcome.reason, ran: outcome.ran });
    }

    #reply(identifier: string, outcome: OrderOutcome): void {
        const onOutcome = this.#replyCallbacks.get(identifier);
        this.#replyCallbacks.delete(identifier);
        onOutcome?.(outcome);
    }

    #answerWitness(identifier: string, answer: WitnessAnswer): void {
        const onAnswer = this.#witnessCallbacks.get(identifier);
        this.#witnessCallbacks.delete(identifier);
        onAnswer?.(answer);
    }

    #callTimeoutMilliseconds(order: Order): number {
        const service = this.#deployment?.services.find(({ name }) => name === order.service);
        const call = service?.calls.find(({ name }) => name === order.call);
        return call?.timeoutMilliseconds ?? DEFAULT_CALL_TIMEOUT_MILLISECONDS;
    }

    async #forward(order: Order, to: HostIdentity): Promise<void> {
        const { key, service, call, body, contentType, bodyHash } = order;
        const client = this.#context.peers.get(to.peersUrl, to.peersUrl);
        const answer = await client.forwardOrder(
            { key, service, call, body, contentType },
            this.#callTimeoutMilliseconds(order) + FORWARD_MARGIN_MILLISECONDS,
        );
        if (answer.isOk()) {
            this.#task.send({ type: "forward-answered", key, bodyHash, outcome: answer.value });
            return;
        }
        this.#context.logger.info("forward failed", { order: key, peer: to.host, cause: answer.error.message });
        this.#task.send({ type: "forward-failed", key, bodyHash, notSent: answer.error.kind === "not-sent" });
    }

    async #sendWitnessRequest(inquiry: Extract<OrdersEffect, { type: "ask-witness"; }>): Promise<void> {
        const { key, request } = inquiry;
        const witness = this.#liveIncludingLeaving.find(({ host }) => host === inquiry.witness.host);
        const answer = witness === undefined
            ? undefined
            : await this.#context.peers.get(witness.peersUrl, witness.peersUrl).witness(request);
        if (answer?.isOk() === true) {
            this.#task.send({
                type: "witness-answered",
                key,
                request: request.type,
                answer: answer.value,
                witness: inquiry.witness,
            });
        }
        else {
            this.#task.send({ type: "witness-failed", key, request: request.type });
        }
    }

    async #dispatch(dispatch: Extract<OrdersEffect, { type: "dispatch"; }>): Promise<void> {
        const { order, url, timeoutMilliseconds } = dispatch;
        const { key, call, body, contentType } = order;
        const answer = await this.#context.plainServices.call(url, {
            call,
            key,
            body,
            contentType,
            timeoutMilliseconds,
        });
        if (answer.isOk()) {
            this.#task.send({ type: "dispatch-answered", key, result: answer.value });
            return;
        }
        this.#context.logger.warn("call of a plain service failed", {
            order: key,
            service: order.service,
            cause: answer.error.message,
        });
        this.#task.send({
            type: "dispatch-failed",
            key,
            notSent: answer.error.kind === "not-sent",
            message: answer.error.message,
        });
    }
}

/**
 * Starts the orders task.
 *
 * @param context Settings, clients and observability of this host.
 *
 * @example
 * ```ts
 * const orders = startOrdersTask(context);
 * orders.submit(callerOrder, outcome => console.log(outcome.type));
 * ```
 */
export function startOrdersTask(context: HostContext): OrdersTask {
    return new OrdersRunner(context);
}
