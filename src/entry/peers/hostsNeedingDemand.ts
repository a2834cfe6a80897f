/**
 * The hosts of a cell whose digests need to carry demand.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type PeerTable } from "../../gossip/index.js";

/** Hosts of a cell that get its demand: the cell representative and those next in order, which may succeed it. */
const REPRESENTATIVES_WITH_DEMAND = 3;

/** The state from which the hosts are chosen. */
export interface DemandReceivers {
    readonly duties: EngineDuties;
    readonly peers: PeerTable;
    readonly engineCount: number;
}

/**
 * Returns the hosts that may plan or represent the cell now, and those that may succeed them.
 *
 * @example
 * ```ts
 * hostsNeedingDemand({ duties, peers, engineCount: 11 }, now).has("entry-1");
 * ```
 */
export function hostsNeedingDemand(
    { duties, engineCount, peers }: DemandReceivers,
    nowMilliseconds: number,
): ReadonlySet<string> {
    const candidates = duties.candidates(engineCount);
    const representatives = peers.membersWithRecentDigest(nowMilliseconds).slice(0, REPRESENTATIVES_WITH_DEMAND);
    return new Set([...candidates, ...representatives]);
}
