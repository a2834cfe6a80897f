/**
 * State that the holder of an engine keeps of it, and its open orders.
 *
 * @module
 */
import { type HeldModel, type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineDefinition } from "../routes/index.js";
import { AdapterLoads, type AdapterUseView } from "./_adapterLoads.js";
import { HeldModels } from "./_heldModels.js";
import { freeMegabytes } from "./engineMemory.js";
import { expectedLoadMilliseconds } from "./loadTime.js";
import { type PlacementMove } from "./placementInput.js";
import { type EngineOrder, type EngineRecord, type OrderOutcome } from "./types.js";

/** Time by which an engine's report may lag; after a conflict, reports are trusted only once it has passed. */
const REPORT_LAG_MILLISECONDS = 500;

/** Delay before the next report is read from an engine that carries out an order unknown to this holder. */
const BUSY_REPORT_DELAY_MILLISECONDS = 700;

/** Interval at which an unloading engine's report is read, since a report that lags still lists the model. */
const UNLOAD_REPORT_INTERVAL_MILLISECONDS = 250;

/** A load fails once it takes this many times as long as a load from the weight store. */
const LOAD_TIMEOUT_FACTOR = 4;

/** Interval at which an engine's report is read while its load is overdue and no announcement lists the model. */
const LOAD_REPORT_INTERVAL_MILLISECONDS = 500;

/** A move whose load is not ordered within this time is abandoned, for example where requests keep a model in use. */
const MOVE_TIMEOUT_MILLISECONDS = 8_000;

/** Minimum time after which a load counts as failed, however fast the weight store is expected to be. */
const MINIMUM_LOAD_TIMEOUT_MILLISECONDS = 3_000;

/** The next action on an engine. */
export type EngineStep =
    | { readonly type: "order"; readonly order: EngineOrder; readonly reason: string; }
    /** Read the engine's report, since the holder does not know its state for certain. */
    | { readonly type: "read-report"; };

/** An engine's report on its models and orders. */
export interface EngineReport {
    readonly orderCount: number;
    readonly busy: boolean;
    readonly models: readonly HeldModel[];
}

interface OpenLoad {
    readonly model: string;
    /** When the engine's report is read, unless an announcement has listed the model by then. */
    reportAtMilliseconds: number;
    /** When the load counts as failed. */
    readonly timeoutAtMilliseconds: number;
}

/** A move in progress whose load is not ordered yet. */
interface OpenMove {
    readonly model: string;
    dropped: readonly string[];
    readonly timeoutAtMilliseconds: number;
}

/**
 * State of one engine at its holder: order count, models, adapters and open orders. Orders are sent one at a time. Each
 * carries the order count that it was made for, so that a delayed order, made for an earlier state, has no effect.
 *
 * @example
 * ```ts
 * const managedEngine = new ManagedEngine(announcement, definition, { isAdapterUsed: () => false });
 * managedEngine.requestAdapter("quotes", "a3", now);
 * const step = managedEngine.nextStep(now);
 * ```
 */
export class ManagedEngine {
    readonly engine: string;
    readonly definition: EngineDefinition;
    readonly #models: HeldModels;
    readonly #adapters: AdapterLoads;
    #startedAtMilliseconds: number | undefined;
    /** Number of orders that the engine has accepted: from its last report, plus those accepted since. */
    #orderCount = 0;
    /** Models in the engine's host memory or on its disk. */
    #localModels: ReadonlySet<string>;
    #openOrder: EngineOrder | undefined;
    #unansweredOrder: EngineOrder | undefined;
    #lastAnswerAtMilliseconds = Number.NEGATIVE_INFINITY;
    #loading: OpenLoad | undefined;
    /**
     * A model that the engine unloads once its last request has ended. Only a report confirms the unload, since an
     * announcement that does not list the model may have been written before the model was loaded.
     */
    #unloading: string | undefined;
    #move: OpenMove | undefined;
    /** When the engine's report is due: infinite while it is being read, `undefined` where none is needed. */
    #reportAtMilliseconds: number | undefined;
    /** True where an announcement has shown the end of a load while a report was being read. */
    #loadEndedDuringReport = false;
    #storeLoadStarts: number[] = [];
    #changeCount = 0;

