/**
 * Chooses the accounts that a message has room for.
 *
 * @module
 */
import { type AccountUse, MAXIMUM_ACCOUNTS_PER_MESSAGE } from "./types.js";

/** Returns the entries with the most offered relative to the quota; those without a quota are left out. */
export function mostUsed(
    use: readonly AccountUse[],
    quotaOf: (account: string) => number | undefined,
): AccountUse[] {
    const ranked = use.flatMap(entry => {
        const quota = quotaOf(entry.account);
        return quota === undefined ? [] : [{ entry, part: entry.offered / quota }];
    });
    if (ranked.length > MAXIMUM_ACCOUNTS_PER_MESSAGE) {
        ranked.sort((left, right) => right.part - left.part);
    }
    return ranked.slice(0, MAXIMUM_ACCOUNTS_PER_MESSAGE).map(({ entry }) => entry);
}
