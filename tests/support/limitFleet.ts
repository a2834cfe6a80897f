/**
 * A simulated fleet of hosts before one upstream that names a rate limit: a network that delays, drops and cuts, hosts
 * that restart, freeze, join and leave, and callers at some of the hosts.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { digestIntervalMilliseconds } from "../../src/entry/hostIntervals.js";
import { type FleetSummary, type HostDigest } from "../../src/generated/gossip.js";
import { CellAggregates, PeerTable } from "../../src/gossip/index.js";
import { NamedLimits, type PermitMessage, PermitWait, RateLimiter } from "../../src/rateLimits/index.js";
import { createAddresses, createDigest } from "./digests.js";
import { type LimitArrival, type LimitHistory, type LimitStep } from "./limitRule.js";

const UPSTREAM = { id: "i-limited", startedAtMilliseconds: 1_000 };
const TICK_MILLISECONDS = 25;
const FLEET_VIEW_MILLISECONDS = 200;
const RECORD_REMOVED_MILLISECONDS = 3_000;
const RESTART_MILLISECONDS = 800;
const NETWORK_MILLISECONDS = 2;
const SERVICE_MILLISECONDS = 40;
const EARLIEST_WAKE_MILLISECONDS = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** A disturbance of one host. */
export type HostFault =
    | { readonly type: "cut"; readonly direction: "both" | "inbound" | "outbound"; }
    | { readonly type: "freeze"; }
    | { readonly type: "restart"; }
    | { readonly type: "leave"; };

/** When a disturbance of a host begins and ends. */
export interface FaultAt {
    readonly host: number;
    readonly fault: HostFault;
    readonly beginMilliseconds: number;
    readonly endMilliseconds: number;
}

/** Options of a simulated fleet. */
export interface LimitFleetOptions {
    readonly seed: number;
    readonly hostCount: number;
    /** The first one names a limit. */
    readonly steps: readonly LimitStep[];
    readonly requestsPerSecond: number;
    /** Number of hosts, the first ones, that callers connect to. */
    readonly busyHosts: number;
    readonly maximumWaitMilliseconds: number;
    /** Number of priorities of requests, which come in turn; 3 by default. */
    readonly priorities?: number;
    readonly durationMilliseconds: number;
    /** Share of the messages between hosts that is lost. */
    readonly loss?: number;
    /** Maximum delay of a message between hosts. */
    readonly maximumDelayMilliseconds?: number;
    readonly faults?: readonly FaultAt[];
    /** Hosts that join at a time, each with the number of the host. */
    readonly joins?: readonly { readonly host: number; readonly atMilliseconds: number; }[];
}

/** What a simulated fleet did. */
export interface LimitFleetResult {
    readonly history: LimitHistory;
    readonly offered: number;
    readonly refused: number;
    /** Requests that were refused only when they had waited for the maximum time. */
    readonly waitedInVain: number;
    /** Messages about permits between hosts. */
    readonly permitMessages: number;
    /** Requests in the order in which they were sent, by the order of their arrival. */
    readonly sentPriorities: readonly number[];
}

interface WaitingCall {
    readonly id: string;
    readonly priority: number;
    readonly arrivedAtMilliseconds: number;
    readonly permitWait: PermitWait;
}

interface SimulatedHost {
    readonly name: string;
    readonly zone: string;
    incarnation: number;
    peers: PeerTable;
    aggregates: CellAggregates;
    limits: NamedLimits;
    limiter: RateLimiter;
    calls: Map<string, WaitingCall>;
    isRunning: boolean;
    isFrozen: boolean;
    isLeaving: boolean;
    cut: "none" | "both" | "inbound" | "outbound";
    /** Work of a frozen host that is done once it wakes up. */
    postponed: (() => void)[];
}

function nameOf(index: number): string {
    return `entry-${String(index).padStart(3, "0")}`;
}

/** Runs a fleet in simulated time. */
export class LimitFleet {
    readonly #options: LimitFleetOptions;
    readonly #random: RandomSource;
    readonly #steps = new Map<number, (() => void)[]>();
    readonly #hosts: SimulatedHost[] = [];
    readonly #arrivals: LimitArrival[] = [];
    readonly #toldAt = new Map<string, number>();
    readonly #sentPriorities: number[] = [];
    #now = 0;
    #offered = 0;
    #refused = 0;
    #waitedInVain = 0;
    #permitMessages = 0;

    constructor(options: LimitFleetOptions) {
        this.#options = options;
        this.#random = createSeededRandom(options.seed);
    }

