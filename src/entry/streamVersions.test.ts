import assert from "node:assert/strict";
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

/** Answers of busy hosts come this late. */
const LATE_MILLISECONDS = [20, 100, 200];

/** Creates the versions of a host, two of which serve; the journal of the key-value service has no stream. */
function createVersions(): StreamVersions {
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
    return versions;
}

function lookUp(versions: StreamVersions): Promise<LookUpOutcome> {
    return new Promise(resolve => versions.lookUp({ service: "llm", requestId: REQUEST }, resolve));
}

for (const milliseconds of LATE_MILLISECONDS) {
    test(`a stream is not unknown because a host that knows it answers after ${milliseconds} ms`, async context => {
        const versions = createVersions();
        context.after(() => versions.close());
        const outcome = lookUp(versions);
        setTimeout(() => versions.receive({ type: "streams-begun", host: "entry-2", streams: [BEGUN] }), milliseconds);
        assert.deepEqual(await outcome, { type: "found", version: "v1", source: "peer" });
    });
}

test("a stream is unknown once no host has answered for a while and the key-value service does not have it", async context => {
    const versions = createVersions();
    context.after(() => versions.close());
    assert.deepEqual(await lookUp(versions), { type: "unknown" });
});
