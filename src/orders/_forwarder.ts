/**
 * Passes orders to the process that may run them, and has them sealed where that process gives no answer.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { refuse, refuseReusedKey } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

type Phase =
    /** This host has just started and does not know the owner yet. */
    | { readonly type: "waiting"; readonly deadlineMilliseconds: number; }
    | { readonly type: "forwarding"; readonly deadlineMilliseconds: number; }
    /** The witness is asked to seal; where it says `dispatched`, it is asked again for the outcome. */
    | {
        readonly type: "sealing";
        deadlineMilliseconds: number;
        askAtMilliseconds: number;
        dispatched: boolean;
    };

interface Forward {
    readonly order: Order;
    readonly owner: ProcessName;
    readonly witness: ProcessName | undefined;
    readonly callMilliseconds: number;
    forwards: number;
    /** The owner may still answer the forward itself. */
    isOpen: boolean;
    phase: Phase;
}

/** How one order is to be forwarded. */
export interface ForwardPlan {
    readonly owner: ProcessName;
    readonly witness: ProcessName | undefined;
    /** How long the call itself may take. */
    readonly callMilliseconds: number;
}

/** Orders that wait for another process. */
export interface Forwarder {
    begin(order: Order, plan: ForwardPlan, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    answered(key: string, outcome: OrderOutcome, nowMilliseconds: number): void;
    failed(key: string, nowMilliseconds: number): void;
    sealAnswered(key: string, answer: WitnessAnswer, nowMilliseconds: number): void;
    /** Tells that the set of live processes changed. */
    peersChanged(nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the forwarder. */
export interface ForwarderOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly findPeer: (name: ProcessName) => HostIdentity | undefined;
    /** When this host knows all others. */
    readonly settledAtMilliseconds: () => number;
    /** This host's own testimony, where it is the witness itself. */
    readonly askOwnWitness: (witness: ProcessName, request: WitnessRequest) => WitnessAnswer | undefined;
    readonly onOutcome: (key: string, outcome: OrderOutcome) => void;
    readonly witnessMilliseconds: number;
}

const MOST_FORWARDS = 2;
const FORWARD_MARGIN_MILLISECONDS = 2_000;
const SEAL_INTERVAL_MILLISECONDS = 250;
const LOST_OWNER_OUTCOME_MILLISECONDS = 1_000;
const NEW_TICKET_MESSAGE = "the process that the ticket names gave no answer; the order is sealed and will never run: "
    + "take a new address and repeat it with a new key under its ticket";

/** What a process says of a key that names another process as its owner. */
export const WRONG_OWNER = refuse("owner-unreachable", "may-have-run", {
    message: "this process is not the one that the key names",
});

/** Creates a forwarder without orders. */
export function createForwarder(options: ForwarderOptions): Forwarder {
    const { emit, findPeer } = options;
    const forwards = new Map<string, Forward>();

    function begin(order: Order, plan: ForwardPlan, nowMilliseconds: number): void {
        const phase = { type: "forwarding", deadlineMilliseconds: nowMilliseconds } as const;
        const forward: Forward = { order, ...plan, forwards: 0, isOpen: false, phase };
        forwards.set(order.key, forward);
        send(forward, nowMilliseconds);
    }

    function send(forward: Forward, nowMilliseconds: number): void {
        const to = findPeer(forward.owner);
        const settledAtMilliseconds = options.settledAtMilliseconds();
        if (to === undefined && nowMilliseconds < settledAtMilliseconds) {
            forward.phase = { type: "waiting", deadlineMilliseconds: settledAtMilliseconds };
            return;
        }
        if (to === undefined || forward.forwards >= MOST_FORWARDS) {
            beginSeal(forward, nowMilliseconds);
            return;
        }
        const patience = forward.callMilliseconds + options.witnessMilliseconds + FORWARD_MARGIN_MILLISECONDS;
        forward.forwards += 1;
        forward.isOpen = true;
        forward.phase = { type: "forwarding", deadlineMilliseconds: nowMilliseconds + patience };
        emit({ type: "forward", order: forward.order, to });
    }

    function finish(forward: Forward, outcome: OrderOutcome): void {
        forwards.delete(forward.order.key);
        options.onOutcome(forward.order.key, outcome);
    }

    function giveUp(forward: Forward, message: string): void {
        finish(forward, refuse("owner-unreachable", "may-have-run", { message }));
    }

    function beginSeal(forward: Forward, nowMilliseconds: number): void {
        const deadlineMilliseconds = nowMilliseconds + options.witnessMilliseconds;
        forward.phase = {
            type: "sealing",
            deadlineMilliseconds,
            askAtMilliseconds: nowMilliseconds,
            dispatched: false,
        };
        askToSeal(forward, nowMilliseconds);
    }

    function askToSeal(forward: Forward, nowMilliseconds: number): void {
        const { witness, order: { key, bodyHash }, phase } = forward;
        if (witness === undefined || phase.type !== "sealing") {
            giveUp(forward, "the process that holds the key gave no answer, and no other knows whether the order ran");
            return;
        }
        phase.askAtMilliseconds = nowMilliseconds + SEAL_INTERVAL_MILLISECONDS;
        const request = { type: "seal", key, bodyHash, witnessIncarnation: witness.incarnation } as const;
        const own = options.askOwnWitness(witness, request);
        if (own === undefined) {
            emit({ type: "ask-witness", key, witness, request });
            return;
        }
        sealAnswered(key, own, nowMilliseconds);
    }

    function sealAnswered(key: string, answer: WitnessAnswer, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward?.phase.type !== "sealing") {
            return;
        }
        match(answer)
            .with({ type: "sealed" }, () => {
                const message = NEW_TICKET_MESSAGE;
                finish(forward, refuse("owner-unreachable", "not-run", { message, retryAfterMilliseconds: 0 }));
            })
            .with({ type: "finished" }, ({ outcome, bodyHash }) => finishWith(forward, outcome, bodyHash))
            .with({ type: "dispatched" }, { type: "recorded" }, () => awaitOutcome(forward, nowMilliseconds))
            .with({ type: "other-incarnation" }, { type: "ticket-expired" }, () => {
                giveUp(forward, "neither the process that the ticket names nor its witness can tell whether it ran");
            })
            .exhaustive();
    }

    function finishWith(forward: Forward, outcome: OrderOutcome, bodyHash: string | undefined): void {
        const { order } = forward;
        const reused = bodyHash !== undefined && bodyHash !== order.bodyHash;
        finish(forward, reused ? refuseReusedKey(outcome) : outcome);
    }

    /** Keeps asking the witness while the owner may still report what became of the order. */
    function awaitOutcome(forward: Forward, nowMilliseconds: number): void {
        const { phase } = forward;
        if (phase.type !== "sealing" || phase.dispatched) {
            return;
        }
        phase.dispatched = true;
        phase.deadlineMilliseconds = nowMilliseconds + forward.callMilliseconds + FORWARD_MARGIN_MILLISECONDS;
        shortenForLostOwner(forward, nowMilliseconds);
    }

    function tickForward(forward: Forward, nowMilliseconds: number): void {
        const { phase } = forward;
        const late = nowMilliseconds >= phase.deadlineMilliseconds;
        if (phase.type !== "sealing") {
            if (late) {
                beginSeal(forward, nowMilliseconds);
            }
            return;
        }
        if (late) {
            giveUp(forward, "the order was passed on, and the process that passed it on gave no answer");
            return;
        }
        if (nowMilliseconds >= phase.askAtMilliseconds) {
            askToSeal(forward, nowMilliseconds);
        }
    }

    function answered(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.isOpen = false;
        const wrongOwner = outcome.type === "refused" && outcome.reason === WRONG_OWNER.reason;
        if (!wrongOwner) {
            finish(forward, outcome);
            return;
        }
        if (forward.phase.type === "forwarding") {
            beginSeal(forward, nowMilliseconds);
        }
    }

    function failed(key: string, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.isOpen = false;
        if (forward.phase.type !== "forwarding") {
            shortenForLostOwner(forward, nowMilliseconds);
            return;
        }
        if (forward.forwards < MOST_FORWARDS) {
            emit({ type: "count-retry", reason: "owner-unreachable", service: forward.order.service });
        }
        send(forward, nowMilliseconds);
    }

    /** Where the owner is lost and its connection too, only an outcome already on its way to the witness can come. */
    function shortenForLostOwner({ phase, isOpen, owner }: Forward, nowMilliseconds: number): void {
        if (phase.type === "sealing" && phase.dispatched && !isOpen && findPeer(owner) === undefined) {
            const latest = nowMilliseconds + LOST_OWNER_OUTCOME_MILLISECONDS;
            phase.deadlineMilliseconds = Math.min(phase.deadlineMilliseconds, latest);
        }
    }

    function peersChanged(nowMilliseconds: number): void {
        for (const forward of forwards.values()) {
            const { phase } = forward;
            if (phase.type === "waiting") {
                send(forward, nowMilliseconds);
            }
            else if (phase.type === "forwarding" && findPeer(forward.owner) === undefined) {
                beginSeal(forward, nowMilliseconds);
            }
            else {
                shortenForLostOwner(forward, nowMilliseconds);
            }
        }
    }

    function tick(nowMilliseconds: number): void {
        for (const forward of forwards.values()) {
            tickForward(forward, nowMilliseconds);
        }
    }

    return {
        begin,
        answered,
        failed,
        sealAnswered,
        peersChanged,
        tick,
        find: key => forwards.get(key)?.order,
        get size() {
            return forwards.size;
        },
    };
}
