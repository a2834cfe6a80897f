/**
 * Plans the weights of all engines on one host of the fleet, and asks engines' holders to make the moves.
 *
 * What hosts of other cells know is some time old. Were several to plan, each would count on copies that another is about
 * to drop. One plans, and counts what it has asked for as done. Its host holds no lease: two planners for a moment make
 * moves that are worth less, and none that an engine cannot bear, since holders check what they are asked for.
 *
 * @module
 */
import { type EngineDuties } from "../duties/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../fleet/index.js";
import { type EntryMetrics, type Logger, type TimeSpent } from "../observability/index.js";
import {
    countCopiesSeen,
    type EngineRecord,
    type PlacementInput,
    type PlacementMove,
    planMoves,
    type PlannedEngine,
    PlannedMoves,
    type ResidencyView,
    type StoreLoadBound,
    storeLoadsPerEngine,
} from "../placement/index.js";
import { type EngineDefinition, type RouteTable } from "../routes/index.js";

/** Planning takes at most this part of the planner's time, so that a plan for many engines is made less often. */
const PLANNING_SHARE = 0.25;

/** Demand changes by half in this time; a plan made sooner after another would follow chance. */
const PLANNING_MILLISECONDS = 1_000;

/** Until traffic has lasted for so long, a model that nobody has asked for may just not have been asked for yet. */
const DEMAND_KNOWN_MILLISECONDS = 2_000;

/** When a site starts, engines come one after the other; weights are planned only this long after the last came. */
const SETTLED_MILLISECONDS = 1_200;

/** A host that becomes the planner hears of what the one before it has asked for within this time. */
const SUCCESSION_MILLISECONDS = 1_000;

/** What planning needs. */
export interface FleetPlannerOptions {
    readonly host: string;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly residency: ResidencyView;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly timeSpent: TimeSpent;
    readonly storeLoads: StoreLoadBound;
    readonly readClock: () => number;
    readonly routeTable: () => RouteTable | undefined;
    /** Tells whether a host was heard of lately and does not leave. */
    readonly isLive: (host: string) => boolean;
    /** Tells whether any model is asked for, at less cost than `demand`. */
    readonly hasDemand: () => boolean;
    /** Requests of each model that would run at once, over all hosts. */
    readonly demand: () => ReadonlyMap<string, number>;
    /** The part of these that name an adapter. */
    readonly adapterDemand: () => ReadonlyMap<string, number>;
    /** Engines that reading the prompts of each model's requests would keep busy. */
    readonly prefillDemand: () => ReadonlyMap<string, number>;
    /** Tells whether several hosts found an engine unreachable a moment ago. */
    readonly isDown: (engine: string) => boolean;
    /** What this host knows of an engine that it holds. */
    readonly ownRecord: (engine: string) => EngineRecord | undefined;
    /** Asks an engine's holder to begin a move. */
    readonly requestMove: (holder: string, move: PlacementMove) => void;
}

/** Time that a move's load takes; `undefined` where the weights are at hand. */
function storeLoadMillisecondsOf(
    { engine, model }: PlacementMove,
    { definition, engines }: PlacementInput,
): number | undefined {
    const isAtHand = engines.some(({ locallyStoredModels: atHand, id }) => id === engine && atHand.includes(model));
    return isAtHand ? undefined : definition.models.find(({ name }) => name === model)?.storeLoadMilliseconds;
}

/** Tells who plans, and plans where that is this host. */
export class FleetPlanner {
    readonly #options: FleetPlannerOptions;
    readonly #planned = new Map<string, PlannedMoves>();
    #enginesChangedAt = Number.NEGATIVE_INFINITY;
    #planAgainAt = Number.NEGATIVE_INFINITY;
    /** Since when models have been asked for without a break. */
    #demandSince: number | undefined;
    #planner: string | undefined;
    #mayPlan = false;
    #planningFrom = Number.NEGATIVE_INFINITY;

    constructor(options: FleetPlannerOptions) {
        this.#options = options;
    }

    /** The host that plans, as far as this one knows; `undefined` while it hears of none. */
    get planner(): string | undefined {
        return this.#planner;
    }

    /** Engines came or went. */
    noteEnginesChanged(): void {
        this.#enginesChangedAt = this.#options.readClock();
    }

