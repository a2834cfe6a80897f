/**
 * Proves, while a key without a ticket cannot be claimed, that no process has run it.
 *
 * A key that ran was claimed before. So it was claimed after the last read of its record that lacked it, by a process
 * that lived since. If no process was lost since that read, and each live one says that it has not passed the key on
 * and will not do so for a while, then the key has not run.
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

/** Inquiries under way. */
export interface Inquiries {
    begin(order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    answered(key: string, from: ProcessName | undefined, answer: WitnessAnswer, nowMilliseconds: number): void;
    failed(key: string): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the inquiries. */
export interface InquiriesOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly peers: Peers;
    readonly onOutcome: (key: string, outcome: OrderOutcome) => void;
    /** Called where a process has passed the key on. */
    readonly onFound: (order: Order, at: ProcessName) => void;
    readonly inquiryMilliseconds: number;
}

/** Beyond this many peers none is asked about a claim, so that reading the records again would prove nothing. */
export const MOST_PEERS_ASKED = 32;
const STORE_RETRY_MILLISECONDS = 1_000;

function refuseWithoutStore(ran: RefusedOutcome["ran"]): RefusedOutcome {
    const first = ran === "not-run"
        ? "this order has not run"
        : "whether an earlier copy of this order ran is not known";
    return refuse("store-unavailable", ran, {
        message: `the key-value service cannot confirm the key now; ${first}; repeat the same key later, `
            + "or take an address and use keys under its ticket, which need no key-value service",
        retryAfterMilliseconds: STORE_RETRY_MILLISECONDS,
    });
}

/** Creates an empty set of inquiries. */
export function createInquiries(options: InquiriesOptions): Inquiries {
    const inquiries = new Map<string, Inquiry>();

    function begin(order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void {
        const peers = options.peers.possiblyLive;
        if (!isProvable(absentSinceMilliseconds) || peers.length > MOST_PEERS_ASKED) {
            finish(order.key, refuseWithoutStore("may-have-run"));
            return;
        }
        const { key, bodyHash } = order;
        const unanswered = new Set(peers.map(({ incarnation }) => incarnation));
        const deadlineMilliseconds = nowMilliseconds + options.inquiryMilliseconds;
        inquiries.set(key, { order, absentSinceMilliseconds, deadlineMilliseconds, unanswered });
        for (const { host, incarnation } of peers) {
            const request = { type: "seal", key, bodyHash, witnessIncarnation: incarnation } as const;
            options.emit({ type: "ask-witness", key, witness: { host, incarnation }, request });
        }
        conclude(key);
    }

    function isProvable(absentSinceMilliseconds: number | undefined): absentSinceMilliseconds is number {
        return absentSinceMilliseconds !== undefined
            && absentSinceMilliseconds >= options.peers.knownSinceMilliseconds;
    }

    function finish(key: string, outcome: OrderOutcome): void {
        inquiries.delete(key);
        options.onOutcome(key, outcome);
    }

    function conclude(key: string): void {
        const inquiry = inquiries.get(key);
        if (inquiry?.unanswered.size === 0) {
            finish(key, refuseWithoutStore(isProvable(inquiry.absentSinceMilliseconds) ? "not-run" : "may-have-run"));
        }
    }

    function answered(
        key: string,
        from: ProcessName | undefined,
        answer: WitnessAnswer,
        nowMilliseconds: number,
    ): void {
        const inquiry = inquiries.get(key);
        if (inquiry === undefined || from === undefined || nowMilliseconds >= inquiry.deadlineMilliseconds) {
            return;
        }
        match(answer)
            .with({ type: "sealed" }, () => {
                inquiry.unanswered.delete(from.incarnation);
                conclude(key);
            })
            .with({ type: "finished" }, ({ outcome, bodyHash }) => {
                finish(key, bodyHash === inquiry.order.bodyHash ? outcome : refuseReusedKey(outcome));
            })
            .with({ type: "dispatched" }, { type: "recorded" }, () => {
                inquiries.delete(key);
                options.onFound(inquiry.order, from);
            })
            .with({ type: "other-incarnation" }, { type: "ticket-expired" }, () => failed(key))
            .exhaustive();
    }

    function failed(key: string): void {
        if (inquiries.has(key)) {
            finish(key, refuseWithoutStore("may-have-run"));
        }
    }

    function tick(nowMilliseconds: number): void {
        for (const [key, { deadlineMilliseconds }] of inquiries) {
            if (nowMilliseconds >= deadlineMilliseconds) {
                failed(key);
            }
        }
    }

    return {
        begin,
        answered,
        failed,
        tick,
        find: key => inquiries.get(key)?.order,
        get size() {
            return inquiries.size;
        },
    };
}
