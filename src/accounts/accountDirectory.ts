/**
 * Finds the account of a request.
 *
 * @module
 */
import { accountTag } from "./bindToAccount.js";
import { digestKey, readBearerKey } from "./keyDigest.js";
import { type Account, type Identity } from "./types.js";

/**
 * The accounts of one configuration. Keys are looked up by their digests, so that the time of a look-up tells nothing
 * about a key.
 *
 * @example
 * ```ts
 * const directory = new AccountDirectory(accounts);
 * const identity = directory.identify("Bearer k7b2ex5wa5xwyhks8nbk");
 * ```
 */
export class AccountDirectory {
    readonly accounts: readonly Account[];
    readonly #byName: ReadonlyMap<string, Account>;
    readonly #byKey = new Map<string, Account>();
    readonly #tags = new Map<string, string>();

    constructor(accounts: readonly Account[]) {
        this.accounts = accounts;
        this.#byName = new Map(accounts.map(account => [account.name, account]));
        for (const account of accounts) {
            account.keyDigests.forEach(digest => this.#byKey.set(digest, account));
        }
    }

    /**
     * Returns who sends a request.
     *
     * @param authorization The value of its `Authorization` header; `undefined` where there is none.
     */
    identify(authorization: string | undefined): Identity {
        const key = readBearerKey(authorization);
        if (key === undefined) {
            return { type: "no-key" };
        }
        const keyDigest = digestKey(key);
        const account = this.#byKey.get(keyDigest);
        return account === undefined ? { type: "unknown-key", keyDigest } : { type: "account", account, keyDigest };
    }

    /** Returns an account by its name. */
    get(name: string): Account | undefined {
        return this.#byName.get(name);
    }

    /** Returns the tag of an account's name, which is computed once. */
    tagOf({ name }: Account): string {
        const known = this.#tags.get(name);
        if (known !== undefined) {
            return known;
        }
        const tag = accountTag(name);
        this.#tags.set(name, tag);
        return tag;
    }

    /** Returns the account that holds a key, given by its digest. */
    holderOf(keyDigest: string): Account | undefined {
        return this.#byKey.get(keyDigest);
    }
}
