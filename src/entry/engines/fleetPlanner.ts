/**
 * Plans the models of all engines on one host of the fleet, and requests the placement moves from the engines' holders.
 *
 * Records of engines of other cells arrive late. Several planners would each rely on copies that another is about to
 * unload, so only one host plans, and counts the moves that it requested as made. The planner holds no lease: two
 * planners for a short time request less useful moves, but none that harms an engine, since holders check each request.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../../fleet/index.js";
import { type EntryMetrics, type Logger, type TimeSpent } from "../../observability/index.js";
import {
    countCopies,
    type EngineRecord,
    type PlacementInput,
    type PlacementMove,
    planMoves,
    type PlannedEngine,
    PlannedMoves,
    type ResidencyView,
    type StoreLoadBound,
    storeLoadsPerEngine,
    VersionCopies,
    type VersionCopyNeed,
} from "../../placement/index.js";
import { type EngineDefinition, type RouteTable } from "../../routes/index.js";

/** Maximum share of time spent on planning, so that plans for many engines, which take longer, are made less often. */
const MAXIMUM_PLANNING_SHARE = 0.25;

/** Demand can change by half in this time; shorter intervals would follow random fluctuations. */
const MINIMUM_PLANNING_INTERVAL_MILLISECONDS = 1_000;

/** Demand counts only after it has lasted this long; earlier, a model's first request may not have arrived yet. */
const DEMAND_WARM_UP_MILLISECONDS = 2_000;

/** At the start of a site engines join one after another; without demand, planning waits this long after the last. */
const ENGINES_SETTLED_MILLISECONDS = 1_200;

/** Within this time a new planner learns from engines' records which moves the previous planner requested. */
const SUCCESSION_DELAY_MILLISECONDS = 1_000;

/** Options of the planner. */
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
    /** Returns whether a host is live and not leaving. */
    readonly isLive: (host: string) => boolean;
    /** Returns whether any model is in demand, at less cost than `demand`. */
    readonly hasDemand: () => boolean;
    /** Returns the concurrent requests of each model, over all hosts. */
    readonly demand: () => ReadonlyMap<string, number>;
    /** Returns the part of `demand` whose requests name an adapter. */
    readonly adapterDemand: () => ReadonlyMap<string, number>;
    /** Returns the number of engines that prefill for each model's requests would keep busy. */
    readonly prefillDemand: () => ReadonlyMap<string, number>;
    /** Returns whether several hosts recently found an engine unreachable. */
    readonly isUnreachable: (engine: string) => boolean;
    /** Returns the memory record of an engine that this host holds; `undefined` for other engines. */
    readonly ownRecord: (engine: string) => EngineRecord | undefined;
    /** Returns the share of an engine's slots that its rate limit leaves unused; 0 where it names none. */
    readonly unavailableShare: (engine: UpstreamAnnouncement) => number;
    /** Requests that an engine's holder begin a move. */
    readonly requestMove: (holder: string, move: PlacementMove) => void;
}

/** Returns the duration of a move's load from the weight store; `undefined` where the engine has local weights. */
function storeLoadMillisecondsOf(
    { engine, model }: PlacementMove,
    { definition, engines }: PlacementInput,
): number | undefined {
    const isLocal = engines.some(({ locallyStoredModels, id }) => id === engine && locallyStoredModels.includes(model));
    return isLocal ? undefined : definition.models.find(({ name }) => name === model)?.storeLoadMilliseconds;
}

/** Determines which host is the planner, and plans where it is this host. */
export class FleetPlanner {
    readonly #options: FleetPlannerOptions;
    readonly #plannedMoves = new Map<string, PlannedMoves>();
    readonly #versionCopies = new VersionCopies();
    #enginesChangedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #nextPlanAtMilliseconds = Number.NEGATIVE_INFINITY;
    /** When the current period of uninterrupted demand began; `undefined` while there is no demand. */
    #demandSinceMilliseconds: number | undefined;
    #planner: string | undefined;
    #isCandidate = false;
    #mayPlanFromMilliseconds = Number.NEGATIVE_INFINITY;

    constructor(options: FleetPlannerOptions) {
        this.#options = options;
    }

    /** The planner that this host knows of; `undefined` while it knows of none. */
    get planner(): string | undefined {
        return this.#planner;
    }

