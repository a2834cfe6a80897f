/**
 * Simulates many hosts' orders decisions in one process, with messages that are delayed, duplicated and lost.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { type Deployment, deploymentSchema } from "../../src/generated/deployment.js";
import { type HostIdentity, type OrderOutcome, type WitnessAnswer } from "../../src/generated/peers.js";
import {
    type ClaimBatcherMessage,
    createClaimBatcher,
    createOrdersDecision,
    type Order,
    type OrdersDecision,
    type OrdersEffect,
    type OrdersMessage,
} from "../../src/orders/index.js";
import { type History } from "./history.js";
import { createPlainService, createStore, type PlainFaults, type StoreFaults } from "./platform.js";
import { createSchedule, type Schedule } from "./schedule.js";

/** Fault rates of hosts and of messages between them. */
export interface FabricFaults {
    readonly dropShare: number;
    readonly duplicateShare: number;
    /** Maximum offset between hosts' wall clocks. */
    readonly clockSkewMilliseconds: number;
    /** Share of messages that are delayed by up to 20 seconds. */
    readonly slowShare: number;
    readonly killsPerMinute: number;
    readonly pausesPerMinute: number;
    readonly leavesPerMinute: number;
    readonly plain: PlainFaults;
    readonly store: StoreFaults;
}

/** Options of the fabric. */
export interface FabricOptions {
    readonly seed: number;
    readonly hosts: number;
    readonly faults: FabricFaults;
    /** Creates a host's decision; a test may pass a faulty one. */
    readonly createDecision?: typeof createOrdersDecision;
}

/** One incarnation of a host's process. */
export interface FabricHost {
    readonly identity: HostIdentity;
    readonly decision: OrdersDecision;
    isAlive: boolean;
    isLeaving: boolean;
}

/** Simulated hosts with their services, callers' connections and clock. */
export interface Fabric {
    readonly schedule: Schedule;
    readonly random: RandomSource;
    readonly history: History;
    /** Current process of each host name. */
    readonly hosts: readonly FabricHost[];
    /**
     * Sends an order as a caller does, and calls `onLost` where the connection closes.
     *
     * @returns A function that abandons the order.
     */
    submit(host: FabricHost, order: Order, onOutcome: (outcome: OrderOutcome) => void, onLost: () => void): () => void;
    /** Ends the process of a host name and starts another. */
    kill(index: number): void;
    pause(index: number, milliseconds: number): void;
    /** Stops all faults of hosts and of messages between them, so that open orders can end. */
    stopFaults(): void;
}

interface HostProcess extends FabricHost {
    readonly index: number;
    readonly handleClaims: (message: ClaimBatcherMessage) => void;
    pausedUntil: number;
    readonly pendingTasks: (() => void)[];
    readonly onEnd: Set<() => void>;
}

const START_MILLISECONDS = 1_008_000;
const TICK_MILLISECONDS = 100;
const NETWORK_DELAY_MILLISECONDS = 3;
const MAXIMUM_MESSAGE_DELAY_MILLISECONDS = 20_000;
const MAXIMUM_PAUSE_MILLISECONDS = 10_000;
const DETECTION_MILLISECONDS = 1_500;
const MAXIMUM_RESTART_MILLISECONDS = 3_000;
const LEAVING_MILLISECONDS = 6_000;
const FORWARD_TIMEOUT_MILLISECONDS = 6_000;
const WITNESS_TIMEOUT_MILLISECONDS = 600;
const GENERATION_MILLISECONDS = 10_000;
const CALL_TIMEOUT_MILLISECONDS = 3_000;

/** Deployment configuration of the fabric. */
export const FABRIC_DEPLOYMENT: Deployment = deploymentSchema.parse({
    deployment: "mill",
    zones: [{ name: "zone-0", region: "ma-west" }],
    weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
    pools: [{
        name: "pool",
        checksFencing: true,
        memoryMegabytes: 1,
        slots: 1,
        engines: [{ name: "engine", url: "http://127.0.0.1:1", zone: "zone-0" }],
    }],
    models: [{ name: "model", version: "1", megabytes: 1, pools: ["pool"] }],
    services: [{
        name: "line",
        urls: ["http://127.0.0.1:2", "http://127.0.0.1:3"],
        calls: [{ name: "cut", idempotent: false, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS }],
    }],
});

