/**
 * Options of the orders decision.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Options of the orders decision. */
export interface OrdersOptions {
    /** Identity of this process. */
    readonly identity: HostIdentity;
    readonly random: RandomSource;
    /** Unix time minus the decision's clock; hosts derive ticket generations from Unix time. */
    readonly wallClockOffsetMilliseconds: number;
    /** Length of one ticket generation; by default 10 minutes. */
    readonly generationMilliseconds?: number;
    /** Number of generations that are accepted and remembered; by default 3. */
    readonly keptGenerations?: number;
    /** How long a claimed key is remembered; at least the maximum claim age; by default 30 minutes. */
    readonly claimRetentionMilliseconds?: number;
    /** Time limit of a witness's answer; by default 1,000. */
    readonly witnessTimeoutMilliseconds?: number;
    /** Time limit of a claim; by default 4,000. */
    readonly claimTimeoutMilliseconds?: number;
    /** Time from a host's start until all peers know it; it runs no key without a ticket earlier; by default 2,000. */
    readonly peerDiscoveryMilliseconds?: number;
    /** How long a leaving host still starts orders of its own tickets; by default 0. */
    readonly acceptWhileLeavingMilliseconds?: number;
    /** Maximum keys remembered as owner, and the same number as witness; by default 10,000. */
    readonly maximumKeys?: number;
    /** Maximum characters of results kept as owner, and the same number as witness; by default 4 million. */
    readonly maximumResultCharacters?: number;
}

const DEFAULTS = {
    generationMilliseconds: 600_000,
    keptGenerations: 3,
    claimRetentionMilliseconds: 1_800_000,
    witnessTimeoutMilliseconds: 1_000,
    claimTimeoutMilliseconds: 4_000,
    peerDiscoveryMilliseconds: 2_000,
    acceptWhileLeavingMilliseconds: 0,
    maximumKeys: 10_000,
    maximumResultCharacters: 4_000_000,
};

/** Returns the options with defaults for those that are missing. */
export function withDefaults(options: OrdersOptions): Required<OrdersOptions> {
    return { ...DEFAULTS, ...options };
}