    /** Records that a stream needs a copy of a model at engines of a version. */
    recordVersionCopyNeeded(need: VersionCopyNeed): void {
        this.#versionCopies.record(need, this.#options.readClock());
    }

    /** Records that engines joined; without demand, planning waits until no engine has joined for a while. */
    recordEnginesJoined(): void {
        this.#enginesChangedAtMilliseconds = this.#options.readClock();
    }

    /** Updates the choice of planner, and plans where it is this host and the next plan is due. */
    tick(): void {
        const { host, readClock, timeSpent } = this.#options;
        const now = readClock();
        this.#choosePlanner(now);
        this.#recordDemand(now);
        if (this.#planner !== host || now < Math.max(this.#nextPlanAtMilliseconds, this.#mayPlanFromMilliseconds)) {
            return;
        }
        for (const { engine, name } of this.#options.routeTable()?.configuration.services ?? []) {
            if (engine !== undefined) {
                timeSpent.measure("planning", () => this.#plan(name, engine, now));
            }
        }
        this.#nextPlanAtMilliseconds = now
            + Math.max(MINIMUM_PLANNING_INTERVAL_MILLISECONDS, (readClock() - now) / MAXIMUM_PLANNING_SHARE);
    }

    /**
     * Chooses the first live host among those that may hold engines, in an order that is the same on all hosts. A host
     * that sees no other live candidate may itself be partitioned, and chooses none.
     */
    #choosePlanner(nowMilliseconds: number): void {
        const { duties, host, isLive, logger, view } = this.#options;
        const candidates = duties.candidates(view.all().length);
        this.#isCandidate = candidates.includes(host);
        const live = candidates.filter(isLive);
        const isAlone = candidates.length > 1 && live.length === 1 && live[0] === host;
        const planner = isAlone ? undefined : live[0];
        if (planner === this.#planner) {
            return;
        }
        logger.info("planner changed", { planner, before: this.#planner, candidates: candidates.length });
        this.#mayPlanFromMilliseconds = this.#planner === undefined
            ? nowMilliseconds
            : nowMilliseconds + SUCCESSION_DELAY_MILLISECONDS;
        this.#planner = planner;
        this.#plannedMoves.clear();
    }

    #plan(service: string, definition: EngineDefinition, nowMilliseconds: number): void {
        const demand = this.#establishedDemand(nowMilliseconds);
        if (demand.size === 0 && nowMilliseconds - this.#enginesChangedAtMilliseconds < ENGINES_SETTLED_MILLISECONDS) {
            return;
        }
        const planned = this.#plannedMoves.get(service) ?? new PlannedMoves();
        this.#plannedMoves.set(service, planned);
        const engines = this.#reconcileMoves(service, planned, nowMilliseconds);
        const input = this.#createPlacementInput({ definition, demand, engines, planned }, nowMilliseconds);
        for (const move of this.#planMoves(service, input, nowMilliseconds)) {
            this.#reportPlannedMove(move, input);
            planned.recordRequested(move, storeLoadMillisecondsOf(move, input), nowMilliseconds);
            this.#requestMove(move);
        }
    }

    /** Plans moves for the demand, and those for streams that can go on at one version only. */
    #planMoves(service: string, placement: PlacementInput, nowMilliseconds: number): readonly PlacementMove[] {
        const versionOf = (engine: string): string | undefined => this.#options.view.get(engine)?.softwareVersion;
        const engines = this.#versionCopies.keepNeeded(
            { service, engines: placement.engines, versionOf },
            nowMilliseconds,
        );
        const input = { ...placement, engines };
        const planned = planMoves(input);
        return [...planned, ...this.#versionCopies.plan({ service, input, planned, versionOf }, nowMilliseconds)];
    }

