/**
 * Plays requests on engines whose weights a plan moves, and tells what callers got.
 *
 * An engine runs up to its slots, reads prompts at a fixed rate, drops a model once its last run has ended, and loads one
 * model at a time: from its memory, its disk or the weight store. Orders take effect at once; hosts are not played.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { workOf } from "../../src/entry/demandMeter.js";
import { type PlacementInput, type PlacementMove, type PlannedEngine } from "../../src/placement/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";
import { type PlayedKind, type PlayedSite } from "./simulatedSite.js";

/** Time between two looks at the requests and engines. */
const STEP_MILLISECONDS = 10;

/** Time between two plans. */
const PLAN_MILLISECONDS = 200;

/** From a model's last run until its holder knows that it was dropped. */
const DROP_SEEN_MILLISECONDS = 300;

/** A request that no engine could take for this long is refused. */
const LONGEST_WAIT_MILLISECONDS = 250;

/** Callers that were refused come again after this long. */
const COMES_AGAIN_MILLISECONDS = 2_000;

/** Prompt tokens that an engine may have to read when it is given another prompt. */
const MOST_UNREAD_TOKENS = 2_600;

/** After its last arrival a day goes on for this long, so that what has begun can end. */
const AFTER_DAY_MILLISECONDS = 15_000;

/** What each other run on an engine adds to the time of a token. */
const MILLISECONDS_PER_OTHER_RUN = 0.012;

/** Tells what is asked of each model, as the plan sees it. */
export interface PlayedDemand {
    add(model: string, work: number, nowMilliseconds: number): void;
    noteRun(work: number, tookMilliseconds: number): void;
    total(nowMilliseconds: number): ReadonlyMap<string, number>;
}

/** What is played. */
export interface PlayOptions {
    readonly site: PlayedSite;
    readonly seed: number;
    readonly plan: (situation: PlacementInput) => PlacementMove | undefined;
    readonly demand: PlayedDemand;
}

/** What callers got. */
export interface PlayResult {
    /** Worth of the answers over that of all requests answered in time. */
    readonly attainment: number;
    readonly attainmentOfKind: Readonly<Record<string, number>>;
    readonly refusals: number;
    readonly loadsFromStore: number;
}

interface PlayedRequest {
    readonly kind: PlayedKind;
    readonly model: string;
    readonly askedAt: number;
    readonly outputTokens: number;
    arrivedAt: number;
    attempts: number;
    wasCut: boolean;
}

interface Run {
    readonly request: PlayedRequest;
    readonly endsAt: number;
    readonly startedAt: number;
}

interface OpenMove {
    readonly model: string;
    dropped: readonly string[];
}

class PlayedEngine {
    readonly id: string;
    readonly models = new Set<string>();
    readonly inMemory: string[] = [];
    readonly onDisk: string[] = [];
    runs: Run[] = [];
    unreadTokens = 0;
    move: OpenMove | undefined;
    dropping: { readonly model: string; seenAt: number | undefined; } | undefined;
    loading: { readonly model: string; readonly until: number; } | undefined;
    backAt: number | undefined;

    constructor(id: string) {
        this.id = id;
    }

    crash(backAt: number): Run[] {
        const cut = this.runs;
        this.runs = [];
        this.models.clear();
        this.inMemory.length = 0;
        this.unreadTokens = 0;
        this.move = undefined;
        this.dropping = undefined;
        this.loading = undefined;
        this.backAt = backAt;
        return cut;
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

function keepCopy(copies: string[], model: string, most: number): void {
    const others = copies.filter(other => other !== model);
    copies.splice(0, copies.length, ...others.slice(Math.max(0, others.length + 1 - most)), model);
}

/** One play. */
class Play {
    readonly #options: PlayOptions;
    readonly #random: RandomSource;
    readonly #engines: PlayedEngine[];
    readonly #definition: EngineDefinition;
    #waiting: PlayedRequest[] = [];
    #later: PlayedRequest[] = [];
    #now = 0;
    #worth = new Map<string, number>();
    #possible = new Map<string, number>();
    #refusals = 0;
    #loadsFromStore = 0;

    constructor(options: PlayOptions) {
        this.#options = options;
        this.#random = createSeededRandom(options.seed);
        this.#definition = options.site.definition;
        this.#engines = options.site.start(this.#random).map((models, index) => {
            const engine = new PlayedEngine(`engine-${index}`);
            models.forEach(model => {
                engine.models.add(model);
                keepCopy(engine.onDisk, model, options.site.onDisk);
            });
            return engine;
        });
    }

