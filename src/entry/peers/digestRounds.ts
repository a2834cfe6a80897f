/**
 * The rounds in which a host publishes its digests.
 *
 * @module
 */
import { type PeerTable } from "../../gossip/index.js";
import { digestIntervalMilliseconds } from "../hostIntervals.js";

/** Options of {@linkcode DigestRounds}. */
export interface DigestRoundsOptions {
    readonly peers: PeerTable;
    readonly readClock: () => number;
    /** Performs a round. */
    readonly onRound: () => void;
}

/**
 * Forgets peers that are long silent and performs a round, at an interval that follows the number of hosts of the cell.
 *
 * @example
 * ```ts
 * const rounds = new DigestRounds({ peers, readClock, onRound: () => digests.publishToAllCells() });
 * rounds.start();
 * rounds.close();
 * ```
 */
export class DigestRounds {
    readonly #options: DigestRoundsOptions;
    #timer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: DigestRoundsOptions) {
        this.#options = options;
    }

    /** Schedules the first round. */
    start(): void {
        const cellHosts = this.#options.peers.division().ownCell.length;
        this.#timer = setTimeout(() => this.#perform(), digestIntervalMilliseconds(cellHosts));
    }

    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
    }

    #perform(): void {
        if (this.#closed) {
            return;
        }
        const { onRound, peers, readClock } = this.#options;
        peers.forget(readClock());
        this.start();
        onRound();
    }
}
