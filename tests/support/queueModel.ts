/**
 * Hosts with waiting requests before a few engines, in virtual time, with the old or the new decisions on who waits.
 *
 * @module
 */
import { Admission, queueRank, retryDelay, type WaitOutcome } from "../../src/admission/index.js";
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { dispatchInOrder, type WaitingRequest } from "../../src/entry/exchange/dispatchInOrder.js";
import { type WaitingRank, waitingRank } from "../../src/entry/exchange/waitingRank.js";
import { maximumWaitMilliseconds, retryDelayMilliseconds } from "../../src/forwarding/index.js";
import { type Route } from "../../src/routes/index.js";

/** Interval in which a host's waiting requests look for room that other hosts' requests have left. */
const RECHECK_MILLISECONDS = 120;

const SERVICE = "chat";

/** Requests that callers send alike. */
export interface RequestClass {
    readonly name: string;
    readonly priority: number;
    readonly targetMilliseconds: number;
    readonly limitMilliseconds: number;
    readonly account: string;
    /** Requests a second in calm times. */
    readonly perSecond: number;
    /** Factor of the rate during the burst. */
    readonly burstFactor: number;
}

/** Options of {@linkcode playQueue}. */
export interface QueueModelOptions {
    readonly seed: number;
    readonly decision: "old" | "new";
    readonly classes: readonly RequestClass[];
    readonly hosts: number;
    readonly engines: number;
    readonly slots: number;
    /** Returns the time that an engine takes for a request. */
    readonly serviceMilliseconds: (random: RandomSource) => number;
    readonly firstEventMilliseconds: number;
    readonly burst: { readonly fromMilliseconds: number; readonly untilMilliseconds: number; };
    readonly durationMilliseconds: number;
    /** Share of the callers that ignore Retry-After and come back at once. */
    readonly impatientShare: number;
    readonly isOverFairShare?: (account: string) => boolean;
    /** False where early refusals are only counted, to see what would have become of the requests; true by default. */
    readonly refusesEarly?: boolean;
}

/** What became of the callers of a class. */
export interface Served {
    callers: number;
    served: number;
    withinTarget: number;
    refusals: number;
    /** Requests that were refused early, or would have been. */
    early: number;
    /** Of these, requests that were sent all the same. */
    earlySent: number;
    /** Time for which refused requests were held. */
    heldMilliseconds: number;
    /** Waits until the first dispatch, of those sent. */
    readonly waits: number[];
}

/** Outcome of one run, by class. */
export type QueueOutcome = Readonly<Record<string, Served>>;

type Act = readonly [atMilliseconds: number, run: () => void];

/** Runs acts in the order of their times. */
class VirtualTime {
    now = 0;
    readonly #heap: Act[] = [];

    at(milliseconds: number, run: () => void): void {
        this.#heap.push([milliseconds, run]);
        let index = this.#heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (this.#time(parent) <= this.#time(index)) {
                break;
            }
            this.#swap(index, parent);
            index = parent;
        }
    }

    runAll(): void {
        for (let act = this.#take(); act !== undefined; act = this.#take()) {
            this.now = act[0];
            act[1]();
        }
    }

    #take(): Act | undefined {
        const first = this.#heap[0];
        const last = this.#heap.pop();
        if (first === undefined || last === undefined || this.#heap.length === 0) {
            return first;
        }
        this.#heap[0] = last;
        for (let index = 0;;) {
            const [left, right] = [2 * index + 1, 2 * index + 2];
            const least = this.#time(right) < this.#time(left) ? right : left;
            if (this.#time(index) <= this.#time(least)) {
                return first;
            }
            this.#swap(index, least);
            index = least;
        }
    }

    #time(index: number): number {
        return this.#heap[index]?.[0] ?? Number.POSITIVE_INFINITY;
    }

    #swap(left: number, right: number): void {
        const [one, other] = [this.#heap[left], this.#heap[right]];
        if (one !== undefined && other !== undefined) {
            this.#heap[left] = other;
            this.#heap[right] = one;
        }
    }
}

class Model {
    readonly time = new VirtualTime();
    readonly random: RandomSource;
    readonly options: QueueModelOptions;
    readonly served: Record<string, Served> = {};
    readonly running: number[];
    readonly hosts: Host[];

    constructor(options: QueueModelOptions) {
        this.options = options;
        this.random = createSeededRandom(options.seed);
        this.running = Array.from({ length: options.engines }, () => 0);
        this.hosts = Array.from({ length: options.hosts }, () => new Host(this));
    }

    /** Returns the engine with the fewest requests; `undefined` where none has a free slot. */
    freeEngine(leftFree: number): number | undefined {
        const fewest = Math.min(...this.running);
        return fewest < this.options.slots - leftFree ? this.running.indexOf(fewest) : undefined;
    }

