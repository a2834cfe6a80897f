/**
 * Manages the engines that this host holds: takes them over, sends them orders, and publishes their memory to peers.
 *
 * @module
 */
import { type Acquisition, type ClockReading, type EngineDuties, type Succession } from "../../duties/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../../fleet/index.js";
import { type EngineHolder } from "../../generated/gossip.js";
import {
    describeThrown,
    type EntryMetrics,
    type LogFields,
    type Logger,
    runInBackground,
} from "../../observability/index.js";
import {
    type EngineOrder,
    type EngineRecord,
    ManagedEngine,
    type OrderOutcome,
    type PlacementMove,
    type StoreLoadBound,
    storeLoadsPerEngine,
} from "../../placement/index.js";
import { type KeyValueEntry, type KeyValueService } from "../../platform/index.js";
import { type EngineDefinition, type RouteTable } from "../../routes/index.js";
import { type AnswerStatusAndHeaders } from "../_answerHead.js";
import { type EngineControl } from "../siteProtocol.js";
import { HOLDER_KEY_PREFIX } from "../store/index.js";

/** Interval at which all engines are checked. */
const TICK_INTERVAL_MILLISECONDS = 200;

/** Why a holder refuses a move that the planner requested. */
type MoveRefusal =
    | "not held"
    /** The move is in progress or done. */
    | "begun before"
    /** The engine no longer holds a model that the move would unload. */
    | "not as planned"
    /** The engine is not usable, the holder waits for the previous one, or its session is not confirmed. */
    | "not ordered now"
    /** The engine has reached its limit of loads from the weight store. */
    | "store rate"
    /** Another order or move is in progress. */
    | "occupied";

/** Options of `EngineOrders`. */
export interface EngineOrdersOptions {
    readonly host: string;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly keyValue: KeyValueService;
    readonly control: EngineControl;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly storeLoads: StoreLoadBound;
    /** Returns whether the key-value service answered recently. */
    readonly serviceAnswers: () => boolean;
    /** Returns the hosts that do not consent to this host's sending orders during an outage of the service. */
    readonly hostsWithoutConsent: () => readonly string[];
    readonly readClocks: () => ClockReading;
    readonly routeTable: () => RouteTable | undefined;
    /** Plans the models of all engines where this host is the planner. */
    readonly plan: () => void;
    /** Returns whether a request of any host uses an adapter, named with its model. */
    readonly isAdapterUsed: (engine: string, adapter: string) => boolean;
    /** Notifies a holder of its successor. */
    readonly notifyPreviousHolder: (succession: Succession) => void;
    /** A call showed that the service has a later revision of a key than this host knew. */
    readonly onLaterEntry: (entry: KeyValueEntry) => void;
    /** An engine answered an order or a report request, which was sent at the given time. */
    readonly onAnswer: (
        engine: UpstreamAnnouncement,
        head: AnswerStatusAndHeaders,
        sentAtMilliseconds: number,
    ) => void;
    /** An engine's memory changed, or this host began to manage it. */
    readonly onRecordChanged: (record: EngineRecord) => void;
}

/** Acquires engines and sends them orders, until closed. */
export class EngineOrders {
    readonly #options: EngineOrdersOptions;
    readonly #managedEngines = new Map<string, ManagedEngine>();
    readonly #acquiring = new Set<string>();
    /** The change count of each engine that was last published to peers. */
    readonly #publishedChangeCounts = new WeakMap<ManagedEngine, number>();
    #ticker: NodeJS.Timeout | undefined;
    /** Set once this host is leaving: it takes no engine over and begins no move. */
    #leaving = false;
    /** Set once the engines are released or relinquished, or are being released. */
    #stopped = false;

    constructor(options: EngineOrdersOptions) {
        this.#options = options;
    }

    start(): void {
        this.#ticker = setInterval(() => this.#tick(), TICK_INTERVAL_MILLISECONDS);
    }

