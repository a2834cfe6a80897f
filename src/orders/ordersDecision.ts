/**
 * Orders of plain services, run at most once.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { findCall } from "./_calls.js";
import { createClaims } from "./_claims.js";
import { WRONG_OWNER } from "./_forward.js";
import { createForwarder } from "./_forwarder.js";
import { createGenerations } from "./_generations.js";
import { createIdempotentCalls } from "./_idempotentCalls.js";
import { createInquiries } from "./_inquiry.js";
import { refuse, refuseReusedKey } from "./_outcomes.js";
import { createOwnedOrders } from "./_ownedOrders.js";
import { createPeers } from "./_peers.js";
import { createTicketIssuer } from "./_ticketIssuer.js";
import { createWaiters } from "./_waiters.js";
import { createWitness } from "./_witness.js";
import { type Order, type OrdersEffect, type OrdersMessage } from "./messages.js";
import { isSameProcess, parseOrderKey, type ProcessName, type Ticket, ticketOf } from "./orderKey.js";
import { type OrdersOptions, withDefaults } from "./ordersOptions.js";

type OrderReceived = Extract<OrdersMessage, { type: "order-received"; }>;

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

const DEFAULT_CALL_MILLISECONDS = 10_000;
const SWEEP_INTERVAL_MILLISECONDS = 1_000;
/** How much longer than an inquiry a hold lasts. */
const HOLDS_PER_INQUIRY = 3;

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
    const settings = withDefaults(options);
    const { identity, random, witnessMilliseconds } = settings;
    let effects: OrdersEffect[] = [];
    let deployment: Deployment | undefined;
    let isLeaving = false;
    let leavingHosts: ReadonlySet<string> = new Set();
    let startedAtMilliseconds: number | undefined;
    let sweepAtMilliseconds = 0;
    let sweptFloor = 0;
    let now = 0;

    const emit = (effect: OrdersEffect): void => void effects.push(effect);
    const generations = createGenerations(settings);
    const waiters = createWaiters(emit);
    const answerWaiters = (key: string, outcome: OrderOutcome): void => waiters.answer(key, outcome);
    const peers = createPeers({ ...settings, lostMilliseconds: settings.claimRetentionMilliseconds });
    const witness = createWitness({ ...settings, generations });
    const issuer = createTicketIssuer({ random, candidates: listWitnesses });
    const idempotentCalls = createIdempotentCalls({ emit, random });
    const owned = createOwnedOrders({
        emit,
        settings,
        random,
        waiters,
        generations,
        deployment: () => deployment,
        onWitnessLost: (lost, at) => issuer.avoid(lost, at),
    });
    const forwarder = createForwarder({
        emit,
        witnessMilliseconds,
        findPeer: name => peers.find(name),
        wasKnown: name => peers.wasKnown(name),
        settleMilliseconds: settings.settleMilliseconds,
        askOwnWitness: (name, request) => isSameProcess(name, identity) ? witness.ask(request) : undefined,
        onOutcome: answerWaiters,
    });
    const inquiries = createInquiries({
        emit,
        peers,
        inquiryMilliseconds: witnessMilliseconds,
        onOutcome: answerWaiters,
        onFound: (order, at) => forward(order, at, undefined),
    });
    const claims = createClaims({
        emit,
        claimMilliseconds: settings.claimMilliseconds,
        isAwaited: key => waiters.countOf(key) > 0,
        onClaimed: (order, at) => owned.runClaimed(order, at),
        onClaimedByAnother: (order, claimer) => forward(order, claimer, undefined),
        onUnclaimed: (order, absentSince, at) => inquiries.begin(order, absentSince, at),
        onRefused: answerWaiters,
    });

    function listWitnesses(): readonly HostIdentity[] {
        const candidates = isLeaving ? peers.live : [...peers.live, identity];
        return candidates.filter(({ host }) => !leavingHosts.has(host));
    }

    function settledAtMilliseconds(): number {
        return (startedAtMilliseconds ?? now) + settings.settleMilliseconds;
    }

    function reply(identifier: string, outcome: OrderOutcome): void {
        emit({ type: "reply", identifier, outcome });
    }

    function receive({ identifier, order, from }: OrderReceived): void {
        const call = findCall(deployment, order);
        if (call.isOk() && call.value.idempotent) {
            idempotentCalls.begin(identifier, order, call.value, now);
            return;
        }
        if (order.key === "") {
            const message = "this call may not be repeated: it needs an Idempotency-Key";
            reply(identifier, call.isErr() ? call.error : refuse("missing-order-key", "not-run", { message }));
            return;
        }
        const parsed = parseOrderKey(order.key);
        if (parsed.isErr()) {
            reply(identifier, refuse("malformed-order-key", "not-run", { message: parsed.error.message }));
            return;
        }
        if (!joinKnown(identifier, order)) {
            receiveNew(identifier, order, { ticket: parsed.value.ticket, from });
        }
    }

    function receiveNew(
        identifier: string,
        order: Order,
        { ticket, from }: { readonly ticket: Ticket | undefined; readonly from: OrderReceived["from"]; },
    ): void {
        if (ticket === undefined) {
            waiters.join(order.key, identifier);
            claims.hold(order.key, settledAtMilliseconds());
            claims.begin(order, now);
            return;
        }
        if (isSameProcess(ticket.owner, identity)) {
            owned.receive(identifier, order, ticket, now);
            return;
        }
        if (from === "peer") {
            reply(identifier, WRONG_OWNER);
            return;
        }
        waiters.join(order.key, identifier);
        forward(order, ticket.owner, ticket.witness);
    }

    /** Answers a key that this host already deals with; a repeat waits for, or gets, the first outcome. */
    function joinKnown(identifier: string, order: Order): boolean {
        const { key, bodyHash } = order;
        const entry = owned.find(key);
        const first = entry ?? forwarder.find(key) ?? claims.find(key) ?? inquiries.find(key);
        if (first === undefined) {
            return false;
        }
        if (first.bodyHash !== bodyHash) {
            reply(identifier, refuseReusedKey(entry?.outcome));
        }
        else if (entry?.outcome !== undefined) {
            reply(identifier, entry.outcome);
        }
        else {
            waiters.join(key, identifier);
        }
        return true;
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
        if (request !== "seal") {
            owned.witnessAnswered(key, request, answer, now);
        }
        else if (ticketOf(key) === undefined) {
            inquiries.answered(key, message.witness, answer, now);
        }
        else {
            forwarder.sealAnswered(key, answer, now);
        }
    }

    function witnessFailed({ key, request }: Extract<OrdersMessage, { type: "witness-failed"; }>): void {
        if (request === "seal") {
            inquiries.failed(key);
            return;
        }
        owned.witnessFailed(key, request, now);
    }

    function witnessAsked(identifier: string, request: WitnessRequest): void {
        const bare = request.type === "seal" && ticketOf(request.key) === undefined;
        emit({ type: "answer-witness", identifier, answer: bare ? holdBare(request) : witness.ask(request) });
    }

    /** Says what this process did with a key without a ticket, and keeps from passing it on for a while. */
    function holdBare({ key, witnessIncarnation }: WitnessRequest): WitnessAnswer {
        if (witnessIncarnation !== identity.incarnation) {
            return { type: "other-incarnation" };
        }
        const entry = owned.find(key);
        if (entry?.outcome !== undefined) {
            return { type: "finished", bodyHash: entry.bodyHash, outcome: entry.outcome };
        }
        if (entry !== undefined || forwarder.find(key) !== undefined) {
            return { type: "dispatched" };
        }
        claims.hold(key, now + HOLDS_PER_INQUIRY * witnessMilliseconds);
        return { type: "sealed" };
    }

    function dispatchAnswered({ key, result }: Extract<OrdersMessage, { type: "dispatch-answered"; }>): void {
        if (idempotentCalls.has(key)) {
            idempotentCalls.answered(key, result);
            return;
        }
        owned.dispatchAnswered(key, result, now);
    }

    function dispatchFailed(message: Extract<OrdersMessage, { type: "dispatch-failed"; }>): void {
        if (idempotentCalls.has(message.key)) {
            idempotentCalls.failed(message.key, message, now);
            return;
        }
        owned.dispatchFailed(message.key, message, now);
    }

    function abandon(identifier: string): void {
        waiters.abandon(identifier);
        idempotentCalls.abandon(identifier);
    }

    function changePeers(identities: readonly HostIdentity[], leaving: readonly string[] = []): void {
        leavingHosts = new Set(leaving);
        peers.change(identities, now);
        forwarder.peersChanged(now);
    }

    function leave(): void {
        isLeaving = true;
        owned.leave(now);
    }

    function sweep(): void {
        owned.forget(now);
        witness.forget();
        peers.forget(now);
    }

    function tick(): void {
        if (now >= sweepAtMilliseconds || generations.floor !== sweptFloor) {
            sweepAtMilliseconds = now + SWEEP_INTERVAL_MILLISECONDS;
            sweptFloor = generations.floor;
            sweep();
        }
        owned.tick(now);
        forwarder.tick(now);
        claims.tick(now);
        inquiries.tick(now);
        idempotentCalls.tick(now);
    }

    function route(received: OrdersMessage): void {
        match(received)
            .with({ type: "deployment" }, message => void (deployment = message.deployment))
            .with({ type: "peers" }, ({ identities, leaving }) => changePeers(identities, leaving))
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
            .with({ type: "witness-failed" }, witnessFailed)
            .with({ type: "witness-asked" }, ({ identifier, request }) => witnessAsked(identifier, request))
            .with({ type: "dispatch-answered" }, dispatchAnswered)
            .with({ type: "dispatch-failed" }, dispatchFailed)
            .with({ type: "claim-answered" }, message => claims.answered(message, now))
            .with({ type: "claim-failed" }, message => claims.failed(message.key, message.absentSinceMilliseconds, now))
            .with({ type: "leave" }, leave)
            .with({ type: "tick" }, tick)
            .exhaustive();
    }

    function start(): void {
        startedAtMilliseconds = now;
        peers.start(now);
    }

    function handle(message: OrdersMessage, nowMilliseconds: number): readonly OrdersEffect[] {
        effects = [];
        now = nowMilliseconds;
        if (startedAtMilliseconds === undefined) {
            start();
        }
        generations.advance(now);
        issuer.advance(now);
        route(message);
        return effects;
    }

    return {
        handle,
        ticketFor: owner => issuer.issue(owner, generations.current),
        snapshot: () => ({
            ownedKeys: owned.size,
            witnessedKeys: witness.size,
            waiting: waiters.total,
            underWay: owned.underWay + forwarder.size + claims.size + inquiries.size + idempotentCalls.size,
        }),
    };
}
