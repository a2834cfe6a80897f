/**
 * Keeps the engines that this host holds: takes them over, sends their orders, tells peers what they hold.
 *
 * @module
 */
import { type Acquisition, type ClockReading, type EngineDuties, type Succession } from "../duties/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../fleet/index.js";
import { type EngineHolder } from "../generated/gossip.js";
import { type EntryMetrics, type LogFields, type Logger } from "../observability/index.js";
import {
    type EngineOrder,
    type EngineRecord,
    ManagedEngine,
    type PlacementMove,
    type StoreLoadBound,
    storeLoadsPerEngine,
} from "../placement/index.js";
import { type KeyValueEntry, type KeyValueService } from "../platform/index.js";
import { type EngineDefinition, type RouteTable } from "../routes/index.js";
import { type EngineControl } from "./siteProtocol.js";

/** Begins the keys of engines' holders. */
export const HOLDER_KEY_PREFIX = "holders/";

/** Time between two looks at all engines. */
const TICK_MILLISECONDS = 200;

/** Why a holder does not begin a move that the planner asks for. */
type MoveRefusal =
    | "not held"
    /** It is under way or done. */
    | "begun before"
    /** The engine no longer holds what would be dropped. */
    | "not as planned"
    /** The holder waits for the one before it, or its session is not confirmed. */
    | "not ordered now"
    /** The engine has begun all loads from the weight store that it may. */
    | "store rate"
    /** Another order or move is under way. */
    | "occupied";

/** What keeping engines needs. */
export interface EngineOrdersOptions {
    readonly host: string;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly keyValue: KeyValueService;
    readonly control: EngineControl;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly storeLoads: StoreLoadBound;
    /** Tells whether the key-value service answered a moment ago. */
    readonly serviceAnswers: () => boolean;
    /** Gives the hosts that do not agree that this one goes on without the service. */
    readonly hostsWithoutConsent: () => readonly string[];
    readonly readClocks: () => ClockReading;
    readonly routeTable: () => RouteTable | undefined;
    /** Plans the weights of all engines where this host is the one to do so. */
    readonly plan: () => void;
    /** Tells whether a request of any host uses an adapter, named with its model. */
    readonly isAdapterUsed: (engine: string, adapter: string) => boolean;
    /** Tells a holder that another one has followed it. */
    readonly notifyPreviousHolder: (succession: Succession) => void;
    /** The service has a later state of a key than this host knew. */
    readonly onLaterEntry: (entry: KeyValueEntry) => void;
    /** An engine's memory changed, or this host learned of it. */
    readonly onRecordChanged: (record: EngineRecord) => void;
}

/** Takes over engines and orders them about, until closed. */
export class EngineOrders {
    readonly #options: EngineOrdersOptions;
    readonly #keepers = new Map<string, ManagedEngine>();
    readonly #acquiring = new Set<string>();
    /** Changes of each keeper that peers have been told. */
    readonly #told = new WeakMap<ManagedEngine, number>();
    #ticker: NodeJS.Timeout | undefined;
    /** Set once this host leaves: it takes no engine over and begins no move. */
    #leaving = false;
    /** Set once the engines are given up, or are being given up. */
    #stopped = false;

    constructor(options: EngineOrdersOptions) {
        this.#options = options;
    }

    start(): void {
        this.#ticker = setInterval(() => this.#tick(), TICK_MILLISECONDS);
    }

