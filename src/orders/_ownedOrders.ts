/**
 * The orders that this process may run: those of its own tickets, and those whose key it has claimed.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type OrderOutcome, type OrderResult, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { findCall, type FoundCall } from "./_calls.js";
import { createDispatcher, type DispatchFailure } from "./_dispatcher.js";
import { type Generations, type GenerationStanding } from "./_generations.js";
import { createLedger, type LedgerEntry } from "./_ledger.js";
import { mayHaveRun, refuse, type RefusedOutcome } from "./_outcomes.js";
import { createTicketOwner } from "./_ticketOwner.js";
import { type Waiters } from "./_waiters.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { isSameProcess, type ProcessName, type Ticket, ticketOf } from "./orderKey.js";
import { type OrdersOptions } from "./ordersOptions.js";

/** Orders that this process may run. */
export interface OwnedOrders {
    find(key: string): LedgerEntry | undefined;
    /** Takes an order of one of this process's tickets, whose key is not known yet. */
    receive(identifier: string, order: Order, ticket: Ticket, nowMilliseconds: number): void;
    /** Runs an order whose key this process has claimed. */
    runClaimed(order: Order, nowMilliseconds: number): void;
    witnessAnswered(key: string, request: WitnessRequest["type"], answer: WitnessAnswer, nowMilliseconds: number): void;
    witnessFailed(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void;
    dispatchAnswered(key: string, result: OrderResult, nowMilliseconds: number): void;
    dispatchFailed(key: string, failure: DispatchFailure, nowMilliseconds: number): void;
    leave(nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    /** Drops keys whose time is over. */
    forget(nowMilliseconds: number): void;
    readonly size: number;
    readonly underWay: number;
}

/** Surroundings of the owned orders. */
export interface OwnedOrdersOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly settings: Required<OrdersOptions>;
    readonly random: RandomSource;
    readonly waiters: Waiters;
    readonly generations: Generations;
    readonly deployment: () => Deployment | undefined;
    readonly onWitnessLost: (witness: ProcessName, nowMilliseconds: number) => void;
}

const FULL_RETRY_MILLISECONDS = 5_000;
const NEW_TICKET_MESSAGE = "take a new address and repeat the order with a new key under its ticket";

const TICKET_AHEAD = refuse("ticket-expired", "not-run", {
    message: `the ticket lies ahead of this host's clock; ${NEW_TICKET_MESSAGE}`,
});

/** Creates an empty set of orders. */
export function createOwnedOrders(options: OwnedOrdersOptions): OwnedOrders {
    const { emit, settings, waiters, generations } = options;
    const ledger = createLedger(settings);
    const dispatcher = createDispatcher({ emit, random: options.random, onOutcome: finish });
    const ticketOwner = createTicketOwner({
        emit,
        witnessMilliseconds: settings.witnessMilliseconds,
        onRecorded: dispatch,
        onRefused: (order, outcome) => settle(order.key, outcome),
        onWitnessLost: options.onWitnessLost,
    });
    let leavingSinceMilliseconds: number | undefined;

    /** Gives a key its outcome, for those who wait and those who will ask again. */
    function settle(key: string, outcome: OrderOutcome): void {
        ledger.finish(key, outcome);
        waiters.answer(key, outcome);
    }

    function finish(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        settle(key, outcome);
        const witness = witnessOf(ticketOf(key));
        if (witness !== undefined) {
            ticketOwner.report(key, witness, outcome, nowMilliseconds);
        }
    }

    function witnessOf(ticket: Ticket | undefined): ProcessName | undefined {
        const witness = ticket?.witness;
        return witness === undefined || isSameProcess(witness, settings.identity) ? undefined : witness;
    }

    function dispatch(order: Order, call: FoundCall, nowMilliseconds: number): void {
        const ticket = ticketOf(order.key);
        if (ticket !== undefined) {
            generations.noteDispatch(ticket.generation);
        }
        dispatcher.start(order, call, nowMilliseconds);
    }

    function receive(identifier: string, order: Order, ticket: Ticket, nowMilliseconds: number): void {
        const standing = generations.standingOf(ticket.generation);
        const refusal = refuseUnstorable(standing);
        if (refusal !== undefined) {
            emit({ type: "reply", identifier, outcome: refusal });
            return;
        }
        waiters.join(order.key, identifier);
        ledger.open(order.key, order.bodyHash, { type: "generation", generation: ticket.generation });
        const refused = standing === "ahead" ? TICKET_AHEAD : refuseLeaving(nowMilliseconds);
        const call = findCall(options.deployment(), order);
        if (refused !== undefined || call.isErr()) {
            settle(order.key, refused ?? call.unwrapErr());
            return;
        }
        run(order, ticket, call.value, nowMilliseconds);
    }

    function run(order: Order, ticket: Ticket, call: FoundCall, nowMilliseconds: number): void {
        const witness = witnessOf(ticket);
        if (witness === undefined) {
            dispatch(order, call, nowMilliseconds);
            return;
        }
        ticketOwner.begin(order, call, witness, nowMilliseconds);
    }

    /** Refuses a key that can't be remembered. */
    function refuseUnstorable(standing: GenerationStanding): RefusedOutcome | undefined {
        if (standing === "expired") {
            const message = "what became of this key is no longer known";
            return refuse("ticket-expired", "may-have-run", { message });
        }
        if (standing === "expired-not-run" || standing === "far-ahead") {
            return refuse("ticket-expired", "not-run", { message: NEW_TICKET_MESSAGE });
        }
        const message = "this host remembers too many orders";
        const retryAfterMilliseconds = FULL_RETRY_MILLISECONDS;
        return ledger.isFull ? refuse("queue-full", "not-run", { message, retryAfterMilliseconds }) : undefined;
    }

    function refuseLeaving(nowMilliseconds: number): RefusedOutcome | undefined {
        const grace = settings.acceptWhileLeavingMilliseconds;
        if (leavingSinceMilliseconds === undefined || nowMilliseconds < leavingSinceMilliseconds + grace) {
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

    /** Takes a result also after the order was given up as `may-have-run`, but never for a key that was not sent. */
    function dispatchAnswered(key: string, result: OrderResult, nowMilliseconds: number): void {
        const outcome = ledger.find(key)?.outcome;
        if (dispatcher.has(key) || (outcome?.type === "refused" && mayHaveRun(outcome))) {
            dispatcher.answered(key, result, nowMilliseconds);
        }
    }

    function tick(nowMilliseconds: number): void {
        dispatcher.tick(nowMilliseconds);
        ticketOwner.tick(nowMilliseconds);
    }

    return {
        receive,
        runClaimed,
        dispatchAnswered,
        tick,
        forget: nowMilliseconds => ledger.forget(generations.floor, nowMilliseconds),
        find: key => ledger.find(key),
        witnessAnswered: (key, request, answer, now) => ticketOwner.answered(key, request, answer, now),
        witnessFailed: (key, request, now) => ticketOwner.failed(key, request, now),
        dispatchFailed: (key, failure, now) => dispatcher.failed(key, failure, now),
        leave: nowMilliseconds => void (leavingSinceMilliseconds ??= nowMilliseconds),
        get size() {
            return ledger.size;
        },
        get underWay() {
            return dispatcher.size + ticketOwner.size;
        },
    };
}
