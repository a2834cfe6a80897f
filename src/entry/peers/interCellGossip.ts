/**
 * Gossip between cells. A cell's representative sends the cell's aggregate to other cells, and the aggregate of the
 * other cells to the hosts of its own.
 *
 * @module
 */
import { type CrashReport, type FleetSummary, type HostDigest } from "../../generated/gossip.js";
import { type AggregateSender, CellAggregates, type PeerTable, type UseSelection } from "../../gossip/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";
import { type HostGossip } from "./hostGossip.js";

/** An aggregate of the other cells older than this is overdue, and no longer names a source of newer configuration. */
const OTHER_CELLS_LIFETIME_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of inter-cell gossip. */
export interface InterCellGossipOptions {
    readonly host: string;
    readonly peers: PeerTable;
    readonly gossip: HostGossip;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** Returns what this host knows of crashes, its own and what others have reported; `undefined` for nothing. */
    readonly crashes: () => CrashReport | undefined;
    /** Chooses the accounts whose use an aggregate has room for; by default, all of them. */
    readonly selectUse?: UseSelection;
    /** Handles the aggregate of all other cells. */
    readonly onOtherCells: (aggregate: FleetSummary) => void;
}

/** Receives and publishes cell aggregates; a fleet of one cell publishes none. */
export class InterCellGossip {
    readonly #options: InterCellGossipOptions;
    readonly #cellAggregates = new CellAggregates();
    /** The last logged cell, counts of hosts and cells, and representative flag, as JSON. */
    #loggedMembership = "";
    #otherCells: { readonly aggregate: FleetSummary; readonly atMilliseconds: number; } | undefined;
    /** When the fleet got other cells; `undefined` while it has none. */
    #otherCellsSinceMilliseconds: number | undefined;
    #isOtherCellsOverdue = false;

    constructor(options: InterCellGossipOptions) {
        this.#options = options;
    }

    /** Records a digest, unless its host is now in another cell, whose aggregate then includes it. */
    receiveDigest(digest: HostDigest): void {
        const { peers, readClock } = this.#options;
        if (peers.division().ownCell.some(({ host }) => host === digest.host)) {
            this.#cellAggregates.recordDigest(digest, readClock());
        }
    }

    /** Records the aggregate of another cell, or applies that of all other cells from this cell's representative. */
    receiveAggregate(aggregate: FleetSummary): void {
        if (aggregate.scope === "cell") {
            this.#cellAggregates.recordAggregate(aggregate, this.#options.readClock());
        }
        else if (!this.#options.peers.isCellRepresentative(this.#options.readClock())) {
            this.#applyOtherCells(aggregate);
        }
    }

    /** True on the cell representative of a fleet with other cells, which publishes aggregates. */
    get publishesAggregates(): boolean {
        const { peers, readClock } = this.#options;
        return peers.division().otherCells.length > 0 && peers.isCellRepresentative(readClock());
    }

    /** Publishes aggregates where this host is the cell representative; called after each of its own digests. */
    publishAggregates(hostDigest: HostDigest): void {
        const { gossip, peers, readClock } = this.#options;
        const now = readClock();
        const { otherCells: others } = peers.division();
        this.#reportMembership();
        this.#reportOtherCellsAge(others.length, now);
        if (!this.publishesAggregates) {
            return;
        }
        const sender = { ...this.#sender(), crashes: this.#options.crashes() };
        const receivers = others.flatMap(cell => this.#cellAggregates.receiversOf(cell));
        gossip.publishCellAggregate(this.#cellAggregates.aggregateOfCell(sender, hostDigest, now), receivers);
        const otherCells = this.#cellAggregates.aggregateOfOtherCells(sender, now);
        if (otherCells !== undefined) {
            gossip.publishOtherCellsAggregate(otherCells);
            this.#applyOtherCells(otherCells);
        }
    }

    /** Returns the state address of a host of another cell with a newer configuration. */
    newerConfigurationAddress(version: number): string | undefined {
        const isFresh = this.#otherCells !== undefined
            && this.#options.readClock() - this.#otherCells.atMilliseconds < OTHER_CELLS_LIFETIME_MILLISECONDS;
        const newest = isFresh ? this.#otherCells?.aggregate : undefined;
        return newest !== undefined && newest.configurationVersion > version ? newest.state : undefined;
    }

    #reportMembership(): void {
        const { logger, metrics, peers, readClock } = this.#options;
        const { otherCells, ownCell } = peers.division();
        const membership = { cell: this.#sender().cell, members: ownCell.length, cells: otherCells.length + 1 };
        const isRepresentative = peers.isCellRepresentative(readClock());
        metrics.gauge("cells", membership.cells);
        metrics.gauge("cell_hosts", membership.members);
        const text = JSON.stringify([membership, isRepresentative]);
        if (text !== this.#loggedMembership) {
            this.#loggedMembership = text;
            logger.info("cell changed", { ...membership, speaks: isRepresentative });
        }
    }

    /** Reports the age of the other cells' aggregate, and logs when it is overdue, as lost datagrams leave no trace. */
    #reportOtherCellsAge(otherCellCount: number, nowMilliseconds: number): void {
        const { logger, metrics } = this.#options;
        this.#otherCellsSinceMilliseconds = otherCellCount === 0
            ? undefined
            : this.#otherCellsSinceMilliseconds ?? nowMilliseconds;
        const receivedAt = Math.max(
            this.#otherCells?.atMilliseconds ?? Number.NEGATIVE_INFINITY,
            this.#otherCellsSinceMilliseconds ?? nowMilliseconds,
        );
        const age = nowMilliseconds - receivedAt;
        metrics.gauge("other_cells_age_seconds", age / MILLISECONDS_PER_SECOND);
        const isOverdue = age > OTHER_CELLS_LIFETIME_MILLISECONDS;
        if (isOverdue !== this.#isOtherCellsOverdue) {
            this.#isOtherCellsOverdue = isOverdue;
            const fields = { otherCells: otherCellCount, ageMilliseconds: Math.round(age) };
            if (isOverdue) {
                logger.warn("other cells not heard", fields);
            }
            else {
                logger.info("other cells heard again", fields);
            }
        }
    }

    #sender(): AggregateSender {
        const { host, peers, selectUse } = this.#options;
        const cell = peers.division().ownCell[0]?.host ?? host;
        return { host, cell, ...selectUse === undefined ? {} : { selectUse } };
    }

    #applyOtherCells(aggregate: FleetSummary): void {
        this.#otherCells = { aggregate, atMilliseconds: this.#options.readClock() };
        this.#options.onOtherCells(aggregate);
    }
}
