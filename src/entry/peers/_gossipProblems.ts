/**
 * Counts and logs datagrams that were skipped or not sent.
 *
 * @module
 */
import { type GossipProblem, type PeerTable } from "../../gossip/index.js";
import { type EntryMetrics, type Logger } from "../../observability/index.js";

/** Problems of one reason with one peer are logged at this interval at most. */
const LOG_INTERVAL_MILLISECONDS = 10_000;

/** Stands for addresses of no known host. */
const UNKNOWN_PEER = "unknown";

/** Stands for the peer of problems with datagrams to be sent. */
const NO_PEER = "none";

/** Options of {@linkcode GossipProblems}. */
export interface GossipProblemsOptions {
    readonly peers: PeerTable;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
}

interface Logged {
    readonly atMilliseconds: number;
    /** Problems since then. */
    readonly count: number;
}

/** Counts each problem by reason and peer, and logs the first of them and then their number, some times a minute. */
export class GossipProblems {
    readonly #options: GossipProblemsOptions;
    readonly #logged = new Map<string, Logged>();

    constructor(options: GossipProblemsOptions) {
        this.#options = options;
    }

    record({ detail, reason, source }: GossipProblem): void {
        const { logger, metrics, peers, readClock } = this.#options;
        const peer = source === undefined ? NO_PEER : peers.findHostAt(source) ?? UNKNOWN_PEER;
        metrics.count("gossip_problems", { reason, peer });
        const now = readClock();
        const key = JSON.stringify([reason, peer]);
        const logged = this.#logged.get(key);
        const count = (logged?.count ?? 0) + 1;
        if (logged !== undefined && now - logged.atMilliseconds < LOG_INTERVAL_MILLISECONDS) {
            this.#logged.set(key, { ...logged, count });
            return;
        }
        this.#logged.set(key, { atMilliseconds: now, count: 0 });
        logger.warn("gossip problem", { reason, peer, count, problem: detail });
    }
}
