/**
 * Use of client accounts' quotas in messages: by account, the admitted rate and, if larger, the offered rate.
 *
 * @module
 */
import { type FleetSummary, type HostDigest } from "../generated/gossip.js";
import { type AccountUse } from "../quotas/index.js";

type EncodedUse = NonNullable<HostDigest["accountUse"]>;

/** The use in a message, and the number of hosts that it is of. */
type ReportedUse = Pick<FleetSummary, "accountUse" | "accountUseHosts">;

/** Chooses the entries that a message has room for. */
export type UseSelection = (use: readonly AccountUse[]) => readonly AccountUse[];

/** Returns use as it is written in messages. */
export function encodeAccountUse(use: readonly AccountUse[]): EncodedUse {
    return Object.fromEntries(use.map(({ account, admitted, offered }) => {
        const rates = [Math.round(admitted), Math.round(offered)];
        return [account, rates[0] === rates[1] ? rates.slice(0, 1) : rates];
    }));
}

/** Returns use as read from a message. */
export function decodeAccountUse(encoded: EncodedUse): AccountUse[] {
    return Object.entries(encoded).map(([account, [admitted = 0, offered = admitted]]) => ({
        account,
        admitted,
        offered,
    }));
}

/**
 * Adds up reports of use, as fields of an aggregate; without them where there is no report.
 *
 * @example
 * ```ts
 * sumAccountUse([{ accountUse: { a: [400] }, accountUseHosts: 1 }], use => use);
 * // { accountUse: { a: [400] }, accountUseHosts: 1 }
 * ```
 */
export function sumAccountUse(parts: readonly ReportedUse[], select: UseSelection): ReportedUse {
    const totals = new Map<string, { account: string; admitted: number; offered: number; }>();
    let hosts = 0;
    for (const { accountUse = {}, accountUseHosts = 0 } of parts) {
        hosts += accountUseHosts;
        for (const { account, admitted, offered } of decodeAccountUse(accountUse)) {
            const total = totals.get(account) ?? { account, admitted: 0, offered: 0 };
            total.admitted += admitted;
            total.offered += offered;
            totals.set(account, total);
        }
    }
    return hosts === 0
        ? {}
        : { accountUse: encodeAccountUse(select([...totals.values()])), accountUseHosts: hosts };
}