    /** Gives what this host knows of the engines that it holds. */
    records(): EngineRecord[] {
        return [...this.#keepers.values()].map(keeper => keeper.record());
    }

    get held(): number {
        return this.#keepers.size;
    }

    /** Takes an engine's announcement. */
    observe(announcement: UpstreamAnnouncement): void {
        const keeper = this.#keepers.get(announcement.id);
        if (keeper?.observe(announcement) === true) {
            this.#work(keeper);
        }
    }

    /** Takes a request's wish for an adapter on an engine; false where this host does not hold the engine. */
    requestAdapter(engine: string, model: string, adapter: string): boolean {
        const keeper = this.#keepers.get(engine);
        if (keeper === undefined) {
            return false;
        }
        const now = this.#now();
        keeper.requestAdapter(model, adapter, now);
        keeper.recordAdapterUse(model, adapter, now);
        this.#work(keeper);
        return true;
    }

    /** Gives what this host knows of an engine; `undefined` where it does not hold it. */
    recordOf(engine: string): EngineRecord | undefined {
        return this.#keepers.get(engine)?.record();
    }

    /** A request found that an engine does not hold a model. */
    recordModelAbsent(engine: string, model: string): void {
        this.#keepers.get(engine)?.recordModelAbsent(model, this.#now());
    }

    recordAdapterUse(engine: string, model: string, adapter: string): void {
        this.#keepers.get(engine)?.recordAdapterUse(model, adapter, this.#now());
    }

    /**
     * Takes nothing over any more, and gives the engines up so that other hosts may take them. While the key-value service
     * does not answer nobody could, so they are kept until it does, or until `stop`.
     */
    async leave(): Promise<void> {
        this.#leaving = true;
        if (this.#options.serviceAnswers()) {
            await this.#release();
        }
    }

    /** Gives no further orders; what could not be handed over is relinquished. */
    stop(): void {
        this.#stopped = true;
        this.#noteRelinquished(this.#options.duties.relinquishAll(), { reason: "host stops" });
    }

    /** Writes that the engines are free; no order may follow, since a write without an answer may yet take effect. */
    async #release(): Promise<void> {
        if (this.#stopped) {
            return;
        }
        this.#stopped = true;
        const held = this.#options.duties.held();
        this.#keepers.clear();
        await Promise.all(held.map(acquisition => this.#write(acquisition, true)));
    }

    close(): void {
        clearInterval(this.#ticker);
        this.#keepers.clear();
        this.#options.control.close();
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }

    #definitionOf(announcement: UpstreamAnnouncement): EngineDefinition | undefined {
        return this.#options.routeTable()?.service(announcement.service)?.engine;
    }

    /** Engines of all services that run models. */
    #engines(): UpstreamAnnouncement[] {
        return this.#options.view.all().filter(announcement => this.#definitionOf(announcement) !== undefined);
    }

    #tick(): void {
        if (this.#stopped) {
            return;
        }
        this.#relinquish();
        this.#options.duties.waiting(this.#now()).forEach(this.#options.notifyPreviousHolder);
        if (this.#leaving && this.#options.serviceAnswers()) {
            void this.#release();
            return;
        }
        this.#syncKeepers();
        if (!this.#leaving) {
            this.#takeOver();
            this.#options.plan();
        }
        for (const keeper of this.#keepers.values()) {
            this.#work(keeper);
        }
    }

    /** This host's session has ended; others may take its engines over. */
    loseSession(): void {
        this.#noteRelinquished(this.#options.duties.loseSession(), { reason: "session lost" });
    }

