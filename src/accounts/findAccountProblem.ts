/**
 * Checks the accounts of a configuration.
 *
 * @module
 */
import { type Account } from "./types.js";

/** Names are sent in a header: visible ASCII characters, with spaces between them. */
const NAME_PATTERN = /^[!-~](?:[ -~]*[!-~])?$/;

function findNameProblem(name: string, position: number): string | undefined {
    if (name === "") {
        return `account ${position} has no name`;
    }
    return NAME_PATTERN.test(name)
        ? undefined
        : `account ${JSON.stringify(name)}: the name has characters that no header can carry`;
}

function findQuotaProblem({ name, quota }: Account): string | undefined {
    if (quota === undefined) {
        return undefined;
    }
    const { burstTokens, tokensPerSecond } = quota;
    if (tokensPerSecond < 0 || burstTokens < 0) {
        return `account ${JSON.stringify(name)}: the rate or the burst is negative`;
    }
    return tokensPerSecond === 0 && burstTokens > 0
        ? `account ${JSON.stringify(name)}: has a burst and no rate`
        : undefined;
}

/**
 * Returns the first problem of a configuration's accounts, in words that name the account and no key.
 *
 * @param accounts The accounts.
 * @returns `undefined` where there is none.
 *
 * @example
 * ```ts
 * const problem = findAccountProblem(accounts); // `account "mill": has a key that account "loom" has, too`
 * ```
 */
export function findAccountProblem(accounts: readonly Account[]): string | undefined {
    const names = new Set<string>();
    const holders = new Map<string, string>();
    for (const [index, account] of accounts.entries()) {
        const { keyDigests, name } = account;
        const problem = findNameProblem(name, index + 1) ?? findQuotaProblem(account);
        if (problem !== undefined) {
            return problem;
        }
        if (names.has(name)) {
            return `account ${JSON.stringify(name)}: there are two accounts of this name`;
        }
        names.add(name);
        for (const digest of keyDigests) {
            const holder = holders.get(digest);
            if (holder !== undefined) {
                return `account ${JSON.stringify(name)}: has a key that account ${
                    JSON.stringify(holder)
                } lists already`;
            }
            holders.set(digest, name);
        }
    }
    return undefined;
}
