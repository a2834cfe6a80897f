/**
 * Simulates requests on engines whose models a plan moves, and measures how well callers are served.
 *
 * An engine runs as many requests as it has slots, prefills prompts at a fixed rate, unloads a model once the last request
 * for it has ended, and loads one model at a time: from host memory, disk or the weight store. Orders take effect
 * immediately; hosts are not simulated.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { workOf } from "../../src/entry/demandMeter.js";
import { type PlacementInput, type PlacementMove, type PlannedEngine } from "../../src/placement/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";
import { type RequestKind, type SimulatedSite } from "./simulatedSite.js";

/** Time step of the simulation. */
const STEP_MILLISECONDS = 10;

const PLAN_INTERVAL_MILLISECONDS = 200;

/** From the end of a model's last request until the holder observes that the model is unloaded. */
const UNLOAD_OBSERVED_MILLISECONDS = 300;

/** A request that no engine could accept within this time is refused. */
const MAXIMUM_WAIT_MILLISECONDS = 250;

/** Mean time after which refused callers retry. */
const RETRY_DELAY_MILLISECONDS = 2_000;

/** An engine with at least this prefill backlog is sent no further prompt. */
const MAXIMUM_PREFILL_BACKLOG_TOKENS = 2_600;

/** Time simulated after the last arrival of a day, so that open requests can end. */
const DRAIN_MILLISECONDS = 15_000;

/** Time that each other request on an engine adds to every token. */
const MILLISECONDS_PER_OTHER_EXECUTION = 0.012;

/** Estimates the demand for each model from arrivals and executions, as input of the plan. */
export interface DemandEstimate {
    add(model: string, work: number, nowMilliseconds: number): void;
    recordRun(work: number, tookMilliseconds: number): void;
    total(nowMilliseconds: number): ReadonlyMap<string, number>;
}

/** Options of a simulation. */
export interface SimulationOptions {
    readonly site: SimulatedSite;
    readonly seed: number;
    readonly plan: (input: PlacementInput) => PlacementMove | undefined;
    readonly demand: DemandEstimate;
}

/** Results of one simulated day. */
export interface SimulationResult {
    /** Value of the answers, divided by the value if all requests were answered in time. */
    readonly attainment: number;
    readonly attainmentOfKind: Readonly<Record<string, number>>;
    readonly refusals: number;
    readonly loadsFromStore: number;
}

interface SimulatedRequest {
    readonly kind: RequestKind;
    readonly model: string;
    readonly requestedAtMilliseconds: number;
    readonly outputTokens: number;
    attemptAtMilliseconds: number;
    attempts: number;
    wasInterrupted: boolean;
}

interface Execution {
    readonly request: SimulatedRequest;
    readonly endsAtMilliseconds: number;
    readonly startedAtMilliseconds: number;
}

interface MoveInProgress {
    readonly model: string;
    dropped: readonly string[];
}

class SimulatedEngine {
    readonly id: string;
    readonly models = new Set<string>();
    readonly inMemory: string[] = [];
    readonly onDisk: string[] = [];
    executions: Execution[] = [];
    prefillBacklogTokens = 0;
    move: MoveInProgress | undefined;
    unloading: { readonly model: string; observedAtMilliseconds: number | undefined; } | undefined;
    loading: { readonly model: string; readonly untilMilliseconds: number; } | undefined;
    restartsAtMilliseconds: number | undefined;

    constructor(id: string) {
        this.id = id;
    }

    crash(restartsAtMilliseconds: number): Execution[] {
        const interrupted = this.executions;
        this.executions = [];
        this.models.clear();
        this.inMemory.length = 0;
        this.prefillBacklogTokens = 0;
        this.move = undefined;
        this.unloading = undefined;
        this.loading = undefined;
        this.restartsAtMilliseconds = restartsAtMilliseconds;
        return interrupted;
    }

