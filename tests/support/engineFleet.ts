/**
 * Simulates a fleet of hosts that hold engines, without sockets: a record that a host publishes reaches its cell at
 * once and the other cells later.
 *
 * @module
 */
import { type TestContext } from "node:test";
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import { EngineDuties } from "../../src/duties/index.js";
import { EngineOrders } from "../../src/entry/engines/engineOrders.js";
import { FleetPlanner } from "../../src/entry/engines/fleetPlanner.js";
import { type EngineControl } from "../../src/entry/siteProtocol.js";
import { type UpstreamAnnouncement, UpstreamView } from "../../src/fleet/index.js";
import { createEntryMetrics, TimeSpent } from "../../src/observability/index.js";
import {
    type EngineOrder,
    type EngineRecord,
    type OrderOutcome,
    type PlacementMove,
    ResidencyView,
} from "../../src/placement/index.js";
import { type KeyValueService } from "../../src/platform/index.js";
import { compileRouteTable, type EngineDefinition } from "../../src/routes/index.js";
import { createAnnouncement } from "./announcements.js";
import { createCollectingLogger, type LoggedLine } from "./collectedLines.js";

const SERVICE = "llm";

/** Interval between steps of the simulated clock. */
const STEP_MILLISECONDS = 10;

/** Interval at which holders' sessions are renewed. */
const RENEWAL_INTERVAL_MILLISECONDS = 500;

/** Time until an engine's announcement of a change has reached all hosts. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 150;

/** Transit time of a datagram. */
const DATAGRAM_DELAY_MILLISECONDS = 10;

const STORE_LOADS = { windowMilliseconds: 5_000, overage: 1.1 };

const DUTY_BOUNDS = { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 };

/** One engine of the fleet. */
export interface FleetEngine {
    readonly id: string;
    readonly models: readonly string[];
    /** Index of the host that holds it, from 0. */
    readonly holder: number;
    readonly locallyStoredModels?: readonly string[];
}

/** Options of a simulated fleet. */
export interface EngineFleetOptions {
    readonly hosts: number;
    readonly hostsOfCell: number;
    /** Delay until a record that a host publishes reaches the hosts of other cells. */
    readonly interCellDelayMilliseconds: number;
    readonly definition: EngineDefinition;
    readonly engines: readonly FleetEngine[];
    /** Concurrent requests by model at a time, the same for all hosts. */
    readonly demand: (nowMilliseconds: number) => ReadonlyMap<string, number>;
}

/** An order to load or unload weights that an engine has executed. */
export interface ExecutedOrder {
    readonly atMilliseconds: number;
    readonly engine: string;
    readonly operation: EngineOrder["operation"];
    readonly model: string;
}

interface SimulatedEngine {
    announcement: UpstreamAnnouncement;
    orderCount: number;
    loading: { readonly model: string; readonly untilMilliseconds: number; } | undefined;
}

interface SimulatedHost {
    readonly name: string;
    readonly cell: number;
    readonly duties: EngineDuties;
    readonly view: UpstreamView;
    readonly residency: ResidencyView;
    readonly orders: EngineOrders;
    readonly planner: FleetPlanner;
}

/** The simulation stores nothing: engines keep their holders. */
const UNUSED_KEY_VALUE = {} as KeyValueService;

const METRICS = createEntryMetrics();

/** Simulates holders and engines on a simulated clock; the timers of the test are mocked. */
export class EngineFleet {
    /** All orders executed until now, in order. */
    readonly executedOrders: ExecutedOrder[] = [];
    /** Log lines of all hosts. */
    readonly lines: LoggedLine[] = [];
    readonly #options: EngineFleetOptions;
    readonly #test: TestContext;
    readonly #engines: Map<string, SimulatedEngine>;
    readonly #hosts: SimulatedHost[];
    #scheduled: { readonly atMilliseconds: number; readonly step: () => void; }[] = [];
    #now = 0;

