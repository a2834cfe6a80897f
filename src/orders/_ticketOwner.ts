/**
 * Requests a ticket's witness to record an order's dispatch before the order runs, and reports the outcome to it.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type CallTarget } from "./_calls.js";
import { refuse, type RefusedOutcome } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

interface PendingRecord {
    readonly order: Order;
    readonly call: CallTarget;
    readonly witness: ProcessName;
    readonly deadlineMilliseconds: number;
    requestsSent: number;
}

interface PendingReport {
    readonly witness: ProcessName;
    readonly outcome: OrderOutcome;
    requestsSent: number;
    nextRequestAtMilliseconds: number;
}

/** Orders that wait for their witness, and outcomes that their witness has not confirmed. */
export interface TicketOwner {
    /** Requests the witness to record the dispatch of an order whose key the ledger has opened. */
    begin(order: Order, call: CallTarget, witness: ProcessName, nowMilliseconds: number): void;
    /** Reports an outcome to the witness, repeatedly until it is confirmed or the attempts are used up. */
    reportOutcome(key: string, witness: ProcessName, outcome: OrderOutcome, nowMilliseconds: number): void;
    handleAnswer(key: string, request: WitnessRequest["type"], answer: WitnessAnswer, nowMilliseconds: number): void;
    handleFailure(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the ticket owner. */
export interface TicketOwnerOptions {
    readonly emit: (effect: OrdersEffect) => void;
    /** Called once the witness has recorded the dispatch. */
    readonly onRecorded: (order: Order, call: CallTarget, nowMilliseconds: number) => void;
    /** Called where the order will never be dispatched. */
    readonly onRefused: (order: Order, outcome: RefusedOutcome) => void;
    /** Called where a witness gave no usable answer. */
    readonly onWitnessFailed: (witness: ProcessName, nowMilliseconds: number) => void;
    readonly witnessTimeoutMilliseconds: number;
}

const MAXIMUM_RECORD_REQUESTS = 2;
const MAXIMUM_REPORT_REQUESTS = 8;
const REPORT_INTERVAL_MILLISECONDS = 500;
const NEW_TICKET_MESSAGE = "take a new address and repeat the order with a new key under its ticket";

function refuseUnrecorded(
    reason: "witness-unreachable" | "order-sealed" | "ticket-expired",
    cause: string,
): RefusedOutcome {
    return refuse(reason, "not-run", { message: `${cause}; ${NEW_TICKET_MESSAGE}`, retryAfterMilliseconds: 0 });
}

/** Creates an owner without orders. */
export function createTicketOwner(options: TicketOwnerOptions): TicketOwner {
    const { emit } = options;
    const pendingRecords = new Map<string, PendingRecord>();
    const pendingReports = new Map<string, PendingReport>();

    function requestRecord({ order, witness }: PendingRecord): void {
        const { key, bodyHash } = order;
        const request = { type: "record-dispatch", key, bodyHash, witnessIncarnation: witness.incarnation } as const;
        emit({ type: "ask-witness", key, witness, request });
    }

    function begin(order: Order, call: CallTarget, witness: ProcessName, nowMilliseconds: number): void {
        const deadlineMilliseconds = nowMilliseconds + options.witnessTimeoutMilliseconds;
        const pendingRecord = { order, call, witness, deadlineMilliseconds, requestsSent: 1 };
        pendingRecords.set(order.key, pendingRecord);
        requestRecord(pendingRecord);
    }

    function refuseAndReport(
        { order, witness }: PendingRecord,
        outcome: RefusedOutcome,
        nowMilliseconds: number,
    ): void {
        pendingRecords.delete(order.key);
        options.onRefused(order, outcome);
        reportOutcome(order.key, witness, outcome, nowMilliseconds);
    }

    function handleWitnessFailure(pendingRecord: PendingRecord, nowMilliseconds: number): void {
        options.onWitnessFailed(pendingRecord.witness, nowMilliseconds);
        refuseAndReport(
            pendingRecord,
            refuseUnrecorded("witness-unreachable", "the ticket's witness gave no answer"),
            nowMilliseconds,
        );
    }

    function handleRecordAnswer(pendingRecord: PendingRecord, answer: WitnessAnswer, nowMilliseconds: number): void {
        const { order, call } = pendingRecord;
        if (nowMilliseconds >= pendingRecord.deadlineMilliseconds) {
            handleWitnessFailure(pendingRecord, nowMilliseconds);
            return;
        }
        match(answer)
            .with({ type: "recorded" }, { type: "dispatched" }, () => {
                pendingRecords.delete(order.key);
                options.onRecorded(order, call, nowMilliseconds);
            })
            .with({ type: "sealed" }, { type: "finished" }, () => {
                const outcome = refuseUnrecorded("order-sealed", "another host has sealed this key");
                refuseAndReport(pendingRecord, outcome, nowMilliseconds);
            })
            .with({ type: "other-incarnation" }, () => handleWitnessFailure(pendingRecord, nowMilliseconds))
            .with({ type: "ticket-expired" }, () => {
                const outcome = refuseUnrecorded("ticket-expired", "the witness no longer accepts this ticket");
                refuseAndReport(pendingRecord, outcome, nowMilliseconds);
            })
            .exhaustive();
    }

    function reportOutcome(key: string, witness: ProcessName, outcome: OrderOutcome, nowMilliseconds: number): void {
        const pending = { witness, outcome, requestsSent: 0, nextRequestAtMilliseconds: nowMilliseconds };
        pendingReports.set(key, pending);
        sendReport(key, pending, nowMilliseconds);
    }

    function sendReport(key: string, pending: PendingReport, nowMilliseconds: number): void {
        if (pending.requestsSent >= MAXIMUM_REPORT_REQUESTS) {
            pendingReports.delete(key);
            return;
        }
        pending.requestsSent += 1;
        pending.nextRequestAtMilliseconds = nowMilliseconds + REPORT_INTERVAL_MILLISECONDS;
        const { witness, outcome } = pending;
        const request = { type: "record-outcome", key, witnessIncarnation: witness.incarnation, outcome } as const;
        emit({ type: "ask-witness", key, witness, request });
    }

    function handleAnswer(
        key: string,
        request: WitnessRequest["type"],
        answer: WitnessAnswer,
        nowMilliseconds: number,
    ): void {
        const pendingRecord = pendingRecords.get(key);
        if (request === "record-outcome") {
            pendingReports.delete(key);
        }
        else if (request === "record-dispatch" && pendingRecord !== undefined) {
            handleRecordAnswer(pendingRecord, answer, nowMilliseconds);
        }
    }

    function handleFailure(key: string, request: WitnessRequest["type"], nowMilliseconds: number): void {
        const pendingRecord = pendingRecords.get(key);
        if (request !== "record-dispatch" || pendingRecord === undefined) {
            return;
        }
        if (pendingRecord.requestsSent >= MAXIMUM_RECORD_REQUESTS) {
            handleWitnessFailure(pendingRecord, nowMilliseconds);
            return;
        }
        pendingRecord.requestsSent += 1;
        emit({ type: "count-retry", reason: "witness-unreachable", service: pendingRecord.order.service });
        requestRecord(pendingRecord);
    }

    function tick(nowMilliseconds: number): void {
        for (const pendingRecord of pendingRecords.values()) {
            if (nowMilliseconds >= pendingRecord.deadlineMilliseconds) {
                handleWitnessFailure(pendingRecord, nowMilliseconds);
            }
        }
        for (const [key, pending] of pendingReports) {
            if (nowMilliseconds >= pending.nextRequestAtMilliseconds) {
                sendReport(key, pending, nowMilliseconds);
            }
        }
    }

    return {
        begin,
        reportOutcome,
        handleAnswer,
        handleFailure,
        tick,
        get size() {
            return pendingRecords.size + pendingReports.size;
        },
    };
}
