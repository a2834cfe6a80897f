import assert from "node:assert/strict";
import { test } from "node:test";
import { collectLines, type LoggedLine } from "../../tests/support/collectedLines.js";
import { digestOf } from "../../tests/support/digests.js";
import { CellSummaries, PeerTable } from "../gossip/index.js";
import { createEntryMetrics } from "../observability/index.js";
import { CellTalk } from "./cellTalk.js";
import { type HostGossip } from "./hostGossip.js";

const SILENT_GOSSIP = { tellSum: () => {}, tellRest: () => {} } as unknown as HostGossip;

test("a host that hears nothing of other cells says so once, and once more when it does", async () => {
    const names = Array.from({ length: 14 }, (_, index) => `host-${String(index).padStart(2, "0")}`);
    const peers = new PeerTable("host-13", "a");
    const lines: LoggedLine[] = [];
    const metrics = createEntryMetrics();
    let now = 0;
    const talk = new CellTalk({
        host: "host-13",
        peers,
        gossip: SILENT_GOSSIP,
        logger: collectLines(lines),
        metrics,
        readClock: () => now,
        onRest: () => {},
    });
    const told = (): string[] => lines.map(({ message }) => message).filter(message => message.startsWith("other"));
    const tellAt = (milliseconds: number): void => {
        now = milliseconds;
        names.slice(0, -1).forEach(name => peers.hear(digestOf(name), now));
        talk.speak(digestOf("host-13"));
    };
    tellAt(0);
    tellAt(2_000);
    assert.deepEqual(told(), []);
    tellAt(2_500);
    tellAt(3_000);
    assert.deepEqual(told(), ["other cells not heard"]);
    assert.match(await metrics.render(), /flamingospread_other_cells_age_seconds 3\n/);
    const summaries = new CellSummaries();
    summaries.hear(new CellSummaries().sumOfCell({ host: "host-00", cell: "host-00" }, digestOf("host-00"), 0), 0);
    const rest = summaries.sumOfRest({ host: "host-07", cell: "host-07" }, 0);
    assert.ok(rest !== undefined);
    talk.hear(rest);
    tellAt(3_400);
    assert.deepEqual(told(), ["other cells not heard", "other cells heard again"]);
});
