/**
 * Digests of a host that sends other messages to its cell all the while.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../../../standins/freePorts.js";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { createDigest } from "../../../tests/support/digests.js";
import { openGossipLink, PeerTable } from "../../gossip/index.js";
import { MemoryBudget } from "../../memory/index.js";
import { createEntryMetrics, TimeSpent } from "../../observability/index.js";
import { HostGossip, PacedDigests } from "./index.js";

const PEERS = 11;

const BYTES_PER_SECOND = 200_000;

const ROUND_MILLISECONDS = 400;
const OBSERVED_MILLISECONDS = 4_000;

/** What a host says of its watch is valid for this long; a longer gap has each host of its cell watch the service. */
const MAXIMUM_GAP_MILLISECONDS = 1_000;

/** A host, and when each of its peers received its digests. */
interface Cell {
    readonly gossip: HostGossip;
    readonly receivedAt: ReadonlyMap<string, number[]>;
}

async function openCell(context: TestContext): Promise<Cell> {
    const receivedAt = new Map<string, number[]>();
    const peers = new PeerTable("entry", "a");
    for (const port of await findFreePorts(PEERS)) {
        const address = `127.0.0.1:${port}`;
        receivedAt.set(address, [performance.now()]);
        peers.recordDigest(createDigest(address, { addresses: { callers: "x", gossip: address, state: "x" } }), 0);
        const link = await openGossipLink({
            address: "127.0.0.1",
            port,
            onMessage: ({ type }) => type === "digest" && receivedAt.get(address)?.push(performance.now()),
            onProblem: () => undefined,
        });
        context.after(() => link.close());
    }
    const gossip = createGossip(peers);
    await gossip.open({ address: "127.0.0.1", port: 0 }, BYTES_PER_SECOND);
    context.after(() => gossip.close());
    return { gossip, receivedAt };
}

function createGossip(peers: PeerTable): HostGossip {
    const logger = createCollectingLogger([]);
    const metrics = createEntryMetrics();
    return new HostGossip({
        host: "entry",
        peers,
        logger,
        memory: new MemoryBudget({ machineBytes: undefined }),
        metrics,
        timeSpent: new TimeSpent({ logger, metrics, readClock: () => 0, readProcessorMicroseconds: () => 0 }),
        readClock: () => 0,
        readProcessorMicroseconds: () => 0,
        hostsNeedingDemand: () => new Set(),
        onMessage: () => undefined,
    });
}

/** Publishes digests in rounds, and has other messages sent, until the time is over. */
async function observe(context: TestContext, cell: Cell, sendOther: () => void, interval: number): Promise<void> {
    const { gossip } = cell;
    const publish = (): void => gossip.publishDigest(createDigest("entry", { inFlight: { engine: 1 } }));
    const digests = new PacedDigests({
        publish,
        publishToOwnCell: publish,
        backlogMilliseconds: () => gossip.backlogMilliseconds,
    });
    const rounds = setInterval(() => digests.request(), ROUND_MILLISECONDS);
    const others = setInterval(sendOther, interval);
    context.after(() => {
        clearInterval(rounds);
        clearInterval(others);
        digests.close();
    });
    await delay(OBSERVED_MILLISECONDS);
}

function longestGapOf({ receivedAt }: Cell): number {
    const end = performance.now();
    const gaps = [...receivedAt.values()].flatMap(times =>
        [...times.slice(1), end].map((at, index) => at - (times[index] ?? at))
    );
    return Math.max(...gaps);
}

function changesOf(bytes: number): Parameters<HostGossip["forwardChanges"]>[0] {
    const change = { key: "configuration", value: "x".repeat(bytes), revision: 2 };
    return { afterRevision: 1, revision: 2, changes: [change] };
}

test("digests leave while changes take more than the rate", async context => {
    const cell = await openCell(context);
    await observe(context, cell, () => cell.gossip.forwardChanges(changesOf(2_000)), 80);
    const gap = longestGapOf(cell);
    assert.ok(gap <= MAXIMUM_GAP_MILLISECONDS, `${Math.round(gap)} ms without a digest`);
});

test("digests leave while a large configuration is on its way to the cell", async context => {
    const cell = await openCell(context);
    await observe(context, cell, () => cell.gossip.forwardChanges(changesOf(20_000)), 1_500);
    const gap = longestGapOf(cell);
    assert.ok(gap <= MAXIMUM_GAP_MILLISECONDS, `${Math.round(gap)} ms without a digest`);
});