    /** A host that cannot confirm its session stops, and says so to its peers. */
    #relinquish(): void {
        const { duties, hostsWithoutConsent, readClocks } = this.#options;
        const clocks = readClocks();
        if (!duties.isConfirmed(clocks)) {
            const withoutConsent = hostsWithoutConsent().join(",");
            const engines = duties.relinquishUnconfirmed(clocks);
            this.#noteRelinquished(engines, { reason: "session not confirmed", withoutConsent });
        }
    }

    #noteRelinquished(engines: readonly string[], cause: LogFields): void {
        for (const engine of engines) {
            this.#keepers.delete(engine);
            this.#options.metrics.count("holder_changes", { change: "relinquished" });
            this.#options.logger.warn("engine relinquished", { engine, ...cause });
        }
    }

    /**
     * Takes engines over, and records where waiting for the holder before is over; only while the service answers, since
     * in an outage each try would be a call for nothing.
     */
    #takeOver(): void {
        if (!this.#options.serviceAnswers()) {
            return;
        }
        const { duties, readClocks, view } = this.#options;
        const engines = this.#engines().filter(({ id }) => view.isUsable(id)).map(({ id }) => id);
        for (const acquisition of [...duties.vacant(engines, this.#now()), ...duties.unsettled(readClocks())]) {
            const { engine } = acquisition;
            if (!this.#acquiring.has(engine)) {
                this.#acquiring.add(engine);
                void this.#write(acquisition, false).finally(() => this.#acquiring.delete(engine));
            }
        }
    }

    /** Writes who holds an engine; what the service has by then comes with the answer or the mirror. */
    async #write({ engine, expectedRevision, settled }: Acquisition, released: boolean): Promise<void> {
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
     * Holds a keeper for each engine that this host's record names. A host that leaves keeps none that it had not kept
     * before: others no longer ask for its consent.
     */
    #syncKeepers(): void {
        const held = new Set(this.#options.duties.held().map(({ engine }) => engine));
        for (const engine of this.#keepers.keys()) {
            if (!held.has(engine) || this.#options.view.get(engine) === undefined) {
                this.#keepers.delete(engine);
            }
        }
        for (const engine of this.#leaving ? [] : held) {
            const announcement = this.#options.view.get(engine);
            const definition = announcement === undefined ? undefined : this.#definitionOf(announcement);
            if (announcement !== undefined && definition !== undefined && !this.#keepers.has(engine)) {
                this.#keepers.set(
                    engine,
                    new ManagedEngine(announcement, definition, {
                        isAdapterUsed: adapter => this.#options.isAdapterUsed(engine, adapter),
                    }),
                );
            }
        }
        this.#options.metrics.gauge("engines_held", this.#keepers.size);
    }

    /** Takes the next step on an engine, and tells what changed before it and by it. */
    #work(keeper: ManagedEngine): void {
        this.#tellChanges(keeper);
        this.#takeStep(keeper);
        this.#tellChanges(keeper);
    }

    #tellChanges(keeper: ManagedEngine): void {
        if (this.#told.get(keeper) !== keeper.changeCount && this.#keepers.get(keeper.engine) === keeper) {
            this.#told.set(keeper, keeper.changeCount);
            this.#options.onRecordChanged(keeper.record());
        }
    }

    #takeStep(keeper: ManagedEngine): void {
        const clocks = this.#options.readClocks();
        const announcement = this.#options.view.get(keeper.engine);
        const fencingNumber = this.#options.duties.fencingNumber(keeper.engine, clocks);
        const mayOrder = !this.#stopped && this.#options.view.isUsable(keeper.engine);
        if (!mayOrder || announcement === undefined || fencingNumber === undefined) {
            return;
        }
        const step = keeper.nextStep(clocks.steadyMilliseconds);
        if (step === undefined || keeper.occupied) {
            return;
        }
        if (step.type === "read-report") {
            void this.#readReport(keeper, announcement);
            return;
        }
        void this.#order(keeper, announcement, step, fencingNumber);
    }

    /** Begins a move that the planner asks for, unless the engine is not as the plan takes it to be. */
    handleMoveRequest(move: PlacementMove, planner: string): void {
        const { logger, metrics } = this.#options;
        const { dropped, engine, gain, model, reason } = move;
        const keeper = this.#keepers.get(engine);
        const refusal = this.#tryBegin(move, keeper);
        if (keeper !== undefined && refusal === undefined) {
            metrics.count("moves", { outcome: "begun" });
            logger.info("move begun", { engine, model, dropped: dropped.join(","), reason, gain, planner });
            this.#work(keeper);
        }
        else if (refusal !== "begun before") {
            metrics.count("moves", { outcome: "refused" });
            logger.info("move refused", { engine, model, dropped: dropped.join(","), reason: refusal, planner });
        }
    }

    /** Begins a move; gives why it does not, or `undefined` once it has. */
    #tryBegin(move: PlacementMove, keeper: ManagedEngine | undefined): MoveRefusal | undefined {
        if (keeper === undefined || this.#leaving || this.#stopped) {
            return "not held";
        }
        const { duties, readClocks, view } = this.#options;
        if (keeper.loadingModel === move.model || keeper.models.includes(move.model)) {
            return "begun before";
        }
        if (move.dropped.some(model => !keeper.models.includes(model))) {
            return "not as planned";
        }
        if (!view.isUsable(move.engine) || duties.fencingNumber(move.engine, readClocks()) === undefined) {
            return "not ordered now";
        }
        if (!this.#mayLoad(move, keeper)) {
            return "store rate";
        }
        return keeper.begin(move, this.#now()) ? undefined : "occupied";
    }

    /** Loads from the weight store are bounded; those of weights at hand are not. */
    #mayLoad(move: PlacementMove, keeper: ManagedEngine): boolean {
        if (keeper.locallyStoredModels.includes(move.model)) {
            return true;
        }
        const { storeLoads, view } = this.#options;
        const begun = keeper.storeLoadsSince(this.#now() - storeLoads.windowMilliseconds);
        const engineCount = view.usable(view.get(keeper.engine)?.service ?? "").length;
        return begun < storeLoadsPerEngine(keeper.definition.loadsPerSecond, engineCount, storeLoads);
    }

    async #order(
        keeper: ManagedEngine,
        target: UpstreamAnnouncement,
        step: { readonly order: EngineOrder; readonly reason: string; },
        fencingNumber: number,
    ): Promise<void> {
        const { control, host, logger, metrics } = this.#options;
        const { order } = step;
        keeper.recordOrderSent(order, this.#now());
        this.#options.duties.recordOrder(keeper.engine, this.#now());
        const outcome = await control.order(target, order, { holder: host, fencingNumber });
        keeper.recordOrderOutcome(order, outcome, this.#now());
        const kind = order.adapter === undefined ? "weights" : "adapter";
        metrics.count("engine_orders", { operation: order.operation, kind, outcome });
        logger.info("engine ordered", {
            engine: keeper.engine,
            operation: order.operation,
            model: order.model,
            adapter: order.adapter,
            reason: step.reason,
            expectedOrderCount: order.expectedOrderCount,
            fencingNumber,
            outcome,
        });
        this.#workOnArrival(keeper);
        if (outcome !== "unknown") {
            this.#work(keeper);
        }
    }

    async #readReport(keeper: ManagedEngine, target: UpstreamAnnouncement): Promise<void> {
        keeper.recordReportRequested();
        const report = await this.#options.control.report(target);
        keeper.recordReport(report, this.#now());
        this.#options.logger.info("engine report read", {
            engine: keeper.engine,
            orderCount: report?.orderCount,
            busy: report?.busy,
        });
        this.#work(keeper);
    }

    /** Looks again once an adapter on its way has arrived. */
    #workOnArrival(keeper: ManagedEngine): void {
        const arrival = keeper.nextArrivalMilliseconds;
        if (arrival !== undefined) {
            setTimeout(() => this.#work(keeper), Math.max(1, arrival - this.#now() + 1));
        }
    }
}
