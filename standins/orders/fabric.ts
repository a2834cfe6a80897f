/**
 * Many hosts' orders decisions in one process, joined by messages that are delayed, doubled and lost.
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

/** How messages between hosts, and hosts, fail. */
export interface FabricFaults {
    readonly dropShare: number;
    readonly duplicateShare: number;
    /** How far hosts' wall clocks lie apart at most. */
    readonly clockSkewMilliseconds: number;
    /** Share of messages that take up to 20 seconds. */
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
    /** Makes a host's decision; a test passes a broken one. */
    readonly createDecision?: typeof createOrdersDecision;
}

/** One process of a host. */
export interface FabricHost {
    readonly identity: HostIdentity;
    readonly decision: OrdersDecision;
    isAlive: boolean;
    isLeaving: boolean;
}

/** The hosts and their surroundings. */
export interface Fabric {
    readonly schedule: Schedule;
    readonly random: RandomSource;
    readonly history: History;
    /** The present process of each host name. */
    readonly hosts: readonly FabricHost[];
    /** Sends an order as a caller does; `onLost` tells that the connection ended. */
    submit(host: FabricHost, order: Order, onOutcome: (outcome: OrderOutcome) => void, onLost: () => void): () => void;
    /** Ends the process of a host name and starts another. */
    kill(index: number): void;
    pause(index: number, milliseconds: number): void;
    /** Stops every fault between hosts, so that what is under way can end. */
    calm(): void;
}

interface Process extends FabricHost {
    readonly index: number;
    readonly handleClaims: (message: ClaimBatcherMessage) => void;
    pausedUntil: number;
    readonly backlog: (() => void)[];
    readonly onDeath: Set<() => void>;
}

const START_MILLISECONDS = 1_008_000;
const TICK_MILLISECONDS = 100;
const HOP_MILLISECONDS = 3;
const SLOWEST_MILLISECONDS = 20_000;
const LONGEST_PAUSE_MILLISECONDS = 10_000;
const DETECTION_MILLISECONDS = 1_500;
const SLOWEST_RESTART_MILLISECONDS = 3_000;
const LEAVING_MILLISECONDS = 6_000;
const FORWARD_TIMEOUT_MILLISECONDS = 6_000;
const WITNESS_TIMEOUT_MILLISECONDS = 600;
const GENERATION_MILLISECONDS = 10_000;
const CALL_TIMEOUT_MILLISECONDS = 3_000;

/** The operators' text of the fabric. */
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
 * @returns The fabric; its schedule has to be run.
 */
