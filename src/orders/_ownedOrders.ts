/**
 * Runs the orders that this process owns: those of its own tickets, and those whose key it has claimed.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type OrderOutcome, type OrderResult, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type CallTarget, findCall } from "./_calls.js";
import { createDispatcher, type DispatchFailure } from "./_dispatcher.js";
import { type Generations, type GenerationStatus } from "./_generations.js";
import { createLedger, type LedgerEntry } from "./_ledger.js";
import { mayHaveRun, refuse, type RefusedOutcome } from "./_outcomes.js";
import { createTicketOwner } from "./_ticketOwner.js";
import { type Waiters } from "./_waiters.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { isSameProcess, type ProcessName, type Ticket, ticketOf } from "./orderKey.js";
import { type OrdersOptions } from "./ordersOptions.js";

/** Orders that this process owns: no other process may run them. */
export interface OwnedOrders {
    find(key: string): LedgerEntry | undefined;
    /** Runs or refuses an order of one of this process's tickets whose key is not known yet. */
    receive(identifier: string, order: Order, ticket: Ticket, nowMilliseconds: number): void;
    /** Runs an order whose key this process has claimed. */
    runClaimed(order: Order, nowMilliseconds: number): void;
    handleWitnessAnswer(
        key: string,
        request: WitnessRequest["type"],
        answer: WitnessAnswer,
        nowMilliseconds: number,
    ): void;
    handleWitnessFailure(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void;
    handleDispatchResult(key: string, result: OrderResult, nowMilliseconds: number): void;
    handleDispatchFailure(key: string, failure: DispatchFailure, nowMilliseconds: number): void;
    leave(nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    /** Drops keys whose retention has ended. */
    dropExpired(nowMilliseconds: number): void;
    readonly size: number;
    readonly inProgress: number;
}

/** Options of the owned orders. */
export interface OwnedOrdersOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly settings: Required<OrdersOptions>;
    readonly random: RandomSource;
    readonly waiters: Waiters;
    readonly generations: Generations;
    readonly deployment: () => Deployment | undefined;
    readonly onWitnessFailed: (witness: ProcessName, nowMilliseconds: number) => void;
}

const FULL_RETRY_AFTER_MILLISECONDS = 5_000;
const NEW_TICKET_MESSAGE = "take a new address and repeat the order with a new key under its ticket";

const TICKET_AHEAD_REFUSAL = refuse("ticket-expired", "not-run", {
    message: `the ticket lies ahead of this host's clock; ${NEW_TICKET_MESSAGE}`,
});

/** Creates an empty set of orders. */
export function createOwnedOrders(options: OwnedOrdersOptions): OwnedOrders {
    const { emit, settings, waiters, generations } = options;
    const ledger = createLedger(settings);
    const dispatcher = createDispatcher({ emit, random: options.random, onOutcome: finish });
    const ticketOwner = createTicketOwner({
        emit,
        witnessTimeoutMilliseconds: settings.witnessTimeoutMilliseconds,
        onRecorded: dispatch,
        onRefused: (order, outcome) => settle(order.key, outcome),
        onWitnessFailed: options.onWitnessFailed,
    });
    let leavingSinceMilliseconds: number | undefined;

    /** Records the outcome of a key for later retries, and sends it to the requests that wait for it. */
    function settle(key: string, outcome: OrderOutcome): void {
        ledger.finish(key, outcome);
        waiters.answer(key, outcome);
    }

    function finish(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        settle(key, outcome);
        const witness = witnessOf(ticketOf(key));
        if (witness !== undefined) {
            ticketOwner.reportOutcome(key, witness, outcome, nowMilliseconds);
        }
    }

    function witnessOf(ticket: Ticket | undefined): ProcessName | undefined {
        const witness = ticket?.witness;
        return witness === undefined || isSameProcess(witness, settings.identity) ? undefined : witness;
    }

    function dispatch(order: Order, call: CallTarget, nowMilliseconds: number): void {
        const ticket = ticketOf(order.key);
        if (ticket !== undefined) {
            generations.recordDispatch(ticket.generation);
        }
        dispatcher.start(order, call, nowMilliseconds);
    }

    function receive(identifier: string, order: Order, ticket: Ticket, nowMilliseconds: number): void {
        const status = generations.statusOf(ticket.generation);
        const refusal = refuseExpiredOrFull(status);
        if (refusal !== undefined) {
            emit({ type: "reply", identifier, outcome: refusal });
            return;
        }
        waiters.join(order.key, identifier);
        ledger.open(order.key, order.bodyHash, { type: "generation", generation: ticket.generation });
        const refused = status === "ahead" ? TICKET_AHEAD_REFUSAL : refuseLeaving(nowMilliseconds);
        const call = findCall(options.deployment(), order);
        if (refused !== undefined || call.isErr()) {
            settle(order.key, refused ?? call.unwrapErr());
            return;
        }
        run(order, ticket, call.value, nowMilliseconds);
    }

    function run(order: Order, ticket: Ticket, call: CallTarget, nowMilliseconds: number): void {
        const witness = witnessOf(ticket);
        if (witness === undefined) {
            dispatch(order, call, nowMilliseconds);
            return;
        }
        ticketOwner.begin(order, call, witness, nowMilliseconds);
    }

    /** Refuses an order whose key can't be remembered. */
    function refuseExpiredOrFull(status: GenerationStatus): RefusedOutcome | undefined {
        if (status === "expired") {
            const message = "what became of this key is no longer known";
            return refuse("ticket-expired", "may-have-run", { message });
        }
        if (status === "expired-not-run" || status === "far-ahead") {
            return refuse("ticket-expired", "not-run", { message: NEW_TICKET_MESSAGE });
        }
        const message = "this host remembers too many orders";
        const retryAfterMilliseconds = FULL_RETRY_AFTER_MILLISECONDS;
        return ledger.isFull ? refuse("queue-full", "not-run", { message, retryAfterMilliseconds }) : undefined;
    }

    function refuseLeaving(nowMilliseconds: number): RefusedOutcome | undefined {
        const graceMilliseconds = settings.acceptWhileLeavingMilliseconds;
        if (leavingSinceMilliseconds === undefined || nowMilliseconds < leavingSinceMilliseconds + graceMilliseconds) {
            return undefined;
        }
        return refuse("host-leaving", "not-run", { message: NEW_TICKET_MESSAGE, retryAfterMilliseconds: 0 });
    }

    function runClaimed(order: Order, nowMilliseconds: number): void {
        const untilMilliseconds = nowMilliseconds + settings.claimRetentionMilliseconds;
        ledger.open(order.key, order.bodyHash, { type: "until", untilMilliseconds });
        const call = findCall(options.deployment(), order);
        if (call.isErr()) {
            settle(order.key, call.error);
            return;
        }
        dispatch(order, call.value, nowMilliseconds);
    }

    /** Accepts a result also after the outcome `may-have-run`, but never for a key that was not dispatched. */
    function handleDispatchResult(key: string, result: OrderResult, nowMilliseconds: number): void {
        const outcome = ledger.find(key)?.outcome;
        if (dispatcher.has(key) || (outcome?.type === "refused" && mayHaveRun(outcome))) {
            dispatcher.handleResult(key, result, nowMilliseconds);
        }
    }

    function tick(nowMilliseconds: number): void {
        dispatcher.tick(nowMilliseconds);
        ticketOwner.tick(nowMilliseconds);
    }

    return {
        receive,
        runClaimed,
        handleDispatchResult,
        tick,
        dropExpired: nowMilliseconds => ledger.dropExpired(generations.lowestAccepted, nowMilliseconds),
        find: key => ledger.find(key),
        handleWitnessAnswer: (key, request, answer, now) => ticketOwner.handleAnswer(key, request, answer, now),
        handleWitnessFailure: (key, request, now) => ticketOwner.handleFailure(key, request, now),
        handleDispatchFailure: (key, failure, now) => dispatcher.handleFailure(key, failure, now),
        leave: nowMilliseconds => void (leavingSinceMilliseconds ??= nowMilliseconds),
        get size() {
            return ledger.size;
        },
        get inProgress() {
            return dispatcher.size + ticketOwner.size;
        },
    };
}
