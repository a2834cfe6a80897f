/**
 * What a host does for those outside its cell: whoever speaks for a cell tells the others its sum, and the cell theirs.
 *
 * @module
 */
import { type FleetSummary, type HostDigest } from "../generated/gossip.js";
import { type AggregateSender, CellAggregates, type PeerTable } from "../gossip/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type HostGossip } from "./hostGossip.js";

/** An older sum of the other cells is ignored. */
const REST_LIFETIME_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of the talk between cells. */
export interface InterCellGossipOptions {
    readonly host: string;
    readonly peers: PeerTable;
    readonly gossip: HostGossip;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    /** Takes what all other cells tell. */
    readonly onOtherCells: (rest: FleetSummary) => void;
}

/** Hears and tells sums; a fleet of one cell tells none. */
export class InterCellGossip {
    readonly #options: InterCellGossipOptions;
    readonly #summaries = new CellAggregates();
    /** This host's place in the fleet as it was logged last. */
    #loggedPlace = "";
    #rest: { readonly summary: FleetSummary; readonly atMilliseconds: number; } | undefined;
    /** Since when the fleet has had other cells; `undefined` while it has none. */
    #othersSinceMilliseconds: number | undefined;
    #missesRest = false;

    constructor(options: InterCellGossipOptions) {
        this.#options = options;
    }

    /** Takes a digest; one of a host that belongs to another cell by now is left to that cell's sum. */
    receiveDigest(digest: HostDigest): void {
        const { peers, readClock } = this.#options;
        if (peers.division().own.some(({ host }) => host === digest.host)) {
            this.#summaries.recordDigest(digest, readClock());
        }
    }

    /** Takes the sum of another cell, or what the speaker of this one tells of all others. */
    receiveAggregate(summary: FleetSummary): void {
        if (summary.scope === "cell") {
            this.#summaries.recordAggregate(summary, this.#options.readClock());
        }
        else if (!this.#options.peers.isCellRepresentative(this.#options.readClock())) {
            this.#takeRest(summary);
        }
    }

    /** Tells sums where this host speaks for its cell; called after each of its own digests. */
    publishAggregates(own: HostDigest): void {
        const { gossip, peers, readClock } = this.#options;
        const now = readClock();
        const { others } = peers.division();
        this.#notePlace();
        this.#noteRestAge(others.length, now);
        if (others.length === 0 || !peers.isCellRepresentative(now)) {
            return;
        }
        const sender = this.#sender();
        const receivers = others.flatMap(cell => this.#summaries.receiversOf(cell));
        gossip.publishCellAggregate(this.#summaries.aggregateOfCell(sender, own, now), receivers);
        const rest = this.#summaries.aggregateOfOtherCells(sender, now);
        if (rest !== undefined) {
            gossip.publishOtherCellsAggregate(rest);
            this.#takeRest(rest);
        }
    }

    /** Gives the state address of a host of another cell that has a newer configuration. */
    newerConfiguration(version: number): string | undefined {
        const isFresh = this.#rest !== undefined
            && this.#options.readClock() - this.#rest.atMilliseconds < REST_LIFETIME_MILLISECONDS;
        const newest = isFresh ? this.#rest?.summary : undefined;
        return newest !== undefined && newest.configurationVersion > version ? newest.state : undefined;
    }

    #notePlace(): void {
        const { logger, metrics, peers, readClock } = this.#options;
        const { others, own } = peers.division();
        const place = { cell: this.#sender().cell, members: own.length, cells: others.length + 1 };
        const speaks = peers.isCellRepresentative(readClock());
        metrics.gauge("cells", place.cells);
        metrics.gauge("cell_hosts", place.members);
        const text = JSON.stringify([place, speaks]);
        if (text !== this.#loggedPlace) {
            this.#loggedPlace = text;
            logger.info("cell changed", { ...place, speaks });
        }
    }

    /** A datagram that is lost leaves no trace, so the host says when it misses what it should hear. */
    #noteRestAge(otherCells: number, nowMilliseconds: number): void {
        const { logger, metrics } = this.#options;
        this.#othersSinceMilliseconds = otherCells === 0 ? undefined : this.#othersSinceMilliseconds ?? nowMilliseconds;
        const heardAt = Math.max(
            this.#rest?.atMilliseconds ?? Number.NEGATIVE_INFINITY,
            this.#othersSinceMilliseconds ?? nowMilliseconds,
        );
        const age = nowMilliseconds - heardAt;
        metrics.gauge("other_cells_age_seconds", age / MILLISECONDS_PER_SECOND);
        const misses = age > REST_LIFETIME_MILLISECONDS;
        if (misses !== this.#missesRest) {
            this.#missesRest = misses;
            const fields = { otherCells, ageMilliseconds: Math.round(age) };
            if (misses) {
                logger.warn("other cells not heard", fields);
            }
            else {
                logger.info("other cells heard again", fields);
            }
        }
    }

    #sender(): AggregateSender {
        const { host, peers } = this.#options;
        return { host, cell: peers.division().own[0]?.host ?? host };
    }

    #takeRest(summary: FleetSummary): void {
        this.#rest = { summary, atMilliseconds: this.#options.readClock() };
        this.#options.onOtherCells(summary);
    }
}
