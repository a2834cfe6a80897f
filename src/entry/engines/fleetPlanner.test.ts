import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../../tests/support/announcements.js";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { EngineDuties } from "../../duties/index.js";
import { UpstreamView } from "../../fleet/index.js";
import { createEntryMetrics, TimeSpent } from "../../observability/index.js";
import { ResidencyView } from "../../placement/index.js";
import { compileRouteTable } from "../../routes/index.js";
import { FleetPlanner } from "./fleetPlanner.js";

const HOSTS = ["host-0", "host-1", "host-2"];

/** A planner on a simulated clock whose demand, engine and holder always yield a plan with one move. */
class SimulatedPlanner {
    readonly host: string;
    readonly planner: FleetPlanner;
    requestedMoveCount = 0;
    live: readonly string[] = HOSTS;
    now = 0;

    constructor() {
        const duties = new EngineDuties("", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
        HOSTS.forEach(host => {
            duties.setSession(host, host, 0);
        });
        duties.setHolder(
            "engine",
            { host: "host-1", session: "host-1", released: false, settled: true, revision: 1 },
            0,
        );
        this.host = duties.candidates(1)[1] ?? "";
        const view = new UpstreamView();
        view.put(createAnnouncement([], { id: "engine" }));
        const logger = createCollectingLogger([]);
        const metrics = createEntryMetrics();
        const readClock = (): number => this.now;
        const model = {
            name: "quotes",
            weightMegabytes: 60,
            adapterCount: 0,
            adapterMegabytes: 0,
            storeLoadMilliseconds: 5_000,
        };
        const table = compileRouteTable({
            version: 1,
            routes: [],
            services: [{
                name: "llm",
                maximumConnections: 10,
                engine: {
                    slots: 8,
                    cacheTokens: 1,
                    weightMegabytes: 100,
                    adapterSlots: 0,
                    loadsPerSecond: 5,
                    models: [model],
                },
            }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
        this.planner = new FleetPlanner({
            host: this.host,
            duties,
            view,
            residency: new ResidencyView(),
            logger,
            metrics,
            timeSpent: new TimeSpent({ logger, metrics, readClock, readProcessorMicroseconds: () => 0 }),
            storeLoads: { windowMilliseconds: 5_000, overage: 1.1 },
            readClock,
            routeTable: () => table,
            isLive: host => this.live.includes(host),
            hasDemand: () => true,
            demand: () => new Map([["quotes", 4]]),
            adapterDemand: () => new Map(),
            prefillDemand: () => new Map(),
            isUnreachable: () => false,
            ownRecord: () => undefined,
            unavailableShare: () => 0,
            requestMove: () => {
                this.requestedMoveCount += 1;
            },
        });
    }

    runUntil(milliseconds: number): void {
        while (this.now < milliseconds) {
            this.now += 200;
            this.planner.tick();
        }
    }
}

test("the next candidate plans after the planner stops, once the succession delay has passed", () => {
    const simulated = new SimulatedPlanner();
    simulated.runUntil(4_000);
    assert.notEqual(simulated.planner.planner, simulated.host);
    assert.equal(simulated.requestedMoveCount, 0);
    simulated.live = HOSTS.filter(host => host !== simulated.planner.planner);
    simulated.runUntil(5_000);
    assert.deepEqual([simulated.planner.planner, simulated.requestedMoveCount], [simulated.host, 0]);
    simulated.runUntil(5_400);
    assert.equal(simulated.requestedMoveCount, 1);
});

test("a host that sees no other live host does not become the planner", () => {
    const simulated = new SimulatedPlanner();
    simulated.live = [simulated.host];
    simulated.runUntil(10_000);
    assert.deepEqual([simulated.planner.planner, simulated.requestedMoveCount], [undefined, 0]);
});
