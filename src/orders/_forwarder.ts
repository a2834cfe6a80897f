/**
 * Forwards orders to the process that may run them. Where that process does not answer, the witness is requested to
 * close the key, so that the order cannot run later.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import {
    type Forward,
    type ForwardPlan,
    SEALED_REFUSAL,
    UNKNOWN_OUTCOME_MESSAGES,
    WRONG_OWNER_REFUSAL,
} from "./_forward.js";
import { refuse, refuseReusedKey } from "./_outcomes.js";
import { type Order, type OrdersEffect } from "./messages.js";
import { type ProcessName } from "./orderKey.js";

/** Orders that wait for another process. */
export interface Forwarder {
    begin(order: Order, plan: ForwardPlan, nowMilliseconds: number): void;
    find(key: string): Order | undefined;
    handleAnswer(key: string, outcome: OrderOutcome, nowMilliseconds: number): void;
    handleFailure(key: string, nowMilliseconds: number): void;
    handleSealAnswer(key: string, answer: WitnessAnswer, nowMilliseconds: number): void;
    /** Sends orders whose owner has become known, and has the keys closed of those whose owner is lost. */
    handlePeersChanged(nowMilliseconds: number): void;
    tick(nowMilliseconds: number): void;
    readonly size: number;
}

/** Options of the forwarder. */
export interface ForwarderOptions {
    readonly emit: (effect: OrdersEffect) => void;
    readonly findPeer: (name: ProcessName) => HostIdentity | undefined;
    /** Returns whether the process is or was among the peers. */
    readonly wasKnown: (name: ProcessName) => boolean;
    /** How long to wait for an owner that was never known. */
    readonly peerDiscoveryMilliseconds: number;
    /** Answers for this process where it is the witness itself; `undefined` where another process is. */
    readonly requestLocalWitness: (witness: ProcessName, request: WitnessRequest) => WitnessAnswer | undefined;
    readonly onOutcome: (key: string, outcome: OrderOutcome) => void;
    readonly witnessTimeoutMilliseconds: number;
}

const MAXIMUM_ATTEMPTS = 2;
const FORWARD_MARGIN_MILLISECONDS = 2_000;
const SEAL_INTERVAL_MILLISECONDS = 250;
const LOST_OWNER_OUTCOME_TIMEOUT_MILLISECONDS = 1_000;

