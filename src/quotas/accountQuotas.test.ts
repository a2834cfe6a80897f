import assert from "node:assert/strict";
import { test } from "node:test";
import { type Account, type AccountQuota } from "../accounts/index.js";
import { createSeededRandom } from "../decision/index.js";
import { AccountQuotas } from "./accountQuotas.js";

const QUOTA: AccountQuota = { tokensPerSecond: 1_000, burstTokens: 1_000 };

function createAccount(name: string, quota: AccountQuota | undefined = QUOTA): Account {
    return { name, keyDigests: [], priority: undefined, plainTokens: 200, quota };
}

function createQuotas(hostCount: number, accounts: readonly Account[] = [createAccount("a")]): AccountQuotas {
    const options = {
        random: createSeededRandom(1),
        hostCount: () => hostCount,
        hearsPeers: () => true,
        slackTokensPerSecond: 925,
    };
    const quotas = new AccountQuotas(options);
    quotas.setAccounts(accounts, 0);
    return quotas;
}

/** Offers requests of 100 tokens at a rate and returns the tokens a second that were admitted. */
function offer(quotas: AccountQuotas, perSecond: number, [begin, end]: readonly [number, number]): number {
    let admitted = 0;
    for (let now = begin; now < end; now += 100_000 / perSecond) {
        admitted += quotas.admit("a", 100, now).type === "admitted" ? 100 : 0;
    }
    return admitted * 1_000 / (end - begin);
}

test("a deployment without quotas sends no use, and refuses nothing", () => {
    const quotas = createQuotas(3, [{ ...createAccount("a"), quota: undefined }]);
    assert.equal(quotas.ownUse(0), undefined);
    assert.deepEqual(quotas.admit("a", 1e9, 0), { type: "admitted" });
    assert.deepEqual(quotas.admit("unknown", 1e9, 0), { type: "admitted" });
});

test("a host that is alone does not admit more than the quota", () => {
    const admitted = offer(createQuotas(1), 5_000, [10_000, 30_000]);
    assert.ok(admitted < 1_300 && admitted > 950, String(admitted));
});

test("a host that hears nobody does not admit more than its part of the quota", () => {
    const admitted = offer(createQuotas(10), 5_000, [10_000, 30_000]);
    assert.ok(admitted < 160, String(admitted));
});

test("a silent host's part of the quota is not used by others", () => {
    const quotas = createQuotas(4);
    let admitted = 0;
    for (let now = 0; now < 30_000; now += 500) {
        quotas.recordUse("b", [], now);
        admitted = now < 10_000 ? 0 : admitted + offer(quotas, 5_000, [now, now + 500]) / 2;
    }
    assert.ok(admitted / 20 < 600, `${admitted / 20} of 500 for two of four hosts`);
});

test("tokens that another host reports count once, however often its report is repeated or lost", () => {
    const quotas = createQuotas(2);
    for (let now = 0; now <= 10_000; now += 500) {
        quotas.recordUse("b", [], now);
    }
    const rateAfter = (milliseconds: number): number => Math.round(900 / 3 * Math.exp(-milliseconds / 3_000));
    const levels = [100, 600, 1_500].map(after => {
        const rate = rateAfter(after);
        quotas.recordUse("b", [{ account: "a", admitted: rate, offered: rate }], 10_000 + after);
        return quotas.describe("a", 10_000 + after)?.levelTokens ?? 0;
    });
    assert.ok(Math.abs((levels[0] ?? 0) - 130) < 20, `${levels.join()}: 900 tokens are used up at once`);
    assert.ok((levels[2] ?? 0) > 900, `${levels.join()}: and refilled a second later`);
});

test("tokens that were given back are not lost to the account", () => {
    const quotas = createQuotas(1);
    quotas.ownUse(9_000);
    quotas.admit("a", 800, 10_000);
    quotas.giveBack("a", 800, 10_000);
    assert.equal(quotas.describe("a", 10_000)?.levelTokens, 1_000);
    assert.equal(quotas.ownUse(10_000)?.[0]?.admitted, 0);
});

test("a refused caller is not told to come back before there is room", () => {
    const quotas = createQuotas(1);
    offer(quotas, 10_000, [10_000, 15_000]);
    const decisions = Array.from({ length: 20 }, () => quotas.admit("a", 2_000, 15_000));
    const refused = decisions.flatMap(decision =>
        decision.type === "over-quota" ? decision.retryAfterMilliseconds : []
    );
    assert.ok(refused.length > 10);
    assert.ok(Math.min(...refused) >= 1_000, String(Math.min(...refused)));
    assert.ok(new Set(refused).size > 10, "callers are spread");
});

test("a removed account leaves nothing behind, and an idle one no state that grows", () => {
    const accounts = Array.from({ length: 500 }, (_, index) => createAccount(`account-${index}`));
    const quotas = createQuotas(1, accounts);
    accounts.forEach(({ name }) => quotas.admit(name, 300, 1_000));
    assert.equal(quotas.ownUse(1_000)?.length, 64, "a message has room for 64");
    assert.equal(quotas.quotaUse(1_000).size, 65);
    quotas.ownUse(40_000);
    assert.equal(quotas.admittedRates(40_000).size, 0);
    quotas.setAccounts([], 41_000);
    assert.equal(quotas.describe("account-1", 41_000), undefined);
    assert.equal(quotas.ownUse(41_000), undefined);
});
