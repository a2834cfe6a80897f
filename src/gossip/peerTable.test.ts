import assert from "node:assert/strict";
import { test } from "node:test";
import { createAddresses, createDigest } from "../../tests/support/digests.js";
import { PeerTable } from "./index.js";

/** Later than the time for which a listing counts. */
const PAST_LISTING_MILLISECONDS = 2_500;

/** Longer than a host without a record is remembered. */
const PAST_RETENTION_MILLISECONDS = 31_000;

function register(peers: PeerTable, nowMilliseconds: number, addresses = createAddresses("far-1")): void {
    peers.register({ host: "far-1", session: "s-1", zone: "b", addresses }, nowMilliseconds);
}

function liveHosts(peers: PeerTable, nowMilliseconds: number): string[] {
    return peers.live(nowMilliseconds).map(({ host }) => host);
}

test("a host that its cell's aggregate lists is live for a while, and not once it is listed as partitioned", () => {
    const peers = new PeerTable("entry-1", "a");
    peers.recordListed("far-1", 0);
    register(peers, 0);
    assert.deepEqual(liveHosts(peers, 100), [], "a listing of an unknown host");
    peers.recordListed("far-1", 100);
    assert.deepEqual(liveHosts(peers, 200), ["far-1"]);
    assert.deepEqual(liveHosts(peers, 100 + PAST_LISTING_MILLISECONDS), []);
    peers.recordListed("far-1", 5_000);
    peers.recordPartitioned("far-1");
    assert.deepEqual(liveHosts(peers, 5_000), []);
    assert.equal(peers.get("far-1")?.ready, false);
    peers.recordListed("far-1", 6_000);
    assert.equal(peers.get("far-1")?.ready, true);
    assert.equal(peers.isLiveAndNotLeaving("far-1", 6_000), true);
});

test("a listing takes back that a host leaves, as its next process is listed", () => {
    const peers = new PeerTable("entry-1", "a");
    peers.recordDigest(createDigest("far-1", { zone: "b", leaving: true, ready: false }), 0);
    assert.equal(peers.isLiveAndNotLeaving("far-1", 0), false);
    peers.recordListed("far-1", 100);
    assert.equal(peers.isLiveAndNotLeaving("far-1", 100), true);
});

test("a listing counts no more once the host registered at another address, or was forgotten", () => {
    const peers = new PeerTable("entry-1", "a");
    register(peers, 0);
    peers.recordListed("far-1", 0);
    register(peers, 100, { ...createAddresses("far-1"), callers: "moved:1" });
    assert.deepEqual(liveHosts(peers, 100), []);
    peers.recordListed("far-1", 200);
    peers.unregister("far-1", 200);
    peers.forget(200 + PAST_RETENTION_MILLISECONDS);
    assert.equal(peers.get("far-1"), undefined);
    register(peers, 200);
    assert.deepEqual(liveHosts(peers, 200), []);
});
