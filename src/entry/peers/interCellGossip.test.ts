import assert from "node:assert/strict";
import { test } from "node:test";
import { createCollectingLogger, type LoggedLine } from "../../../tests/support/collectedLines.js";
import { createDigest } from "../../../tests/support/digests.js";
import { CellAggregates, PeerTable } from "../../gossip/index.js";
import { createEntryMetrics } from "../../observability/index.js";
import { type HostGossip } from "./hostGossip.js";
import { InterCellGossip } from "./interCellGossip.js";

const NO_OP_GOSSIP = { publishCellAggregate: () => {}, publishOtherCellsAggregate: () => {} } as unknown as HostGossip;

test("a missing aggregate of the other cells is logged once, and once again when one arrives", async () => {
    const hosts = Array.from({ length: 14 }, (_, index) => `host-${String(index).padStart(2, "0")}`);
    const peers = new PeerTable("host-13", "a");
    const lines: LoggedLine[] = [];
    const metrics = createEntryMetrics();
    let now = 0;
    const gossip = new InterCellGossip({
        host: "host-13",
        peers,
        gossip: NO_OP_GOSSIP,
        logger: createCollectingLogger(lines),
        metrics,
        readClock: () => now,
        crashes: () => undefined,
        onOtherCells: () => {},
    });
    const otherCellsMessages = (): string[] =>
        lines.map(({ message }) => message).filter(message => message.startsWith("other"));
    const publishAt = (milliseconds: number): void => {
        now = milliseconds;
        hosts.slice(0, -1).forEach(host => peers.recordDigest(createDigest(host), now));
        gossip.publishAggregates(createDigest("host-13"));
    };
    publishAt(0);
    publishAt(2_000);
    assert.deepEqual(otherCellsMessages(), []);
    publishAt(2_500);
    publishAt(3_000);
    assert.deepEqual(otherCellsMessages(), ["other cells not heard"]);
    assert.match(await metrics.render(), /flamingospread_other_cells_age_seconds 3\n/);
    const aggregates = new CellAggregates();
    aggregates.recordAggregate(
        new CellAggregates().aggregateOfCell({ host: "host-00", cell: "host-00" }, createDigest("host-00"), 0),
        0,
    );
    const otherCells = aggregates.aggregateOfOtherCells({ host: "host-07", cell: "host-07" }, 0);
    assert.ok(otherCells !== undefined);
    gossip.receiveAggregate(otherCells);
    publishAt(3_400);
    assert.deepEqual(otherCellsMessages(), ["other cells not heard", "other cells heard again"]);
});
