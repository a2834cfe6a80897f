/**
 * Options of the orders decision.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";

/** Options of the orders decision. */
export interface OrdersOptions {
    /** This process. */
    readonly identity: HostIdentity;
    readonly random: RandomSource;
    /** Added to the decision's clock, gives Unix time in milliseconds; hosts compare ticket generations by it. */
    readonly wallClockOffsetMilliseconds: number;
    /** Length of one ticket generation; by default 10 minutes. */
    readonly generationMilliseconds?: number;
    /** How many generations are accepted and remembered; by default 3. */
    readonly keptGenerations?: number;
    /** How long a claimed key is remembered, not less than the age of kept claims; by default 30 minutes. */
    readonly claimRetentionMilliseconds?: number;
    /** How long a witness may take to answer; by default 1,000. */
    readonly witnessMilliseconds?: number;
    /** How long a claim may take; by default 4,000. */
    readonly claimMilliseconds?: number;
    /** How long after its start all peers know a host; until then it runs no key without a ticket; by default 2,000. */
    readonly settleMilliseconds?: number;
    /** How long a leaving host still begins orders of its own tickets; by default 0. */
    readonly acceptWhileLeavingMilliseconds?: number;
    /** Most keys remembered as owner, and as many as witness; by default 10,000. */
    readonly mostKeys?: number;
    /** Most characters of results kept as owner, and as many as witness; by default 4 million. */
    readonly mostResultCharacters?: number;
}

const DEFAULTS = {
    generationMilliseconds: 600_000,
    keptGenerations: 3,
    claimRetentionMilliseconds: 1_800_000,
    witnessMilliseconds: 1_000,
    claimMilliseconds: 4_000,
    settleMilliseconds: 2_000,
    acceptWhileLeavingMilliseconds: 0,
    mostKeys: 10_000,
    mostResultCharacters: 4_000_000,
};

/** Fills in the defaults. */
export function withDefaults(options: OrdersOptions): Required<OrdersOptions> {
    return { ...DEFAULTS, ...options };
}