    constructor(test: TestContext, options: EngineFleetOptions) {
        this.#options = options;
        this.#test = test;
        test.mock.timers.enable({ apis: ["setInterval", "setTimeout"] });
        this.#engines = new Map(options.engines.map(({ locallyStoredModels, id, models }, index) => [id, {
            announcement: createAnnouncement(models, {
                id,
                address: `10.0.0.${index + 1}:80`,
                slots: options.definition.slots,
                localWeights: { inMemory: [], onDisk: locallyStoredModels ?? [] },
            }),
            orderCount: 0,
            loading: undefined,
        }]));
        this.#hosts = Array.from({ length: options.hosts }, (_, index) => this.#createHost(index));
        this.#hosts.forEach(host => this.#initializeHost(host));
        test.after(() => this.#hosts.forEach(({ orders }) => orders.close()));
    }

    /** Present time of the simulated clock. */
    get nowMilliseconds(): number {
        return this.#now;
    }

    /** Returns how many engines hold a model. */
    copies(model: string): number {
        return [...this.#engines.values()].filter(({ announcement }) =>
            announcement.models.some(({ name }) => name === model)
        ).length;
    }

    /** Requests a move from an engine's holder, as a planner with another view of the fleet would. */
    requestMove(holder: number, move: PlacementMove): void {
        this.#hosts[holder]?.orders.handleMoveRequest(move, "another planner");
    }

    /** Advances the simulated clock to a time and calls `afterStep` after each step. */
    async runUntil(untilMilliseconds: number, afterStep: () => void = () => {}): Promise<void> {
        while (this.#now < untilMilliseconds) {
            this.#now += STEP_MILLISECONDS;
            this.#renewSessions();
            this.#finishLoads();
            this.#runScheduled();
            this.#test.mock.timers.tick(STEP_MILLISECONDS);
            await nextEventLoopTurn();
            afterStep();
        }
    }

    #createHost(index: number): SimulatedHost {
        const name = `host-${index}`;
        const duties = new EngineDuties(name, DUTY_BOUNDS);
        const view = new UpstreamView();
        const residency = new ResidencyView();
        const cell = Math.floor(index / this.#options.hostsOfCell);
        const table = compileRouteTable({
            version: 1,
            routes: [],
            services: [{ name: SERVICE, maximumConnections: 100, engine: this.#options.definition }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
        const logger = createCollectingLogger(this.lines);
        const orders = new EngineOrders({
            host: name,
            duties,
            view,
            keyValue: UNUSED_KEY_VALUE,
            control: this.#createControl(),
            logger,
            metrics: METRICS,
            storeLoads: STORE_LOADS,
            serviceAnswers: () => true,
            hostsWithoutConsent: () => [],
            readClocks: () => ({ steadyMilliseconds: this.#now, timeOfDayMilliseconds: this.#now }),
            routeTable: () => table,
            plan: () => planner.tick(),
            isAdapterUsed: () => false,
            notifyPreviousHolder: () => {},
            onLaterEntry: () => {},
            onAnswer: () => undefined,
            onRecordChanged: record => this.#publishRecord(cell, record, planner.planner),
        });
        const planner = new FleetPlanner({
            host: name,
            duties,
            view,
            residency,
            logger,
            metrics: METRICS,
            timeSpent: new TimeSpent({
                logger,
                metrics: METRICS,
                readClock: () => this.#now,
                readProcessorMicroseconds: () => 0,
            }),
            storeLoads: STORE_LOADS,
            readClock: () => this.#now,
            routeTable: () => table,
            isLive: () => true,
            hasDemand: () => this.#options.demand(this.#now).size > 0,
            demand: () => this.#options.demand(this.#now),
            adapterDemand: () => new Map(),
            prefillDemand: () => new Map(),
            isUnreachable: () => false,
            ownRecord: engine => orders.recordOf(engine),
            unavailableShare: () => 0,
            requestMove: (holder, move) =>
                this.#schedule(
                    DATAGRAM_DELAY_MILLISECONDS,
                    () => this.#hosts.find(host => host.name === holder)?.orders.handleMoveRequest(move, name),
                ),
        });
        return { name, cell, duties, view, residency, orders, planner };
    }

    /** Gives a host the fleet's initial state: sessions, holders and announcements. */
    #initializeHost({ duties, name, orders, planner, residency, view }: SimulatedHost): void {
        duties.recordRenewal(name, { steadyMilliseconds: 0, timeOfDayMilliseconds: 0 });
        this.#hosts.forEach(host => duties.setSession(host.name, host.name, 0));
        this.#options.engines.forEach(({ holder, id }) => {
            const host = this.#hosts[holder]?.name ?? "";
            duties.setHolder(id, { host, session: host, released: false, settled: true, revision: 1 }, 0);
        });
        this.#engines.forEach(({ announcement }) => {
            view.put(announcement);
            residency.applyAnnouncement(announcement);
        });
        planner.recordEnginesJoined();
        orders.start();
    }

    #createControl(): EngineControl {
        return {
            order: (target, order) => Promise.resolve(this.#execute(target.id, order)),
            report: target => {
                const engine = this.#engines.get(target.id);
                const { models = [] } = engine?.announcement ?? {};
                const busy = engine?.loading !== undefined;
                return Promise.resolve({ orderCount: engine?.orderCount ?? 0, busy, models });
            },
            close: () => {},
        };
    }

    #execute(id: string, { expectedOrderCount, model, operation }: EngineOrder): OrderOutcome {
        const engine = this.#engines.get(id);
        if (engine === undefined || engine.loading !== undefined || expectedOrderCount !== engine.orderCount) {
            return "conflict";
        }
        engine.orderCount += 1;
        this.executedOrders.push({ atMilliseconds: this.#now, engine: id, operation, model });
        const others = engine.announcement.models.filter(({ name }) => name !== model);
        if (operation === "unload") {
            const onDisk = [...engine.announcement.localWeights.onDisk, model];
            this.#announce(engine, { models: others, localWeights: { inMemory: [], onDisk } });
            return "holds";
        }
        engine.loading = { model, untilMilliseconds: this.#now + this.#loadMilliseconds(model) };
        return "accepted";
    }

    #loadMilliseconds(model: string): number {
        return this.#options.definition.models.find(({ name }) => name === model)?.storeLoadMilliseconds ?? 0;
    }

    #finishLoads(): void {
        for (const engine of this.#engines.values()) {
            if (engine.loading !== undefined && this.#now >= engine.loading.untilMilliseconds) {
                const models = [...engine.announcement.models, { name: engine.loading.model, adapters: [] }];
                engine.loading = undefined;
                this.#announce(engine, { models });
            }
        }
    }

    #announce(engine: SimulatedEngine, change: Partial<UpstreamAnnouncement>): void {
        const announcementNumber = engine.announcement.announcementNumber + 1;
        const announcement = { ...engine.announcement, ...change, announcementNumber };
        engine.announcement = announcement;
        this.#schedule(ANNOUNCEMENT_DELAY_MILLISECONDS, () =>
            this.#hosts.forEach(({ orders, residency, view }) => {
                view.put(announcement);
                residency.applyAnnouncement(announcement);
                orders.applyAnnouncement(announcement);
            }));
    }

    #publishRecord(cell: number, record: EngineRecord, planner: string | undefined): void {
        const receivesAtOnce = (host: SimulatedHost): boolean => host.cell === cell || host.name === planner;
        const applyRecord = (hosts: readonly SimulatedHost[]): void =>
            hosts.forEach(({ residency }) => residency.applyRecord(record, this.#now));
        applyRecord(this.#hosts.filter(receivesAtOnce));
        this.#schedule(
            this.#options.interCellDelayMilliseconds,
            () => applyRecord(this.#hosts.filter(host => !receivesAtOnce(host))),
        );
    }

    #schedule(milliseconds: number, step: () => void): void {
        this.#scheduled.push({ atMilliseconds: this.#now + milliseconds, step });
    }

    #runScheduled(): void {
        const due = this.#scheduled.filter(({ atMilliseconds }) => atMilliseconds <= this.#now);
        this.#scheduled = this.#scheduled.filter(({ atMilliseconds }) => atMilliseconds > this.#now);
        due.forEach(({ step }) => step());
    }

    #renewSessions(): void {
        if (this.#now % RENEWAL_INTERVAL_MILLISECONDS === STEP_MILLISECONDS) {
            const reading = { steadyMilliseconds: this.#now, timeOfDayMilliseconds: this.#now };
            this.#hosts.forEach(({ duties, name }) => duties.recordRenewal(name, reading));
        }
    }
}
