/**
 * Orders of plain services, run at most once.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity, type OrderOutcome, type WitnessRequest } from "../generated/peers.js";
import { findCall, type FoundCall } from "./_calls.js";
import { createClaims } from "./_claims.js";
import { createDispatcher } from "./_dispatcher.js";
import { createForwarder, WRONG_OWNER } from "./_forwarder.js";
import { createGenerations } from "./_generations.js";
import { createIdempotentCalls } from "./_idempotentCalls.js";
import { createLedger, type Retention } from "./_ledger.js";
import { mayHaveRun, refuse, type RefusedOutcome, refuseReusedKey } from "./_outcomes.js";
import { createTicketIssuer, findProcess } from "./_ticketIssuer.js";
import { createTicketOwner } from "./_ticketOwner.js";
import { createWaiters } from "./_waiters.js";
import { createWitness } from "./_witness.js";
import { type Order, type OrdersEffect, type OrdersMessage } from "./messages.js";
import { isSameProcess, parseOrderKey, type ProcessName, type Ticket } from "./orderKey.js";

type OrderReceived = Extract<OrdersMessage, { type: "order-received"; }>;

/** Options of the orders decision. */
export interface OrdersOptions {
    /** This process. */
    readonly identity: HostIdentity;
    readonly random: RandomSource;
    /** Added to the decision's clock, gives Unix time in milliseconds; hosts compare ticket generations by it. */
    readonly wallClockOffsetMilliseconds: number;
    /** Length of one ticket generation; by default 10 minutes. */
    readonly generationMilliseconds?: number;
    /** How many generations are accepted and remembered; by default 3. */
    readonly keptGenerations?: number;
    /** How long a claimed key is remembered; by default 30 minutes, and not less than the age of kept claims. */
    readonly claimRetentionMilliseconds?: number;
    /** How long a witness may take to answer; by default 1,000. */
    readonly witnessMilliseconds?: number;
    /** How long a claim may take; by default 2,000. */
    readonly claimMilliseconds?: number;
    /** How long a leaving host still begins orders of its own tickets; by default 0. */
    readonly acceptWhileLeavingMilliseconds?: number;
    /** Most keys remembered as owner, and as many as witness; by default 20,000. */
    readonly mostKeys?: number;
    /** Most bytes of results kept as owner, and as many as witness; by default 8 MiB. */
    readonly mostResultBytes?: number;
}

/** What the decision holds, for tests and for capacity figures. */
export interface OrdersSnapshot {
    readonly ownedKeys: number;
    readonly witnessedKeys: number;
    readonly waiting: number;
    readonly underWay: number;
}

/** The orders decision. */
export interface OrdersDecision extends Decision<OrdersMessage, OrdersEffect> {
    /**
     * Issues a ticket for an advertised host: its process is the owner, another live host the witness.
     *
     * @param owner The process that is advertised.
     * @returns The text that begins the keys of orders sent to that host.
     */
    ticketFor(owner: HostIdentity): string;
    snapshot(): OrdersSnapshot;
}

const DEFAULT_GENERATION_MILLISECONDS = 600_000;
const DEFAULT_KEPT_GENERATIONS = 3;
const DEFAULT_CLAIM_RETENTION_MILLISECONDS = 1_800_000;
const DEFAULT_WITNESS_MILLISECONDS = 1_000;
const DEFAULT_CLAIM_MILLISECONDS = 2_000;
const DEFAULT_MOST_KEYS = 20_000;
const DEFAULT_MOST_RESULT_BYTES = 8_388_608;
const DEFAULT_CALL_MILLISECONDS = 10_000;
const FULL_RETRY_MILLISECONDS = 5_000;
const NEW_TICKET_MESSAGE = "take a new address and repeat the order with a new key under its ticket";

/**
 * Creates the decision that runs non-idempotent orders at most once.
 *
 * @param options This process, a random source, the wall clock's offset, and bounds.
 * @returns The decision, which also issues tickets.
 *
 * @example
 * ```ts
 * const orders = createOrdersDecision({ identity, random: createSeededRandom(1), wallClockOffsetMilliseconds: 0 });
 * const key = `${orders.ticketFor(identity)}/reel-cut-4711`;
 * ```
 */
