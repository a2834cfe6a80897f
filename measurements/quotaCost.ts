/**
 * Measures what quotas cost a host: a decision, and use in messages. Run with `npx tsx measurements/quotaCost.ts`.
 *
 * @module
 */
import { type Account } from "../src/accounts/index.js";
import { createSeededRandom } from "../src/decision/index.js";
import { decodeAccountUse, encodeAccountUse } from "../src/gossip/index.js";
import { AccountQuotas, type AccountUse } from "../src/quotas/index.js";

const DECISIONS = 400_000;
const MESSAGES = 4_000;
const CELL_PEERS = 11;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const ROUND_MILLISECONDS = 470;

function createAccounts(count: number): Account[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `hule${String(index).padStart(4, "0")}`,
        keyDigests: [],
        priority: undefined,
        plainTokens: 200,
        quota: { tokensPerSecond: 100_000, burstTokens: 100_000 },
    }));
}

/** Runs an action many times and returns the mean time of one. */
function measureMicroseconds(times: number, act: (index: number) => void): string {
    for (let index = 0; index < times / 10; index += 1) {
        act(index);
    }
    const before = process.cpuUsage();
    for (let index = 0; index < times; index += 1) {
        act(index);
    }
    const { system, user } = process.cpuUsage(before);
    return ((system + user) / times).toFixed(3);
}

for (const accountCount of [1, 16, 64, 1_000]) {
    for (const hostCount of [3, 73, 390, 1_000]) {
        const accounts = createAccounts(accountCount);
        const random = createSeededRandom(1);
        const quotas = new AccountQuotas({ random, hostCount: () => hostCount, hearsPeers: () => true });
        quotas.setAccounts(accounts, 0);
        const use = (tokens: number): AccountUse[] =>
            accounts.slice(0, 64).map(({ name }) => ({ account: name, admitted: tokens, offered: tokens + 100 }));
        let now = 10_000;
        const peers = Math.min(CELL_PEERS, hostCount - 1);
        const hear = (index: number): void => {
            now += ROUND_MILLISECONDS / (peers + 1);
            quotas.recordUse(`host-${index % peers}`, use(800 + index % 7), now);
        };
        Array.from({ length: 100 }, (_, index) => hear(index));
        const admit = measureMicroseconds(DECISIONS, index => {
            quotas.admit(accounts[index % accountCount]?.name ?? "", 300, now + index / MICROSECONDS_PER_MILLISECOND);
        });
        now += DECISIONS / MICROSECONDS_PER_MILLISECOND;
        const record = measureMicroseconds(MESSAGES, hear);
        const own = measureMicroseconds(MESSAGES / 10, () => quotas.ownUse(now));
        const text = JSON.stringify(encodeAccountUse(use(12_345)));
        const encode = measureMicroseconds(MESSAGES, index => JSON.stringify(encodeAccountUse(use(index))));
        const decode = measureMicroseconds(
            MESSAGES,
            () => decodeAccountUse(JSON.parse(text) as Record<string, number[]>),
        );
        console.log(
            `${accountCount} accounts, ${hostCount} hosts: admit ${admit} us, a report applied ${record} us, own use ${own} us, `
                + `encoded ${encode} us, decoded ${decode} us, ${text.length} bytes`,
        );
    }
}
