/**
 * What the holder of one engine knows of it, and the orders that it has open.
 *
 * @module
 */
import { type HeldModel, type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineDefinition } from "../routes/index.js";
import { nameAdapter, splitAdapterName } from "./adapterName.js";
import { freeMegabytes } from "./engineRoom.js";
import { expectedLoadMilliseconds } from "./loadTime.js";
import { type PlacementMove } from "./placementInput.js";
import { type EngineOrder, type EngineRecord, type OrderOutcome } from "./types.js";

/** An adapter is taken as present this long after its load was accepted. */
const ADAPTER_LOAD_MILLISECONDS = 12;

/** Adapters that may be on their way to an engine at once. */
const MOST_ADAPTERS_COMING = 4;

/** An adapter that was asked for within this time is not dropped for another: the request that asked is on its way. */
const ADAPTER_AWAITED_MILLISECONDS = 150;

/** A wish that was not repeated for this long is dropped. */
const WISH_LIFETIME_MILLISECONDS = 1_000;

/** After a conflict, engines' reports, which lag, are trusted from this time on. */
const REPORT_LAG_MILLISECONDS = 500;

/** An engine that carries out an order which this holder does not know is asked again after this time. */
const BUSY_REPORT_MILLISECONDS = 700;

/** An engine that drops a model is asked this often whether it has; a report that lags still names the model. */
const DROPPING_REPORT_MILLISECONDS = 250;

/** A load that takes this many times as long as it should is taken as failed. */
const LOAD_PATIENCE = 4;

/** An engine that should have loaded a model by now, but for which no announcement says so, is asked this often. */
const LOADING_REPORT_MILLISECONDS = 500;

/** A move whose load could not be ordered by then, as where requests keep a model in use, is given up. */
const LONGEST_MOVE_MILLISECONDS = 8_000;

/** Loads faster than this are not waited for less. */
const SHORTEST_LOAD_PATIENCE_MILLISECONDS = 3_000;

/** The next thing to do on an engine. */
export type EngineStep =
    | { readonly type: "order"; readonly order: EngineOrder; readonly reason: string; }
    /** Read the engine's report, since the holder no longer knows its order count. */
    | { readonly type: "read-report"; };

/** What an engine's report says of its memory. */
export interface EngineReport {
    readonly orderCount: number;
    readonly busy: boolean;
    readonly models: readonly HeldModel[];
}

/** What the holder knows of requests on its engine. */
export interface AdapterUseView {
    /** Tells whether a request uses an adapter, named with its model before a slash. */
    readonly isAdapterUsed: (adapter: string) => boolean;
}

interface OpenLoad {
    readonly model: string;
    /** When the engine is asked whether the model is there, unless an announcement has said so by then. */
    askAtMilliseconds: number;
    /** When the load is taken as failed. */
    readonly untilMilliseconds: number;
}

/** A move that has begun and whose load is not ordered yet. */
interface OpenMove {
    readonly model: string;
    dropped: readonly string[];
    readonly untilMilliseconds: number;
}

function copyModels(models: readonly HeldModel[]): Map<string, Map<string, number>> {
    return new Map(models.map(({ name, adapters }) => [name, new Map(adapters.map(adapter => [adapter, 0]))]));
}

/**
 * Keeps one engine: its order count, models, adapters and open orders. Orders go out one at a time, each bound to the
 * order count that it was made for, so that an order that an engine carries out late changes nothing.
 *
 * @example
 * ```ts
 * const keeper = new EngineKeeper(announcement, definition, { isAdapterUsed: () => false });
 * keeper.want("quotes", "a3", now);
 * const step = keeper.nextAdapterStep(now);
 * ```
 */
