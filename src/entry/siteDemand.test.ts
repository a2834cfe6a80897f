import assert from "node:assert/strict";
import { test } from "node:test";
import { SiteDemand } from "./siteDemand.js";

test("total demand adds up the host's demand and that published by peers within two seconds", () => {
    const demand = new SiteDemand({ mayRun: () => true });
    demand.add({ model: "quotes", namesAdapter: true, work: 1_000, promptTokens: 700 }, 0);
    const own = demand.hostDemand(0).demand["quotes"] ?? 0;
    assert.ok(own > 0);
    demand.recordPeerDemand("two", { demand: { quotes: 2, specs: 1 }, adapterDemand: {}, readingDemand: {} }, 0);
    demand.recordPeerDemand("three", { demand: { quotes: 3 }, adapterDemand: { quotes: 1 }, readingDemand: {} }, 0);
    assert.deepEqual(demand.total("demand", 0), new Map([["quotes", own + 5], ["specs", 1]]));
    assert.deepEqual(demand.total("adapterDemand", 0), new Map([["quotes", own + 1]]));
    demand.recordPeerDemand("two", { demand: { quotes: 4 }, adapterDemand: {}, readingDemand: {} }, 1_500);
    const later = demand.hostDemand(2_000).demand["quotes"] ?? 0;
    assert.deepEqual(demand.total("demand", 2_000), new Map([["quotes", later + 4]]));
});

test("requests without an adapter do not count as adapter demand", () => {
    const demand = new SiteDemand({ mayRun: () => true });
    demand.add({ model: "quotes", namesAdapter: false, work: 1_000, promptTokens: 700 }, 0);
    assert.deepEqual(demand.hostDemand(0).adapterDemand, {});
});

test("names of models that no engine may run are kept as demand", () => {
    const demand = new SiteDemand({ mayRun: model => model === "quotes" });
    for (const model of ["quotes", "none"]) {
        demand.add({ model, namesAdapter: true, work: 1_000, promptTokens: 700 }, 0);
    }
    assert.deepEqual([...demand.total("demand", 0).keys()], ["quotes"]);
    assert.deepEqual([...demand.total("adapterDemand", 0).keys()], ["quotes"]);
});