    play(): PlayResult {
        const { site } = this.#options;
        const day = site.draw(this.#random);
        for (
            this.#now = 0;
            this.#now < day.lengthMilliseconds + AFTER_DAY_MILLISECONDS;
            this.#now += STEP_MILLISECONDS
        ) {
            if (this.#now < day.lengthMilliseconds) {
                this.#arrive(day.shares(this.#now));
            }
            day.crashes.filter(({ at }) => at === this.#now).forEach(({ engine, lasts }) => this.#crash(engine, lasts));
            this.#engines.forEach(engine => this.#step(engine));
            this.#dispatch();
            if (this.#now % PLAN_MILLISECONDS === 0) {
                this.#planNext();
            }
        }
        return this.#result();
    }

    #arrive(shares: (kind: PlayedKind) => ReadonlyMap<string, number>): void {
        for (const kind of this.#options.site.kinds) {
            for (const [model, share] of shares(kind)) {
                const expected = kind.perSecond * share * STEP_MILLISECONDS / 1_000;
                if (this.#random() < expected) {
                    this.#ask(kind, model);
                }
            }
        }
    }

    #ask(kind: PlayedKind, model: string): void {
        const outputTokens = Math.max(5, Math.round(-Math.log(1 - this.#random()) * kind.outputTokens));
        const askedAt = this.#now;
        this.#possible.set(kind.name, (this.#possible.get(kind.name) ?? 0) + kind.worth);
        this.#enter({ kind, model, askedAt, outputTokens, arrivedAt: askedAt, attempts: 0, wasCut: false });
    }

    #enter(request: PlayedRequest): void {
        request.arrivedAt = this.#now;
        request.attempts += 1;
        this.#options.demand.add(request.model, workOfRequest(request), this.#now);
        this.#waiting.push(request);
    }

    #dispatch(): void {
        this.#later = this.#later.filter(request => {
            const due = this.#now >= request.arrivedAt;
            if (due) {
                this.#enter(request);
            }
            return !due;
        });
        this.#waiting = this.#waiting.filter(request => !this.#start(request) && !this.#giveUp(request));
    }

    #start(request: PlayedRequest): boolean {
        const candidates = this.#engines.filter(engine =>
            engine.backAt === undefined && engine.models.has(request.model)
            && engine.runs.length < this.#definition.slots && engine.unreadTokens < MOST_UNREAD_TOKENS
        );
        candidates.sort((left, right) => left.runs.length - right.runs.length);
        const [engine] = candidates;
        if (engine === undefined) {
            return false;
        }
        engine.unreadTokens += request.kind.promptTokens;
        const { promptTokensPerMillisecond, stepMilliseconds } = this.#options.site;
        const reads = engine.unreadTokens / promptTokensPerMillisecond;
        const perToken = stepMilliseconds + MILLISECONDS_PER_OTHER_RUN * engine.runs.length;
        const lasts = reads + request.outputTokens * perToken;
        engine.runs.push({ request, startedAt: this.#now, endsAt: this.#now + lasts });
        return true;
    }

    #giveUp(request: PlayedRequest): boolean {
        if (this.#now - request.arrivedAt < LONGEST_WAIT_MILLISECONDS) {
            return false;
        }
        this.#refusals += 1;
        this.#comeAgain(request);
        return true;
    }

    #comeAgain(request: PlayedRequest): void {
        const again = this.#now + COMES_AGAIN_MILLISECONDS * (0.8 + 0.4 * this.#random());
        if (request.attempts <= request.kind.retries && again - request.askedAt < request.kind.deadlineMilliseconds) {
            request.arrivedAt = again;
            this.#later.push(request);
        }
    }

    #step(engine: PlayedEngine): void {
        if (engine.backAt !== undefined) {
            engine.backAt = this.#now >= engine.backAt ? undefined : engine.backAt;
            return;
        }
        const { promptTokensPerMillisecond } = this.#options.site;
        engine.unreadTokens = Math.max(0, engine.unreadTokens - promptTokensPerMillisecond * STEP_MILLISECONDS);
        const ended = engine.runs.filter(({ endsAt }) => this.#now >= endsAt);
        if (ended.length > 0) {
            engine.runs = engine.runs.filter(({ endsAt }) => this.#now < endsAt);
            ended.forEach(run => this.#answer(run));
        }
        this.#carryOut(engine);
    }

    #carryOut(engine: PlayedEngine): void {
        if (engine.loading !== undefined && this.#now >= engine.loading.until) {
            engine.models.add(engine.loading.model);
            engine.loading = undefined;
        }
        const { dropping } = engine;
        if (dropping !== undefined) {
            const runs = engine.runs.some(({ request }) => request.model === dropping.model);
            dropping.seenAt ??= runs ? undefined : this.#now + DROP_SEEN_MILLISECONDS;
            engine.dropping = dropping.seenAt !== undefined && this.#now >= dropping.seenAt ? undefined : dropping;
        }
        if (engine.move !== undefined && engine.dropping === undefined && engine.loading === undefined) {
            this.#orderNext(engine, engine.move);
        }
    }

    #orderNext(engine: PlayedEngine, move: OpenMove): void {
        const [dropped, ...others] = move.dropped;
        if (dropped !== undefined) {
            engine.models.delete(dropped);
            engine.dropping = { model: dropped, seenAt: undefined };
            move.dropped = others;
            return;
        }
        engine.move = undefined;
        const { site } = this.#options;
        const fromMemory = engine.inMemory.includes(move.model);
        const fromDisk = engine.onDisk.includes(move.model);
        const stored = this.#definition.models.find(({ name }) => name === move.model)?.storeLoadMilliseconds ?? 0;
        const lasts = fromMemory ? site.memoryLoadMilliseconds : fromDisk ? site.diskLoadMilliseconds : stored;
        this.#loadsFromStore += fromMemory || fromDisk ? 0 : 1;
        keepCopy(engine.inMemory, move.model, site.inMemory);
        keepCopy(engine.onDisk, move.model, site.onDisk);
        engine.loading = { model: move.model, until: this.#now + lasts };
    }

    #answer({ request, startedAt, endsAt }: Run): void {
        this.#options.demand.noteRun(workOfRequest(request), endsAt - startedAt);
        const { aimMilliseconds, lateWorth, name, worth } = request.kind;
        const inTime = !request.wasCut && startedAt - request.askedAt <= aimMilliseconds;
        this.#worth.set(name, (this.#worth.get(name) ?? 0) + (inTime ? worth : lateWorth));
    }

    #crash(index: number, lasts: number): void {
        const engine = this.#engines[index % this.#engines.length];
        const cut = engine?.backAt === undefined ? engine?.crash(this.#now + lasts) ?? [] : [];
        for (const { request } of cut) {
            request.wasCut = true;
            request.arrivedAt = this.#now;
            this.#waiting.push(request);
        }
    }

    #planNext(): void {
        const engines = this.#engines.filter(({ backAt }) => backAt === undefined);
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
        const busy = engine?.move !== undefined || engine?.dropping !== undefined || engine?.loading !== undefined;
        if (move !== undefined && engine !== undefined && !busy) {
            engine.move = { model: move.model, dropped: move.dropped };
        }
    }

    #result(): PlayResult {
        const sum = (parts: ReadonlyMap<string, number>): number => [...parts.values()].reduce((a, b) => a + b, 0);
        const kinds = this.#options.site.kinds.map(({ name }) => name);
        return {
            attainment: sum(this.#worth) / sum(this.#possible),
            attainmentOfKind: Object.fromEntries(
                kinds.map(name => [name, (this.#worth.get(name) ?? 0) / (this.#possible.get(name) ?? 1)]),
            ),
            refusals: this.#refusals,
            loadsFromStore: this.#loadsFromStore,
        };
    }
}

function workOfRequest({ kind, outputTokens }: PlayedRequest): number {
    return workOf(`${kind.promptTokens},${outputTokens}`);
}

/**
 * Plays one day.
 *
 * @param options The site, the plan and what it learns of demand; equal seeds play the same day.
 *
 * @example
 * ```ts
 * const { attainment } = playPlacement({ site, seed: 1, plan: planWeights, demand });
 * ```
 */
export function playPlacement(options: PlayOptions): PlayResult {
    return new Play(options).play();
}
