import assert from "node:assert/strict";
import { test } from "node:test";
import { collectLines, type LoggedLine } from "../../tests/support/collectedLines.js";
import { digestOf } from "../../tests/support/digests.js";
import { CellAggregates, PeerTable } from "../gossip/index.js";
import { createEntryMetrics } from "../observability/index.js";
import { type HostGossip } from "./hostGossip.js";
import { InterCellGossip } from "./interCellGossip.js";

const SILENT_GOSSIP = { publishCellAggregate: () => {}, publishOtherCellsAggregate: () => {} } as unknown as HostGossip;

test("a host that hears nothing of other cells says so once, and once more when it does", async () => {
    const names = Array.from({ length: 14 }, (_, index) => `host-${String(index).padStart(2, "0")}`);
    const peers = new PeerTable("host-13", "a");
    const lines: LoggedLine[] = [];
    const metrics = createEntryMetrics();
    let now = 0;
    const talk = new InterCellGossip({
        host: "host-13",
        peers,
        gossip: SILENT_GOSSIP,
        logger: collectLines(lines),
        metrics,
        readClock: () => now,
        onOtherCells: () => {},
    });
    const told = (): string[] => lines.map(({ message }) => message).filter(message => message.startsWith("other"));
    const tellAt = (milliseconds: number): void => {
        now = milliseconds;
        names.slice(0, -1).forEach(name => peers.recordDigest(digestOf(name), now));
        talk.publishAggregates(digestOf("host-13"));
    };
    tellAt(0);
    tellAt(2_000);
    assert.deepEqual(told(), []);
    tellAt(2_500);
    tellAt(3_000);
    assert.deepEqual(told(), ["other cells not heard"]);
    assert.match(await metrics.render(), /flamingospread_other_cells_age_seconds 3\n/);
    const summaries = new CellAggregates();
    summaries.recordAggregate(
        new CellAggregates().aggregateOfCell({ host: "host-00", cell: "host-00" }, digestOf("host-00"), 0),
        0,
    );
    const rest = summaries.aggregateOfOtherCells({ host: "host-07", cell: "host-07" }, 0);
    assert.ok(rest !== undefined);
    talk.receiveAggregate(rest);
    tellAt(3_400);
    assert.deepEqual(told(), ["other cells not heard", "other cells heard again"]);
});