export class ManagedEngine {
    readonly engine: string;
    readonly definition: EngineDefinition;
    readonly #use: AdapterUseView;
    #startedAtMilliseconds: number | undefined;
    /** Orders that the engine has accepted, by its report and by what was ordered since. */
    #orderCount = 0;
    #models: Map<string, Map<string, number>>;
    #atHand: ReadonlySet<string>;
    #open: EngineOrder | undefined;
    #unanswered: EngineOrder | undefined;
    #answeredAtMilliseconds = Number.NEGATIVE_INFINITY;
    #loading: OpenLoad | undefined;
    /**
     * A model that the engine drops once its last request has ended. Only a report tells that it has: an announcement
     * without the model may have been written before the model was there.
     */
    #unloading: string | undefined;
    #move: OpenMove | undefined;
    #reportAtMilliseconds: number | undefined;
    /** True where an announcement has told of a load's end while a report was being read. */
    #reportOvertaken = false;
    readonly #coming = new Map<string, number>();
    readonly #wishes = new Map<string, { readonly model: string; readonly adapter: string; atMilliseconds: number; }>();
    #storeLoads: number[] = [];
    #changeCount = 0;

    constructor(announcement: UpstreamAnnouncement, definition: EngineDefinition, use: AdapterUseView) {
        this.#use = use;
        this.engine = announcement.id;
        this.definition = definition;
        this.#startedAtMilliseconds = announcement.startedAtMilliseconds;
        this.#reportAtMilliseconds = 0;
        this.#models = copyModels(announcement.models);
        this.#atHand = new Set([...announcement.localWeights.inMemory, ...announcement.localWeights.onDisk]);
    }