export function createOrdersDecision(options: OrdersOptions): OrdersDecision {
    const { identity, random } = options;
    const witnessMilliseconds = options.witnessMilliseconds ?? DEFAULT_WITNESS_MILLISECONDS;
    const claimRetention = options.claimRetentionMilliseconds ?? DEFAULT_CLAIM_RETENTION_MILLISECONDS;
    const bounds = {
        mostKeys: options.mostKeys ?? DEFAULT_MOST_KEYS,
        mostResultBytes: options.mostResultBytes ?? DEFAULT_MOST_RESULT_BYTES,
    };
    let effects: OrdersEffect[] = [];
    let deployment: Deployment | undefined;
    let peers: readonly HostIdentity[] = [];
    let leavingSinceMilliseconds: number | undefined;
    let now = 0;

    const emit = (effect: OrdersEffect): void => void effects.push(effect);
    const generations = createGenerations({
        wallClockOffsetMilliseconds: options.wallClockOffsetMilliseconds,
        generationMilliseconds: options.generationMilliseconds ?? DEFAULT_GENERATION_MILLISECONDS,
        keptGenerations: options.keptGenerations ?? DEFAULT_KEPT_GENERATIONS,
    });
    const waiters = createWaiters(emit);
    const ledger = createLedger(bounds);
    const witness = createWitness({ identity, generations, ...bounds });
    const issuer = createTicketIssuer({ random, candidates: () => [...peers, identity] });
    const dispatcher = createDispatcher({ emit, random, onOutcome: finishOwned });
    const idempotentCalls = createIdempotentCalls({ emit, random });
    const ticketOwner = createTicketOwner({
        emit,
        witnessMilliseconds,
        onRecorded: dispatch,
        onRefused: (order, outcome) => settle(order.key, outcome),
        onWitnessLost: (lost, at) => issuer.avoid(lost, at),
    });
    const forwarder = createForwarder({
        emit,
        witnessMilliseconds,
        findPeer: name => findProcess(peers, name),
        askOwnWitness: (name, request) => isSameProcess(name, identity) ? witness.ask(request) : undefined,
        onOutcome: (key, outcome) => waiters.answer(key, outcome),
    });
    const claims = createClaims({
        emit,
        claimMilliseconds: options.claimMilliseconds ?? DEFAULT_CLAIM_MILLISECONDS,
        retentionMilliseconds: claimRetention,
        isAwaited: key => waiters.countOf(key) > 0,
        onClaimed: runClaimed,
        onClaimedByAnother: (order, claimer) => forward(order, claimer, undefined),
        onRefused: (key, outcome) => waiters.answer(key, outcome),
    });

    function reply(identifier: string, outcome: OrderOutcome): void {
        emit({ type: "reply", identifier, outcome });
    }

    /** Gives a key its outcome, for those who wait and those who will ask again. */
    function settle(key: string, outcome: OrderOutcome): void {
        ledger.finish(key, outcome);
        waiters.answer(key, outcome);
    }

    function finishOwned(key: string, outcome: OrderOutcome): void {
        const first = ledger.find(key);
        if (first === undefined || (first.outcome !== undefined && !mayHaveRun(first.outcome))) {
            return;
        }
        settle(key, outcome);
        const ticket = ticketOf(key);
        const named = ticket === undefined ? undefined : witnessOf(ticket);
        if (named !== undefined) {
            ticketOwner.report(key, named, outcome, now);
        }
    }

    function ticketOf(key: string): Ticket | undefined {
        return parseOrderKey(key).map(parsed => parsed.ticket).unwrapOr(undefined);
    }

    function witnessOf(ticket: Ticket): ProcessName | undefined {
        return ticket.witness === undefined || isSameProcess(ticket.witness, identity) ? undefined : ticket.witness;
    }

    function dispatch(order: Order, call: FoundCall, at: number): void {
        const ticket = ticketOf(order.key);
        if (ticket !== undefined) {
            generations.noteDispatch(ticket.generation);
        }
        dispatcher.start(order, call, at);
    }

    function receive({ identifier, order, from }: OrderReceived): void {
        const call = findCall(deployment, order);
        if (call.isOk() && call.value.idempotent) {
            idempotentCalls.begin(identifier, order, call.value, now);
            return;
        }
        if (order.key === "") {
            const missing = refuse("missing-order-key", "not-run", {
                message: "this call may not be repeated: it needs an Idempotency-Key",
            });
            reply(identifier, call.isErr() ? call.error : missing);
            return;
        }
        const parsed = parseOrderKey(order.key);
        if (parsed.isErr()) {
            reply(identifier, refuse("malformed-order-key", "not-run", { message: parsed.error.message }));
            return;
        }
        receiveKeyed(identifier, order, { ticket: parsed.value.ticket, from });
    }

    function receiveKeyed(
        identifier: string,
        order: Order,
        { ticket, from }: { readonly ticket: Ticket | undefined; readonly from: OrderReceived["from"]; },
    ): void {
        if (joinKnown(identifier, order)) {
            return;
        }
        const owned = ticket !== undefined && isSameProcess(ticket.owner, identity);
        if (owned) {
            receiveOwned(identifier, order, ticket);
            return;
        }
        if (from === "peer") {
            reply(identifier, WRONG_OWNER);
            return;
        }
        waiters.join(order.key, identifier);
        if (ticket === undefined) {
            claims.begin(order, now);
            return;
        }
        forward(order, ticket.owner, ticket.witness);
    }

    /** Answers a key that this host already deals with; a repeat waits for, or gets, the first outcome. */
    function joinKnown(identifier: string, order: Order): boolean {
        const entry = ledger.find(order.key);
        const first = entry ?? forwarder.find(order.key) ?? claims.find(order.key);
        if (first === undefined) {
            return false;
        }
        if (first.bodyHash !== order.bodyHash) {
            reply(identifier, refuseReusedKey(entry?.outcome));
            return true;
        }
        if (entry?.outcome !== undefined) {
            reply(identifier, entry.outcome);
            return true;
        }
        waiters.join(order.key, identifier);
        if (claims.find(order.key) !== undefined) {
            claims.begin(order, now);
        }
        return true;
    }

    function receiveOwned(identifier: string, order: Order, ticket: Ticket): void {
        const refusal = refuseUnstorable(ticket);
        if (refusal !== undefined) {
            reply(identifier, refusal);
            return;
        }
        waiters.join(order.key, identifier);
        open(order, { type: "generation", generation: ticket.generation });
        const call = refuseLeaving() ?? findCall(deployment, order);
        if ("reason" in call) {
            settle(order.key, call);
        }
        else if (call.isErr()) {
            settle(order.key, call.error);
        }
        else {
            runOwned(order, ticket, call.value);
        }
    }

    function runOwned(order: Order, ticket: Ticket, call: FoundCall): void {
        const named = witnessOf(ticket);
        if (named === undefined) {
            dispatch(order, call, now);
            return;
        }
        ticketOwner.begin(order, call, named, now);
    }

    function open(order: Order, retention: Retention): void {
        ledger.open(order.key, order.bodyHash, retention);
    }

    function refuseUnstorable({ generation }: Ticket): RefusedOutcome | undefined {
        const standing = generations.standingOf(generation);
        if (standing !== "accepted") {
            const ran = standing === "expired" ? "may-have-run" : "not-run";
            const message = ran === "not-run" ? NEW_TICKET_MESSAGE : "what became of this key is no longer known";
            return refuse("ticket-expired", ran, { message });
        }
        const message = "this host remembers too many orders";
        const retryAfterMilliseconds = FULL_RETRY_MILLISECONDS;
        return ledger.isFull ? refuse("queue-full", "not-run", { message, retryAfterMilliseconds }) : undefined;
    }

    function refuseLeaving(): RefusedOutcome | undefined {
        if (leavingSinceMilliseconds === undefined) {
            return undefined;
        }
        if (now < leavingSinceMilliseconds + (options.acceptWhileLeavingMilliseconds ?? 0)) {
            return undefined;
        }
        return refuse("host-leaving", "not-run", { message: NEW_TICKET_MESSAGE, retryAfterMilliseconds: 0 });
    }

    function runClaimed(order: Order, at: number): void {
        open(order, { type: "until", untilMilliseconds: at + claimRetention });
        const call = findCall(deployment, order);
        if (call.isErr()) {
            settle(order.key, call.error);
            return;
        }
        dispatch(order, call.value, at);
    }

    function forward(order: Order, owner: ProcessName, named: ProcessName | undefined): void {
        const call = findCall(deployment, order);
        const callMilliseconds = call.isOk() ? call.value.timeoutMilliseconds : DEFAULT_CALL_MILLISECONDS;
        forwarder.begin(order, { owner, witness: named, callMilliseconds }, now);
    }

    function isForwarded(key: string, bodyHash: string | undefined): boolean {
        return bodyHash === undefined || forwarder.find(key)?.bodyHash === bodyHash;
    }

    function witnessAnswered(message: Extract<OrdersMessage, { type: "witness-answered"; }>): void {
        const { key, request, answer } = message;
        if (request === "seal") {
            forwarder.sealAnswered(key, answer, now);
            return;
        }
        ticketOwner.answered(key, request, answer, now);
    }

    function dispatchAnswered({ key, result }: Extract<OrdersMessage, { type: "dispatch-answered"; }>): void {
        if (idempotentCalls.has(key)) {
            idempotentCalls.answered(key, result);
            return;
        }
        if (dispatcher.has(key) || ledger.find(key)?.outcome !== undefined) {
            dispatcher.answered(key, result);
        }
    }

    function dispatchFailed(message: Extract<OrdersMessage, { type: "dispatch-failed"; }>): void {
        if (idempotentCalls.has(message.key)) {
            idempotentCalls.failed(message.key, message, now);
            return;
        }
        dispatcher.failed(message.key, message, now);
    }

    function witnessAsked(identifier: string, request: WitnessRequest): void {
        emit({ type: "answer-witness", identifier, answer: witness.ask(request) });
    }

    function abandon(identifier: string): void {
        waiters.abandon(identifier);
        idempotentCalls.abandon(identifier);
    }

    function tick(): void {
        ledger.forget(generations.floor, now);
        witness.forget();
        dispatcher.tick(now);
        ticketOwner.tick(now);
        forwarder.tick(now);
        claims.tick(now);
        idempotentCalls.tick(now);
    }

    function changePeers(identities: readonly HostIdentity[]): void {
        peers = identities.filter(({ host }) => host !== identity.host);
        forwarder.peersChanged(now);
    }

    function route(received: OrdersMessage): void {
        match(received)
            .with({ type: "deployment" }, message => void (deployment = message.deployment))
            .with({ type: "peers" }, ({ identities }) => changePeers(identities))
            .with({ type: "order-received" }, receive)
            .with({ type: "abandoned" }, ({ identifier }) => abandon(identifier))
            .with({ type: "forward-answered" }, ({ key, outcome, bodyHash }) => {
                if (isForwarded(key, bodyHash)) {
                    forwarder.answered(key, outcome, now);
                }
            })
            .with({ type: "forward-failed" }, ({ key, bodyHash }) => {
                if (isForwarded(key, bodyHash)) {
                    forwarder.failed(key, now);
                }
            })
            .with({ type: "witness-answered" }, witnessAnswered)
            .with({ type: "witness-failed" }, ({ key, request }) => ticketOwner.failed(key, request, now))
            .with({ type: "witness-asked" }, ({ identifier, request }) => witnessAsked(identifier, request))
            .with({ type: "dispatch-answered" }, dispatchAnswered)
            .with({ type: "dispatch-failed" }, dispatchFailed)
            .with({ type: "claim-answered" }, message => claims.answered(message, now))
            .with({ type: "claim-failed" }, ({ key }) => claims.failed(key, now))
            .with({ type: "leave" }, () => void (leavingSinceMilliseconds ??= now))
            .with({ type: "tick" }, tick)
            .exhaustive();
    }

    function handle(message: OrdersMessage, nowMilliseconds: number): readonly OrdersEffect[] {
        effects = [];
        now = nowMilliseconds;
        generations.advance(now);
        issuer.advance(now);
        route(message);
        return effects;
    }

    return {
        handle,
        ticketFor: owner => issuer.issue(owner, generations.current),
        snapshot: () => ({
            ownedKeys: ledger.size,
            witnessedKeys: witness.size,
            waiting: waiters.total,
            underWay: dispatcher.size + ticketOwner.size + forwarder.size + claims.size + idempotentCalls.size,
        }),
    };
}