    /** Runs the fleet to its end. */
    run(): LimitFleetResult {
        const { busyHosts, durationMilliseconds, faults = [], hostCount, joins = [], steps } = this.#options;
        for (let index = 0; index < hostCount; index += 1) {
            this.#addHost(index);
        }
        joins.forEach(({ atMilliseconds, host }) => this.#at(atMilliseconds, () => this.#addHost(host)));
        faults.forEach(fault => this.#scheduleFault(fault));
        this.#scheduleCaller(busyHosts);
        for (this.#now = 0; this.#now < durationMilliseconds; this.#now += 1) {
            const due = this.#steps.get(this.#now) ?? [];
            this.#steps.delete(this.#now);
            due.forEach(step => step());
        }
        return {
            history: { steps, arrivals: this.#arrivals, toldAtMilliseconds: this.#toldAt },
            offered: this.#offered,
            refused: this.#refused,
            waitedInVain: this.#waitedInVain,
            permitMessages: this.#permitMessages,
            sentPriorities: this.#sentPriorities,
        };
    }

    #at(atMilliseconds: number, step: () => void): void {
        const at = Math.max(this.#now + EARLIEST_WAKE_MILLISECONDS, Math.round(atMilliseconds));
        const steps = this.#steps.get(at);
        if (steps === undefined) {
            this.#steps.set(at, [step]);
        }
        else {
            steps.push(step);
        }
    }

    #after(milliseconds: number, step: () => void): void {
        this.#at(this.#now + milliseconds, step);
    }

    /** Runs a step of a host's process; a frozen one runs it later, and a process that has ended does not. */
    #afterOn(host: SimulatedHost, milliseconds: number, step: () => void): void {
        const { incarnation } = host;
        const run = (): void => {
            if (host.incarnation !== incarnation || !host.isRunning) {
                return;
            }
            if (host.isFrozen) {
                host.postponed.push(run);
                return;
            }
            step();
        };
        this.#after(milliseconds, run);
    }

    #addHost(index: number): void {
        const zone = `zone-${index % 3}`;
        const host: SimulatedHost = {
            name: nameOf(index),
            zone,
            incarnation: 0,
            ...this.#createProcess(nameOf(index), zone),
            calls: new Map(),
            isRunning: true,
            isFrozen: false,
            isLeaving: false,
            cut: "none",
            postponed: [],
        };
        this.#hosts.push(host);
        this.#start(host);
    }

