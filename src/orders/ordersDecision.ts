/**
 * Runs orders of plain services at most once; routes each message to the part that handles it.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { findCall } from "./_calls.js";
import { createClaims } from "./_claims.js";
import { WRONG_OWNER_REFUSAL } from "./_forward.js";
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

/** Numbers of keys and requests that the decision holds, for tests and for capacity figures. */
export interface OrdersSnapshot {
    readonly ownedKeys: number;
    readonly witnessedKeys: number;
    /** Requests that have no reply yet. */
    readonly waiting: number;
    /** Orders and idempotent calls without an outcome, and outcomes that their witness has not confirmed. */
    readonly inProgress: number;
}

/** Decides which process runs an order, and which outcome its callers get. */
export interface OrdersDecision extends Decision<OrdersMessage, OrdersEffect> {
    /**
     * Issues a ticket for an advertised host: its process becomes the owner, another live host's process the witness.
     *
     * @param owner The advertised process.
     * @returns The prefix of the keys of orders sent to that host.
     */
    ticketFor(owner: HostIdentity): string;
    snapshot(): OrdersSnapshot;
}

const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 10_000;
const SWEEP_INTERVAL_MILLISECONDS = 1_000;
/** Length of a hold, in inquiry time limits. */
const HOLD_TO_INQUIRY_RATIO = 3;

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
    const { identity, random, witnessTimeoutMilliseconds } = settings;
    let effects: OrdersEffect[] = [];
    let deployment: Deployment | undefined;
    let isLeaving = false;
    let leavingHosts: ReadonlySet<string> = new Set();
    let startedAtMilliseconds: number | undefined;
    let sweepAtMilliseconds = 0;
    let sweptLowestAccepted = 0;
    let now = 0;

    const emit = (effect: OrdersEffect): void => void effects.push(effect);
    const generations = createGenerations(settings);
    const waiters = createWaiters(emit);
    const answerWaiters = (key: string, outcome: OrderOutcome): void => waiters.answer(key, outcome);
    const peers = createPeers({ ...settings, lostRetentionMilliseconds: settings.claimRetentionMilliseconds });
    const witness = createWitness({ ...settings, generations });
    const issuer = createTicketIssuer({ random, candidates: listWitnessCandidates });
    const idempotentCalls = createIdempotentCalls({ emit, random });
    const owned = createOwnedOrders({
        emit,
        settings,
        random,
        waiters,
        generations,
        deployment: () => deployment,
        onWitnessFailed: (unresponsive, atMilliseconds) => issuer.avoid(unresponsive, atMilliseconds),
    });
    const forwarder = createForwarder({
        emit,
        witnessTimeoutMilliseconds,
        findPeer: name => peers.find(name),
        wasKnown: name => peers.wasKnown(name),
        peerDiscoveryMilliseconds: settings.peerDiscoveryMilliseconds,
        requestLocalWitness: (name, request) =>
            isSameProcess(name, identity) ? witness.handleRequest(request) : undefined,
        onOutcome: answerWaiters,
    });
    const inquiries = createInquiries({
        emit,
        peers,
        inquiryTimeoutMilliseconds: witnessTimeoutMilliseconds,
        onOutcome: answerWaiters,
        onDispatched: (order, owner) => forward(order, owner, undefined),
    });
    const claims = createClaims({
        emit,
        claimTimeoutMilliseconds: settings.claimTimeoutMilliseconds,
        hasWaiters: key => waiters.countOf(key) > 0,
        onClaimed: (order, atMilliseconds) => owned.runClaimed(order, atMilliseconds),
        onClaimedByAnother: (order, claimer) => forward(order, claimer, undefined),
        onUnclaimed: (order, absentSinceMilliseconds, atMilliseconds) =>
            inquiries.begin(order, absentSinceMilliseconds, atMilliseconds),
        onRefused: answerWaiters,
    });

    function listWitnessCandidates(): readonly HostIdentity[] {
        const candidates = isLeaving ? peers.live : [...peers.live, identity];
        return candidates.filter(({ host }) => !leavingHosts.has(host));
    }

    function knownToPeersAtMilliseconds(): number {
        return (startedAtMilliseconds ?? now) + settings.peerDiscoveryMilliseconds;
    }

    function reply(identifier: string, outcome: OrderOutcome): void {
        emit({ type: "reply", identifier, outcome });
    }

    function receiveOrder({ identifier, order, from }: OrderReceived): void {
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
        if (!joinExisting(identifier, order)) {
            receiveNewOrder(identifier, order, { ticket: parsed.value.ticket, from });
        }
    }

    function receiveNewOrder(
        identifier: string,
        order: Order,
        { ticket, from }: { readonly ticket: Ticket | undefined; readonly from: OrderReceived["from"]; },
    ): void {
        if (ticket === undefined) {
            waiters.join(order.key, identifier);
            claims.hold(order.key, knownToPeersAtMilliseconds());
            claims.begin(order, now);
            return;
        }
        if (isSameProcess(ticket.owner, identity)) {
            owned.receive(identifier, order, ticket, now);
            return;
        }
        if (from === "peer") {
            reply(identifier, WRONG_OWNER_REFUSAL);
            return;
        }
        waiters.join(order.key, identifier);
        forward(order, ticket.owner, ticket.witness);
    }

    /** Answers an order whose key this host already handles: a retry gets the first outcome, or waits for it. */
    function joinExisting(identifier: string, order: Order): boolean {
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

    function forward(order: Order, owner: ProcessName, ticketWitness: ProcessName | undefined): void {
        const call = findCall(deployment, order);
        const callTimeoutMilliseconds = call.isOk()
            ? call.value.timeoutMilliseconds
            : DEFAULT_CALL_TIMEOUT_MILLISECONDS;
        forwarder.begin(order, { owner, witness: ticketWitness, callTimeoutMilliseconds }, now);
    }

    function isCurrentForward(key: string, bodyHash: string | undefined): boolean {
        return bodyHash === undefined || forwarder.find(key)?.bodyHash === bodyHash;
    }

    function handleWitnessAnswer(message: Extract<OrdersMessage, { type: "witness-answered"; }>): void {
        const { key, request, answer } = message;
        if (request !== "seal") {
            owned.handleWitnessAnswer(key, request, answer, now);
        }
        else if (ticketOf(key) === undefined) {
            inquiries.handleAnswer(key, message.witness, answer, now);
        }
        else {
            forwarder.handleSealAnswer(key, answer, now);
        }
    }

    function handleWitnessFailure({ key, request }: Extract<OrdersMessage, { type: "witness-failed"; }>): void {
        if (request === "seal") {
            inquiries.handleFailure(key);
            return;
        }
        owned.handleWitnessFailure(key, request, now);
    }

    function handleWitnessRequest(identifier: string, request: WitnessRequest): void {
        const hasNoTicket = request.type === "seal" && ticketOf(request.key) === undefined;
        emit({
            type: "answer-witness",
            identifier,
            answer: hasNoTicket ? holdKeyWithoutTicket(request) : witness.handleRequest(request),
        });
    }

    /** Reports the state of a key without a ticket; where it was not dispatched, holds it back on this host for a while. */
    function holdKeyWithoutTicket({ key, witnessIncarnation }: WitnessRequest): WitnessAnswer {
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
        claims.hold(key, now + HOLD_TO_INQUIRY_RATIO * witnessTimeoutMilliseconds);
        return { type: "sealed" };
    }

    function handleDispatchResult({ key, result }: Extract<OrdersMessage, { type: "dispatch-answered"; }>): void {
        if (idempotentCalls.has(key)) {
            idempotentCalls.handleResult(key, result);
            return;
        }
        owned.handleDispatchResult(key, result, now);
    }

    function handleDispatchFailure(message: Extract<OrdersMessage, { type: "dispatch-failed"; }>): void {
        if (idempotentCalls.has(message.key)) {
            idempotentCalls.handleFailure(message.key, message, now);
            return;
        }
        owned.handleDispatchFailure(message.key, message, now);
    }

    function abandon(identifier: string): void {
        waiters.abandon(identifier);
        idempotentCalls.abandon(identifier);
    }

    function updatePeers(identities: readonly HostIdentity[], leaving: readonly string[] = []): void {
        leavingHosts = new Set(leaving);
        peers.update(identities, now);
        forwarder.handlePeersChanged(now);
    }

    function leave(): void {
        isLeaving = true;
        owned.leave(now);
    }

    function sweep(): void {
        owned.dropExpired(now);
        witness.dropExpired();
        peers.dropExpired(now);
    }

    function tick(): void {
        if (now >= sweepAtMilliseconds || generations.lowestAccepted !== sweptLowestAccepted) {
            sweepAtMilliseconds = now + SWEEP_INTERVAL_MILLISECONDS;
            sweptLowestAccepted = generations.lowestAccepted;
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
            .with({ type: "peers" }, ({ identities, leaving }) => updatePeers(identities, leaving))
            .with({ type: "order-received" }, receiveOrder)
            .with({ type: "abandoned" }, ({ identifier }) => abandon(identifier))
            .with({ type: "forward-answered" }, ({ key, outcome, bodyHash }) => {
                if (isCurrentForward(key, bodyHash)) {
                    forwarder.handleAnswer(key, outcome, now);
                }
            })
            .with({ type: "forward-failed" }, ({ key, bodyHash }) => {
                if (isCurrentForward(key, bodyHash)) {
                    forwarder.handleFailure(key, now);
                }
            })
            .with({ type: "witness-answered" }, handleWitnessAnswer)
            .with({ type: "witness-failed" }, handleWitnessFailure)
            .with({ type: "witness-asked" }, ({ identifier, request }) => handleWitnessRequest(identifier, request))
            .with({ type: "dispatch-answered" }, handleDispatchResult)
            .with({ type: "dispatch-failed" }, handleDispatchFailure)
            .with({ type: "claim-answered" }, message => claims.handleAnswer(message, now))
            .with(
                { type: "claim-failed" },
                message => claims.handleFailure(message.key, message.absentSinceMilliseconds, now),
            )
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
        issuer.expireAvoidances(now);
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
            inProgress: owned.inProgress + forwarder.size + claims.size + inquiries.size + idempotentCalls.size,
        }),
    };
}