    /** Looks who plans; plans where it is this host and the time has come. */
    tick(): void {
        const { host, readClock, timeSpent } = this.#options;
        const now = readClock();
        this.#choosePlanner(now);
        this.#noteDemand(now);
        if (this.#planner !== host || now < Math.max(this.#planAgainAt, this.#planningFrom)) {
            return;
        }
        for (const { engine, name } of this.#options.routeTable()?.configuration.services ?? []) {
            if (engine !== undefined) {
                timeSpent.measure("planning", () => this.#plan(name, engine, now));
            }
        }
        this.#planAgainAt = now + Math.max(PLANNING_MILLISECONDS, (readClock() - now) / PLANNING_SHARE);
    }

    /**
     * The first that is live of the hosts that may hold engines, in an order that all hosts know. One that hears of no
     * other may itself be cut off.
     */
    #choosePlanner(nowMilliseconds: number): void {
        const { duties, host, isLive, logger, view } = this.#options;
        const candidates = duties.candidates(view.all().length);
        this.#mayPlan = candidates.includes(host);
        const live = candidates.filter(isLive);
        const isAlone = candidates.length > 1 && live.length === 1 && live[0] === host;
        const planner = isAlone ? undefined : live[0];
        if (planner === this.#planner) {
            return;
        }
        logger.info("planner changed", { planner, before: this.#planner, candidates: candidates.length });
        this.#planningFrom = this.#planner === undefined ? nowMilliseconds : nowMilliseconds + SUCCESSION_MILLISECONDS;
        this.#planner = planner;
        this.#planned.clear();
    }

    #plan(service: string, definition: EngineDefinition, nowMilliseconds: number): void {
        const demand = this.#knownDemand(nowMilliseconds);
        if (demand.size === 0 && nowMilliseconds - this.#enginesChangedAt < SETTLED_MILLISECONDS) {
            return;
        }
        const planned = this.#planned.get(service) ?? new PlannedMoves();
        this.#planned.set(service, planned);
        const engines = this.#followMoves(service, planned, nowMilliseconds);
        const situation = this.#situationOf({ definition, demand, engines, planned }, nowMilliseconds);
        for (const move of planMoves(situation)) {
            this.#notePlanned(move, situation);
            planned.recordRequested(move, storeLoadMillisecondsOf(move, situation), nowMilliseconds);
            this.#ask(move);
        }
    }

    /** Sees what became of the moves that were asked for; gives the engines as they will be after those that go on. */
    #followMoves(service: string, planned: PlannedMoves, nowMilliseconds: number): readonly PlannedEngine[] {
        const { duties, isDown, logger, metrics, view } = this.#options;
        const usable = view.usable(service).filter(({ id }) => !isDown(id));
        const { engines, givenUp } = planned.reconcile(usable.map(engine => this.#describe(engine)), nowMilliseconds);
        for (const { engine, model } of givenUp) {
            metrics.count("moves", { outcome: "given-up" });
            logger.warn("move given up", { engine, model, holder: duties.holderOf(engine) });
        }
        planned.open().forEach(move => this.#ask(move));
        return engines;
    }

    #situationOf(
        { definition, demand, engines, planned }: Pick<PlacementInput, "definition" | "demand" | "engines"> & {
            readonly planned: PlannedMoves;
        },
        nowMilliseconds: number,
    ): PlacementInput {
        const { adapterDemand, duties, prefillDemand: readingDemand, storeLoads } = this.#options;
        const unordered = engines.filter(({ id }) => !duties.hasActiveHolder(id, nowMilliseconds)).map(({ id }) => id);
        const bound = {
            windowMilliseconds: storeLoads.windowMilliseconds,
            mostLoads: storeLoadsPerEngine(definition.loadsPerSecond, engines.length, storeLoads),
        };
        return {
            engines,
            definition,
            demand,
            adapterDemand: adapterDemand(),
            prefillDemand: readingDemand(),
            excludedEngines: new Set([...planned.excludedEngines(nowMilliseconds), ...unordered]),
            enginesAtStoreLoadLimit: planned.enginesAtStoreLoadLimit(bound, nowMilliseconds),
        };
    }

    /** Each host that may plan takes note, so that the next planner knows how long there has been demand. */
    #noteDemand(nowMilliseconds: number): void {
        const isAsked = this.#mayPlan && this.#options.hasDemand();
        this.#demandSince = isAsked ? this.#demandSince ?? nowMilliseconds : undefined;
    }

    /** What is asked of models, once traffic has lasted for long enough to tell. */
    #knownDemand(nowMilliseconds: number): ReadonlyMap<string, number> {
        const demand = this.#options.demand();
        const isKnown = nowMilliseconds - (this.#demandSince ?? nowMilliseconds) >= DEMAND_KNOWN_MILLISECONDS;
        return isKnown ? demand : new Map();
    }

    #ask(move: PlacementMove): void {
        const holder = this.#options.duties.holderOf(move.engine);
        if (holder !== undefined) {
            this.#options.requestMove(holder, move);
        }
    }

    /** Says what a move was planned from. */
    #notePlanned(move: PlacementMove, { demand, engines, prefillDemand: readingDemand }: PlacementInput): void {
        const { logger, metrics } = this.#options;
        const { copies, copiesLeft } = countCopiesSeen(move, engines);
        metrics.count("moves", { outcome: "planned" });
        if (copiesLeft === 0) {
            metrics.count("last_copies_dropped", {});
        }
        logger.info("move planned", {
            engine: move.engine,
            model: move.model,
            dropped: move.dropped.join(","),
            reason: move.reason,
            gain: Math.round(move.gain * 1_000) / 1_000,
            engines: engines.length,
            copies,
            copiesLeft,
            oldestRecordMilliseconds: this.#oldestRecordMilliseconds(move, engines),
            demand: demand.get(move.model),
            readingDemand: readingDemand.get(move.model),
        });
    }

    /** Age of the oldest record among engines of other hosts that hold what a move adds to or drops. */
    #oldestRecordMilliseconds(
        { dropped, model }: PlacementMove,
        engines: readonly PlannedEngine[],
    ): number | undefined {
        const { ownRecord, readClock, residency } = this.#options;
        const concerned = engines.filter(({ id, loading, models }) =>
            ownRecord(id) === undefined && [model, ...dropped].some(name => models.includes(name) || loading === name)
        );
        const recordedAt = concerned.flatMap(({ id }) => residency.recordedAt(id) ?? []);
        return recordedAt.length === 0 ? undefined : Math.round(readClock() - Math.min(...recordedAt));
    }

    /** Of its own engines the host knows more than they have announced. */
    #describe({ id, localWeights: { inMemory, onDisk } }: UpstreamAnnouncement): PlannedEngine {
        const { ownRecord, residency } = this.#options;
        const own = ownRecord(id);
        return {
            id,
            models: own?.models.map(({ name }) => name) ?? residency.models(id),
            loading: own === undefined ? residency.loading(id) : own.loading,
            locallyStoredModels: [...inMemory, ...onDisk],
        };
    }
}
