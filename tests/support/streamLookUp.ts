/**
 * The versions of a host that knows of no stream, before peers that may know one.
 *
 * @module
 */
import { Ok } from "ts-results-es";
import { type LookUpOutcome, StreamVersions } from "../../src/entry/streamVersions.js";
import { UpstreamView } from "../../src/fleet/index.js";
import { type BegunStream } from "../../src/generated/gossip.js";
import { PeerTable } from "../../src/gossip/index.js";
import { createEntryMetrics } from "../../src/observability/index.js";
import { type KeyValueService } from "../../src/platform/index.js";
import { identifyStream } from "../../src/streamVersions/index.js";
import { createCollectingLogger } from "./collectedLines.js";

const REQUEST = "request-1";

/** The stream that is looked up. */
export const BEGUN: BegunStream = { stream: identifyStream(REQUEST), version: "v1" };

/** Creates the versions of a host, two of which serve; the journal of the key-value service has no stream. */
export function createVersions(): StreamVersions {
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

/** Looks the stream up. */
export function lookUp(versions: StreamVersions): Promise<LookUpOutcome> {
    return new Promise(resolve => versions.lookUp({ service: "llm", requestId: REQUEST }, resolve));
}
