/**
 * Runs the orders whose ticket names this process, after their witness has recorded the dispatch.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type FoundCall } from "./_calls.js";
import { refuse, type RefusedOutcome } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

interface Recording {
    readonly order: Order;
    readonly call: FoundCall;
    readonly witness: ProcessName;
    readonly deadlineMilliseconds: number;
    asks: number;
}

interface Report {
    readonly witness: ProcessName;
    readonly outcome: OrderOutcome;
    asks: number;
    askAtMilliseconds: number;
}

/** Orders that wait for their witness, and outcomes that their witness has not confirmed. */
export interface TicketOwner {
    /** Asks the witness for the dispatch record of an order that the ledger has opened. */
    begin(order: Order, call: FoundCall, witness: ProcessName, nowMilliseconds: number): void;
    /** Tells the witness an outcome, again until it is confirmed or the tries are used up. */
    report(key: string, witness: ProcessName, outcome: OrderOutcome, nowMilliseconds: number): void;
    answered(key: string, request: WitnessRequest["type"], answer: WitnessAnswer, nowMilliseconds: number): void;
    failed(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the ticket owner. */
export interface TicketOwnerOptions {
    readonly emit: (effect: OrdersEffect) => void;
    /** Called once the witness has recorded the dispatch. */
    readonly onRecorded: (order: Order, call: FoundCall, nowMilliseconds: number) => void;
    /** Called where the order will never be dispatched. */
    readonly onRefused: (order: Order, outcome: RefusedOutcome) => void;
    /** Called where a witness gave no usable answer. */
    readonly onWitnessLost: (witness: ProcessName, nowMilliseconds: number) => void;
    readonly witnessMilliseconds: number;
}

const MOST_RECORD_ASKS = 2;
const MOST_REPORT_ASKS = 8;
const REPORT_INTERVAL_MILLISECONDS = 500;
const NEW_TICKET_MESSAGE = "take a new address and repeat the order with a new key under its ticket";

function refuseRecord(reason: "witness-unreachable" | "order-sealed" | "ticket-expired", why: string): RefusedOutcome {
    return refuse(reason, "not-run", { message: `${why}; ${NEW_TICKET_MESSAGE}`, retryAfterMilliseconds: 0 });
}

/** Creates an owner without orders. */
export function createTicketOwner(options: TicketOwnerOptions): TicketOwner {
    const { emit } = options;
    const recordings = new Map<string, Recording>();
    const reports = new Map<string, Report>();

    function askForRecord({ order, witness }: Recording): void {
        const { key, bodyHash } = order;
        const request = { type: "record-dispatch", key, bodyHash, witnessIncarnation: witness.incarnation } as const;
        emit({ type: "ask-witness", key, witness, request });
    }

    function begin(order: Order, call: FoundCall, witness: ProcessName, nowMilliseconds: number): void {
        const deadlineMilliseconds = nowMilliseconds + options.witnessMilliseconds;
        const recording = { order, call, witness, deadlineMilliseconds, asks: 1 };
        recordings.set(order.key, recording);
        askForRecord(recording);
    }

    function refuseFor({ order, witness }: Recording, outcome: RefusedOutcome, nowMilliseconds: number): void {
        recordings.delete(order.key);
        options.onRefused(order, outcome);
        report(order.key, witness, outcome, nowMilliseconds);
    }

    function loseWitness(recording: Recording, nowMilliseconds: number): void {
        options.onWitnessLost(recording.witness, nowMilliseconds);
        refuseFor(
            recording,
            refuseRecord("witness-unreachable", "the ticket's witness gave no answer"),
            nowMilliseconds,
        );
    }

    function recordAnswered(recording: Recording, answer: WitnessAnswer, nowMilliseconds: number): void {
        const { order, call } = recording;
        if (nowMilliseconds >= recording.deadlineMilliseconds) {
            loseWitness(recording, nowMilliseconds);
            return;
        }
        match(answer)
            .with({ type: "recorded" }, { type: "dispatched" }, () => {
                recordings.delete(order.key);
                options.onRecorded(order, call, nowMilliseconds);
            })
            .with({ type: "sealed" }, { type: "finished" }, () => {
                const outcome = refuseRecord("order-sealed", "another host has sealed this key");
                refuseFor(recording, outcome, nowMilliseconds);
            })
            .with({ type: "other-incarnation" }, () => loseWitness(recording, nowMilliseconds))
            .with({ type: "ticket-expired" }, () => {
                const outcome = refuseRecord("ticket-expired", "the witness no longer accepts this ticket");
                refuseFor(recording, outcome, nowMilliseconds);
            })
            .exhaustive();
    }

    function report(key: string, witness: ProcessName, outcome: OrderOutcome, nowMilliseconds: number): void {
        const pending = { witness, outcome, asks: 0, askAtMilliseconds: nowMilliseconds };
        reports.set(key, pending);
        askToReport(key, pending, nowMilliseconds);
    }

    function askToReport(key: string, pending: Report, nowMilliseconds: number): void {
        if (pending.asks >= MOST_REPORT_ASKS) {
            reports.delete(key);
            return;
        }
        pending.asks += 1;
        pending.askAtMilliseconds = nowMilliseconds + REPORT_INTERVAL_MILLISECONDS;
        const { witness, outcome } = pending;
        const request = { type: "record-outcome", key, witnessIncarnation: witness.incarnation, outcome } as const;
        emit({ type: "ask-witness", key, witness, request });
    }

    function answered(
        key: string,
        request: WitnessRequest["type"],
        answer: WitnessAnswer,
        nowMilliseconds: number,
    ): void {
        const recording = recordings.get(key);
        if (request === "record-outcome") {
            reports.delete(key);
        }
        else if (request === "record-dispatch" && recording !== undefined) {
            recordAnswered(recording, answer, nowMilliseconds);
        }
    }

    function failed(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void {
        const recording = recordings.get(key);
        if (request !== "record-dispatch" || recording === undefined) {
            return;
        }
        if (recording.asks >= MOST_RECORD_ASKS) {
            loseWitness(recording, nowMilliseconds);
            return;
        }
        recording.asks += 1;
        emit({ type: "count-retry", reason: "witness-unreachable", service: recording.order.service });
        askForRecord(recording);
    }

    function tick(nowMilliseconds: number): void {
        for (const recording of recordings.values()) {
            if (nowMilliseconds >= recording.deadlineMilliseconds) {
                loseWitness(recording, nowMilliseconds);
            }
        }
        for (const [key, pending] of reports) {
            if (nowMilliseconds >= pending.askAtMilliseconds) {
                askToReport(key, pending, nowMilliseconds);
            }
        }
    }

    return {
        begin,
        report,
        answered,
        failed,
        tick,
        get size() {
            return recordings.size + reports.size;
        },
    };
}
