import assert from "node:assert/strict";
import { test } from "node:test";
import { addressesOf, digestOf } from "../../tests/support/digests.js";
import { type FleetSummary, type HostDigest } from "../generated/gossip.js";
import { CellAggregates, PeerTable } from "./index.js";

const SENDER = { host: "a1", cell: "a1" };

/** The sum that another cell's only host tells. */
function otherCell(host: string, overrides: Partial<HostDigest> = {}): FleetSummary {
    return new CellAggregates().aggregateOfCell({ host, cell: host }, digestOf(host, overrides), 0);
}

test("a cell's sum joins the latest digests of its hosts, each counted once", () => {
    const summaries = new CellAggregates();
    summaries.recordDigest(digestOf("a2", { inFlight: { engine: 7 }, demand: { quotes: 9 } }), 0);
    summaries.recordDigest(
        digestOf("a2", { inFlight: { engine: 2 }, demand: { quotes: 1.5 }, configurationVersion: 5 }),
        400,
    );
    summaries.recordDigest(digestOf("a3", { leaving: true, inFlight: { engine: 1 }, storeRevision: 17 }), 400);
    const own = digestOf("a1", { inFlight: { engine: 3, other: 1 }, demand: { quotes: 1 } });
    const sum = summaries.aggregateOfCell(SENDER, own, 500);
    assert.deepEqual(sum.inFlight, { engine: 6, other: 1 });
    assert.deepEqual(sum.demand, { quotes: 2.5 });
    assert.deepEqual(sum.hosts, ["a1", "a2"], "a host that leaves is given to no caller");
    assert.deepEqual([sum.configurationVersion, sum.state, sum.storeRevision], [5, "a2:3", 17]);
});

test("what was not repeated for two seconds counts no longer", () => {
    const summaries = new CellAggregates();
    summaries.recordDigest(digestOf("a2", { inFlight: { engine: 2 } }), 0);
    summaries.recordAggregate(otherCell("b1", { inFlight: { engine: 5 } }), 0);
    assert.deepEqual(summaries.aggregateOfCell(SENDER, digestOf("a1"), 2_001).inFlight, {});
    assert.equal(summaries.aggregateOfOtherCells(SENDER, 2_001), undefined);
});

test("the rest is the sum of the other cells, without the own one", () => {
    const summaries = new CellAggregates();
    summaries.recordAggregate(otherCell("b1", { inFlight: { engine: 5 } }), 0);
    summaries.recordAggregate(otherCell("c1", { inFlight: { engine: 1 } }), 0);
    summaries.recordAggregate(otherCell("a1", { inFlight: { engine: 50 } }), 0);
    const rest = summaries.aggregateOfOtherCells(SENDER, 100);
    assert.ok(rest !== undefined);
    assert.deepEqual(rest.inFlight, { engine: 6 });
    assert.deepEqual(rest.hosts, ["b1", "c1"]);
});

test("suspects, which each host tells once, are passed on once", () => {
    const summaries = new CellAggregates();
    const suspect = { fingerprint: "f", runs: ["engine/1"] };
    summaries.recordDigest(digestOf("a2", { suspects: [suspect] }), 0);
    assert.deepEqual(summaries.aggregateOfCell(SENDER, digestOf("a1"), 100).suspects, [suspect]);
    assert.deepEqual(summaries.aggregateOfCell(SENDER, digestOf("a1"), 500).suspects, []);
    summaries.recordAggregate(otherCell("b1", { suspects: [suspect] }), 500);
    assert.deepEqual(summaries.aggregateOfOtherCells(SENDER, 600)?.suspects, [suspect]);
    assert.deepEqual(summaries.aggregateOfOtherCells(SENDER, 700)?.suspects, []);
});

test("engines that are too many for one message are told by turns", () => {
    const summaries = new CellAggregates();
    for (let cell = 0; cell < 3; cell += 1) {
        const engines = Array.from({ length: 60 }, (_, index) => ({
            engine: `engine-${cell}-${index}`,
            orderCount: 1,
            models: [],
        }));
        summaries.recordAggregate(otherCell(`b${cell}`, { engines }), 0);
    }
    const told = new Set<string>();
    for (let turn = 0; turn < 12; turn += 1) {
        const engines = summaries.aggregateOfOtherCells(SENDER, turn)?.engines ?? [];
        assert.ok(engines.length <= 16);
        engines.forEach(({ engine }) => told.add(engine));
    }
    assert.equal(told.size, 180);
});

test("a cell's sum goes to the host that spoke for another cell last, and to a further one by turns", () => {
    const summaries = new CellAggregates();
    const cell = ["b1", "b2", "b3"].map(host => ({ host, zone: "b" }));
    const unheard = new Set<string>();
    for (let turn = 0; turn < 3; turn += 1) {
        summaries.receiversOf(cell).forEach(host => unheard.add(host));
        summaries.aggregateOfCell(SENDER, digestOf("a1"), 0);
    }
    assert.equal(unheard.size, 3, "all are tried while none was heard");
    summaries.recordAggregate({ ...otherCell("b2"), cell: "b1" }, 0);
    for (let turn = 0; turn < 3; turn += 1) {
        assert.ok(summaries.receiversOf(cell).includes("b2"));
        summaries.aggregateOfCell(SENDER, digestOf("a1"), 0);
    }
});

/** A table of the host `e00` in a fleet, of which some hosts were heard. */
function fleetTable(size: number, heard: readonly string[], now: number): PeerTable {
    const table = new PeerTable("e00", "a");
    for (let index = 1; index < size; index += 1) {
        const host = `e${String(index).padStart(2, "0")}`;
        table.register({ host, session: "s", zone: "a", addresses: addressesOf(host) }, 0);
    }
    heard.forEach(host => table.recordDigest(digestOf(host), now));
    return table;
}

test("a host tells its cell and no other host, and the first that is heard speaks for the cell", () => {
    const table = fleetTable(40, ["e01", "e02"], 1_000);
    const mates = table.cellPeers().map(({ host }) => host);
    assert.deepEqual(mates, Array.from({ length: 9 }, (_, index) => `e${String(index + 1).padStart(2, "0")}`));
    assert.ok(table.isCellRepresentative(1_000));
    const second = new PeerTable("e01", "a");
    second.register({ host: "e00", session: "s", zone: "a", addresses: addressesOf("e00") }, 0);
    second.recordDigest(digestOf("e00"), 0);
    assert.ok(!second.isCellRepresentative(1_000));
    assert.ok(second.isCellRepresentative(1_700), "once the first has fallen silent");
});

test("callers are given hosts of other cells that were named there lately", () => {
    const table = fleetTable(40, ["e01"], 5_000);
    table.recordListed("e30", 5_000);
    assert.deepEqual(table.advertised(5_000).map(({ host }) => host), ["e01", "e30"]);
    assert.deepEqual(table.live(5_000).map(({ host }) => host), ["e01", "e30"]);
    table.recordDigest(digestOf("e01"), 8_000);
    assert.deepEqual(table.advertised(8_000).map(({ host }) => host), ["e01"]);
});
