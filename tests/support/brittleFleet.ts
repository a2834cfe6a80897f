/**
 * Hosts before upstreams that tolerate few rejections, in simulated time.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { NamedLimits, RejectionBounds, SlotLeases, type SlotMessage } from "../../src/rateLimits/index.js";

const SERVICE = "plain";
const UPSTREAM_COUNT = 3;
const DURATION_MILLISECONDS = 12_000;

/** Hosts have heard by then what upstreams tolerate. */
const SETTLED_MILLISECONDS = 3_000;
const SECOND_MILLISECONDS = 1_000;
const MAXIMUM_DELAY_MILLISECONDS = 4;
const DIGEST_MILLISECONDS = 500;
const MAXIMUM_WAIT_MILLISECONDS = 600;
const RETRY_MILLISECONDS = 15;
const MEAN_RUN_MILLISECONDS = 200;
const TICK_MILLISECONDS = 25;

interface Answer {
    readonly sentAtMilliseconds: number;
    readonly isRejected: boolean;
    /** Requests at the upstream when it answered. */
    readonly requests: number;
}

/** Options of a fleet. */
export interface BrittleFleetOptions {
    readonly seed: number;
    readonly hostCount: number;
    readonly slots: number;
    /** Rejections a second that each upstream tolerates. */
    readonly tolerance: number;
    /** Share of the messages on slots that is lost; 0 by default. */
    readonly loss?: number;
}

/** What came of a fleet's requests. */
export interface PlayedFleet {
    /** The most rejections by one upstream in any second since hosts have heard. */
    readonly mostRejected: number;
    /** Share of the upstreams' slots that was in use, on average. */
    readonly usedShare: number;
    /** Share of the arrived requests that an upstream ran. */
    readonly servedShare: number;
    /** The same of the requests that arrived at the host whose share is the lowest. */
    readonly leastServedShare: number;
    /** Time that each request that an upstream ran had waited at its host, in ascending order. */
    readonly waitsMilliseconds: readonly number[];
    /** Messages on slots, of all hosts together. */
    readonly slotMessagesPerSecond: number;
}

interface Upstream {
    readonly id: string;
    running: number;
    usedMilliseconds: number;
    readonly rejectedAt: number[];
}

interface Host {
    readonly name: string;
    readonly leases: SlotLeases;
    readonly bounds: RejectionBounds;
    readonly tolerances: NamedLimits;
    readonly inFlight: Map<string, number>;
    /** Requests of all hosts at each upstream, as of the last digests. */
    readonly reported: Map<string, number>;
    waiting: Waiting[];
    arrived: number;
    served: number;
}

interface Waiting {
    readonly tried: ReadonlySet<string>;
    readonly sinceMilliseconds: number;
}

/** A queue of steps in simulated time; steps of one moment run in the order in which they were added. */
class Timeline {
    readonly #steps = new Map<number, (() => void)[]>();
    now = 0;

    after(milliseconds: number, run: () => void): void {
        const atMilliseconds = Math.ceil(this.now + milliseconds);
        const steps = this.#steps.get(atMilliseconds) ?? [];
        steps.push(run);
        this.#steps.set(atMilliseconds, steps);
    }

    runUntil(endMilliseconds: number): void {
        for (; this.now < endMilliseconds; this.now += 1) {
            for (let steps = this.#take(); steps.length > 0; steps = this.#take()) {
                steps.forEach(run => run());
            }
        }
    }

    #take(): readonly (() => void)[] {
        const steps = this.#steps.get(this.now) ?? [];
        this.#steps.delete(this.now);
        return steps;
    }
}

/** Returns the most times within any second. */
function mostInASecond(times: readonly number[]): number {
    let most = 0;
    let first = 0;
    for (const [index, at] of times.entries()) {
        while (at - (times[first] ?? at) >= SECOND_MILLISECONDS) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    }
    return most;
}

class BrittleFleet {
    readonly #options: BrittleFleetOptions;
    readonly #random: RandomSource;
    readonly #timeline = new Timeline();
    readonly #upstreams: Upstream[];
    readonly #hosts: Host[];
    /** Hosts before this one get all requests. */
    readonly #busyHostCount: number;
    readonly #waitsMilliseconds: number[] = [];
    #slotMessages = 0;

