/**
 * Proves that no process has run a key without a ticket, while the key-value service cannot confirm a claim of it.
 *
 * A key is claimed before it runs. A key that has run was therefore claimed after the last read of its record that
 * lacked it, by a process that was live after that read. If no process was lost since that read, and every live process
 * confirms that it has not dispatched the key and will not do so for a while, the key has not run.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type OrderOutcome, type WitnessAnswer } from "../generated/peers.js";
import { refuse, type RefusedOutcome, refuseReusedKey } from "./_outcomes.js";
import { type Peers } from "./_peers.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

interface Inquiry {
    readonly order: Order;
    readonly absentSinceMilliseconds: number;
    readonly deadlineMilliseconds: number;
    /** Incarnations that have not answered. */
    readonly unanswered: Set<string>;
}

/** Inquiries in progress. */
export interface Inquiries {
    begin(order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    handleAnswer(key: string, witness: ProcessName | undefined, answer: WitnessAnswer, nowMilliseconds: number): void;
    handleFailure(key: string): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the inquiries. */
export interface InquiriesOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly peers: Peers;
    readonly onOutcome: (key: string, outcome: OrderOutcome) => void;
    /** Called where a process reports that it handles or has dispatched the key. */
    readonly onDispatched: (order: Order, owner: ProcessName) => void;
    readonly inquiryTimeoutMilliseconds: number;
}

/** Maximum peers of an inquiry. With more, none is made, so reading the claim records again would prove nothing. */
export const MAXIMUM_INQUIRY_PEERS = 32;
const STORE_RETRY_AFTER_MILLISECONDS = 1_000;

function refuseStoreUnavailable(ran: RefusedOutcome["ran"]): RefusedOutcome {
    const first = ran === "not-run"
        ? "this order has not run"
        : "whether an earlier copy of this order ran is not known";
    return refuse("store-unavailable", ran, {
        message: `the key-value service cannot confirm the key now; ${first}; repeat the same key later, `
            + "or take an address and use keys under its ticket, which need no key-value service",
        retryAfterMilliseconds: STORE_RETRY_AFTER_MILLISECONDS,
    });
}

/** Creates an empty set of inquiries. */
export function createInquiries(options: InquiriesOptions): Inquiries {
    const inquiries = new Map<string, Inquiry>();

    function begin(order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void {
        const peers = options.peers.possiblyLive;
        if (!provesAbsence(absentSinceMilliseconds) || peers.length > MAXIMUM_INQUIRY_PEERS) {
            finish(order.key, refuseStoreUnavailable("may-have-run"));
            return;
        }
        const { key, bodyHash } = order;
        const unanswered = new Set(peers.map(({ incarnation }) => incarnation));
        const deadlineMilliseconds = nowMilliseconds + options.inquiryTimeoutMilliseconds;
        inquiries.set(key, { order, absentSinceMilliseconds, deadlineMilliseconds, unanswered });
        for (const { host, incarnation } of peers) {
            const request = { type: "seal", key, bodyHash, witnessIncarnation: incarnation } as const;
            options.emit({ type: "ask-witness", key, witness: { host, incarnation }, request });
        }
        finishIfAllAnswered(key);
    }

    function provesAbsence(absentSinceMilliseconds: number | undefined): absentSinceMilliseconds is number {
        return absentSinceMilliseconds !== undefined
            && absentSinceMilliseconds >= options.peers.stableSinceMilliseconds;
    }

    function finish(key: string, outcome: OrderOutcome): void {
        inquiries.delete(key);
        options.onOutcome(key, outcome);
    }

    function finishIfAllAnswered(key: string): void {
        const inquiry = inquiries.get(key);
        if (inquiry?.unanswered.size === 0) {
            finish(
                key,
                refuseStoreUnavailable(provesAbsence(inquiry.absentSinceMilliseconds) ? "not-run" : "may-have-run"),
            );
        }
    }

    function handleAnswer(
        key: string,
        witness: ProcessName | undefined,
        answer: WitnessAnswer,
        nowMilliseconds: number,
    ): void {
        const inquiry = inquiries.get(key);
        if (inquiry === undefined || witness === undefined || nowMilliseconds >= inquiry.deadlineMilliseconds) {
            return;
        }
        match(answer)
            .with({ type: "sealed" }, () => {
                inquiry.unanswered.delete(witness.incarnation);
                finishIfAllAnswered(key);
            })
            .with({ type: "finished" }, ({ outcome, bodyHash }) => {
                finish(key, bodyHash === inquiry.order.bodyHash ? outcome : refuseReusedKey(outcome));
            })
            .with({ type: "dispatched" }, { type: "recorded" }, () => {
                inquiries.delete(key);
                options.onDispatched(inquiry.order, witness);
            })
            .with({ type: "other-incarnation" }, { type: "ticket-expired" }, () => handleFailure(key))
            .exhaustive();
    }

    function handleFailure(key: string): void {
        if (inquiries.has(key)) {
            finish(key, refuseStoreUnavailable("may-have-run"));
        }
    }

    function tick(nowMilliseconds: number): void {
        for (const [key, { deadlineMilliseconds }] of inquiries) {
            if (nowMilliseconds >= deadlineMilliseconds) {
                handleFailure(key);
            }
        }
    }

    return {
        begin,
        handleAnswer,
        handleFailure,
        tick,
        find: key => inquiries.get(key)?.order,
        get size() {
            return inquiries.size;
        },
    };
}
