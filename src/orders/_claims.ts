/**
 * Orders whose key has no ticket: claimed in the key-value service before they are passed on.
 *
 * @module
 */
import { match } from "ts-pattern";
import { refuse, type RefusedOutcome } from "./_outcomes.js";
import { type Order, type OrdersEffect, type OrdersMessage } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

type ClaimAnswer = Extract<OrdersMessage, { type: "claim-answered"; }>;

interface Claim {
    readonly order: Order;
    readonly deadlineMilliseconds: number;
    /** The claim is this process's own, and the order waits for the end of a hold. */
    isClaimed: boolean;
}

/** Orders that wait for a claim. A forgotten claim does no harm: asking again finds it in the record. */
export interface Claims {
    begin(order: Order, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    answered(answer: ClaimAnswer, nowMilliseconds: number): void;
    failed(key: string, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void;
    /** Keeps this host from passing the key on before a time. */
    hold(key: string, untilMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the claims. */
export interface ClaimsOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly isAwaited: (key: string) => boolean;
    readonly onClaimed: (order: Order, nowMilliseconds: number) => void;
    readonly onClaimedByAnother: (order: Order, claimer: ProcessName, nowMilliseconds: number) => void;
    /** Called where the key is not claimed, or nobody knows; the key was absent from the record at the given time. */
    readonly onUnclaimed: (order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number) => void;
    readonly onRefused: (key: string, outcome: RefusedOutcome) => void;
    readonly claimMilliseconds: number;
}

const UNKNOWN_PROCESS: ProcessName = { host: "", incarnation: "" };

/** Creates an empty set of claims. */
export function createClaims(options: ClaimsOptions): Claims {
    const claims = new Map<string, Claim>();
    const holds = new Map<string, number>();

    function begin(order: Order, nowMilliseconds: number): void {
        if (claims.has(order.key)) {
            return;
        }
        const deadlineMilliseconds = nowMilliseconds + options.claimMilliseconds;
        claims.set(order.key, { order, deadlineMilliseconds, isClaimed: false });
        options.emit({ type: "claim", key: order.key, bodyHash: order.bodyHash });
    }

    function runUnlessHeld(claim: Claim, nowMilliseconds: number): void {
        const { key } = claim.order;
        claim.isClaimed = true;
        if ((holds.get(key) ?? nowMilliseconds) > nowMilliseconds) {
            return;
        }
        claims.delete(key);
        if (options.isAwaited(key)) {
            options.onClaimed(claim.order, nowMilliseconds);
        }
    }

    function answered(answer: ClaimAnswer, nowMilliseconds: number): void {
        const claim = claims.get(answer.key);
        if (claim === undefined || claim.isClaimed) {
            return;
        }
        if (nowMilliseconds >= claim.deadlineMilliseconds) {
            failed(answer.key, undefined, nowMilliseconds);
            return;
        }
        match(answer)
            .with({ outcome: "claimed" }, () => runUnlessHeld(claim, nowMilliseconds))
            .with({ outcome: "claimed-by-another" }, ({ key, claimedBy }) => {
                claims.delete(key);
                options.onClaimedByAnother(claim.order, claimedBy ?? UNKNOWN_PROCESS, nowMilliseconds);
            })
            .with({ outcome: "other-body" }, ({ key }) => {
                claims.delete(key);
                const message = "this key was first used for another order; this one was not passed on";
                options.onRefused(key, refuse("order-key-reused", "may-have-run", { message }));
            })
            .with({ outcome: "not-claimed" }, ({ key, absentSinceMilliseconds }) => {
                failed(key, absentSinceMilliseconds, nowMilliseconds);
            })
            .exhaustive();
    }

    function failed(key: string, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void {
        const claim = claims.get(key);
        if (claim === undefined || claim.isClaimed) {
            return;
        }
        claims.delete(key);
        options.onUnclaimed(claim.order, absentSinceMilliseconds, nowMilliseconds);
    }

    function tick(nowMilliseconds: number): void {
        for (const [key, untilMilliseconds] of holds) {
            if (untilMilliseconds <= nowMilliseconds) {
                holds.delete(key);
            }
        }
        for (const [key, claim] of claims) {
            if (claim.isClaimed) {
                runUnlessHeld(claim, nowMilliseconds);
            }
            else if (nowMilliseconds >= claim.deadlineMilliseconds) {
                failed(key, undefined, nowMilliseconds);
            }
        }
    }

    return {
        begin,
        answered,
        failed,
        tick,
        find: key => claims.get(key)?.order,
        hold: (key, untilMilliseconds) => void holds.set(key, Math.max(untilMilliseconds, holds.get(key) ?? 0)),
        get size() {
            return claims.size;
        },
    };
}
