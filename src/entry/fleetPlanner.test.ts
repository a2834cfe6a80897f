import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnnouncement } from "../../tests/support/announcements.js";
import { collectLines } from "../../tests/support/collectedLines.js";
import { EngineDuties } from "../duties/index.js";
import { UpstreamView } from "../fleet/index.js";
import { createEntryMetrics, TimeSpent } from "../observability/index.js";
import { ResidencyView } from "../placement/index.js";
import { compileRouteTable } from "../routes/index.js";
import { FleetPlanner } from "./fleetPlanner.js";

const HOSTS = ["host-0", "host-1", "host-2"];

/** Demand, engines and holders are such that a plan has a move to ask for. */
class PlayedPlanner {
    readonly host: string;
    readonly planner: FleetPlanner;
    asked = 0;
    live: readonly string[] = HOSTS;
    now = 0;

    constructor() {
        const duties = new EngineDuties("", { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 });
        HOSTS.forEach(host => {
            duties.setSession(host, host);
        });
        duties.setHolder(
            "engine",
            { host: "host-1", session: "host-1", released: false, settled: true, revision: 1 },
            0,
        );
        this.host = duties.candidates(1)[1] ?? "";
        const view = new UpstreamView();
        view.put(createAnnouncement([], { id: "engine" }));
        const logger = collectLines([]);
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
            isDown: () => false,
            ownRecord: () => undefined,
            requestMove: () => {
                this.asked += 1;
            },
        });
    }

    playUntil(milliseconds: number): void {
        while (this.now < milliseconds) {
            this.now += 200;
            this.planner.tick();
        }
    }
}

test("a host plans once the one before it in order is gone, after it has heard of what that one asked for", () => {
    const played = new PlayedPlanner();
    played.playUntil(4_000);
    assert.notEqual(played.planner.planner, played.host);
    assert.equal(played.asked, 0);
    played.live = HOSTS.filter(host => host !== played.planner.planner);
    played.playUntil(5_000);
    assert.deepEqual([played.planner.planner, played.asked], [played.host, 0]);
    played.playUntil(5_400);
    assert.equal(played.asked, 1);
});

test("a host that hears no other does not take itself for the planner", () => {
    const played = new PlayedPlanner();
    played.live = [played.host];
    played.playUntil(10_000);
    assert.deepEqual([played.planner.planner, played.asked], [undefined, 0]);
});
