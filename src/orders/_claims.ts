/**
 * Claims the keys of orders without a ticket in the key-value service before the orders are dispatched.
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
    /** True once this process has the claim and its order waits only for the end of a hold. */
    isClaimed: boolean;
}

/** Orders that wait for a claim. Dropping a claim here is safe: a later claim of the key finds it in the record. */
export interface Claims {
    begin(order: Order, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    handleAnswer(answer: ClaimAnswer, nowMilliseconds: number): void;
    handleFailure(key: string, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void;
    /** Prevents this host from dispatching the key before a time. */
    hold(key: string, untilMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the claims. */
export interface ClaimsOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly hasWaiters: (key: string) => boolean;
    readonly onClaimed: (order: Order, nowMilliseconds: number) => void;
    readonly onClaimedByAnother: (order: Order, claimer: ProcessName, nowMilliseconds: number) => void;
    /** Called where the key is not claimed, or that is unknown; its record lacked the key at the given time. */
    readonly onUnclaimed: (order: Order, absentSinceMilliseconds: number | undefined, nowMilliseconds: number) => void;
    readonly onRefused: (key: string, outcome: RefusedOutcome) => void;
    readonly claimTimeoutMilliseconds: number;
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
        const deadlineMilliseconds = nowMilliseconds + options.claimTimeoutMilliseconds;
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
        if (options.hasWaiters(key)) {
            options.onClaimed(claim.order, nowMilliseconds);
        }
    }

    function handleAnswer(answer: ClaimAnswer, nowMilliseconds: number): void {
        const claim = claims.get(answer.key);
        if (claim === undefined || claim.isClaimed) {
            return;
        }
        if (nowMilliseconds >= claim.deadlineMilliseconds) {
            handleFailure(answer.key, undefined, nowMilliseconds);
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
                handleFailure(key, absentSinceMilliseconds, nowMilliseconds);
            })
            .exhaustive();
    }

    function handleFailure(key: string, absentSinceMilliseconds: number | undefined, nowMilliseconds: number): void {
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
                handleFailure(key, undefined, nowMilliseconds);
            }
        }
    }

    return {
        begin,
        handleAnswer,
        handleFailure,
        tick,
        find: key => claims.get(key)?.order,
        hold: (key, untilMilliseconds) => void holds.set(key, Math.max(untilMilliseconds, holds.get(key) ?? 0)),
        get size() {
            return claims.size;
        },
    };
}
