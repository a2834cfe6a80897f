/**
 * Creates digests of hosts for tests.
 *
 * @module
 */
import { type HostDigest } from "../../src/generated/gossip.js";

/** Creates addresses derived from the name of a host. */
export function createAddresses(host: string): HostDigest["addresses"] {
    return { callers: `${host}:1`, gossip: `${host}:2`, state: `${host}:3` };
}

/** Creates the digest of a host that is ready and has no requests, engines or suspects. */
export function createDigest(host: string, overrides: Partial<HostDigest> = {}): HostDigest {
    return {
        type: "digest",
        host,
        sequence: 1,
        heard: {},
        serviceAnswers: true,
        holderRevisions: {},
        zone: "a",
        addresses: createAddresses(host),
        configurationVersion: 3,
        storeRevision: 10,
        feeds: false,
        ready: true,
        leaving: false,
        inFlight: {},
        unreachable: [],
        leavingRuns: [],
        adaptersInUse: {},
        demand: {},
        adapterDemand: {},
        readingDemand: {},
        engines: [],
        relinquished: [],
        suspects: [],
        ...overrides,
    };
}
