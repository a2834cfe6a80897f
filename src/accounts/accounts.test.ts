import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type Account,
    AccountDirectory,
    bindToAccount,
    decideUnknownKey,
    digestKey,
    findAccountProblem,
    requestTokens,
} from "./index.js";

function accountOf(name: string, keys: readonly string[], overrides: Partial<Account> = {}): Account {
    return {
        name,
        keyDigests: keys.map(digestKey),
        priority: undefined,
        plainTokens: 1,
        quota: undefined,
        ...overrides,
    };
}

const key = fc.stringMatching(/^[!-~]{1,12}$/);
const name = fc.stringMatching(/^[a-z]{1,8}$/);
const keysByName = fc.uniqueArray(fc.record({ name, keys: fc.uniqueArray(key, { maxLength: 3 }) }), {
    selector: account => account.name,
    maxLength: 6,
});

/** Accounts of a valid configuration: a key that several would have stays with the first. */
function validAccounts(entries: readonly { readonly name: string; readonly keys: readonly string[]; }[]): Account[] {
    const taken = new Set<string>();
    return entries.map(entry => {
        const own = entry.keys.filter(each => !taken.has(each));
        own.forEach(each => taken.add(each));
        return accountOf(entry.name, own);
    });
}

test("a request is never taken for another account's, and no other header than `Bearer KEY` leads to an account", () => {
    fc.assert(fc.property(keysByName, fc.oneof(key, fc.string()), (entries, text) => {
        const accounts = validAccounts(entries);
        const directory = new AccountDirectory(accounts);
        const holder = accounts.find(({ keyDigests }) => keyDigests.includes(digestKey(text)));
        const identity = directory.identify(`Bearer ${text}`);
        assert.equal(identity.type === "account" ? identity.account : undefined, holder);
        for (const form of [text, `bearer ${text}`, `Basic ${text}`, ` Bearer ${text}`, `Bearer  ${text}`]) {
            const isOtherKey = form === `Bearer ${text}`;
            assert.ok(isOtherKey || directory.identify(form).type !== "account", form);
        }
        assert.equal(directory.identify(undefined).type, "no-key");
        assert.equal(directory.identify("Bearer ").type, "no-key");
    }));
});

test("a valid configuration is accepted, and one in which two accounts share a key is not", () => {
    fc.assert(fc.property(keysByName, key, fc.nat(), (entries, shared, position) => {
        const accounts = validAccounts(entries);
        assert.equal(findAccountProblem(accounts), undefined);
        const [first] = accounts;
        if (first === undefined) {
            return;
        }
        const owner = accounts[position % accounts.length] ?? first;
        const twice = accounts.map(each =>
            each === owner ? { ...each, keyDigests: [...each.keyDigests, digestKey(shared)] } : each
        );
        const problem = findAccountProblem([...twice, accountOf("further0", [shared])]);
        assert.match(problem ?? "", /^account "[^"]+": has a key that account "[^"]+" lists already$/);
    }));
});

test("accounts that cannot be named or counted are rejected", () => {
    const quota = (tokensPerSecond: number, burstTokens: number): Partial<Account> => ({
        quota: { tokensPerSecond, burstTokens },
    });
    const faulty: readonly (readonly [Account, RegExp])[] = [
        [accountOf("", []), /^account 1 has no name$/],
        [accountOf("two\r\nlines", []), /no header can carry/],
        [accountOf("mill", [], quota(-1, 0)), /"mill": the rate or the burst is negative/],
        [accountOf("mill", [], quota(0, 5)), /"mill": has a burst and no rate/],
    ];
    for (const [account, problem] of faulty) {
        assert.match(findAccountProblem([account]) ?? "", problem);
    }
    assert.match(findAccountProblem([accountOf("mill", []), accountOf("mill", [])]) ?? "", /two accounts of this name/);
});

test("a token count is the sum of both numbers, and an unreadable one is not free", () => {
    fc.assert(fc.property(fc.nat(), fc.nat(), (prompt, output) => {
        assert.equal(requestTokens(`${prompt},${output}`, { plainTokens: 200 }), prompt + output);
        assert.equal(requestTokens(` ${prompt} , ${output} `, { plainTokens: 200 }), prompt + output);
    }));
    for (const unreadable of [undefined, "", "1200", "1200,", "-1,5", "1,2,3", "1e3,1", "NaN,1", "1,2, 3,4"]) {
        assert.equal(requestTokens(unreadable, { plainTokens: 200 }), 200, unreadable);
    }
});

test("a host never says that a key is unknown while all configurations of the last seconds allow it", () => {
    // Configurations in order; each is accepted at a time and has the key or not.
    const history = fc.array(
        fc.record({ afterMilliseconds: fc.integer({ min: 1, max: 5_000 }), hasKey: fc.boolean() }),
        {
            minLength: 1,
            maxLength: 8,
        },
    );
    fc.assert(
        fc.property(history, fc.nat(10_000), fc.nat(10_000), fc.nat(3_000), (changes, readAt, waited, deadline) => {
            let at = 0;
            const accepted = changes.map(({ afterMilliseconds, hasKey }) => ({ at: at += afterMilliseconds, hasKey }));
            const inForceAt = (time: number): boolean => accepted.findLast(each => each.at <= time)?.hasKey ?? false;
            const now = readAt + waited;
            if (inForceAt(readAt)) {
                return;
            }
            const evidence = { knowsNewer: false, millisecondsSinceConfirmed: waited, deadlineMilliseconds: deadline };
            const isAlwaysAllowed = inForceAt(now - deadline)
                && accepted.every(each => each.at < now - deadline || each.at > now || each.hasKey);
            if (isAlwaysAllowed) {
                assert.equal(decideUnknownKey(evidence), "configuration-outdated");
            }
            assert.equal(decideUnknownKey({ ...evidence, knowsNewer: true }), "configuration-outdated");
        }),
    );
});

test("two accounts never share an identifier, whatever their callers have chosen", () => {
    fc.assert(fc.property(fc.uniqueArray(name, { minLength: 2, maxLength: 2 }), key, key, ([one, two], left, right) => {
        const identifiers = [bindToAccount(left, one), bindToAccount(right, two), bindToAccount(left, undefined)];
        assert.equal(new Set(identifiers).size, identifiers.length);
    }));
});