    /** Returns the memory records of the engines that this host manages. */
    records(): EngineRecord[] {
        return [...this.#managedEngines.values()].map(managedEngine => managedEngine.record());
    }

    get held(): number {
        return this.#managedEngines.size;
    }

    /** Applies an engine's announcement. */
    applyAnnouncement(announcement: UpstreamAnnouncement): void {
        const managedEngine = this.#managedEngines.get(announcement.id);
        if (managedEngine?.applyAnnouncement(announcement) === true) {
            this.#advance(managedEngine);
        }
    }

    /** Records a request for an adapter on an engine; false where this host does not manage the engine. */
    requestAdapter(engine: string, model: string, adapter: string): boolean {
        const managedEngine = this.#managedEngines.get(engine);
        if (managedEngine === undefined) {
            return false;
        }
        const now = this.#now();
        managedEngine.requestAdapter(model, adapter, now);
        managedEngine.recordAdapterUse(model, adapter, now);
        this.#advance(managedEngine);
        return true;
    }

    /** Returns an engine's memory record; `undefined` where this host does not manage the engine. */
    recordOf(engine: string): EngineRecord | undefined {
        return this.#managedEngines.get(engine)?.record();
    }

    /** Records that a request found a model absent from an engine. */
    recordModelAbsent(engine: string, model: string): void {
        this.#managedEngines.get(engine)?.recordModelAbsent(model, this.#now());
    }

    recordAdapterUse(engine: string, model: string, adapter: string): void {
        this.#managedEngines.get(engine)?.recordAdapterUse(model, adapter, this.#now());
    }

    /**
     * Stops taking engines over, and releases those held so that other hosts may take them over. While the key-value
     * service does not answer no host could, so they are held until it does, or until `stop`.
     */
    async leave(): Promise<void> {
        this.#leaving = true;
        if (this.#options.serviceAnswers()) {
            await this.#releaseAll();
        }
    }

    /** Sends no further orders, and relinquishes the engines that could not be handed over. */
    stop(): void {
        this.#stopped = true;
        this.#recordRelinquished(this.#options.duties.relinquishAll(), { reason: "host stops" });
    }

    /** Records the engines as released. No order may follow, since a write without an answer may still take effect. */
    async #releaseAll(): Promise<void> {
        if (this.#stopped) {
            return;
        }
        this.#stopped = true;
        const held = this.#options.duties.held();
        this.#managedEngines.clear();
        await Promise.all(held.map(acquisition => this.#writeHolder(acquisition, true)));
    }

    close(): void {
        clearInterval(this.#ticker);
        this.#managedEngines.clear();
        this.#options.control.close();
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }

    #definitionOf(announcement: UpstreamAnnouncement): EngineDefinition | undefined {
        return this.#options.routeTable()?.service(announcement.service)?.engine;
    }

    /** Returns the engines of all services that run models. */
    #engines(): UpstreamAnnouncement[] {
        return this.#options.view.all().filter(announcement => this.#definitionOf(announcement) !== undefined);
    }

    #tick(): void {
        if (this.#stopped) {
            return;
        }
        this.#relinquishUnconfirmed();
        this.#options.duties.pendingSuccessions(this.#now()).forEach(this.#options.notifyPreviousHolder);
        if (this.#leaving && this.#options.serviceAnswers()) {
            this.#runInBackground("release of engines", () => this.#releaseAll());
            return;
        }
        this.#syncManagedEngines();
        if (!this.#leaving) {
            this.#acquireEngines();
            this.#options.plan();
        }
        for (const managedEngine of this.#managedEngines.values()) {
            this.#advance(managedEngine);
        }
    }

    /** Relinquishes all engines once this host's session has ended, since others may take them over. */
    handleSessionLost(): void {
        this.#recordRelinquished(this.#options.duties.loseSession(), { reason: "session lost" });
    }

