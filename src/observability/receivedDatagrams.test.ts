import assert from "node:assert/strict";
import { test } from "node:test";
import { createEntryMetrics, ReceivedDatagrams } from "./index.js";

test("a host that gets too many datagrams tells of which type, size and cost they are, and who sent most", async () => {
    const metrics = createEntryMetrics();
    const names = new Map([["a:1", "entry-1"], ["b:1", "entry-2"]]);
    const received = new ReceivedDatagrams({ metrics, nameSender: source => names.get(source) });
    const record = (type: string, source: string): void =>
        received.record({ type, source, bytes: 2_048, decodeMilliseconds: 2, applyMilliseconds: 1 });
    ["a:1", "a:1", "a:1", "b:1", "b:1", "c:1"].forEach(source => record("digest", source));
    ["c:1", "c:1", "d:1"].forEach(source => record("news", source));
    ["superseded", "superseded", "queue-full"].forEach(reason => received.recordDropped(reason));
    assert.deepEqual(received.takeSummary(), {
        datagramsReceived: "digest 6 12 KB 12+6 ms, news 3 6 KB 6+3 ms",
        datagramSenders: 4,
        mostDatagramsFrom: "entry-1 3, c:1 3, entry-2 2",
        datagramsDropped: "superseded 2, queue-full 1",
    });
    assert.deepEqual(received.takeSummary(), {
        datagramsReceived: "",
        datagramSenders: 0,
        mostDatagramsFrom: "",
        datagramsDropped: "",
    });
    const text = await metrics.render();
    assert.match(text, /received_datagrams_total\{type="digest"\} 6/);
    assert.match(text, /received_datagram_bytes_total\{type="news"\} 6144/);
    assert.match(text, /spent_seconds_total\{subject="datagrams-decoded-digest"\} 0\.012/);
});
