/**
 * State that the holder of an engine keeps of it, and its open orders.
 *
 * @module
 */
import { type HeldModel, type UpstreamAnnouncement } from "../fleet/index.js";
import { type EngineDefinition } from "../routes/index.js";
import { AdapterLoads, type AdapterStep, type AdapterUseView } from "./_adapterLoads.js";
import { EngineReports, REPORT_LAG_MILLISECONDS } from "./_engineReports.js";
import { HeldModels, type ModelAdapter } from "./_heldModels.js";
import { LocalWeights } from "./_localWeights.js";
import { ModelChange } from "./_modelChange.js";
import { type MoveStep, OpenMove } from "./_openMove.js";
import { OrderExchange } from "./_orderExchange.js";
import { type PlacementMove } from "./placementInput.js";
import { type EngineOrder, type EngineRecord, type OrderOutcome } from "./types.js";

/** Delay before the next report is read from an engine that carries out an order unknown to this holder. */
const BUSY_REPORT_DELAY_MILLISECONDS = 700;

/** Interval at which an unloading engine's report is read, since a report that lags still lists the model. */
const UNLOAD_REPORT_INTERVAL_MILLISECONDS = 250;

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
    readonly #modelChange: ModelChange;
    readonly #localWeights: LocalWeights;
    readonly #orders = new OrderExchange();
    readonly #reports = new EngineReports();
    #startedAtMilliseconds: number | undefined;
    #move: OpenMove | undefined;
    #changeCount = 0;

    constructor(announcement: UpstreamAnnouncement, definition: EngineDefinition, adapterUse: AdapterUseView) {
        this.#models = new HeldModels(announcement.models);
        this.#adapters = new AdapterLoads({ held: this.#models, slots: definition.adapterSlots, use: adapterUse });
        this.#modelChange = new ModelChange(this.#models);
        this.#localWeights = new LocalWeights(announcement);
        this.engine = announcement.id;
        this.definition = definition;
        this.#startedAtMilliseconds = announcement.startedAtMilliseconds;
    }

    /** Rises with each change of the value that `record` returns. */
    get changeCount(): number {
        return this.#changeCount;
    }

    /** True while an order that was sent has no outcome yet. */
    get hasOpenOrder(): boolean {
        return this.#orders.hasOpen;
    }

    /** The model that is being loaded, or will be once there is room. */
    get loadingModel(): string | undefined {
        return this.#modelChange.loading ?? this.#move?.model;
    }

    get models(): string[] {
        return this.#models.names;
    }

    /** Models not in the engine's accelerator memory that it can load without the weight store. */
    get locallyStoredModels(): string[] {
        return this.#localWeights.models.filter(model => !this.#models.has(model));
    }

    /** Earliest time at which a loading adapter counts as loaded; `undefined` where none is loading. */
    get nextAdapterReadyMilliseconds(): number | undefined {
        return this.#adapters.nextReadyMilliseconds;
    }

    /** Returns how many loads from the weight store began since the given time. */
    storeLoadsSince(sinceMilliseconds: number): number {
        return this.#localWeights.storeLoadsSince(sinceMilliseconds);
    }

    /** Returns the record of the engine for other hosts. */
    record(): EngineRecord {
        return {
            engine: this.engine,
            startedAtMilliseconds: this.#startedAtMilliseconds,
            orderCount: this.#orders.orderCount,
            models: this.#models.list(),
            loading: this.loadingModel,
        };
    }

    /** Applies the engine's announcement; returns whether it changes the state. */
    applyAnnouncement(announcement: UpstreamAnnouncement): boolean {
        this.#localWeights.applyAnnouncement(announcement);
        const changed = announcement.startedAtMilliseconds === this.#startedAtMilliseconds
            ? this.#applyAnnouncedModels(announcement.models)
            : this.#applyRestart(announcement);
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

    /**
     * Returns the next step: an unanswered order again, a report, an order of the move in progress, or an order for a
     * requested adapter.
     */
    nextStep(nowMilliseconds: number): EngineStep | undefined {
        this.#changeCount += this.#adapters.finish(nowMilliseconds);
        this.#checkLoad(nowMilliseconds);
        if (this.#orders.hasOpen) {
            return undefined;
        }
        if (this.#orders.unanswered !== undefined) {
            return { type: "order", order: this.#orders.unanswered, reason: "unanswered" };
        }
        if (this.#reports.isNeeded) {
            return this.#reports.isDue(nowMilliseconds) ? { type: "read-report" } : undefined;
        }
        return this.#nextMoveStep(nowMilliseconds) ?? this.#nextAdapterStep(nowMilliseconds);
    }

    /** Begins a planned move; returns false while the engine is not ready for one. */
    beginMove(move: PlacementMove, nowMilliseconds: number): boolean {
        this.#checkLoad(nowMilliseconds);
        const awaitsAnswer = this.#orders.hasOpen || this.#orders.unanswered !== undefined || this.#reports.isNeeded;
        const isOccupied = this.#move !== undefined || this.#modelChange.isOpen || this.#adapters.isLoading;
        if (awaitsAnswer || isOccupied) {
            return false;
        }
        this.#move = new OpenMove(move, nowMilliseconds);
        this.#changeCount += 1;
        return true;
    }

    /** Records that an order is sent. */
    recordOrderSent(order: EngineOrder, nowMilliseconds: number): void {
        this.#orders.recordSent(order);
        if (order.operation === "load" && order.adapter === undefined) {
            this.#localWeights.recordLoad(order.model, nowMilliseconds);
        }
    }

    /** Records the outcome of the open order; ignores that of any other. */
    recordOrderOutcome(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): void {
        if (!this.#orders.recordOutcome(order, outcome, nowMilliseconds)) {
            return;
        }
        if (outcome === "accepted" || outcome === "holds") {
            this.#applyOutcome(order, outcome === "holds", nowMilliseconds);
        }
        else if (outcome !== "unknown") {
            this.#reports.readAt(nowMilliseconds + REPORT_LAG_MILLISECONDS);
        }
    }

    /** Records that a request found a model absent; the engine's report is read to confirm it. */
    recordModelAbsent(model: string, nowMilliseconds: number): void {
        if (this.#models.has(model)) {
            this.#reports.readOnceBy(nowMilliseconds);
        }
    }

    /** Records that the engine's report is being read. */
    recordReportRequested(): void {
        this.#reports.recordRequested();
    }

    /** Records the engine's report; if it is missing or outdated, it is read again later. */
    recordReport(report: EngineReport | undefined, nowMilliseconds: number): void {
        const mayPredateLoad = this.#reports.takeLoadEnded();
        if (report === undefined || this.#orders.isOutdated(report, nowMilliseconds)) {
            this.#reports.readAt(nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS);
            return;
        }
        if (mayPredateLoad) {
            this.#reports.readAt(nowMilliseconds + REPORT_LAG_MILLISECONDS);
            return;
        }
        this.#applyReport(report);
        this.#scheduleNextReport(report, nowMilliseconds);
    }

    /** Forgets the orders to an earlier incarnation of the engine, and the models that it held. */
    #applyRestart({ models, startedAtMilliseconds }: UpstreamAnnouncement): boolean {
        this.#startedAtMilliseconds = startedAtMilliseconds;
        this.#orders.reset();
        this.#reports.reset();
        this.#modelChange.reset();
        this.#move = undefined;
        this.#adapters.clear();
        this.#models.reset(models);
        return true;
    }

    /** Applies the models that an announcement lists; returns whether some were unknown, or a load has ended. */
    #applyAnnouncedModels(models: readonly HeldModel[]): boolean {
        const hasLoadEnded = this.#modelChange.endAnnouncedLoad(models);
        if (hasLoadEnded) {
            this.#reports.recordLoadEnded();
        }
        return this.#modelChange.addAnnounced(models) || hasLoadEnded;
    }

    #applyReport({ models, orderCount }: EngineReport): void {
        this.#changeCount += 1;
        this.#orders.recordReported(orderCount);
        this.#modelChange.applyReported(models);
    }

    /** Has the report read again where the last one shows that the engine still carries out an order. */
    #scheduleNextReport({ busy }: EngineReport, nowMilliseconds: number): void {
        if (this.#modelChange.isUnloading) {
            this.#reports.readAt(nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS);
        }
        else if (busy && !this.#modelChange.isOpen) {
            this.#reports.readAt(nowMilliseconds + BUSY_REPORT_DELAY_MILLISECONDS);
        }
        else {
            this.#reports.stop();
        }
    }

    /** Returns the next order of the move in progress, once the engine has carried out the previous one. */
    #nextMoveStep(nowMilliseconds: number): EngineStep | undefined {
        if (this.#move === undefined || this.#modelChange.isOpen) {
            return undefined;
        }
        const step = this.#move.nextStep(this.#models, this.definition, nowMilliseconds);
        if (step === undefined) {
            this.#endMove();
            return undefined;
        }
        return this.#createStep(step);
    }

    #endMove(): void {
        this.#move = undefined;
        this.#changeCount += 1;
    }

    /** Returns the next order for a requested adapter; none while a model loads or unloads: the engine refuses all. */
    #nextAdapterStep(nowMilliseconds: number): EngineStep | undefined {
        const step = this.#modelChange.isOpen ? undefined : this.#adapters.nextStep(nowMilliseconds);
        return step === undefined ? undefined : this.#createStep(step);
    }

    #createStep(step: MoveStep | AdapterStep): EngineStep {
        const { model, operation, reason } = step;
        const adapter = "adapter" in step ? step.adapter : undefined;
        return { type: "order", order: this.#orders.create({ operation, model, adapter }), reason };
    }

    /** Applies an order that the engine carries out, or whose result it holds already. */
    #applyOutcome(order: EngineOrder, isHeld: boolean, nowMilliseconds: number): void {
        this.#changeCount += 1;
        const { adapter, model } = order;
        if (adapter !== undefined) {
            this.#applyAdapterOrder({ ...order, adapter }, isHeld, nowMilliseconds);
        }
        else if (order.operation === "unload") {
            this.#applyUnload(model, isHeld, nowMilliseconds);
        }
        else {
            this.#applyLoad(model, isHeld, nowMilliseconds);
        }
    }

    #applyAdapterOrder(
        { adapter, model, operation }: ModelAdapter & Pick<EngineOrder, "operation">,
        isHeld: boolean,
        nowMilliseconds: number,
    ): void {
        if (operation === "unload") {
            this.#models.deleteAdapter({ model, adapter });
        }
        else {
            this.#adapters.start({ model, adapter }, isHeld, nowMilliseconds);
        }
    }

    #applyUnload(model: string, isHeld: boolean, nowMilliseconds: number): void {
        if (isHeld) {
            this.#modelChange.recordUnloaded(model);
            this.#reports.stop();
        }
        else {
            this.#modelChange.startUnload(model);
            this.#reports.readAt(nowMilliseconds + UNLOAD_REPORT_INTERVAL_MILLISECONDS);
        }
    }

    #applyLoad(model: string, isHeld: boolean, nowMilliseconds: number): void {
        this.#endMove();
        if (isHeld) {
            this.#models.add(model);
            return;
        }
        const modelDefinition = this.definition.models.find(({ name }) => name === model);
        const storeLoadMilliseconds = modelDefinition?.storeLoadMilliseconds ?? 0;
        const hasLocalWeights = this.#localWeights.has(model);
        this.#modelChange.startLoad({ model, storeLoadMilliseconds, hasLocalWeights }, nowMilliseconds);
    }

    /** Schedules a report when a load is overdue, and records the load as failed once its timeout has passed. */
    #checkLoad(nowMilliseconds: number): void {
        if (!this.#modelChange.takeOverdue(nowMilliseconds)) {
            return;
        }
        this.#reports.readOnceBy(nowMilliseconds);
        if (this.#modelChange.endFailedLoad(nowMilliseconds)) {
            this.#changeCount += 1;
        }
    }
}