    describe(): PlannedEngine {
        return {
            id: this.id,
            models: [...this.models],
            loading: this.loading?.model ?? this.move?.model,
            locallyStoredModels: [...new Set([...this.inMemory, ...this.onDisk])].filter(model =>
                !this.models.has(model)
            ),
        };
    }
}

function storeCopy(copies: string[], model: string, maximumCopies: number): void {
    const others = copies.filter(other => other !== model);
    copies.splice(0, copies.length, ...others.slice(Math.max(0, others.length + 1 - maximumCopies)), model);
}

/** Simulation of one day. */
class PlacementSimulation {
    readonly #options: SimulationOptions;
    readonly #random: RandomSource;
    readonly #engines: SimulatedEngine[];
    readonly #definition: EngineDefinition;
    #waiting: SimulatedRequest[] = [];
    #retries: SimulatedRequest[] = [];
    #now = 0;
    #valueByKind = new Map<string, number>();
    #maximumValueByKind = new Map<string, number>();
    #refusals = 0;
    #loadsFromStore = 0;

    constructor(options: SimulationOptions) {
        this.#options = options;
        this.#random = createSeededRandom(options.seed);
        this.#definition = options.site.definition;
        this.#engines = options.site.start(this.#random).map((models, index) => {
            const engine = new SimulatedEngine(`engine-${index}`);
            models.forEach(model => {
                engine.models.add(model);
                storeCopy(engine.onDisk, model, options.site.onDisk);
            });
            return engine;
        });
    }

    run(): SimulationResult {
        const { site } = this.#options;
        const day = site.draw(this.#random);
        for (
            this.#now = 0;
            this.#now < day.lengthMilliseconds + DRAIN_MILLISECONDS;
            this.#now += STEP_MILLISECONDS
        ) {
            if (this.#now < day.lengthMilliseconds) {
                this.#drawArrivals(day.shares(this.#now));
            }
            day.crashes.filter(({ atMilliseconds }) => atMilliseconds === this.#now).forEach((
                { engine, durationMilliseconds },
            ) => this.#crash(engine, durationMilliseconds));
            this.#engines.forEach(engine => this.#step(engine));
            this.#dispatch();
            if (this.#now % PLAN_INTERVAL_MILLISECONDS === 0) {
                this.#planMove();
            }
        }
        return this.#result();
    }

    #drawArrivals(shares: (kind: RequestKind) => ReadonlyMap<string, number>): void {
        for (const kind of this.#options.site.kinds) {
            for (const [model, share] of shares(kind)) {
                const expectedArrivals = kind.perSecond * share * STEP_MILLISECONDS / 1_000;
                if (this.#random() < expectedArrivals) {
                    this.#createRequest(kind, model);
                }
            }
        }
    }

    #createRequest(kind: RequestKind, model: string): void {
        const outputTokens = Math.max(5, Math.round(-Math.log(1 - this.#random()) * kind.outputTokens));
        const requestedAtMilliseconds = this.#now;
        this.#maximumValueByKind.set(kind.name, (this.#maximumValueByKind.get(kind.name) ?? 0) + kind.value);
        this.#enqueue({
            kind,
            model,
            requestedAtMilliseconds,
            outputTokens,
            attemptAtMilliseconds: requestedAtMilliseconds,
            attempts: 0,
            wasInterrupted: false,
        });
    }

    #enqueue(request: SimulatedRequest): void {
        request.attemptAtMilliseconds = this.#now;
        request.attempts += 1;
        this.#options.demand.add(request.model, workOfRequest(request), this.#now);
        this.#waiting.push(request);
    }

    #dispatch(): void {
        this.#retries = this.#retries.filter(request => {
            const isDue = this.#now >= request.attemptAtMilliseconds;
            if (isDue) {
                this.#enqueue(request);
            }
            return !isDue;
        });
        this.#waiting = this.#waiting.filter(request => !this.#start(request) && !this.#refuseIfOverdue(request));
    }

    #start(request: SimulatedRequest): boolean {
        const candidates = this.#engines.filter(engine =>
            engine.restartsAtMilliseconds === undefined && engine.models.has(request.model)
            && engine.executions.length < this.#definition.slots
            && engine.prefillBacklogTokens < MAXIMUM_PREFILL_BACKLOG_TOKENS
        );
        candidates.sort((left, right) => left.executions.length - right.executions.length);
        const [engine] = candidates;
        if (engine === undefined) {
            return false;
        }
        engine.prefillBacklogTokens += request.kind.promptTokens;
        const { promptTokensPerMillisecond, stepMilliseconds } = this.#options.site;
        const prefillMilliseconds = engine.prefillBacklogTokens / promptTokensPerMillisecond;
        const millisecondsPerToken = stepMilliseconds + MILLISECONDS_PER_OTHER_EXECUTION * engine.executions.length;
        const durationMilliseconds = prefillMilliseconds + request.outputTokens * millisecondsPerToken;
        engine.executions.push({
            request,
            startedAtMilliseconds: this.#now,
            endsAtMilliseconds: this.#now + durationMilliseconds,
        });
        return true;
    }

    #refuseIfOverdue(request: SimulatedRequest): boolean {
        if (this.#now - request.attemptAtMilliseconds < MAXIMUM_WAIT_MILLISECONDS) {
            return false;
        }
        this.#refusals += 1;
        this.#scheduleRetry(request);
        return true;
    }

    #scheduleRetry(request: SimulatedRequest): void {
        const retryAtMilliseconds = this.#now + RETRY_DELAY_MILLISECONDS * (0.8 + 0.4 * this.#random());
        if (
            request.attempts <= request.kind.retries
            && retryAtMilliseconds - request.requestedAtMilliseconds < request.kind.deadlineMilliseconds
        ) {
            request.attemptAtMilliseconds = retryAtMilliseconds;
            this.#retries.push(request);
        }
    }

    #step(engine: SimulatedEngine): void {
        if (engine.restartsAtMilliseconds !== undefined) {
            engine.restartsAtMilliseconds = this.#now >= engine.restartsAtMilliseconds
                ? undefined
                : engine.restartsAtMilliseconds;
            return;
        }
        const { promptTokensPerMillisecond } = this.#options.site;
        engine.prefillBacklogTokens = Math.max(
            0,
            engine.prefillBacklogTokens - promptTokensPerMillisecond * STEP_MILLISECONDS,
        );
        const ended = engine.executions.filter(({ endsAtMilliseconds }) => this.#now >= endsAtMilliseconds);
        if (ended.length > 0) {
            engine.executions = engine.executions.filter(({ endsAtMilliseconds }) => this.#now < endsAtMilliseconds);
            ended.forEach(execution => this.#recordAnswer(execution));
        }
        this.#advanceMove(engine);
    }

    #advanceMove(engine: SimulatedEngine): void {
        if (engine.loading !== undefined && this.#now >= engine.loading.untilMilliseconds) {
            engine.models.add(engine.loading.model);
            engine.loading = undefined;
        }
        const { unloading } = engine;
        if (unloading !== undefined) {
            const isInUse = engine.executions.some(({ request }) => request.model === unloading.model);
            unloading.observedAtMilliseconds ??= isInUse ? undefined : this.#now + UNLOAD_OBSERVED_MILLISECONDS;
            engine.unloading =
                unloading.observedAtMilliseconds !== undefined && this.#now >= unloading.observedAtMilliseconds
                    ? undefined
                    : unloading;
        }
        if (engine.move !== undefined && engine.unloading === undefined && engine.loading === undefined) {
            this.#beginNextOperation(engine, engine.move);
        }
    }

    #beginNextOperation(engine: SimulatedEngine, move: MoveInProgress): void {
        const [unloaded, ...remaining] = move.dropped;
        if (unloaded !== undefined) {
            engine.models.delete(unloaded);
            engine.unloading = { model: unloaded, observedAtMilliseconds: undefined };
            move.dropped = remaining;
            return;
        }
        engine.move = undefined;
        const { site } = this.#options;
        const fromMemory = engine.inMemory.includes(move.model);
        const fromDisk = engine.onDisk.includes(move.model);
        const storeLoadMilliseconds =
            this.#definition.models.find(({ name }) => name === move.model)?.storeLoadMilliseconds ?? 0;
        const loadMilliseconds = fromMemory
            ? site.memoryLoadMilliseconds
            : fromDisk
            ? site.diskLoadMilliseconds
            : storeLoadMilliseconds;
        this.#loadsFromStore += fromMemory || fromDisk ? 0 : 1;
        storeCopy(engine.inMemory, move.model, site.inMemory);
        storeCopy(engine.onDisk, move.model, site.onDisk);
        engine.loading = { model: move.model, untilMilliseconds: this.#now + loadMilliseconds };
    }

    #recordAnswer({ request, startedAtMilliseconds, endsAtMilliseconds }: Execution): void {
        this.#options.demand.recordRun(workOfRequest(request), endsAtMilliseconds - startedAtMilliseconds);
        const { firstTokenTargetMilliseconds, lateValue, name, value } = request.kind;
        const isInTime = !request.wasInterrupted
            && startedAtMilliseconds - request.requestedAtMilliseconds <= firstTokenTargetMilliseconds;
        this.#valueByKind.set(name, (this.#valueByKind.get(name) ?? 0) + (isInTime ? value : lateValue));
    }

    #crash(index: number, durationMilliseconds: number): void {
        const engine = this.#engines[index % this.#engines.length];
        const interrupted = engine?.restartsAtMilliseconds === undefined
            ? engine?.crash(this.#now + durationMilliseconds) ?? []
            : [];
        for (const { request } of interrupted) {
            request.wasInterrupted = true;
            request.attemptAtMilliseconds = this.#now;
            this.#waiting.push(request);
        }
    }

    #planMove(): void {
        const engines = this.#engines.filter(({ restartsAtMilliseconds }) => restartsAtMilliseconds === undefined);
        const move = this.#options.plan({
            engines: engines.map(engine => engine.describe()),
            definition: this.#definition,
            demand: this.#options.demand.total(this.#now),
            adapterDemand: new Map(),
            prefillDemand: new Map(),
            excludedEngines: new Set(),
            enginesAtStoreLoadLimit: new Set(),
        });
        const engine = engines.find(({ id }) => id === move?.engine);
        const isBusy = engine?.move !== undefined || engine?.unloading !== undefined || engine?.loading !== undefined;
        if (move !== undefined && engine !== undefined && !isBusy) {
            engine.move = { model: move.model, dropped: move.dropped };
        }
    }

    #result(): SimulationResult {
        const sum = (parts: ReadonlyMap<string, number>): number => [...parts.values()].reduce((a, b) => a + b, 0);
        const kinds = this.#options.site.kinds.map(({ name }) => name);
        return {
            attainment: sum(this.#valueByKind) / sum(this.#maximumValueByKind),
            attainmentOfKind: Object.fromEntries(
                kinds.map(
                    name => [name, (this.#valueByKind.get(name) ?? 0) / (this.#maximumValueByKind.get(name) ?? 1)],
                ),
            ),
            refusals: this.#refusals,
            loadsFromStore: this.#loadsFromStore,
        };
    }
}

function workOfRequest({ kind, outputTokens }: SimulatedRequest): number {
    return workOf(`${kind.promptTokens},${outputTokens}`);
}

/**
 * Simulates one day.
 *
 * @param options The site, the plan and its demand estimate; equal seeds simulate the same day.
 *
 * @example
 * ```ts
 * const { attainment } = simulatePlacement({ site, seed: 1, plan: planBestMove, demand });
 * ```
 */
export function simulatePlacement(options: SimulationOptions): SimulationResult {
    return new PlacementSimulation(options).run();
}