    play(): QueueOutcome {
        for (const each of this.options.classes) {
            this.served[each.name] = {
                callers: 0,
                served: 0,
                withinTarget: 0,
                refusals: 0,
                early: 0,
                earlySent: 0,
                heldMilliseconds: 0,
                waits: [],
            };
            this.#scheduleCaller(each);
        }
        this.time.runAll();
        return this.served;
    }

    arrive(caller: Caller): void {
        this.hosts[Math.floor(this.random() * this.hosts.length)]?.accept(caller);
    }

    #scheduleCaller(each: RequestClass): void {
        const { burst: { fromMilliseconds, untilMilliseconds }, durationMilliseconds } = this.options;
        const { now } = this.time;
        const factor = now >= fromMilliseconds && now < untilMilliseconds ? each.burstFactor : 1;
        const gap = -Math.log(1 - this.random()) * 1_000 / (each.perSecond * factor);
        // A gap that reaches into a change of the rate is drawn anew from there.
        const change = [fromMilliseconds, untilMilliseconds].find(at => now < at && now + gap > at);
        const next = change ?? now + gap;
        if (next < durationMilliseconds) {
            this.time.at(next, () => {
                if (change === undefined) {
                    this.of(each).callers += 1;
                    const isImpatient = this.random() < this.options.impatientShare;
                    this.arrive({ each, firstAtMilliseconds: next, isImpatient, isReturned: false });
                }
                this.#scheduleCaller(each);
            });
        }
    }

    of({ name }: RequestClass): Served {
        const served = this.served[name];
        if (served === undefined) {
            throw new Error(`no class ${name}`);
        }
        return served;
    }
}

interface Caller {
    readonly each: RequestClass;
    readonly firstAtMilliseconds: number;
    readonly isImpatient: boolean;
    readonly isReturned: boolean;
}

class Host {
    readonly admission: Admission;
    readonly requests = new Set<ModelRequest>();
    readonly model: Model;

    constructor(model: Model) {
        this.model = model;
        const { decision, isOverFairShare = () => false } = model.options;
        this.admission = new Admission({ isInForce: () => decision === "new", isOverFairShare });
    }

    accept(caller: Caller): void {
        const request = new ModelRequest(this, caller);
        this.requests.add(request);
        request.dispatch();
    }

    wake(): void {
        const { admission, model, requests } = this;
        dispatchInOrder(requests, {
            includesLacking: true,
            arrange: sorted => admission.arrange(sorted, model.time.now),
        }).forEach(step => step());
    }
}

class ModelRequest implements WaitingRequest {
    readonly waitKey = SERVICE;
    readonly lacksCopies = false;
    passPosition: number | undefined;
    readonly #host: Host;
    readonly #caller: Caller;
    readonly #route: Route;
    readonly #arrivedAt: number;
    readonly #deadline: number;
    readonly #maximumWait: number;
    #since: number | undefined;
    #ended = false;
    #isEarly = false;

