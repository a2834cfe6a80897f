import assert from "node:assert/strict";
import { test } from "node:test";
import { createCollectingLogger, type LoggedLine } from "../../../tests/support/collectedLines.js";
import { createDigest } from "../../../tests/support/digests.js";
import { PeerTable } from "../../gossip/index.js";
import { createEntryMetrics } from "../../observability/index.js";
import { GossipProblems } from "./_gossipProblems.js";

const HOUR_SECONDS = 3_600;

test("messages that cannot be read are all counted by reason and peer, and logged a few times a minute", async () => {
    const lines: LoggedLine[] = [];
    const peers = new PeerTable("own", "a");
    peers.recordDigest(createDigest("one"), 0);
    const metrics = createEntryMetrics();
    let nowSeconds = 0;
    const problems = new GossipProblems({
        peers,
        metrics,
        logger: createCollectingLogger(lines),
        readClock: () => nowSeconds * 1_000,
    });
    for (; nowSeconds < HOUR_SECONDS; nowSeconds += 1) {
        problems.record({ reason: "unknown-type", source: "one:2", detail: "type later" });
    }
    problems.record({ reason: "invalid", source: "nobody:2", detail: "digest" });
    problems.record({ reason: "too-large", detail: "changes" });
    assert.equal(lines.length, HOUR_SECONDS / 10 + 2);
    assert.deepEqual(lines[1]?.fields, { reason: "unknown-type", peer: "one", count: 10, problem: "type later" });
    const rendered = await metrics.render();
    assert.match(rendered, /gossip_problems_total\{reason="unknown-type",peer="one"\} 3600/);
    assert.match(rendered, /gossip_problems_total\{reason="invalid",peer="unknown"\} 1/);
    assert.match(rendered, /gossip_problems_total\{reason="too-large",peer="none"\} 1/);
});
