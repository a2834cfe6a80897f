import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import { createBusyDigest } from "../../../tests/support/busyMessages.js";
import { createCollectingLogger } from "../../../tests/support/collectedLines.js";
import { createDigest } from "../../../tests/support/digests.js";
import { CellAggregates, type GossipMessage, PeerTable } from "../../gossip/index.js";
import { MemoryBudget } from "../../memory/index.js";
import { createEntryMetrics, TimeSpent } from "../../observability/index.js";
import { digestIntervalMilliseconds } from "../hostIntervals.js";
import { HostGossip } from "./hostGossip.js";

/** Limit on a host's control traffic. */
const CONTROL_BYTES_PER_SECOND = 16 * 1024;

const CELL_HOSTS = 11;
const MILLISECONDS_PER_SECOND = 1_000;

async function openReceiver(context: { after(step: () => void): void; }): Promise<{
    readonly address: string;
    readonly next: () => Promise<{ readonly message: GossipMessage; readonly bytes: number; }>;
}> {
    const socket: Socket = createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    context.after(() => void socket.close());
    return {
        address: `127.0.0.1:${socket.address().port}`,
        next: async () => {
            const [bytes] = await once(socket, "message") as [Buffer];
            return { message: JSON.parse(bytes.toString()) as GossipMessage, bytes: bytes.length };
        },
    };
}

test("hosts that do not plan get aggregates within the control traffic limit, and planners get all demand", async context => {
    const [plain, planner] = [await openReceiver(context), await openReceiver(context)];
    const peers = new PeerTable("speaker", "a");
    for (const [host, { address }] of [["plain", plain], ["planner", planner]] as const) {
        peers.recordDigest(createDigest(host, { addresses: { callers: "x", gossip: address, state: "x" } }), 0);
    }
    const lines = createCollectingLogger([]);
    const metrics = createEntryMetrics();
    const gossip = new HostGossip({
        host: "speaker",
        peers,
        logger: lines,
        memory: new MemoryBudget({ machineBytes: undefined }),
        metrics,
        timeSpent: new TimeSpent({ logger: lines, metrics, readClock: () => 0, readProcessorMicroseconds: () => 0 }),
        readClock: () => 0,
        readProcessorMicroseconds: () => 0,
        hostsNeedingDemand: () => new Set(["planner"]),
        onMessage: () => {},
    });
    await gossip.open({ address: "127.0.0.1", port: 0 }, Number.MAX_SAFE_INTEGER);
    context.after(() => gossip.close());
    const aggregates = new CellAggregates();
    for (let cell = 0; cell < 5; cell += 1) {
        const other = new CellAggregates();
        for (let host = 0; host < CELL_HOSTS; host += 1) {
            other.recordDigest(createBusyDigest(`front-zone-${cell}-${host}`, cell), 0);
        }
        const name = `front-zone-${cell}-0`;
        aggregates.recordAggregate(
            other.aggregateOfCell({ host: name, cell: name }, createBusyDigest(name, cell), 0),
            0,
        );
    }
    const otherCells = aggregates.aggregateOfOtherCells({ host: "speaker", cell: "speaker" }, 0);
    assert.ok(otherCells !== undefined);
    const received = Promise.all([plain.next(), planner.next()]);
    gossip.publishOtherCellsAggregate(otherCells);
    const [toPlain, toPlanner] = await received;
    const aggregatesPerSecond = MILLISECONDS_PER_SECOND / digestIntervalMilliseconds(CELL_HOSTS);
    assert.ok(toPlain.bytes * aggregatesPerSecond <= CONTROL_BYTES_PER_SECOND, `${toPlain.bytes} bytes`);
    assert.ok(toPlanner.message.type === "summary");
    assert.equal(Object.keys(toPlanner.message.demand).length, 111);
    assert.equal(Object.keys(toPlanner.message.adapterDemand).length, 111);
    assert.equal(Object.keys(toPlanner.message.readingDemand).length, 111);
});
