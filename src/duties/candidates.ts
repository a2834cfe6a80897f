/**
 * Which hosts may acquire engines, and whose consent a holder therefore needs during an outage of the key-value service.
 *
 * A host that takes an engine over from a holder that may not have stopped is one of the possible takers among all hosts
 * that it remembers. A holder needs the consent of more hosts, ranked in the same order, so that these include every
 * taker also where the two do not know quite the same fleet.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";

/** Number of hosts that may acquire engines: one for each `ENGINES_PER_CANDIDATE` engines, but at least this many. */
const MINIMUM_CANDIDATES = 12;
const ENGINES_PER_CANDIDATE = 8;

/** Among so many times the candidates are all hosts that may take over from a holder that may not have stopped. */
const TAKERS_PER_CANDIDATE = 2;

/** Hosts beyond the possible takers whose consent a holder needs, since hosts may know different fleets. */
const ADDITIONAL_WITNESSES = 8;

function maximumCandidates(engineCount: number): number {
    return Math.max(MINIMUM_CANDIDATES, Math.ceil(engineCount / ENGINES_PER_CANDIDATE));
}

/**
 * Returns hosts in the order in which they are preferred as holders.
 *
 * @param hosts Names of the hosts, in any order.
 *
 * @example
 * ```ts
 * const [first] = rankHosts(["entry-1", "entry-2"]);
 * ```
 */
export function rankHosts(hosts: readonly string[]): string[] {
    return rankByRendezvous("candidates", hosts);
}

/**
 * Returns the hosts that may acquire engines.
 *
 * @param rankedHosts The hosts with a session, as {@linkcode rankHosts} returns them.
 * @param engineCount The number of engines.
 *
 * @example
 * ```ts
 * firstCandidates(rankHosts(hosts), 40); // twelve hosts
 * ```
 */
export function firstCandidates(rankedHosts: readonly string[], engineCount: number): string[] {
    return rankedHosts.slice(0, maximumCandidates(engineCount));
}

/**
 * Returns the hosts that may take an engine over from a holder that may not have stopped.
 *
 * @param hosts The hosts with a session, and those whose session ended lately.
 * @param engineCount The number of engines.
 *
 * @example
 * ```ts
 * possibleTakers(hosts, 40).includes("entry-2"); // true in a fleet of 24 hosts
 * ```
 */
export function possibleTakers(hosts: readonly string[], engineCount: number): string[] {
    return rankHosts(hosts).slice(0, TAKERS_PER_CANDIDATE * maximumCandidates(engineCount));
}

/**
 * Returns the hosts whose consent a holder needs during an outage, itself included where it is one of them.
 *
 * @param hosts All hosts of the fleet that may acquire engines.
 * @param engineCount The number of engines.
 *
 * @example
 * ```ts
 * firstWitnesses(hosts, 40).length; // 32 in a fleet of 63 hosts
 * ```
 */
export function firstWitnesses(hosts: readonly string[], engineCount: number): string[] {
    const count = TAKERS_PER_CANDIDATE * maximumCandidates(engineCount) + ADDITIONAL_WITNESSES;
    return rankHosts(hosts).slice(0, count);
}