/**
 * Creates hosts that know each other and a deployment with the call `cut` of the service `line`.
 *
 * @param options Seed, number of hosts and faults.
 * @returns The fabric; nothing happens in it until its schedule is run.
 */
export function createFabric(options: FabricOptions): Fabric {
    const random = createSeededRandom(options.seed);
    const schedule = createSchedule(START_MILLISECONDS);
    const history: History = { executions: [], reportedOutcomes: [], faults: [] };
    const processes: HostProcess[] = [];
    const answerHandlers = new Map<string, (answer: never) => void>();
    const { faults } = options;
    const createDecision = options.createDecision ?? createOrdersDecision;
    const dispatchToPlainService = createPlainService({
        schedule,
        random,
        faults: faults.plain,
        executions: history.executions,
    });
    const dispatchedKeys = new Set<string>();
    const callStore = createStore({ schedule, random, faults: faults.store });
    let areFaultsStopped = false;
    let identifierCount = 0;

    function nextIdentifier(): string {
        identifierCount += 1;
        return `i${identifierCount}`;
    }

    function isFaultDrawn(share: number): boolean {
        return !areFaultsStopped && random() < share;
    }

    function runWhenAwake(host: HostProcess, task: () => void): void {
        if (!host.isAlive) {
            return;
        }
        if (host.pausedUntil > schedule.now) {
            host.pendingTasks.push(task);
            return;
        }
        task();
    }

    function deliver(host: HostProcess, message: OrdersMessage): void {
        runWhenAwake(host, () => {
            for (const effect of host.decision.handle(message, schedule.now)) {
                perform(host, effect);
            }
        });
    }

    /** Calls another host. The request and the answer may be delayed, duplicated or lost. */
    function callPeer(
        from: HostProcess,
        to: string,
        { handleRequest, handleAnswer, handleFailure, timeoutMilliseconds }: {
            readonly handleRequest: (to: HostProcess, identifier: string) => void;
            readonly handleAnswer: (answer: never) => void;
            readonly handleFailure: (notSent: boolean) => void;
            readonly timeoutMilliseconds: number;
        },
    ): void {
        const target = processes.find(({ identity }) => identity.host === to);
        if (target?.isAlive !== true) {
            schedule.after(NETWORK_DELAY_MILLISECONDS, () => handleFailure(true));
            return;
        }
        let isOpen = true;
        const endOnce = (report: () => void): void => {
            if (isOpen) {
                isOpen = false;
                target.onEnd.delete(reset);
                report();
            }
        };
        const reset = (): void => schedule.after(NETWORK_DELAY_MILLISECONDS, () => endOnce(() => handleFailure(false)));
        if (isFaultDrawn(0.7) || areFaultsStopped) {
            target.onEnd.add(reset);
        }
        schedule.after(timeoutMilliseconds, () => endOnce(() => handleFailure(false)));
        const copies = isFaultDrawn(faults.duplicateShare) ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            if (isFaultDrawn(faults.dropShare)) {
                continue;
            }
            schedule.after(drawMessageDelay(), () => {
                const receiver = processes[target.index];
                if (receiver === undefined) {
                    return;
                }
                const identifier = nextIdentifier();
                answerHandlers.set(identifier, (answer: never) => {
                    answerHandlers.delete(identifier);
                    if (isFaultDrawn(faults.dropShare)) {
                        return;
                    }
                    schedule.after(drawMessageDelay(), () => endOnce(() => handleAnswer(answer)));
                    if (isFaultDrawn(faults.duplicateShare)) {
                        schedule.after(drawMessageDelay(), () => runWhenAwake(from, () => handleAnswer(answer)));
                    }
                });
                handleRequest(receiver, identifier);
            });
        }
    }

    function drawMessageDelay(): number {
        return isFaultDrawn(faults.slowShare)
            ? random() * MAXIMUM_MESSAGE_DELAY_MILLISECONDS
            : NETWORK_DELAY_MILLISECONDS + random() * 5;
    }

    function perform(host: HostProcess, effect: OrdersEffect): void {
        switch (effect.type) {
            case "reply":
            case "answer-witness": {
                const answer: OrderOutcome | WitnessAnswer = effect.type === "reply" ? effect.outcome : effect.answer;
                const handler = answerHandlers.get(effect.identifier) as ((value: typeof answer) => void) | undefined;
                if (handler === undefined) {
                    history.faults.push(
                        `${effect.identifier} was answered a second time, or after its caller abandoned it`,
                    );
                }
                handler?.(answer);
                return;
            }
            case "forward": {
                const { order, to } = effect;
                const { key, bodyHash } = order;
                callPeer(host, to.host, {
                    timeoutMilliseconds: FORWARD_TIMEOUT_MILLISECONDS,
                    handleRequest: (receiver, identifier) =>
                        deliver(receiver, { type: "order-received", identifier, order, from: "peer" }),
                    handleAnswer: (outcome: OrderOutcome) =>
                        deliver(host, { type: "forward-answered", key, bodyHash, outcome }),
                    handleFailure: notSent => deliver(host, { type: "forward-failed", key, bodyHash, notSent }),
                });
                return;
            }
            case "ask-witness": {
                const { key, request, witness } = effect;
                callPeer(host, witness.host, {
                    timeoutMilliseconds: WITNESS_TIMEOUT_MILLISECONDS,
                    handleRequest: (receiver, identifier) =>
                        deliver(receiver, { type: "witness-asked", identifier, request }),
                    handleAnswer: (answer: WitnessAnswer) =>
                        deliver(host, { type: "witness-answered", key, request: request.type, answer, witness }),
                    handleFailure: () => deliver(host, { type: "witness-failed", key, request: request.type }),
                });
                return;
            }
            case "dispatch":
                dispatchedKeys.add(effect.order.key);
                dispatchToPlainService(effect.order, effect.timeoutMilliseconds, message => deliver(host, message));
                return;
            case "claim":
                host.handleClaims({ type: "claim", key: effect.key, bodyHash: effect.bodyHash });
                return;
            case "count-retry":
        }
    }

    function startProcess(index: number, start: number): HostProcess {
        const name = `host-${index}`;
        const identity: HostIdentity = {
            host: name,
            incarnation: `${name}-${start}`,
            zone: `zone-${index % 3}`,
            region: "ma-west",
            callersUrl: name,
            peersUrl: name,
        };
        const wallClockOffsetMilliseconds = random() * faults.clockSkewMilliseconds;
        const decision = createDecision({
            identity,
            random: createSeededRandom(options.seed + identifierCount * 31 + index),
            wallClockOffsetMilliseconds,
            generationMilliseconds: GENERATION_MILLISECONDS,
        });
        const batcher = createClaimBatcher({
            identity,
            identifiers: nextIdentifier,
            wallClockOffsetMilliseconds,
            shards: 2,
        });
        const handleClaims = (message: ClaimBatcherMessage): void =>
            runWhenAwake(host, () => {
                for (const effect of batcher.handle(message, schedule.now)) {
                    if (effect.type === "read" || effect.type === "write") {
                        callStore(index, effect, handleClaims);
                    }
                    else {
                        deliver(host, effect);
                    }
                }
            });
        const host: HostProcess = {
            index,
            identity,
            decision,
            handleClaims,
            isAlive: true,
            isLeaving: false,
            pausedUntil: 0,
            pendingTasks: [],
            onEnd: new Set(),
        };
        deliver(host, { type: "deployment", deployment: FABRIC_DEPLOYMENT, revision: 1 });
        schedule.after(0, () => scheduleTicks(host));
        return host;
    }

    function scheduleTicks(host: HostProcess): void {
        if (host.isAlive) {
            deliver(host, { type: "tick" });
            host.handleClaims({ type: "tick" });
            schedule.after(TICK_MILLISECONDS, () => scheduleTicks(host));
        }
    }

    function publishPeers(): void {
        const awakeHosts = processes.filter(({ isAlive, pausedUntil }) => isAlive && pausedUntil <= schedule.now);
        const identities = awakeHosts.map(({ identity }) => identity);
        const leaving = awakeHosts.filter(({ isLeaving }) => isLeaving).map(({ identity }) => identity.host);
        for (const host of processes) {
            schedule.after(random() * DETECTION_MILLISECONDS, () => {
                deliver(host, { type: "peers", identities, leaving });
                host.handleClaims({ type: "peers-changed" });
            });
        }
    }

    function kill(index: number): void {
        const host = processes[index];
        if (host?.isAlive !== true) {
            return;
        }
        host.isAlive = false;
        for (const notify of host.onEnd) {
            notify();
        }
        schedule.after(DETECTION_MILLISECONDS, publishPeers);
        schedule.after(random() * MAXIMUM_RESTART_MILLISECONDS, () => {
            processes[index] = startProcess(index, schedule.now);
            publishPeers();
        });
    }

    function pause(index: number, milliseconds: number): void {
        const host = processes[index];
        if (host === undefined || host.pausedUntil > schedule.now) {
            return;
        }
        host.pausedUntil = schedule.now + milliseconds;
        schedule.after(DETECTION_MILLISECONDS, publishPeers);
        schedule.after(milliseconds, () => {
            for (const task of host.pendingTasks.splice(0)) {
                runWhenAwake(host, task);
            }
            publishPeers();
        });
    }

    function leave(index: number): void {
        const host = processes[index];
        if (host?.isAlive === true) {
            host.isLeaving = true;
            deliver(host, { type: "leave" });
            publishPeers();
            schedule.after(LEAVING_MILLISECONDS, () => processes[index] === host && kill(index));
        }
    }

    function submit(
        host: FabricHost,
        order: Order,
        onOutcome: (outcome: OrderOutcome) => void,
        onLost: () => void,
    ): () => void {
        const hostProcess = host as HostProcess;
        const identifier = nextIdentifier();
        const closeConnection = (): void => {
            answerHandlers.delete(identifier);
            schedule.after(NETWORK_DELAY_MILLISECONDS, onLost);
        };
        answerHandlers.set(identifier, (outcome: OrderOutcome) => {
            answerHandlers.delete(identifier);
            hostProcess.onEnd.delete(closeConnection);
            const { key, bodyHash } = order;
            history.reportedOutcomes.push({
                key,
                bodyHash,
                at: schedule.now,
                outcome,
                dispatched: dispatchedKeys.has(key),
            });
            onOutcome(outcome);
        });
        if (!hostProcess.isAlive) {
            closeConnection();
            return () => undefined;
        }
        hostProcess.onEnd.add(closeConnection);
        deliver(hostProcess, { type: "order-received", identifier, order, from: "caller" });
        return () =>
            runWhenAwake(hostProcess, () => {
                answerHandlers.delete(identifier);
                hostProcess.onEnd.delete(closeConnection);
                deliver(hostProcess, { type: "abandoned", identifier });
            });
    }

    function injectFaults(): void {
        const perTick = (perMinute: number): number => perMinute * TICK_MILLISECONDS / 60_000;
        const index = Math.floor(random() * options.hosts);
        if (isFaultDrawn(perTick(faults.killsPerMinute))) {
            kill(index);
        }
        if (isFaultDrawn(perTick(faults.pausesPerMinute))) {
            pause(index, random() * MAXIMUM_PAUSE_MILLISECONDS);
        }
        if (isFaultDrawn(perTick(faults.leavesPerMinute))) {
            leave(index);
        }
        schedule.after(TICK_MILLISECONDS, injectFaults);
    }

    for (let index = 0; index < options.hosts; index += 1) {
        processes.push(startProcess(index, 0));
    }
    const identities = processes.map(({ identity }) => identity);
    processes.forEach(host => deliver(host, { type: "peers", identities }));
    injectFaults();
    return {
        schedule,
        random,
        history,
        hosts: processes,
        submit,
        kill,
        pause,
        stopFaults: () => void (areFaultsStopped = true),
    };
}