/** Creates a forwarder without orders. */
export function createForwarder(options: ForwarderOptions): Forwarder {
    const { emit, findPeer } = options;
    const forwards = new Map<string, Forward>();

    function begin(order: Order, plan: ForwardPlan, nowMilliseconds: number): void {
        const phase = { type: "forwarding", deadlineMilliseconds: nowMilliseconds } as const;
        const forward: Forward = { order, ...plan, attempts: 0, connectionDeadlineMilliseconds: undefined, phase };
        forwards.set(order.key, forward);
        if (findPeer(plan.owner) === undefined && !options.wasKnown(plan.owner)) {
            const deadlineMilliseconds = nowMilliseconds + options.peerDiscoveryMilliseconds;
            forward.phase = { type: "waiting", deadlineMilliseconds };
            return;
        }
        send(forward, nowMilliseconds);
    }

    function send(forward: Forward, nowMilliseconds: number): void {
        const to = findPeer(forward.owner);
        if (to === undefined || forward.attempts >= MAXIMUM_ATTEMPTS) {
            beginSeal(forward, nowMilliseconds);
            return;
        }
        const timeoutMilliseconds = forward.callTimeoutMilliseconds + options.witnessTimeoutMilliseconds
            + FORWARD_MARGIN_MILLISECONDS;
        forward.attempts += 1;
        forward.connectionDeadlineMilliseconds = nowMilliseconds + timeoutMilliseconds;
        forward.phase = { type: "forwarding", deadlineMilliseconds: nowMilliseconds + timeoutMilliseconds };
        emit({ type: "forward", order: forward.order, to });
    }

    function finish(forward: Forward, outcome: OrderOutcome): void {
        forwards.delete(forward.order.key);
        options.onOutcome(forward.order.key, outcome);
    }

    function finishAsMayHaveRun(forward: Forward, message: string): void {
        finish(forward, refuse("owner-unreachable", "may-have-run", { message }));
    }

    /** Waits for the owner's answer while its connection is open, else finishes the order as `may-have-run`. */
    function awaitOwner(forward: Forward, message: string, nowMilliseconds: number): void {
        const deadlineMilliseconds = forward.connectionDeadlineMilliseconds ?? nowMilliseconds;
        if (deadlineMilliseconds <= nowMilliseconds) {
            finishAsMayHaveRun(forward, message);
            return;
        }
        forward.phase = { type: "listening", deadlineMilliseconds, message };
    }

    function beginSeal(forward: Forward, nowMilliseconds: number): void {
        const deadlineMilliseconds = nowMilliseconds + options.witnessTimeoutMilliseconds;
        forward.phase = {
            type: "sealing",
            deadlineMilliseconds,
            nextRequestAtMilliseconds: nowMilliseconds,
            dispatched: false,
        };
        requestSeal(forward, nowMilliseconds);
    }

    function requestSeal(forward: Forward, nowMilliseconds: number): void {
        const { witness, order: { key, bodyHash }, phase } = forward;
        if (witness === undefined || phase.type !== "sealing") {
            awaitOwner(forward, UNKNOWN_OUTCOME_MESSAGES.noWitness, nowMilliseconds);
            return;
        }
        phase.nextRequestAtMilliseconds = nowMilliseconds + SEAL_INTERVAL_MILLISECONDS;
        const request = { type: "seal", key, bodyHash, witnessIncarnation: witness.incarnation } as const;
        const localAnswer = options.requestLocalWitness(witness, request);
        if (localAnswer === undefined) {
            emit({ type: "ask-witness", key, witness, request });
            return;
        }
        handleSealAnswer(key, localAnswer, nowMilliseconds);
    }

    function handleSealAnswer(key: string, answer: WitnessAnswer, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward?.phase.type !== "sealing") {
            return;
        }
        match(answer)
            .with({ type: "sealed" }, () => finish(forward, SEALED_REFUSAL))
            .with({ type: "finished" }, ({ outcome, bodyHash }) => finishWith(forward, outcome, bodyHash))
            .with({ type: "dispatched" }, { type: "recorded" }, () => awaitOutcome(forward, nowMilliseconds))
            .with({ type: "other-incarnation" }, { type: "ticket-expired" }, () => {
                awaitOwner(forward, UNKNOWN_OUTCOME_MESSAGES.witnessLost, nowMilliseconds);
            })
            .exhaustive();
    }

    function finishWith(forward: Forward, outcome: OrderOutcome, bodyHash: string | undefined): void {
        const { order } = forward;
        const isReusedKey = bodyHash !== undefined && bodyHash !== order.bodyHash;
        finish(forward, isReusedKey ? refuseReusedKey(outcome) : outcome);
    }

    /** Polls the witness while the owner may still report the outcome to it. */
    function awaitOutcome(forward: Forward, nowMilliseconds: number): void {
        const { phase } = forward;
        if (phase.type !== "sealing" || phase.dispatched) {
            return;
        }
        phase.dispatched = true;
        phase.deadlineMilliseconds = nowMilliseconds + forward.callTimeoutMilliseconds + FORWARD_MARGIN_MILLISECONDS;
        shortenDeadlineForLostOwner(forward, nowMilliseconds);
    }

    function tickForward(forward: Forward, nowMilliseconds: number): void {
        const { phase } = forward;
        if (nowMilliseconds >= phase.deadlineMilliseconds) {
            handlePhaseTimeout(forward, nowMilliseconds);
        }
        else if (phase.type === "sealing" && nowMilliseconds >= phase.nextRequestAtMilliseconds) {
            requestSeal(forward, nowMilliseconds);
        }
    }

    function handlePhaseTimeout(forward: Forward, nowMilliseconds: number): void {
        match(forward.phase)
            .with({ type: "waiting" }, { type: "forwarding" }, () => beginSeal(forward, nowMilliseconds))
            .with(
                { type: "sealing", dispatched: true },
                () => finishAsMayHaveRun(forward, UNKNOWN_OUTCOME_MESSAGES.dispatched),
            )
            .with({ type: "sealing" }, () => awaitOwner(forward, UNKNOWN_OUTCOME_MESSAGES.witnessLost, nowMilliseconds))
            .with({ type: "listening" }, ({ message }) => finishAsMayHaveRun(forward, message))
            .exhaustive();
    }

    function handleAnswer(key: string, outcome: OrderOutcome, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.connectionDeadlineMilliseconds = undefined;
        const isWrongOwner = outcome.type === "refused" && outcome.reason === WRONG_OWNER_REFUSAL.reason;
        if (!isWrongOwner) {
            finish(forward, outcome);
            return;
        }
        if (forward.phase.type === "forwarding") {
            beginSeal(forward, nowMilliseconds);
            return;
        }
        handleConnectionEnded(forward, nowMilliseconds);
    }

    /** Ends the wait for the owner's answer, or shortens the wait for the outcome at the witness. */
    function handleConnectionEnded(forward: Forward, nowMilliseconds: number): void {
        if (forward.phase.type === "listening") {
            finishAsMayHaveRun(forward, forward.phase.message);
            return;
        }
        shortenDeadlineForLostOwner(forward, nowMilliseconds);
    }

    function handleFailure(key: string, nowMilliseconds: number): void {
        const forward = forwards.get(key);
        if (forward === undefined) {
            return;
        }
        forward.connectionDeadlineMilliseconds = undefined;
        if (forward.phase.type !== "forwarding") {
            handleConnectionEnded(forward, nowMilliseconds);
            return;
        }
        if (forward.attempts < MAXIMUM_ATTEMPTS) {
            emit({ type: "count-retry", reason: "owner-unreachable", service: forward.order.service });
        }
        send(forward, nowMilliseconds);
    }

    /** Once the owner and its connection are lost, only an outcome already in flight to the witness can arrive. */
    function shortenDeadlineForLostOwner(forward: Forward, nowMilliseconds: number): void {
        const { phase, connectionDeadlineMilliseconds } = forward;
        const isOwnerLost = connectionDeadlineMilliseconds === undefined && findPeer(forward.owner) === undefined;
        if (isOwnerLost && phase.type === "sealing" && phase.dispatched) {
            const latest = nowMilliseconds + LOST_OWNER_OUTCOME_TIMEOUT_MILLISECONDS;
            phase.deadlineMilliseconds = Math.min(phase.deadlineMilliseconds, latest);
        }
    }

    function handlePeersChanged(nowMilliseconds: number): void {
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
                shortenDeadlineForLostOwner(forward, nowMilliseconds);
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
        handleAnswer,
        handleFailure,
        handleSealAnswer,
        handlePeersChanged,
        tick,
        find: key => forwards.get(key)?.order,
        get size() {
            return forwards.size;
        },
    };
}