    constructor(options: BrittleFleetOptions) {
        this.#options = options;
        this.#random = createSeededRandom(options.seed);
        this.#upstreams = Array.from({ length: UPSTREAM_COUNT }, (_, index) => ({
            id: `i-${options.seed}-${index}`,
            running: 0,
            usedMilliseconds: 0,
            rejectedAt: [],
        }));
        const names = Array.from({ length: options.hostCount }, (_, index) => `entry-${index}`);
        this.#hosts = names.map(host => {
            const tolerances = new NamedLimits();
            const upstreamsOf = (): readonly { readonly id: string; readonly slots: number; }[] =>
                this.#upstreams.map(({ id }) => ({ id, slots: options.slots }));
            const inFlight = new Map<string, number>();
            const leases: SlotLeases = new SlotLeases({
                host,
                issuingHosts: () => names,
                isLeased: id => bounds.isLeased({ id, service: SERVICE }),
                slotsOf: () => options.slots,
                inFlight: upstream => inFlight.get(upstream) ?? 0,
                send: (receiver, message) => this.#sendSlotMessage(receiver, message),
                onActive: () => undefined,
                onAnswered: () => this.#timeline.after(0, () => this.#wake(host)),
            });
            const bounds = new RejectionBounds({
                host,
                tolerances,
                sendingHosts: () => names,
                upstreamsOf,
                leases: () => leases,
            });
            return {
                name: host,
                leases,
                bounds,
                tolerances,
                inFlight,
                reported: new Map<string, number>(),
                waiting: [],
                arrived: 0,
                served: 0,
            };
        });
        this.#busyHostCount = this.#random() < 0.5
            ? options.hostCount
            : 1 + Math.floor(this.#random() * options.hostCount);
    }

    run(): PlayedFleet {
        const load = 0.5 + this.#random() * 1.5;
        const perMillisecond = load * UPSTREAM_COUNT * this.#options.slots / MEAN_RUN_MILLISECONDS;
        this.#arrive(1 / perMillisecond);
        this.#exchangeDigests();
        this.#tick();
        this.#timeline.runUntil(DURATION_MILLISECONDS);
        const settled = this.#upstreams.map(({ rejectedAt }) => rejectedAt.filter(at => at >= SETTLED_MILLISECONDS));
        const used = this.#upstreams.reduce((sum, { usedMilliseconds }) => sum + usedMilliseconds, 0);
        const busy = this.#hosts.filter(({ arrived }) => arrived > 0);
        const arrived = busy.reduce((sum, host) => sum + host.arrived, 0);
        return {
            mostRejected: Math.max(...settled.map(mostInASecond)),
            usedShare: used / (UPSTREAM_COUNT * this.#options.slots * DURATION_MILLISECONDS),
            servedShare: busy.reduce((sum, { served }) => sum + served, 0) / arrived,
            leastServedShare: Math.min(...busy.map(host => host.served / host.arrived)),
            slotMessagesPerSecond: this.#slotMessages * SECOND_MILLISECONDS / DURATION_MILLISECONDS,
            waitsMilliseconds: this.#waitsMilliseconds.toSorted((left, right) => left - right),
        };
    }

    #arrive(meanMilliseconds: number): void {
        let at = 0;
        while (at < DURATION_MILLISECONDS) {
            at -= Math.log(1 - this.#random()) * meanMilliseconds;
            const host = this.#hosts[Math.floor(this.#random() * this.#busyHostCount)];
            if (host !== undefined) {
                this.#timeline.after(at, () => {
                    host.arrived += 1;
                    this.#add(host, { tried: new Set(), sinceMilliseconds: this.#timeline.now });
                });
            }
        }
    }

    /** Tells each host at which upstreams the requests of all hosts are. */
    #exchangeDigests(): void {
        const totals = this.#upstreams.map(({ id }) =>
            [id, this.#hosts.reduce((sum, { inFlight }) => sum + (inFlight.get(id) ?? 0), 0)] as const
        );
        this.#hosts.forEach(({ reported }) => totals.forEach(([id, total]) => reported.set(id, total)));
        this.#hosts.forEach(host => this.#sendWaiting(host));
        this.#timeline.after(DIGEST_MILLISECONDS, () => this.#exchangeDigests());
    }

    #tick(): void {
        this.#hosts.forEach(({ leases }) => leases.tick(this.#timeline.now));
        this.#timeline.after(TICK_MILLISECONDS, () => this.#tick());
    }

    #sendSlotMessage(receiver: string, message: SlotMessage): void {
        const { loss = 0 } = this.#options;
        this.#slotMessages += 1;
        if (loss > 0 && this.#random() < loss) {
            return;
        }
        const host = this.#hosts.find(({ name }) => name === receiver);
        this.#timeline.after(this.#delay(), () => host?.leases.receive(message, this.#timeline.now));
    }

    #wake(name: string): void {
        const host = this.#hosts.find(each => each.name === name);
        if (host !== undefined) {
            this.#sendWaiting(host);
        }
    }

    /** Sends requests that wait, until one of them finds no upstream. */
    #sendWaiting(host: Host): void {
        const { now } = this.#timeline;
        const waiting = host.waiting.filter(({ sinceMilliseconds }) =>
            now - sinceMilliseconds < MAXIMUM_WAIT_MILLISECONDS
        );
        const first = waiting.findIndex(request => !this.#dispatch(host, request));
        host.waiting = first === -1 ? [] : waiting.slice(first);
    }

    #add(host: Host, request: Waiting): void {
        host.waiting.push(request);
        if (host.waiting.length === 1) {
            this.#sendWaiting(host);
        }
    }

    /** Sends a request to an upstream that accepts it; returns false where none does. */
    #dispatch(host: Host, { sinceMilliseconds, tried }: Waiting): boolean {
        const { slots } = this.#options;
        const uses = this.#upstreams.filter(({ id }) => !tried.has(id)).map(upstream => {
            const { id } = upstream;
            const ownRequests = host.inFlight.get(id) ?? 0;
            const requests = Math.max(ownRequests, host.reported.get(id) ?? 0);
            return { upstream, id, service: SERVICE, slots, ownRequests, requests, order: this.#random() };
        });
        const accepted = uses.filter(use => host.bounds.accepts(use, this.#timeline.now));
        accepted.sort((left, right) => left.requests - right.requests || left.order - right.order);
        const chosen = accepted[0];
        if (chosen !== undefined) {
            host.bounds.recordSent(chosen, this.#timeline.now);
            this.#send(host, chosen.upstream, new Set([...tried, chosen.id]), sinceMilliseconds);
        }
        else {
            host.bounds.requestSlot(uses, sinceMilliseconds, this.#timeline.now);
        }
        return chosen !== undefined || tried.size >= UPSTREAM_COUNT;
    }

    #send(host: Host, upstream: Upstream, tried: ReadonlySet<string>, sinceMilliseconds: number): void {
        const sentAtMilliseconds = this.#timeline.now;
        host.inFlight.set(upstream.id, (host.inFlight.get(upstream.id) ?? 0) + 1);
        host.reported.set(upstream.id, (host.reported.get(upstream.id) ?? 0) + 1);
        const answer = (isRejected: boolean): void => {
            const requests = upstream.running;
            this.#timeline.after(this.#delay(), () => {
                this.#receive(host, upstream.id, { sentAtMilliseconds, isRejected, requests });
                if (isRejected) {
                    this.#timeline.after(RETRY_MILLISECONDS, () => this.#add(host, { tried, sinceMilliseconds }));
                }
                else {
                    host.served += 1;
                    this.#waitsMilliseconds.push(sentAtMilliseconds - sinceMilliseconds);
                }
                this.#sendWaiting(host);
            });
        };
        this.#timeline.after(this.#delay(), () => this.#runAt(upstream, answer));
    }

    #runAt(upstream: Upstream, answer: (isRejected: boolean) => void): void {
        if (upstream.running >= this.#options.slots) {
            upstream.rejectedAt.push(this.#timeline.now);
            answer(true);
            return;
        }
        upstream.running += 1;
        const runMilliseconds = MEAN_RUN_MILLISECONDS * (0.2 + this.#random() * 1.6);
        this.#timeline.after(runMilliseconds, () => {
            upstream.running -= 1;
            upstream.usedMilliseconds += runMilliseconds;
            answer(false);
        });
    }

    #receive(host: Host, id: string, { isRejected, requests, sentAtMilliseconds }: Answer): void {
        const { now } = this.#timeline;
        host.tolerances.record({
            upstream: { id, startedAtMilliseconds: 1 },
            requestsPerSecond: this.#options.tolerance,
            sentAtMilliseconds,
            receivedAtMilliseconds: now,
            receivedBy: "host",
        });
        const ownRequests = Math.max(0, (host.inFlight.get(id) ?? 0) - 1);
        host.inFlight.set(id, ownRequests);
        host.reported.set(id, requests);
        if (isRejected) {
            const { slots } = this.#options;
            host.bounds.recordRejected({ id, service: SERVICE, slots, ownRequests, requests: slots }, now);
        }
        host.bounds.recordEnded(id, now);
    }

    #delay(): number {
        return this.#random() * MAXIMUM_DELAY_MILLISECONDS;
    }
}

/** Plays a fleet whose callers send between half of and twice what the upstreams can run. */
export function play(options: BrittleFleetOptions): PlayedFleet {
    return new BrittleFleet(options).run();
}