    constructor(host: Host, caller: Caller) {
        const { each, firstAtMilliseconds } = caller;
        this.#host = host;
        this.#caller = caller;
        this.#route = {
            kind: "event-stream",
            priority: each.priority,
            targetLatencyMilliseconds: each.targetMilliseconds,
        } as Route;
        this.#arrivedAt = host.model.time.now;
        this.#deadline = firstAtMilliseconds + each.limitMilliseconds;
        this.#maximumWait = maximumWaitMilliseconds(this.#route, this.#deadline - this.#arrivedAt);
    }

    get isWaiting(): boolean {
        return this.#since !== undefined;
    }

    get queueFacts() {
        const { account, priority, targetMilliseconds } = this.#caller.each;
        return {
            service: SERVICE,
            priority,
            account,
            arrivedAtMilliseconds: this.#arrivedAt,
            targetLatencyMilliseconds: targetMilliseconds,
        };
    }

    get rank(): WaitingRank {
        const { admission, model } = this.#host;
        const waiting = { permitSinceMilliseconds: undefined, isResumed: false };
        return model.options.decision === "old"
            ? waitingRank({ route: this.#route, arrivedAtMilliseconds: this.#arrivedAt, ...waiting }, model.time.now)
            : queueRank({
                ...this.queueFacts,
                ...waiting,
                firstEventMilliseconds: admission.firstEvents.usual(SERVICE),
                waitsSinceMilliseconds: this.#since,
                maximumWaitMilliseconds: this.#maximumWait,
                isOverFairShare: admission.isOverFairShare(this.#caller.each.account),
            }, model.time.now);
    }

    dispatch(): void {
        if (this.#ended) {
            return;
        }
        const { model } = this.#host;
        const engine = model.freeEngine(this.slotsLeftFree);
        if (engine === undefined) {
            this.#wait();
        }
        else {
            this.#run(engine);
        }
    }

    /** As `slotsLeftFree` of a request's place in the order of waiting. */
    get slotsLeftFree(): number {
        const { admission, model: { time } } = this.#host;
        const isWaitOver = time.now - (this.#since ?? time.now) >= this.#maximumWait;
        return admission.slotsLeftFree(this.queueFacts, isWaitOver && time.now <= this.#latestStart, time.now);
    }

    get #latestStart(): number {
        return this.#arrivedAt + this.#route.targetLatencyMilliseconds
            - this.#host.admission.firstEvents.usual(SERVICE);
    }

    #wait(): void {
        const { admission, model: { options: { decision }, time } } = this.#host;
        if (this.#since === undefined) {
            this.#since = time.now;
            admission.recordBegun(SERVICE, time.now);
        }
        const remainingWait = this.#maximumWait - (time.now - this.#since);
        const refusal = decision === "old" ? undefined : admission.decideRefusal({
            facts: this.queueFacts,
            estimate: admission.estimate(SERVICE, this, time.now),
            remainingWaitMilliseconds: remainingWait,
            takesAnySlotAtEnd: time.now + remainingWait <= this.#latestStart
                && admission.slotsLeftFree(this.queueFacts, true, time.now) === 0
                && admission.slotsLeftFree(this.queueFacts, false, time.now) > 0,
            remainingMilliseconds: this.#deadline - time.now,
        });
        if (refusal !== undefined && remainingWait >= 0 && !this.#isEarly) {
            this.#isEarly = true;
            this.#host.model.of(this.#caller.each).early += 1;
        }
        const { refusesEarly = true } = this.#host.model.options;
        if (remainingWait < 0 || (refusal !== undefined && refusesEarly)) {
            this.#refuse(remainingWait < 0 ? "left" : "refused-early");
        }
        else {
            time.at(time.now + Math.min(remainingWait + 0.01, RECHECK_MILLISECONDS), () => this.dispatch());
        }
    }

    #refuse(outcome: WaitOutcome): void {
        const { admission, model } = this.#host;
        const { time } = model;
        const held = time.now - this.#arrivedAt;
        const served = model.of(this.#caller.each);
        served.refusals += 1;
        served.heldMilliseconds += held;
        const delay = this.#retryDelay(held);
        this.#end(outcome);
        admission.recordOutcome(this.queueFacts, false, time.now);
        const remaining = this.#deadline - time.now;
        if (!this.#caller.isReturned && (this.#caller.isImpatient || delay <= remaining / 3)) {
            time.at(
                time.now + (this.#caller.isImpatient ? 1 : delay),
                () => model.arrive({ ...this.#caller, isReturned: true }),
            );
        }
    }

    #retryDelay(held: number): number {
        const { admission, model: { options: { decision }, random, time } } = this.#host;
        const remaining = this.#deadline - time.now;
        if (decision === "old") {
            return retryDelayMilliseconds(1_000, remaining, random());
        }
        return retryDelay({
            expectedMilliseconds: Math.max(
                held,
                admission.estimateReturn(SERVICE, time.now)?.expectedMilliseconds ?? 1_000,
            ),
            remainingMilliseconds: remaining,
            priority: this.#caller.each.priority,
            waitedShare: held / this.#maximumWait,
            spread: random(),
        });
    }

    #run(engine: number): void {
        const { admission, model } = this.#host;
        const { options, random, running, time } = model;
        const { each, firstAtMilliseconds } = this.#caller;
        const served = model.of(each);
        served.earlySent += this.#isEarly ? 1 : 0;
        served.waits.push(time.now - this.#arrivedAt);
        this.#end("sent");
        admission.recordOutcome(this.queueFacts, true, time.now);
        running[engine] = (running[engine] ?? 0) + 1;
        const firstEvent = options.firstEventMilliseconds * (0.5 + random());
        const runs = firstEvent + options.serviceMilliseconds(random);
        const left = this.#deadline - time.now;
        if (firstEvent <= left) {
            served.served += 1;
            served.withinTarget += time.now + firstEvent - firstAtMilliseconds <= each.targetMilliseconds ? 1 : 0;
            admission.firstEvents.record(SERVICE, firstEvent);
        }
        time.at(time.now + Math.min(left, runs), () => {
            running[engine] = (running[engine] ?? 0) - 1;
            this.#host.wake();
        });
    }

    #end(outcome: WaitOutcome): void {
        const { admission, model: { time }, requests } = this.#host;
        if (this.#since !== undefined) {
            admission.recordEnded(SERVICE, outcome, time.now);
        }
        this.#since = undefined;
        this.#ended = true;
        requests.delete(this);
    }
}

/**
 * Plays callers' requests against hosts and engines until all have ended.
 *
 * @param options The callers, hosts, engines and decisions.
 *
 * @example
 * ```ts
 * const outcome = playQueue({ ...options, decision: "new" });
 * ```
 */
export function playQueue(options: QueueModelOptions): QueueOutcome {
    return new Model(options).play();
}