    /** Takes the engine's own announcement; true where it says something new. */
    observe(announcement: UpstreamAnnouncement): boolean {
        this.#atHand = new Set([...announcement.localWeights.inMemory, ...announcement.localWeights.onDisk]);
        if (announcement.startedAtMilliseconds !== this.#startedAtMilliseconds) {
            this.#startedAtMilliseconds = announcement.startedAtMilliseconds;
            this.#forgetOrders();
            this.#models = copyModels(announcement.models);
            this.#changeCount += 1;
            return true;
        }
        const finished = announcement.models.some(({ name }) => name === this.#loading?.model);
        this.#loading = finished ? undefined : this.#loading;
        this.#reportOvertaken ||= finished && this.#reportAtMilliseconds === Number.POSITIVE_INFINITY;
        const changed = this.#addModelNames(announcement.models) || finished;
        this.#changeCount += changed ? 1 : 0;
        return changed;
    }

    /** Takes a request's wish for an adapter. */
    requestAdapter(model: string, adapter: string, nowMilliseconds: number): void {
        this.#wishes.set(nameAdapter(model, adapter), { model, adapter, atMilliseconds: nowMilliseconds });
    }

    /** Takes note that a request uses an adapter, so that it is not dropped. */
    recordAdapterUse(model: string, adapter: string, nowMilliseconds: number): void {
        const adapters = this.#models.get(model);
        if (adapters?.has(adapter) === true) {
            adapters.set(adapter, nowMilliseconds);
        }
    }

    /** Rises with each change of what `record` gives. */
    get changeCount(): number {
        return this.#changeCount;
    }

    /** True while an order is out or the engine loads weights. */
    get occupied(): boolean {
        return this.#open !== undefined;
    }

    /** The model that is being loaded, or will be once there is room. */
    get loadingModel(): string | undefined {
        return this.#loading?.model ?? this.#move?.model;
    }

    /** The models that the engine holds. */
    get models(): string[] {
        return [...this.#models.keys()];
    }

    get locallyStoredModels(): string[] {
        return [...this.#atHand].filter(model => !this.#models.has(model));
    }

    /** Gives how many loads from the weight store began within the window. */
    storeLoadsSince(sinceMilliseconds: number): number {
        this.#storeLoads = this.#storeLoads.filter(at => at >= sinceMilliseconds);
        return this.#storeLoads.length;
    }

    /** Gives the next step that needs no plan: a lost order again, a report, or an adapter that is asked for. */
    nextStep(nowMilliseconds: number): EngineStep | undefined {
        this.#finishComing(nowMilliseconds);
        this.#followLoad(nowMilliseconds);
        if (this.#open !== undefined) {
            return undefined;
        }
        if (this.#unanswered !== undefined) {
            return { type: "order", order: this.#unanswered, reason: "unanswered" };
        }
        if (this.#reportAtMilliseconds !== undefined) {
            return nowMilliseconds >= this.#reportAtMilliseconds ? { type: "read-report" } : undefined;
        }
        return this.#nextMoveStep(nowMilliseconds) ?? this.#nextAdapterStep(nowMilliseconds);
    }

    /** Begins a planned move; false while the engine is not ready for one. */
    begin(move: PlacementMove, nowMilliseconds: number): boolean {
        this.#followLoad(nowMilliseconds);
        const blocked = this.#open !== undefined || this.#unanswered !== undefined || this.#move !== undefined
            || this.#loading !== undefined || this.#unloading !== undefined || this.#reportAtMilliseconds !== undefined
            || this.#coming.size > 0;
        if (blocked) {
            return false;
        }
        const untilMilliseconds = nowMilliseconds + LONGEST_MOVE_MILLISECONDS;
        this.#move = { model: move.model, dropped: move.dropped, untilMilliseconds };
        this.#changeCount += 1;
        return true;
    }

    /** Takes note that an order goes out. */
    recordOrderSent(order: EngineOrder, nowMilliseconds: number): void {
        this.#open = order;
        this.#unanswered = undefined;
        if (order.operation === "load" && order.adapter === undefined && !this.#atHand.has(order.model)) {
            this.#storeLoads.push(nowMilliseconds);
        }
    }

    /** Takes the outcome of the order that is out. */
    recordOrderOutcome(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): void {
        if (this.#open !== order) {
            return;
        }
        this.#open = undefined;
        this.#answeredAtMilliseconds = nowMilliseconds;
        if (outcome === "accepted" || outcome === "holds") {
            this.#apply(order, outcome, nowMilliseconds);
        }
        else if (outcome === "unknown") {
            this.#unanswered = order;
        }
        else {
            this.#reportAtMilliseconds = nowMilliseconds + REPORT_LAG_MILLISECONDS;
        }
    }

    /** Takes a request's word that the engine does not hold a model; its report tells. */
    recordModelAbsent(model: string, nowMilliseconds: number): void {
        if (this.#models.has(model)) {
            this.#reportAtMilliseconds ??= nowMilliseconds;
        }
    }

    /** Takes note that the engine's report is being read. */
    recordReportRequested(): void {
        this.#reportAtMilliseconds = Number.POSITIVE_INFINITY;
    }

    /** Takes the engine's report; without one it is asked again later. */
    recordReport(report: EngineReport | undefined, nowMilliseconds: number): void {
        const overtaken = this.#reportOvertaken;
        this.#reportOvertaken = false;
        if (report === undefined || this.#isOutdated(report, nowMilliseconds)) {
            this.#reportAtMilliseconds = nowMilliseconds + DROPPING_REPORT_MILLISECONDS;
            return;
        }
        if (overtaken) {
            this.#reportAtMilliseconds = nowMilliseconds + REPORT_LAG_MILLISECONDS;
            return;
        }
        this.#reportAtMilliseconds = undefined;
        this.#changeCount += 1;
        this.#orderCount = report.orderCount;
        this.#adoptReport(report.models);
        if (!report.models.some(({ name }) => name === this.#unloading)) {
            this.#unloading = undefined;
        }
        const foreignOrder = report.busy && this.#loading === undefined;
        if (this.#unloading !== undefined) {
            this.#reportAtMilliseconds = nowMilliseconds + DROPPING_REPORT_MILLISECONDS;
        }
        else if (foreignOrder) {
            this.#reportAtMilliseconds = nowMilliseconds + BUSY_REPORT_MILLISECONDS;
        }
    }

    /** A report that was written before the last order counts fewer orders. */
    #isOutdated(report: EngineReport, nowMilliseconds: number): boolean {
        const mayLag = nowMilliseconds - this.#answeredAtMilliseconds < REPORT_LAG_MILLISECONDS;
        return mayLag && report.orderCount < this.#orderCount;
    }

    /** What other hosts should know of the engine. */
    record(): EngineRecord {
        return {
            engine: this.engine,
            startedAtMilliseconds: this.#startedAtMilliseconds,
            orderCount: this.#orderCount,
            models: [...this.#models].map(([name, adapters]) => ({ name, adapters: [...adapters.keys()] })),
            loading: this.#loading?.model ?? this.#move?.model,
        };
    }

    #order(operation: EngineOrder["operation"], model: string, adapter: string | undefined): EngineOrder {
        return { operation, model, adapter, expectedOrderCount: this.#orderCount };
    }

    /** The next order of the move that has begun, once the engine has carried out the one before. */
    #nextMoveStep(nowMilliseconds: number): EngineStep | undefined {
        if (this.#move === undefined || this.#loading !== undefined || this.#unloading !== undefined) {
            return undefined;
        }
        if (nowMilliseconds > this.#move.untilMilliseconds) {
            this.#endMove();
            return undefined;
        }
        const { model } = this.#move;
        const dropped = this.#move.dropped.find(model => this.#models.has(model));
        if (dropped !== undefined) {
            return { type: "order", order: this.#order("unload", dropped, undefined), reason: "make-room" };
        }
        if (!this.#hasRoomFor(model)) {
            this.#endMove();
            return undefined;
        }
        return { type: "order", order: this.#order("load", model, undefined), reason: "planned" };
    }

    /** A plan may be older than what the holder knows; an engine that is loaded beyond its memory crashes. */
    #hasRoomFor(model: string): boolean {
        return freeMegabytes(this.definition, new Set([...this.#models.keys(), model])) >= 0;
    }

    #endMove(): void {
        this.#move = undefined;
        this.#changeCount += 1;
    }

    /** An engine that carries out an order on weights refuses every other order meanwhile. */
    #nextAdapterStep(nowMilliseconds: number): EngineStep | undefined {
        if (this.#loading !== undefined || this.#unloading !== undefined) {
            return undefined;
        }
        for (const [key, wish] of this.#wishes) {
            const adapters = this.#models.get(wish.model);
            const stale = nowMilliseconds - wish.atMilliseconds > WISH_LIFETIME_MILLISECONDS;
            if (adapters?.has(wish.adapter) === true || stale) {
                this.#wishes.delete(key);
                continue;
            }
            if (adapters === undefined || this.#coming.has(key) || this.#coming.size >= MOST_ADAPTERS_COMING) {
                continue;
            }
            if (this.#adaptersHeld() + this.#coming.size < this.definition.adapterSlots) {
                return { type: "order", order: this.#order("load", wish.model, wish.adapter), reason: "wanted" };
            }
            const victim = this.#leastRecentlyUsed(nowMilliseconds);
            if (victim !== undefined) {
                const order = this.#order("unload", victim.model, victim.adapter);
                return { type: "order", order, reason: "make-room" };
            }
        }
        return undefined;
    }

    #adaptersHeld(): number {
        return [...this.#models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
    }

    #leastRecentlyUsed(nowMilliseconds: number): { readonly model: string; readonly adapter: string; } | undefined {
        let oldest: { readonly model: string; readonly adapter: string; readonly usedAt: number; } | undefined;
        for (const [model, adapters] of this.#models) {
            for (const [adapter, usedAt] of adapters) {
                const isFree = !this.#use.isAdapterUsed(nameAdapter(model, adapter));
                if (isFree && usedAt < (oldest?.usedAt ?? nowMilliseconds - ADAPTER_AWAITED_MILLISECONDS)) {
                    oldest = { model, adapter, usedAt };
                }
            }
        }
        return oldest;
    }

    #apply(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): void {
        this.#changeCount += 1;
        const advances = outcome === "accepted" || order.operation === "unload";
        this.#orderCount += advances ? 1 : 0;
        if (order.operation === "unload") {
            if (order.adapter === undefined) {
                this.#models.delete(order.model);
                this.#unloading = outcome === "accepted" ? order.model : undefined;
                this.#reportAtMilliseconds = outcome === "accepted"
                    ? nowMilliseconds + DROPPING_REPORT_MILLISECONDS
                    : undefined;
            }
            else {
                this.#models.get(order.model)?.delete(order.adapter);
            }
            return;
        }
        if (order.adapter !== undefined) {
            const ready = outcome === "accepted" ? nowMilliseconds + ADAPTER_LOAD_MILLISECONDS : nowMilliseconds;
            this.#coming.set(nameAdapter(order.model, order.adapter), ready);
            return;
        }
        this.#endMove();
        if (outcome === "holds") {
            this.#models.set(order.model, new Map());
            return;
        }
        this.#loading = this.#openLoad(order.model, nowMilliseconds);
    }

    #openLoad(model: string, nowMilliseconds: number): OpenLoad {
        const definition = this.definition.models.find(({ name }) => name === model);
        const fromStore = definition?.storeLoadMilliseconds ?? 0;
        const expected = expectedLoadMilliseconds({ storeLoadMilliseconds: fromStore }, this.#atHand.has(model));
        const patience = Math.max(SHORTEST_LOAD_PATIENCE_MILLISECONDS, fromStore * LOAD_PATIENCE);
        return {
            model,
            askAtMilliseconds: nowMilliseconds + expected + REPORT_LAG_MILLISECONDS,
            untilMilliseconds: nowMilliseconds + patience,
        };
    }

    /** Moves adapters that must have arrived by now to those that are held. */
    #finishComing(nowMilliseconds: number): void {
        for (const [key, readyAt] of this.#coming) {
            if (nowMilliseconds >= readyAt) {
                this.#changeCount += 1;
                this.#coming.delete(key);
                const { adapter, model } = splitAdapterName(key);
                this.#models.get(model)?.set(adapter, nowMilliseconds);
                this.#wishes.delete(key);
            }
        }
    }

    /** Earliest time at which an adapter on its way arrives. */
    get nextArrivalMilliseconds(): number | undefined {
        return this.#coming.size === 0 ? undefined : Math.min(...this.#coming.values());
    }

    /** Asks for the report of a load whose time is over, and takes one as failed that takes far too long. */
    #followLoad(nowMilliseconds: number): void {
        const load = this.#loading;
        if (load === undefined || nowMilliseconds < load.askAtMilliseconds) {
            return;
        }
        load.askAtMilliseconds = nowMilliseconds + LOADING_REPORT_MILLISECONDS;
        this.#reportAtMilliseconds ??= nowMilliseconds;
        if (nowMilliseconds > load.untilMilliseconds) {
            this.#loading = undefined;
            this.#changeCount += 1;
        }
    }

    /** Takes models and adapters from a report, and keeps when adapters were used. */
    #adoptReport(models: readonly HeldModel[]): void {
        const before = this.#models;
        this.#models = copyModels(models.filter(({ name }) => name !== this.#unloading));
        for (const [name, adapters] of this.#models) {
            for (const adapter of adapters.keys()) {
                adapters.set(adapter, before.get(name)?.get(adapter) ?? 0);
            }
        }
        if (this.#loading !== undefined && this.#models.has(this.#loading.model)) {
            this.#loading = undefined;
        }
    }

    /**
     * Adds the models that an announcement names and that were not known. None is taken away: an announcement may have
     * been written before what a report or an order has told since, and a model that was left out would leave room for
     * another that the engine does not have.
     */
    #addModelNames(models: readonly HeldModel[]): boolean {
        const added = models.filter(({ name }) => !this.#models.has(name) && name !== this.#unloading);
        added.forEach(({ name, adapters }) => this.#models.set(name, new Map(adapters.map(adapter => [adapter, 0]))));
        return added.length > 0;
    }

    #forgetOrders(): void {
        this.#orderCount = 0;
        this.#open = undefined;
        this.#unanswered = undefined;
        this.#loading = undefined;
        this.#unloading = undefined;
        this.#move = undefined;
        this.#reportAtMilliseconds = undefined;
        this.#reportOvertaken = false;
        this.#coming.clear();
    }
}
