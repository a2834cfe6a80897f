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
    /** `unknown`: the claim may have taken effect. `held`: it did, and nobody waited any more. */
    state: "asked" | "unknown" | "held";
    deadlineMilliseconds: number;
}

/** Orders that wait for a claim, and claims that no order was passed on for. */
export interface Claims {
    begin(order: Order, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    answered(answer: ClaimAnswer, nowMilliseconds: number): void;
    failed(key: string, nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the claims. */
export interface ClaimsOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly isAwaited: (key: string) => boolean;
    readonly onClaimed: (order: Order, nowMilliseconds: number) => void;
    readonly onClaimedByAnother: (order: Order, claimer: ProcessName, nowMilliseconds: number) => void;
    readonly onRefused: (key: string, outcome: RefusedOutcome) => void;
    readonly claimMilliseconds: number;
    readonly retentionMilliseconds: number;
}

const STORE_RETRY_MILLISECONDS = 1_000;

function refuseWithoutStore(): RefusedOutcome {
    return refuse("store-unavailable", "not-run", {
        message: "the key-value service cannot confirm the key now; repeat the same key later, "
            + "or take an address and use a key under its ticket",
        retryAfterMilliseconds: STORE_RETRY_MILLISECONDS,
    });
}

/** Creates an empty set of claims. */
export function createClaims(options: ClaimsOptions): Claims {
    const claims = new Map<string, Claim>();

    function ask(claim: Claim, nowMilliseconds: number): void {
        claim.state = "asked";
        claim.deadlineMilliseconds = nowMilliseconds + options.claimMilliseconds;
        emitClaim(claim.order);
    }

    function emitClaim({ key, bodyHash }: Order): void {
        options.emit({ type: "claim", key, bodyHash });
    }

    function begin(order: Order, nowMilliseconds: number): void {
        const present = claims.get(order.key);
        if (present?.state === "held") {
            run(present, nowMilliseconds);
            return;
        }
        const claim: Claim = present ?? { order, state: "asked", deadlineMilliseconds: nowMilliseconds };
        claims.set(order.key, claim);
        if (present?.state !== "asked") {
            ask(claim, nowMilliseconds);
        }
    }

    function run(claim: Claim, nowMilliseconds: number): void {
        claims.delete(claim.order.key);
        options.onClaimed(claim.order, nowMilliseconds);
    }

    function claimed(claim: Claim, nowMilliseconds: number): void {
        if (options.isAwaited(claim.order.key)) {
            run(claim, nowMilliseconds);
            return;
        }
        claim.state = "held";
        claim.deadlineMilliseconds = nowMilliseconds + options.retentionMilliseconds;
    }

    function answered(answer: ClaimAnswer, nowMilliseconds: number): void {
        const claim = claims.get(answer.key);
        if (claim === undefined || claim.state === "held") {
            return;
        }
        match(answer)
            .with({ outcome: "claimed" }, () => claimed(claim, nowMilliseconds))
            .with({ outcome: "claimed-by-another" }, ({ key, claimedBy }) => {
                claims.delete(key);
                options.onClaimedByAnother(claim.order, claimedBy ?? { host: "", incarnation: "" }, nowMilliseconds);
            })
            .with({ outcome: "other-body" }, ({ key }) => {
                claims.delete(key);
                const message = "this key was first used for another order; this one was not passed on";
                options.onRefused(key, refuse("order-key-reused", "may-have-run", { message }));
            })
            .with({ outcome: "not-claimed" }, ({ key }) => {
                claims.delete(key);
                options.onRefused(key, refuseWithoutStore());
            })
            .exhaustive();
    }

    function failed(key: string, nowMilliseconds: number): void {
        const claim = claims.get(key);
        if (claim?.state !== "asked") {
            return;
        }
        claim.state = "unknown";
        claim.deadlineMilliseconds = nowMilliseconds + options.retentionMilliseconds;
        options.onRefused(key, refuseWithoutStore());
    }

    function tick(nowMilliseconds: number): void {
        for (const [key, { state, deadlineMilliseconds }] of claims) {
            if (nowMilliseconds < deadlineMilliseconds) {
                continue;
            }
            if (state === "asked") {
                failed(key, nowMilliseconds);
            }
            else {
                claims.delete(key);
            }
        }
    }

    return {
        begin,
        answered,
        failed,
        tick,
        find: key => claims.get(key)?.order,
        get size() {
            return claims.size;
        },
    };
}