    /** Checks the progress of requested moves; returns the engines as they will be once the remaining ones are made. */
    #reconcileMoves(service: string, planned: PlannedMoves, nowMilliseconds: number): readonly PlannedEngine[] {
        const { duties, isUnreachable, logger, metrics, view } = this.#options;
        const usable = view.usable(service).filter(({ id }) => !isUnreachable(id));
        const { engines, givenUp } = planned.reconcile(
            usable.map(engine => this.#describeEngine(engine)),
            nowMilliseconds,
        );
        for (const { engine, model } of givenUp) {
            metrics.count("moves", { outcome: "given-up" });
            logger.warn("move given up", { engine, model, holder: duties.holderOf(engine) });
        }
        planned.unconfirmedMoves().forEach(move => this.#requestMove(move));
        return engines;
    }

    #createPlacementInput(
        { definition, demand, engines, planned }: Pick<PlacementInput, "definition" | "demand" | "engines"> & {
            readonly planned: PlannedMoves;
        },
        nowMilliseconds: number,
    ): PlacementInput {
        const { adapterDemand, duties, prefillDemand, storeLoads } = this.#options;
        const withoutActiveHolder = engines
            .filter(({ id }) => !duties.hasActiveHolder(id, nowMilliseconds))
            .map(({ id }) => id);
        const limit = {
            windowMilliseconds: storeLoads.windowMilliseconds,
            maximumLoads: storeLoadsPerEngine(definition.loadsPerSecond, engines.length, storeLoads),
        };
        return {
            engines,
            definition,
            demand,
            adapterDemand: adapterDemand(),
            prefillDemand: prefillDemand(),
            excludedEngines: new Set([...planned.excludedEngines(nowMilliseconds), ...withoutActiveHolder]),
            enginesAtStoreLoadLimit: planned.enginesAtStoreLoadLimit(limit, nowMilliseconds),
        };
    }

    /** Records when demand began, on each candidate, so that the next planner knows it too. */
    #recordDemand(nowMilliseconds: number): void {
        const hasDemand = this.#isCandidate && this.#options.hasDemand();
        this.#demandSinceMilliseconds = hasDemand ? this.#demandSinceMilliseconds ?? nowMilliseconds : undefined;
    }

    /** Returns the demand by model; empty until there has been demand for the warm-up time. */
    #establishedDemand(nowMilliseconds: number): ReadonlyMap<string, number> {
        const demand = this.#options.demand();
        const isEstablished =
            nowMilliseconds - (this.#demandSinceMilliseconds ?? nowMilliseconds) >= DEMAND_WARM_UP_MILLISECONDS;
        return isEstablished ? demand : new Map();
    }

    #requestMove(move: PlacementMove): void {
        const holder = this.#options.duties.holderOf(move.engine);
        if (holder !== undefined) {
            this.#options.requestMove(holder, move);
        }
    }

    /** Logs and counts a planned move, with the values that it was planned from. */
    #reportPlannedMove(move: PlacementMove, { demand, engines, prefillDemand }: PlacementInput): void {
        const { logger, metrics } = this.#options;
        const { copies, copiesLeft } = countCopies(move, engines);
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
            oldestRecordMilliseconds: this.#oldestRecordAgeMilliseconds(move, engines),
            demand: demand.get(move.model),
            readingDemand: prefillDemand.get(move.model),
        });
    }

    /** Returns the age of the oldest record among other hosts' engines with a model that the move loads or unloads. */
    #oldestRecordAgeMilliseconds(
        { dropped, model }: PlacementMove,
        engines: readonly PlannedEngine[],
    ): number | undefined {
        const { ownRecord, readClock, residency } = this.#options;
        const affected = engines.filter(({ id, loading, models }) =>
            ownRecord(id) === undefined && [model, ...dropped].some(name => models.includes(name) || loading === name)
        );
        const recordedAt = affected.flatMap(({ id }) => residency.recordedAt(id) ?? []);
        return recordedAt.length === 0 ? undefined : Math.round(readClock() - Math.min(...recordedAt));
    }

    /** Describes an engine; for those that this host holds, its records are newer than the announcements. */
    #describeEngine(engine: UpstreamAnnouncement): PlannedEngine {
        const { ownRecord, residency, unavailableShare } = this.#options;
        const { id, localWeights: { inMemory, onDisk } } = engine;
        const record = ownRecord(id);
        return {
            id,
            models: record?.models.map(({ name }) => name) ?? residency.models(id),
            loading: record === undefined ? residency.loading(id) : record.loading,
            locallyStoredModels: [...inMemory, ...onDisk],
            unavailableShare: unavailableShare(engine),
        };
    }
}
