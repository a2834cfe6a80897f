import assert from "node:assert/strict";
import { test } from "node:test";
import { IssuerVotes } from "./issuerVotes.js";

const VOTE = new Map([["i-1", "self"]]);
const isCellPeer = (host: string): boolean => host.startsWith("cell");

test("a vote expires unless it is repeated", () => {
    const votes = new IssuerVotes("self");
    votes.recordHost("cell-1", VOTE, 0);
    assert.equal(votes.count("i-1", isCellPeer, 1_500), 1);
    assert.equal(votes.count("i-1", isCellPeer, 1_700), 0);
});

test("a host's latest message replaces its vote, and hosts that ask others do not count", () => {
    const votes = new IssuerVotes("self");
    votes.recordRequest("cell-1", "i-1", 0);
    votes.recordHost("cell-2", new Map([["i-1", "other"]]), 0);
    assert.equal(votes.count("i-1", isCellPeer, 10), 1);
    votes.recordHost("cell-1", new Map([["i-1", "other"]]), 20);
    assert.equal(votes.count("i-1", isCellPeer, 30), 0);
    votes.recordHost("cell-2", VOTE, 40);
    votes.recordHost("cell-2", new Map(), 50);
    assert.equal(votes.count("i-1", isCellPeer, 60), 0);
});

test("hosts of other cells count once, though they are in aggregates and send requests", () => {
    const votes = new IssuerVotes("self");
    votes.recordHost("cell-1", VOTE, 0);
    votes.recordOtherCells("i-1", 20, 0);
    votes.recordRequest("far-1", "i-1", 0);
    assert.equal(votes.count("i-1", isCellPeer, 10), 21);
    votes.recordOtherCells("i-1", 0, 20);
    assert.equal(votes.count("i-1", isCellPeer, 30), 2);
    votes.recordOtherCells("i-1", 20, 40);
    assert.equal(votes.count("i-1", isCellPeer, 2_100), 0, "aggregates expire as well");
});