    #createProcess(
        name: string,
        zone: string,
    ): Pick<SimulatedHost, "peers" | "aggregates" | "limits" | "limiter"> {
        const limits = new NamedLimits();
        const peers = new PeerTable(name, zone);
        let view: { readonly atMilliseconds: number; readonly liveHosts: readonly string[]; } | undefined;
        const limiter = new RateLimiter({
            host: name,
            limits,
            fleet: () => {
                if (view === undefined || this.#now - view.atMilliseconds >= FLEET_VIEW_MILLISECONDS) {
                    const isLeaving = this.#hosts.find(host => host.name === name)?.isLeaving === true;
                    const live = peers.live(this.#now).filter(({ leaving }) => !leaving).map(({ host }) => host);
                    view = { atMilliseconds: this.#now, liveHosts: isLeaving ? live : [...live, name] };
                }
                const cell = new Set(peers.division().ownCell.map(({ host }) => host));
                return {
                    liveHosts: view.liveHosts,
                    hostCount: peers.all(this.#now).length + 1,
                    isCellPeer: host => cell.has(host),
                };
            },
            isPresent: () => true,
            send: (receiver, message) => this.#sendPermitMessage(name, receiver, message),
            onAnswered: () => this.#wakeSoon(name),
            onLimitChanged: () => this.#wakeSoon(name),
        });
        return { peers, aggregates: new CellAggregates(), limits, limiter };
    }

    #start(host: SimulatedHost): void {
        for (const other of this.#hosts.filter(({ isRunning }) => isRunning)) {
            this.#register(host, other);
            this.#register(other, host);
        }
        this.#afterOn(host, this.#random() * digestIntervalMilliseconds(9), () => this.#publishDigest(host));
        this.#afterOn(host, TICK_MILLISECONDS, () => this.#tick(host));
    }

    #register(host: SimulatedHost, other: SimulatedHost): void {
        const record = {
            host: other.name,
            session: other.name,
            zone: other.zone,
            addresses: createAddresses(other.name),
        };
        host.peers.register(record, this.#now);
    }

    #tick(host: SimulatedHost): void {
        host.limiter.tick(this.#now);
        this.#afterOn(host, TICK_MILLISECONDS, () => this.#tick(host));
    }

    #scheduleFault({ beginMilliseconds, endMilliseconds, fault, host: index }: FaultAt): void {
        const host = (): SimulatedHost | undefined => this.#hosts.find(({ name }) => name === nameOf(index));
        this.#at(beginMilliseconds, () => {
            const target = host();
            if (target !== undefined) {
                this.#beginFault(target, fault);
            }
        });
        this.#at(endMilliseconds, () => {
            const target = host();
            if (target !== undefined) {
                this.#endFault(target);
            }
        });
    }

    #beginFault(host: SimulatedHost, fault: HostFault): void {
        switch (fault.type) {
            case "cut":
                host.cut = fault.direction;
                break;
            case "freeze":
                host.isFrozen = true;
                break;
            case "restart":
                this.#restart(host);
                break;
            case "leave":
                host.isLeaving = true;
                break;
        }
    }

    #endFault(host: SimulatedHost): void {
        host.cut = "none";
        host.isFrozen = false;
        host.postponed.splice(0).forEach(step => step());
        if (host.isLeaving) {
            this.#stop(host);
        }
    }

    #stop(host: SimulatedHost): void {
        host.isRunning = false;
        host.incarnation += 1;
        host.calls.clear();
        this.#after(RECORD_REMOVED_MILLISECONDS, () => {
            if (!host.isRunning) {
                this.#hosts.forEach(({ peers }) => peers.unregister(host.name, this.#now));
            }
        });
    }

    #restart(host: SimulatedHost): void {
        this.#stop(host);
        this.#toldAt.delete(host.name);
        this.#after(RESTART_MILLISECONDS, () => {
            Object.assign(host, this.#createProcess(host.name, host.zone));
            host.isRunning = true;
            host.isLeaving = false;
            this.#start(host);
        });
    }

    #publishDigest(host: SimulatedHost): void {
        const now = this.#now;
        const limits = host.limiter.ownVotes(now);
        const digest = createDigest(host.name, {
            zone: host.zone,
            leaving: host.isLeaving,
            ...limits.length === 0 ? {} : { limits },
        });
        const division = host.peers.division();
        host.peers.cellPeers().forEach(peer =>
            this.#transmit(host.name, peer.host, receiver => this.#receiveDigest(receiver, digest))
        );
        if (division.otherCells.length > 0 && host.peers.isCellRepresentative(now)) {
            this.#publishAggregates(host, digest);
        }
        const interval = digestIntervalMilliseconds(division.ownCell.length);
        this.#afterOn(host, interval, () => this.#publishDigest(host));
    }

    #publishAggregates(host: SimulatedHost, digest: HostDigest): void {
        const { otherCells, ownCell } = host.peers.division();
        const sender = { host: host.name, cell: ownCell[0]?.host ?? host.name };
        const receivers = otherCells.flatMap(cell => host.aggregates.receiversOf(cell));
        const ofCell = host.aggregates.aggregateOfCell(sender, digest, this.#now);
        receivers.forEach(name =>
            this.#transmit(host.name, name, ({ aggregates }) => aggregates.recordAggregate(ofCell, this.#now))
        );
        const ofOthers = host.aggregates.aggregateOfOtherCells(sender, this.#now);
        if (ofOthers !== undefined) {
            host.peers.cellPeers().forEach(peer =>
                this.#transmit(host.name, peer.host, receiver => this.#receiveOtherCells(receiver, ofOthers))
            );
            this.#receiveOtherCells(host, ofOthers);
        }
    }

    #receiveDigest(host: SimulatedHost, digest: HostDigest): void {
        host.peers.recordDigest(digest, this.#now);
        if (host.peers.division().ownCell.some(member => member.host === digest.host)) {
            host.aggregates.recordDigest(digest, this.#now);
        }
        host.limiter.recordVotes(digest.host, digest.limits ?? [], this.#now);
    }

    #receiveOtherCells(host: SimulatedHost, aggregate: FleetSummary): void {
        aggregate.hosts.forEach(name => host.peers.recordListed(name, this.#now));
        host.limiter.recordOtherCells(aggregate, this.#now);
    }

    #sendPermitMessage(sender: string, receiver: string, message: PermitMessage): void {
        this.#permitMessages += 1;
        this.#transmit(sender, receiver, host => host.limiter.receive(message, this.#now));
    }

    /** Delivers a message from one host to another, unless it is lost or a link is cut. */
    #transmit(sender: string, receiver: string, deliver: (host: SimulatedHost) => void): void {
        const { loss = 0, maximumDelayMilliseconds = NETWORK_MILLISECONDS } = this.#options;
        const from = this.#hosts.find(({ name }) => name === sender);
        const to = this.#hosts.find(({ name }) => name === receiver);
        const isCut = from?.cut === "both" || from?.cut === "outbound" || to?.cut === "both" || to?.cut === "inbound";
        if (to === undefined || isCut || this.#random() < loss) {
            return;
        }
        const delay = 1 + this.#random() * (maximumDelayMilliseconds - 1);
        this.#afterOn(to, delay, () => deliver(to));
    }

    #scheduleCaller(busyHosts: number): void {
        const { requestsPerSecond } = this.#options;
        const gap = -Math.log(1 - this.#random()) * MILLISECONDS_PER_SECOND / requestsPerSecond;
        this.#after(gap, () => {
            const host = this.#hosts[Math.floor(this.#random() * busyHosts)];
            if (host?.isRunning === true && !host.isFrozen) {
                this.#offered += 1;
                this.#handleCall(host);
            }
            this.#scheduleCaller(busyHosts);
        });
    }

    #handleCall(host: SimulatedHost): void {
        const call = this.#createCall(host);
        host.calls.set(call.id, call);
        this.#dispatch(host, call);
        this.#afterOn(host, this.#options.maximumWaitMilliseconds, () => {
            if (host.calls.has(call.id)) {
                this.#waitedInVain += 1;
                this.#refuse(host, call);
            }
        });
    }

    #createCall({ limiter }: SimulatedHost): WaitingCall {
        const id = String(this.#offered);
        const priority = this.#offered % (this.#options.priorities ?? 3);
        const permitWait = new PermitWait({
            limiter,
            onQueueChanged: () => undefined,
            readClock: () => this.#now,
            requestId: id,
            priority,
        });
        return { id, priority, arrivedAtMilliseconds: this.#now, permitWait };
    }

    #refuse(host: SimulatedHost, call: WaitingCall): void {
        if (host.calls.delete(call.id)) {
            call.permitWait.cancel();
            this.#refused += 1;
        }
    }

    #wakeSoon(name: string): void {
        const host = this.#hosts.find(each => each.name === name);
        if (host !== undefined) {
            this.#afterOn(host, EARLIEST_WAKE_MILLISECONDS, () => this.#wake(host));
        }
    }

    #wake(host: SimulatedHost): void {
        for (const call of [...host.calls.values()]) {
            this.#dispatch(host, call);
        }
    }

    /** Sends a call, refuses it, or lets it wait for a permit. */
    #dispatch(host: SimulatedHost, call: WaitingCall): void {
        const { permitWait } = call;
        if (host.limiter.tryUse(UPSTREAM.id, permitWait.request, this.#now)) {
            this.#send(host, call);
            return;
        }
        const waitedMilliseconds = this.#now - call.arrivedAtMilliseconds;
        const remainingMilliseconds = this.#options.maximumWaitMilliseconds - waitedMilliseconds;
        permitWait.begin([UPSTREAM.id], remainingMilliseconds);
        if (permitWait.isTooLate(remainingMilliseconds)) {
            this.#refuse(host, call);
        }
    }

    #send(host: SimulatedHost, call: WaitingCall): void {
        host.calls.delete(call.id);
        call.permitWait.cancel();
        this.#sentPriorities.push(call.priority);
        const sentAtMilliseconds = this.#now;
        this.#after(1, () => this.#arrive(host, sentAtMilliseconds));
    }

    /** A call reaches the upstream, whose answer names its limit. */
    #arrive(host: SimulatedHost, sentAtMilliseconds: number): void {
        this.#arrivals.push({ host: host.name, atMilliseconds: this.#now });
        const requestsPerSecond = this.#limitNow();
        const answerMilliseconds = 1 + this.#random() * SERVICE_MILLISECONDS;
        this.#afterOn(host, answerMilliseconds, () => {
            if (requestsPerSecond !== undefined && !this.#toldAt.has(host.name)) {
                this.#toldAt.set(host.name, this.#now);
            }
            const change = host.limits.record({
                upstream: UPSTREAM,
                requestsPerSecond,
                sentAtMilliseconds,
                receivedAtMilliseconds: this.#now,
                receivedBy: host.name,
            });
            if (change !== undefined) {
                this.#wake(host);
            }
        });
    }

    #limitNow(): number | undefined {
        return this.#options.steps.findLast(({ atMilliseconds }) => atMilliseconds <= this.#now)?.requestsPerSecond;
    }
}