    /** Relinquishes all engines where this host's session is not confirmed; its next digest reports it to peers. */
    #relinquishUnconfirmed(): void {
        const { duties, hostsWithoutConsent, readClocks } = this.#options;
        const clocks = readClocks();
        if (!duties.isConfirmed(clocks)) {
            const withoutConsent = hostsWithoutConsent().join(",");
            const engines = duties.relinquishUnconfirmed(clocks);
            this.#recordRelinquished(engines, { reason: "session not confirmed", withoutConsent });
        }
    }

    #recordRelinquished(engines: readonly string[], cause: LogFields): void {
        for (const engine of engines) {
            this.#managedEngines.delete(engine);
            this.#options.metrics.count("holder_changes", { change: "relinquished" });
            this.#options.logger.warn("engine relinquished", { engine, ...cause });
        }
    }

    /**
     * Acquires engines without a holder, and records for which engines the wait for the previous holder is over. Only
     * while the service answers, since each attempt during an outage would be a useless call.
     */
    #acquireEngines(): void {
        if (!this.#options.serviceAnswers()) {
            return;
        }
        const { duties, readClocks, view } = this.#options;
        const engines = this.#engines().filter(({ id }) => view.isUsable(id)).map(({ id }) => id);
        for (
            const acquisition of [
                ...duties.dueAcquisitions(engines, this.#now()),
                ...duties.acquisitionsToSettle(readClocks()),
            ]
        ) {
            const { engine } = acquisition;
            if (!this.#acquiring.has(engine)) {
                this.#acquiring.add(engine);
                this.#runInBackground(
                    "holder record",
                    () => this.#writeHolder(acquisition, false).finally(() => this.#acquiring.delete(engine)),
                );
            }
        }
    }

    /** Writes an engine's holder record; after a conflict the current record comes from the answer or the mirror. */
    async #writeHolder({ engine, expectedRevision, settled }: Acquisition, released: boolean): Promise<void> {
        const { host, duties, keyValue, logger, metrics } = this.#options;
        const session = duties.session;
        if (session === undefined) {
            return;
        }
        const record: EngineHolder = { host, session, released, settled };
        const value = JSON.stringify(record);
        const swapped = await keyValue.compareAndSwap(`${HOLDER_KEY_PREFIX}${engine}`, { expectedRevision, value });
        const change = released ? "released" : "taken";
        if (swapped.isErr() || swapped.value.type === "conflict") {
            const reason = swapped.isErr() ? swapped.error.kind : "conflict";
            logger.info("holder record not written", { engine, change, reason, expectedRevision });
            if (swapped.isOk() && swapped.value.type === "conflict" && swapped.value.current !== undefined) {
                this.#options.onLaterEntry(swapped.value.current);
            }
            return;
        }
        duties.setHolder(engine, { ...record, revision: swapped.value.revision }, this.#now());
        metrics.count("holder_changes", { change });
        logger.info(`engine ${change}`, { engine, revision: swapped.value.revision, session });
    }

    /**
     * Begins to manage the engines whose records name this host, and stops managing others. A leaving host begins with
     * none, since the other hosts no longer request its consent.
     */
    #syncManagedEngines(): void {
        const held = new Set(this.#options.duties.held().map(({ engine }) => engine));
        for (const engine of this.#managedEngines.keys()) {
            if (!held.has(engine) || this.#options.view.get(engine) === undefined) {
                this.#managedEngines.delete(engine);
            }
        }
        for (const engine of this.#leaving ? [] : held) {
            const announcement = this.#options.view.get(engine);
            const definition = announcement === undefined ? undefined : this.#definitionOf(announcement);
            if (announcement !== undefined && definition !== undefined && !this.#managedEngines.has(engine)) {
                this.#managedEngines.set(
                    engine,
                    new ManagedEngine(announcement, definition, {
                        isAdapterUsed: adapter => this.#options.isAdapterUsed(engine, adapter),
                    }),
                );
            }
        }
        this.#options.metrics.gauge("engines_held", this.#managedEngines.size);
    }

    /** Performs the next step on an engine, and publishes the changes before and by that step. */
    #advance(managedEngine: ManagedEngine): void {
        this.#publishChanges(managedEngine);
        this.#performNextStep(managedEngine);
        this.#publishChanges(managedEngine);
    }

    #publishChanges(managedEngine: ManagedEngine): void {
        if (
            this.#publishedChangeCounts.get(managedEngine) !== managedEngine.changeCount
            && this.#managedEngines.get(managedEngine.engine) === managedEngine
        ) {
            this.#publishedChangeCounts.set(managedEngine, managedEngine.changeCount);
            this.#options.onRecordChanged(managedEngine.record());
        }
    }

    #performNextStep(managedEngine: ManagedEngine): void {
        const clocks = this.#options.readClocks();
        const announcement = this.#options.view.get(managedEngine.engine);
        const fencingNumber = this.#options.duties.fencingNumber(managedEngine.engine, clocks);
        const mayOrder = !this.#stopped && this.#options.view.isUsable(managedEngine.engine);
        if (!mayOrder || announcement === undefined || fencingNumber === undefined) {
            return;
        }
        const step = managedEngine.nextStep(clocks.steadyMilliseconds);
        if (step === undefined || managedEngine.hasOpenOrder) {
            return;
        }
        if (step.type === "read-report") {
            this.#runInBackground("engine report", () => this.#readReport(managedEngine, announcement));
            return;
        }
        this.#runInBackground(
            "engine order",
            () => this.#sendOrder(managedEngine, announcement, step, fencingNumber),
        );
    }

    /** Begins a move that the planner requested, unless the engine differs from what the plan assumed. */
    handleMoveRequest(move: PlacementMove, planner: string): void {
        const { logger, metrics } = this.#options;
        const { dropped, engine, gain, model, reason } = move;
        const managedEngine = this.#managedEngines.get(engine);
        const refusal = this.#tryBeginMove(move, managedEngine);
        if (managedEngine !== undefined && refusal === undefined) {
            metrics.count("moves", { outcome: "begun" });
            logger.info("move begun", { engine, model, dropped: dropped.join(","), reason, gain, planner });
            this.#advance(managedEngine);
        }
        else if (refusal !== "begun before") {
            metrics.count("moves", { outcome: "refused" });
            logger.info("move refused", { engine, model, dropped: dropped.join(","), reason: refusal, planner });
        }
    }

    /** Begins a move; returns the reason for a refusal, `undefined` where it began. */
    #tryBeginMove(move: PlacementMove, managedEngine: ManagedEngine | undefined): MoveRefusal | undefined {
        if (managedEngine === undefined || this.#leaving || this.#stopped) {
            return "not held";
        }
        const { duties, readClocks, view } = this.#options;
        if (managedEngine.loadingModel === move.model || managedEngine.models.includes(move.model)) {
            return "begun before";
        }
        if (move.dropped.some(model => !managedEngine.models.includes(model))) {
            return "not as planned";
        }
        if (!view.isUsable(move.engine) || duties.fencingNumber(move.engine, readClocks()) === undefined) {
            return "not ordered now";
        }
        if (!this.#mayLoad(move, managedEngine)) {
            return "store rate";
        }
        return managedEngine.beginMove(move, this.#now()) ? undefined : "occupied";
    }

    /** Returns whether a load may begin: loads from the weight store are limited, those of local weights are not. */
    #mayLoad(move: PlacementMove, managedEngine: ManagedEngine): boolean {
        if (managedEngine.locallyStoredModels.includes(move.model)) {
            return true;
        }
        const { storeLoads, view } = this.#options;
        const begun = managedEngine.storeLoadsSince(this.#now() - storeLoads.windowMilliseconds);
        const engineCount = view.usable(view.get(managedEngine.engine)?.service ?? "").length;
        return begun < storeLoadsPerEngine(managedEngine.definition.loadsPerSecond, engineCount, storeLoads);
    }

    async #sendOrder(
        managedEngine: ManagedEngine,
        target: UpstreamAnnouncement,
        step: { readonly order: EngineOrder; readonly reason: string; },
        fencingNumber: number,
    ): Promise<void> {
        const { control, host, logger, metrics, onAnswer } = this.#options;
        const { order } = step;
        managedEngine.recordOrderSent(order, this.#now());
        this.#options.duties.recordOrder(managedEngine.engine, this.#now());
        const sentAtMilliseconds = this.#now();
        const outcome = await this.#callEngine<OrderOutcome>("unknown", () =>
            control.order(
                target,
                order,
                { holder: host, fencingNumber },
                head => onAnswer(target, head, sentAtMilliseconds),
            ));
        managedEngine.recordOrderOutcome(order, outcome, this.#now());
        const kind = order.adapter === undefined ? "weights" : "adapter";
        metrics.count("engine_orders", { operation: order.operation, kind, outcome });
        logger.info("engine ordered", {
            engine: managedEngine.engine,
            operation: order.operation,
            model: order.model,
            adapter: order.adapter,
            reason: step.reason,
            expectedOrderCount: order.expectedOrderCount,
            fencingNumber,
            outcome,
        });
        this.#advanceAfterAdapterLoad(managedEngine);
        if (outcome !== "unknown") {
            this.#advance(managedEngine);
        }
    }

    async #readReport(managedEngine: ManagedEngine, target: UpstreamAnnouncement): Promise<void> {
        managedEngine.recordReportRequested();
        const { control, onAnswer } = this.#options;
        const sentAtMilliseconds = this.#now();
        const report = await this.#callEngine(
            undefined,
            () => control.report(target, head => onAnswer(target, head, sentAtMilliseconds)),
        );
        managedEngine.recordReport(report, this.#now());
        this.#options.logger.info("engine report read", {
            engine: managedEngine.engine,
            orderCount: report?.orderCount,
            busy: report?.busy,
        });
        this.#advance(managedEngine);
    }

    /** Calls an engine; a call that throws has the outcome of one without an answer, so that the engine is not stuck. */
    async #callEngine<Outcome>(withoutAnswer: Outcome, call: () => Promise<Outcome>): Promise<Outcome> {
        try {
            return await call();
        }
        catch (error) {
            this.#options.logger.error("engine call failed", { detail: describeThrown(error) });
            return withoutAnswer;
        }
    }

    #runInBackground(task: string, step: () => Promise<unknown>): void {
        runInBackground(this.#options.logger, task, step);
    }

    /** Schedules the next step for the time when the next adapter load should be complete. */
    #advanceAfterAdapterLoad(managedEngine: ManagedEngine): void {
        const arrival = managedEngine.nextAdapterReadyMilliseconds;
        if (arrival !== undefined) {
            setTimeout(() => this.#advance(managedEngine), Math.max(1, arrival - this.#now() + 1));
        }
    }
}
