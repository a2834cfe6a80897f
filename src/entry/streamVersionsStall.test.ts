import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { Ok } from "ts-results-es";
import { createCollectingLogger } from "../../tests/support/collectedLines.js";
import { UpstreamView } from "../fleet/index.js";
import { type BegunStream } from "../generated/gossip.js";
import { PeerTable } from "../gossip/index.js";
import { createEntryMetrics } from "../observability/index.js";
import { type KeyValueService } from "../platform/index.js";
import { identifyStream } from "../streamVersions/index.js";
import { type LookUpOutcome, StreamVersions } from "./streamVersions.js";

const REQUEST = "request-1";
const BEGUN: BegunStream = { stream: identifyStream(REQUEST), version: "v1" };
const STALL_MILLISECONDS = 1_500;

test("a stream is not unknown because a host did not run while the answer of one that knows it arrived", async context => {
    const keyValue: Pick<KeyValueService, "grantLease" | "list"> = {
        list: () => Promise.resolve(Ok([])),
        grantLease: () => new Promise(() => undefined),
    };
    const versions = new StreamVersions({
        host: "entry-1",
        peers: new PeerTable("entry-1", "zone-a"),
        view: new UpstreamView(),
        keyValue: keyValue as KeyValueService,
        logger: createCollectingLogger([]),
        metrics: createEntryMetrics(),
        random: Math.random,
        readClock: () => performance.now(),
        resumable: () => undefined,
        recordEntry: () => undefined,
        onLaterEntry: () => undefined,
        send: () => undefined,
        onChanged: () => undefined,
    });
    const record = { restores: 0, services: [{ service: "llm", versions: ["v1", "v2"] }] };
    versions.applyEntry("versions", { key: "streams/versions", value: JSON.stringify(record), revision: 1 });
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const peer = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const near = await accepted;
    near.on("data", () => versions.receive({ type: "streams-begun", host: "entry-2", streams: [BEGUN] }));
    context.after(() => {
        versions.close();
        near.destroy();
        peer.destroy();
        server.close();
    });
    const outcome = new Promise<LookUpOutcome>(resolve =>
        versions.lookUp({ service: "llm", requestId: REQUEST }, resolve)
    );
    await new Promise(resolve => setImmediate(resolve));
    peer.write("answer");
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS);
    assert.deepEqual(await outcome, { type: "found", version: "v1", source: "peer" });
});