    constructor(announcement: UpstreamAnnouncement, definition: EngineDefinition, adapterUse: AdapterUseView) {
        this.#models = new HeldModels(announcement.models);
        this.#adapters = new AdapterLoads({ held: this.#models, slots: definition.adapterSlots, use: adapterUse });
        this.engine = announcement.id;
        this.definition = definition;
        this.#startedAtMilliseconds = announcement.startedAtMilliseconds;
        this.#reportAtMilliseconds = 0;
        this.#localModels = new Set([...announcement.localWeights.inMemory, ...announcement.localWeights.onDisk]);
    }

    /** Applies the engine's announcement; returns whether it changes the state. */
    applyAnnouncement(announcement: UpstreamAnnouncement): boolean {
        this.#localModels = new Set([...announcement.localWeights.inMemory, ...announcement.localWeights.onDisk]);
        if (announcement.startedAtMilliseconds !== this.#startedAtMilliseconds) {
            this.#startedAtMilliseconds = announcement.startedAtMilliseconds;
            this.#resetOrders();
            this.#models.reset(announcement.models);
            this.#changeCount += 1;
            return true;
        }
        const finished = announcement.models.some(({ name }) => name === this.#loading?.model);
        this.#loading = finished ? undefined : this.#loading;
        this.#loadEndedDuringReport ||= finished && this.#reportAtMilliseconds === Number.POSITIVE_INFINITY;
        const changed = this.#addAnnouncedModels(announcement.models) || finished;
        this.#changeCount += changed ? 1 : 0;
        return changed;
    }

    /** Records a request for an adapter. */
    requestAdapter(model: string, adapter: string, nowMilliseconds: number): void {
        this.#adapters.request({ model, adapter }, nowMilliseconds);
    }

    /** Records that a request uses an adapter, so that it is not unloaded. */
    recordAdapterUse(model: string, adapter: string, nowMilliseconds: number): void {
        this.#models.recordUse({ model, adapter }, nowMilliseconds);
    }

    /** Rises with each change of the value that `record` returns. */
    get changeCount(): number {
        return this.#changeCount;
    }

    /** True while an order that was sent has no outcome yet. */
    get hasOpenOrder(): boolean {
        return this.#openOrder !== undefined;
    }

    /** The model that is being loaded, or will be once there is room. */
    get loadingModel(): string | undefined {
        return this.#loading?.model ?? this.#move?.model;
    }

    get models(): string[] {
        return this.#models.names;
    }

    /** Models not in the engine's accelerator memory that it can load without the weight store. */
    get locallyStoredModels(): string[] {
        return [...this.#localModels].filter(model => !this.#models.has(model));
    }

    /** Returns how many loads from the weight store began since the given time. */
    storeLoadsSince(sinceMilliseconds: number): number {
        this.#storeLoadStarts = this.#storeLoadStarts.filter(at => at >= sinceMilliseconds);
        return this.#storeLoadStarts.length;
    }

    /**
     * Returns the next step: an unanswered order again, a report, an order of the move in progress, or an order for a
     * requested adapter.
     */
    nextStep(nowMilliseconds: number): EngineStep | undefined {
        this.#changeCount += this.#adapters.finish(nowMilliseconds);
        this.#checkLoad(nowMilliseconds);
        if (this.#openOrder !== undefined) {
            return undefined;
        }
        if (this.#unansweredOrder !== undefined) {
            return { type: "order", order: this.#unansweredOrder, reason: "unanswered" };
        }
        if (this.#reportAtMilliseconds !== undefined) {
            return nowMilliseconds >= this.#reportAtMilliseconds ? { type: "read-report" } : undefined;
        }
        return this.#nextMoveStep(nowMilliseconds) ?? this.#nextAdapterStep(nowMilliseconds);
    }

    /** Begins a planned move; returns false while the engine is not ready for one. */
    beginMove(move: PlacementMove, nowMilliseconds: number): boolean {
        this.#checkLoad(nowMilliseconds);
        const isOccupied = this.#openOrder !== undefined || this.#unansweredOrder !== undefined
            || this.#move !== undefined
            || this.#loading !== undefined || this.#unloading !== undefined || this.#reportAtMilliseconds !== undefined
            || this.#adapters.isLoading;
        if (isOccupied) {
            return false;
        }
        const timeoutAtMilliseconds = nowMilliseconds + MOVE_TIMEOUT_MILLISECONDS;
        this.#move = { model: move.model, dropped: move.dropped, timeoutAtMilliseconds };
        this.#changeCount += 1;
        return true;
    }

    /** Records that an order is sent. */
    recordOrderSent(order: EngineOrder, nowMilliseconds: number): void {
        this.#openOrder = order;
        this.#unansweredOrder = undefined;
        if (order.operation === "load" && order.adapter === undefined && !this.#localModels.has(order.model)) {
            this.#storeLoadStarts.push(nowMilliseconds);
        }
    }

    /** Records the outcome of the open order; ignores that of any other. */
    recordOrderOutcome(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): void {
        if (this.#openOrder !== order) {
            return;
        }
        this.#openOrder = undefined;
        this.#lastAnswerAtMilliseconds = nowMilliseconds;
        if (outcome === "accepted" || outcome === "holds") {
            this.#applyOutcome(order, outcome, nowMilliseconds);
        }
        else if (outcome === "unknown") {
            this.#unansweredOrder = order;
        }
        else {
            this.#reportAtMilliseconds = nowMilliseconds + REPORT_LAG_MILLISECONDS;
        }
    }

    /** Records that a request found a model absent; the engine's report is read to confirm it. */
    recordModelAbsent(model: string, nowMilliseconds: number): void {
        if (this.#models.has(model)) {
            this.#reportAtMilliseconds ??= nowMilliseconds;
        }
    }

    /** Records that the engine's report is being read. */
    recordReportRequested(): void {
        this.#reportAtMilliseconds = Number.POSITIVE_INFINITY;
    }

    /** Records the engine's report; if it is missing or outdated, it is read again later. */
    recordReport(report: EngineReport | undefined, nowMilliseconds: number): void {
        const mayPredateLoad = this.#loadEndedDuringReport;
        this.#loadEndedDuringReport = false;
        if (report === undefined || this.#isOutdated(report, nowMilliseconds)) {
            this.#reportAtMilliseconds = nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS;
            return;
        }
        if (mayPredateLoad) {
            this.#reportAtMilliseconds = nowMilliseconds + REPORT_LAG_MILLISECONDS;
            return;
        }
        this.#reportAtMilliseconds = undefined;
        this.#changeCount += 1;
        this.#orderCount = report.orderCount;
        this.#applyReportedModels(report.models);
        if (!report.models.some(({ name }) => name === this.#unloading)) {
            this.#unloading = undefined;
        }
        const carriesOutUnknownOrder = report.busy && this.#loading === undefined;
        if (this.#unloading !== undefined) {
            this.#reportAtMilliseconds = nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS;
        }
        else if (carriesOutUnknownOrder) {
            this.#reportAtMilliseconds = nowMilliseconds + BUSY_REPORT_DELAY_MILLISECONDS;
        }
    }

    /** Returns whether a report was written before the last order: it then counts fewer orders. */
    #isOutdated(report: EngineReport, nowMilliseconds: number): boolean {
        const mayLag = nowMilliseconds - this.#lastAnswerAtMilliseconds < REPORT_LAG_MILLISECONDS;
        return mayLag && report.orderCount < this.#orderCount;
    }

    /** Returns the record of the engine for other hosts. */
    record(): EngineRecord {
        return {
            engine: this.engine,
            startedAtMilliseconds: this.#startedAtMilliseconds,
            orderCount: this.#orderCount,
            models: this.#models.list(),
            loading: this.#loading?.model ?? this.#move?.model,
        };
    }

    #createOrder(operation: EngineOrder["operation"], model: string, adapter: string | undefined): EngineOrder {
        return { operation, model, adapter, expectedOrderCount: this.#orderCount };
    }

    /** Returns the next order of the move in progress, once the engine has carried out the previous one. */
    #nextMoveStep(nowMilliseconds: number): EngineStep | undefined {
        if (this.#move === undefined || this.#loading !== undefined || this.#unloading !== undefined) {
            return undefined;
        }
        if (nowMilliseconds > this.#move.timeoutAtMilliseconds) {
            this.#endMove();
            return undefined;
        }
        const { model } = this.#move;
        const dropped = this.#move.dropped.find(model => this.#models.has(model));
        if (dropped !== undefined) {
            return { type: "order", order: this.#createOrder("unload", dropped, undefined), reason: "make-room" };
        }
        if (!this.#hasRoomFor(model)) {
            this.#endMove();
            return undefined;
        }
        return { type: "order", order: this.#createOrder("load", model, undefined), reason: "planned" };
    }

    /**
     * Returns whether a model fits into the engine's memory. A plan may be older than the holder's state, and an engine
     * that is loaded beyond its memory crashes.
     */
    #hasRoomFor(model: string): boolean {
        return freeMegabytes(this.definition, new Set([...this.#models.names, model])) >= 0;
    }

    #endMove(): void {
        this.#move = undefined;
        this.#changeCount += 1;
    }

    /** Returns the next order for a requested adapter; none while a model loads or unloads: the engine refuses all. */
    #nextAdapterStep(nowMilliseconds: number): EngineStep | undefined {
        if (this.#loading !== undefined || this.#unloading !== undefined) {
            return undefined;
        }
        const step = this.#adapters.nextStep(nowMilliseconds);
        return step === undefined
            ? undefined
            : {
                type: "order",
                order: this.#createOrder(step.operation, step.model, step.adapter),
                reason: step.reason,
            };
    }

    #applyOutcome(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): void {
        this.#changeCount += 1;
        const isCounted = outcome === "accepted" || order.operation === "unload";
        this.#orderCount += isCounted ? 1 : 0;
        if (order.operation === "unload") {
            if (order.adapter === undefined) {
                this.#models.delete(order.model);
                this.#unloading = outcome === "accepted" ? order.model : undefined;
                this.#reportAtMilliseconds = outcome === "accepted"
                    ? nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS
                    : undefined;
            }
            else {
                this.#models.deleteAdapter({ model: order.model, adapter: order.adapter });
            }
            return;
        }
        if (order.adapter !== undefined) {
            const { adapter, model } = order;
            this.#adapters.start({ model, adapter }, outcome === "holds", nowMilliseconds);
            return;
        }
        this.#endMove();
        if (outcome === "holds") {
            this.#models.add(order.model);
            return;
        }
        this.#loading = this.#createOpenLoad(order.model, nowMilliseconds);
    }

    #createOpenLoad(model: string, nowMilliseconds: number): OpenLoad {
        const definition = this.definition.models.find(({ name }) => name === model);
        const storeLoadMilliseconds = definition?.storeLoadMilliseconds ?? 0;
        const expectedMilliseconds = expectedLoadMilliseconds({ storeLoadMilliseconds }, this.#localModels.has(model));
        const timeoutMilliseconds = Math.max(
            MINIMUM_LOAD_TIMEOUT_MILLISECONDS,
            storeLoadMilliseconds * LOAD_TIMEOUT_FACTOR,
        );
        return {
            model,
            reportAtMilliseconds: nowMilliseconds + expectedMilliseconds + REPORT_LAG_MILLISECONDS,
            timeoutAtMilliseconds: nowMilliseconds + timeoutMilliseconds,
        };
    }

    /** Earliest time at which a loading adapter counts as loaded; `undefined` where none is loading. */
    get nextAdapterReadyMilliseconds(): number | undefined {
        return this.#adapters.nextReadyMilliseconds;
    }

    /** Schedules a report when a load is overdue, and records the load as failed once its timeout has passed. */
    #checkLoad(nowMilliseconds: number): void {
        const load = this.#loading;
        if (load === undefined || nowMilliseconds < load.reportAtMilliseconds) {
            return;
        }
        load.reportAtMilliseconds = nowMilliseconds + LOAD_REPORT_INTERVAL_MILLISECONDS;
        this.#reportAtMilliseconds ??= nowMilliseconds;
        if (nowMilliseconds > load.timeoutAtMilliseconds) {
            this.#loading = undefined;
            this.#changeCount += 1;
        }
    }

    /** Replaces models and adapters by those of a report, and keeps the times at which adapters were used. */
    #applyReportedModels(models: readonly HeldModel[]): void {
        this.#models.replace(models.filter(({ name }) => name !== this.#unloading));
        if (this.#loading !== undefined && this.#models.has(this.#loading.model)) {
            this.#loading = undefined;
        }
    }

    /**
     * Adds the unknown models that an announcement lists; returns whether there were any. It removes none, since an
     * announcement may be older than the last report or order. Removing a model that the engine still holds would let
     * the holder load another one for which the engine has no memory.
     */
    #addAnnouncedModels(models: readonly HeldModel[]): boolean {
        return this.#models.addUnknown(models.filter(({ name }) => name !== this.#unloading));
    }

    #resetOrders(): void {
        this.#orderCount = 0;
        this.#openOrder = undefined;
        this.#unansweredOrder = undefined;
        this.#loading = undefined;
        this.#unloading = undefined;
        this.#move = undefined;
        this.#reportAtMilliseconds = undefined;
        this.#loadEndedDuringReport = false;
        this.#adapters.clear();
    }
}