export function createFabric(options: FabricOptions): Fabric {
    const random = createSeededRandom(options.seed);
    const schedule = createSchedule(START_MILLISECONDS);
    const history: History = { runs: [], told: [], faults: [] };
    const processes: Process[] = [];
    const answers = new Map<string, (answer: never) => void>();
    const { faults } = options;
    const createDecision = options.createDecision ?? createOrdersDecision;
    const dispatchToPlain = createPlainService({ schedule, random, faults: faults.plain, runs: history.runs });
    const dispatchedKeys = new Set<string>();
    const callStore = createStore({ schedule, random, faults: faults.store });
    let isCalm = false;
    let identifiers = 0;

    function nextIdentifier(): string {
        identifiers += 1;
        return `i${identifiers}`;
    }

    function happens(share: number): boolean {
        return !isCalm && random() < share;
    }

    function whenAwake(host: Process, run: () => void): void {
        if (!host.isAlive) {
            return;
        }
        if (host.pausedUntil > schedule.now) {
            host.backlog.push(run);
            return;
        }
        run();
    }

    function tell(host: Process, message: OrdersMessage): void {
        whenAwake(host, () => {
            for (const effect of host.decision.handle(message, schedule.now)) {
                perform(host, effect);
            }
        });
    }

    /** Calls another host; its request and answer are delayed, doubled or lost. */
    function callPeer(
        from: Process,
        to: string,
        { arrive, done, fail, timeout }: {
            readonly arrive: (to: Process, identifier: string) => void;
            readonly done: (answer: never) => void;
            readonly fail: (notSent: boolean) => void;
            readonly timeout: number;
        },
    ): void {
        const target = processes.find(({ identity }) => identity.host === to);
        if (target?.isAlive !== true) {
            schedule.after(HOP_MILLISECONDS, () => fail(true));
            return;
        }
        let open = true;
        const end = (run: () => void): void => {
            if (open) {
                open = false;
                target.onDeath.delete(reset);
                run();
            }
        };
        const reset = (): void => schedule.after(HOP_MILLISECONDS, () => end(() => fail(false)));
        if (happens(0.7) || isCalm) {
            target.onDeath.add(reset);
        }
        schedule.after(timeout, () => end(() => fail(false)));
        const copies = happens(faults.duplicateShare) ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            if (happens(faults.dropShare)) {
                continue;
            }
            schedule.after(delay(), () => {
                const receiver = processes[target.index];
                if (receiver === undefined) {
                    return;
                }
                const identifier = nextIdentifier();
                answers.set(identifier, (answer: never) => {
                    answers.delete(identifier);
                    if (happens(faults.dropShare)) {
                        return;
                    }
                    schedule.after(delay(), () => end(() => done(answer)));
                    if (happens(faults.duplicateShare)) {
                        schedule.after(delay(), () => whenAwake(from, () => done(answer)));
                    }
                });
                arrive(receiver, identifier);
            });
        }
    }

    function delay(): number {
        return happens(faults.slowShare) ? random() * SLOWEST_MILLISECONDS : HOP_MILLISECONDS + random() * 5;
    }

    function perform(host: Process, effect: OrdersEffect): void {
        switch (effect.type) {
            case "reply":
            case "answer-witness": {
                const answer: OrderOutcome | WitnessAnswer = effect.type === "reply" ? effect.outcome : effect.answer;
                const receive = answers.get(effect.identifier) as ((value: typeof answer) => void) | undefined;
                if (receive === undefined) {
                    history.faults.push(`${effect.identifier} was answered twice or after it was abandoned`);
                }
                receive?.(answer);
                return;
            }
            case "forward": {
                const { order, to } = effect;
                const { key, bodyHash } = order;
                callPeer(host, to.host, {
                    timeout: FORWARD_TIMEOUT_MILLISECONDS,
                    arrive: (receiver, identifier) =>
                        tell(receiver, { type: "order-received", identifier, order, from: "peer" }),
                    done: (outcome: OrderOutcome) => tell(host, { type: "forward-answered", key, bodyHash, outcome }),
                    fail: notSent => tell(host, { type: "forward-failed", key, bodyHash, notSent }),
                });
                return;
            }
            case "ask-witness": {
                const { key, request, witness } = effect;
                callPeer(host, witness.host, {
                    timeout: WITNESS_TIMEOUT_MILLISECONDS,
                    arrive: (receiver, identifier) => tell(receiver, { type: "witness-asked", identifier, request }),
                    done: (answer: WitnessAnswer) =>
                        tell(host, { type: "witness-answered", key, request: request.type, answer, witness }),
                    fail: () => tell(host, { type: "witness-failed", key, request: request.type }),
                });
                return;
            }
            case "dispatch":
                dispatchedKeys.add(effect.order.key);
                dispatchToPlain(effect.order, effect.timeoutMilliseconds, message => tell(host, message));
                return;
            case "claim":
                host.handleClaims({ type: "claim", key: effect.key, bodyHash: effect.bodyHash });
                return;
            case "count-retry":
        }
    }

    function startProcess(index: number, start: number): Process {
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
            random: createSeededRandom(options.seed + identifiers * 31 + index),
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
            whenAwake(host, () => {
                for (const effect of batcher.handle(message, schedule.now)) {
                    if (effect.type === "read" || effect.type === "write") {
                        callStore(index, effect, handleClaims);
                    }
                    else {
                        tell(host, effect);
                    }
                }
            });
        const host: Process = {
            index,
            identity,
            decision,
            handleClaims,
            isAlive: true,
            isLeaving: false,
            pausedUntil: 0,
            backlog: [],
            onDeath: new Set(),
        };
        tell(host, { type: "deployment", deployment: FABRIC_DEPLOYMENT, revision: 1 });
        schedule.after(0, () => tickFor(host));
        return host;
    }

    function tickFor(host: Process): void {
        if (host.isAlive) {
            tell(host, { type: "tick" });
            host.handleClaims({ type: "tick" });
            schedule.after(TICK_MILLISECONDS, () => tickFor(host));
        }
    }

    function sharePeers(): void {
        const awake = processes.filter(({ isAlive, pausedUntil }) => isAlive && pausedUntil <= schedule.now);
        const identities = awake.map(({ identity }) => identity);
        const leaving = awake.filter(({ isLeaving }) => isLeaving).map(({ identity }) => identity.host);
        for (const host of processes) {
            schedule.after(random() * DETECTION_MILLISECONDS, () => {
                tell(host, { type: "peers", identities, leaving });
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
        for (const lose of host.onDeath) {
            lose();
        }
        schedule.after(DETECTION_MILLISECONDS, sharePeers);
        schedule.after(random() * SLOWEST_RESTART_MILLISECONDS, () => {
            processes[index] = startProcess(index, schedule.now);
            sharePeers();
        });
    }

    function pause(index: number, milliseconds: number): void {
        const host = processes[index];
        if (host === undefined || host.pausedUntil > schedule.now) {
            return;
        }
        host.pausedUntil = schedule.now + milliseconds;
        schedule.after(DETECTION_MILLISECONDS, sharePeers);
        schedule.after(milliseconds, () => {
            for (const run of host.backlog.splice(0)) {
                whenAwake(host, run);
            }
            sharePeers();
        });
    }

    function leave(index: number): void {
        const host = processes[index];
        if (host?.isAlive === true) {
            host.isLeaving = true;
            tell(host, { type: "leave" });
            sharePeers();
            schedule.after(LEAVING_MILLISECONDS, () => processes[index] === host && kill(index));
        }
    }

    function submit(
        host: FabricHost,
        order: Order,
        onOutcome: (outcome: OrderOutcome) => void,
        onLost: () => void,
    ): () => void {
        const process = host as Process;
        const identifier = nextIdentifier();
        const lose = (): void => {
            answers.delete(identifier);
            schedule.after(HOP_MILLISECONDS, onLost);
        };
        answers.set(identifier, (outcome: OrderOutcome) => {
            answers.delete(identifier);
            process.onDeath.delete(lose);
            const { key, bodyHash } = order;
            history.told.push({ key, bodyHash, at: schedule.now, outcome, dispatched: dispatchedKeys.has(key) });
            onOutcome(outcome);
        });
        if (!process.isAlive) {
            lose();
            return () => undefined;
        }
        process.onDeath.add(lose);
        tell(process, { type: "order-received", identifier, order, from: "caller" });
        return () =>
            whenAwake(process, () => {
                answers.delete(identifier);
                process.onDeath.delete(lose);
                tell(process, { type: "abandoned", identifier });
            });
    }

    function injectFaults(): void {
        const perStep = (perMinute: number): number => perMinute * TICK_MILLISECONDS / 60_000;
        const index = Math.floor(random() * options.hosts);
        if (happens(perStep(faults.killsPerMinute))) {
            kill(index);
        }
        if (happens(perStep(faults.pausesPerMinute))) {
            pause(index, random() * LONGEST_PAUSE_MILLISECONDS);
        }
        if (happens(perStep(faults.leavesPerMinute))) {
            leave(index);
        }
        schedule.after(TICK_MILLISECONDS, injectFaults);
    }

    for (let index = 0; index < options.hosts; index += 1) {
        processes.push(startProcess(index, 0));
    }
    const identities = processes.map(({ identity }) => identity);
    processes.forEach(host => tell(host, { type: "peers", identities }));
    injectFaults();
    return { schedule, random, history, hosts: processes, submit, kill, pause, calm: () => void (isCalm = true) };
}
