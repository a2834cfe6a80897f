/**
 * Passes orders to the process that may run them, and has them sealed where that process gives no answer.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type Forward, type ForwardPlan, SEALED, UNKNOWN_BECAUSE, WRONG_OWNER } from "./_forward.js";
import { refuse, refuseReusedKey } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

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
    /** Whether the process was ever among the peers. */
    readonly wasKnown: (name: ProcessName) => boolean;
    /** How long a process that was never known may take to appear. */
    readonly settleMilliseconds: number;
    /** This host's own testimony, where it is the witness itself. */
    readonly askOwnWitness: (witness: ProcessName, request: WitnessRequest) => WitnessAnswer | undefined;
    readonly onOutcome: (key: string, outcome: OrderOutcome) => void;
    readonly witnessMilliseconds: number;
}

const MOST_FORWARDS = 2;
const FORWARD_MARGIN_MILLISECONDS = 2_000;
const SEAL_INTERVAL_MILLISECONDS = 250;
const LOST_OWNER_OUTCOME_MILLISECONDS = 1_000;
/** Creates a forwarder without orders. */
export function createForwarder(options: ForwarderOptions): Forwarder {
    const { emit, findPeer } = options;
    const forwards = new Map<string, Forward>();

    function begin(order: Order, plan: ForwardPlan, nowMilliseconds: number): void {
        const phase = { type: "forwarding", deadlineMilliseconds: nowMilliseconds } as const;
        const forward: Forward = { order, ...plan, forwards: 0, openUntilMilliseconds: undefined, phase };
        forwards.set(order.key, forward);
        if (findPeer(plan.owner) === undefined && !options.wasKnown(plan.owner)) {
            const deadlineMilliseconds = nowMilliseconds + options.settleMilliseconds;
            forward.phase = { type: "waiting", deadlineMilliseconds };
            return;
        }
        send(forward, nowMilliseconds);
    }

    function send(forward: Forward, nowMilliseconds: number): void {
        const to = findPeer(forward.owner);
        if (to === undefined || forward.forwards >= MOST_FORWARDS) {
            beginSeal(forward, nowMilliseconds);
            return;
        }
        const patience = forward.callMilliseconds + options.witnessMilliseconds + FORWARD_MARGIN_MILLISECONDS;
        forward.forwards += 1;
        forward.openUntilMilliseconds = nowMilliseconds + patience;
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

    /** Gives up, unless the owner may still answer. */
    function listen(forward: Forward, message: string, nowMilliseconds: number): void {
        const deadlineMilliseconds = forward.openUntilMilliseconds ?? nowMilliseconds;
        if (deadlineMilliseconds <= nowMilliseconds) {
            giveUp(forward, message);
            return;
        }
        forward.phase = { type: "listening", deadlineMilliseconds, message };
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
            listen(forward, UNKNOWN_BECAUSE.noWitness, nowMilliseconds);
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
            .with({ type: "sealed" }, () => finish(forward, SEALED))
            .with({ type: "finished" }, ({ outcome, bodyHash }) => finishWith(forward, outcome, bodyHash))
            .with({ type: "dispatched" }, { type: "recorded" }, () => awaitOutcome(forward, nowMilliseconds))
            .with({ type: "other-incarnation" }, { type: "ticket-expired" }, () => {
                listen(forward, UNKNOWN_BECAUSE.witnessLost, nowMilliseconds);
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
        if (nowMilliseconds >= phase.deadlineMilliseconds) {
            endPhase(forward, nowMilliseconds);
        }
        else if (phase.type === "sealing" && nowMilliseconds >= phase.askAtMilliseconds) {
            askToSeal(forward, nowMilliseconds);
        }
    }

    function endPhase(forward: Forward, nowMilliseconds: number): void {
        match(forward.phase)
            .with({ type: "waiting" }, { type: "forwarding" }, () => beginSeal(forward, nowMilliseconds))
            .with({ type: "sealing", dispatched: true }, () => giveUp(forward, UNKNOWN_BECAUSE.dispatched))
            .with({ type: "sealing" }, () => listen(forward, UNKNOWN_BECAUSE.witnessLost, nowMilliseconds))
            .with({ type: "listening" }, ({ message }) => giveUp(forward, message))
            .exhaustive();
    }

    function answered(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.openUntilMilliseconds = undefined;
        const wrongOwner = outcome.type === "refused" && outcome.reason === WRONG_OWNER.reason;
        if (!wrongOwner) {
            finish(forward, outcome);
            return;
        }
        if (forward.phase.type === "forwarding") {
            beginSeal(forward, nowMilliseconds);
            return;
        }
        stopListening(forward, nowMilliseconds);
    }

    /** Notes that the connection to the owner has ended. */
    function stopListening(forward: Forward, nowMilliseconds: number): void {
        if (forward.phase.type === "listening") {
            giveUp(forward, forward.phase.message);
            return;
        }
        shortenForLostOwner(forward, nowMilliseconds);
    }

    function failed(key: string, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.openUntilMilliseconds = undefined;
        if (forward.phase.type !== "forwarding") {
            stopListening(forward, nowMilliseconds);
            return;
        }
        if (forward.forwards < MOST_FORWARDS) {
            emit({ type: "count-retry", reason: "owner-unreachable", service: forward.order.service });
        }
        send(forward, nowMilliseconds);
    }

    /** Where the owner is lost and its connection too, only an outcome already on its way to the witness can come. */
    function shortenForLostOwner(forward: Forward, nowMilliseconds: number): void {
        const { phase, openUntilMilliseconds } = forward;
        const lost = openUntilMilliseconds === undefined && findPeer(forward.owner) === undefined;
        if (lost && phase.type === "sealing" && phase.dispatched) {
            const latest = nowMilliseconds + LOST_OWNER_OUTCOME_MILLISECONDS;
            phase.deadlineMilliseconds = Math.min(phase.deadlineMilliseconds, latest);
        }
    }

    function peersChanged(nowMilliseconds: number): void {
        for (const forward of forwards.values()) {
            const { phase } = forward;
            const isKnown = findPeer(forward.owner) !== undefined;
            if (phase.type === "waiting" && isKnown) {
                send(forward, nowMilliseconds);
            }
            else if (phase.type === "forwarding" && !isKnown) {
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
