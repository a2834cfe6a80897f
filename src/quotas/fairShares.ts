/**
 * Max-min fair shares of what accounts use.
 *
 * @module
 */

/**
 * Part of what is admitted that engines are taken to serve when they are short of capacity. At all of it, every account
 * would have what it asks for, and none would be over its share.
 */
const SERVED_PART = 0.8;

/** Levels of rates that were asked about before; callers ask about one set of rates many times. */
const levels = new WeakMap<ReadonlyMap<string, number>, number>();

/**
 * Returns the rate up to which every account is served where a capacity is shared max-min fairly, with equal weights:
 * the sum over all accounts of the smaller of their rate and this level is the capacity.
 *
 * @param rates Tokens a second that accounts ask for.
 * @param capacity Tokens a second to share.
 * @returns Infinity where the capacity suffices for all.
 *
 * @example
 * ```ts
 * fairLevel(new Map([["a", 600], ["b", 300], ["c", 100]]), 800); // 400
 * ```
 */
export function fairLevel(rates: ReadonlyMap<string, number>, capacity: number): number {
    let left = capacity;
    let accounts = rates.size;
    for (const rate of [...rates.values()].sort((one, other) => one - other)) {
        if (rate > left / accounts) {
            return left / accounts;
        }
        left -= rate;
        accounts -= 1;
    }
    return Number.POSITIVE_INFINITY;
}

/**
 * Returns whether an account uses more than its max-min fair share of a capacity a fifth below what all accounts use.
 *
 * @param account The account's name; one without a rate is under its share.
 * @param rates Tokens a second admitted at all hosts, by account; must not change after the call.
 *
 * @example
 * ```ts
 * const rates = new Map([["a", 600], ["b", 300], ["c", 100]]);
 * isOverFairShare("a", rates); // true
 * isOverFairShare("b", rates); // false
 * ```
 */
export function isOverFairShare(account: string, rates: ReadonlyMap<string, number>): boolean {
    let level = levels.get(rates);
    if (level === undefined) {
        const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
        level = rates.size < 2 ? Number.POSITIVE_INFINITY : fairLevel(rates, total * SERVED_PART);
        levels.set(rates, level);
    }
    return (rates.get(account) ?? 0) > level;
}
