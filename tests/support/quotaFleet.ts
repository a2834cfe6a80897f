/**
 * A simulated fleet of hosts that keep the quotas of client accounts, in virtual time and without sockets.
 *
 * @module
 */
import { type AccountQuota } from "../../src/accounts/index.js";
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { AccountQuotas, type AccountUse } from "../../src/quotas/index.js";

export const STEP_MILLISECONDS = 10;

/** Window over which a quota holds, and the tokens beyond it that are allowed there. */
export const WINDOW_SECONDS = 8;
export const SLACK_TOKENS = 7_400;

const CELL_HOSTS = 12;
const AGGREGATE_MILLISECONDS = 2_000;
const MINIMUM_TOKENS = 90;
const MAXIMUM_TOKENS = 2_300;
const MEAN_TOKENS = (MINIMUM_TOKENS + MAXIMUM_TOKENS) / 2;

/** What happens to hosts for a time. */
export interface QuotaFault {
    readonly type: "cut" | "freeze" | "restart";
    readonly hosts: ReadonlySet<number>;
    readonly beginMilliseconds: number;
    readonly endMilliseconds: number;
}

/** Callers of one account. */
export interface AccountLoad {
    readonly name: string;
    readonly quota: AccountQuota;
    /** Tokens a second that callers ask for, relative to the first quota. */
    readonly offered: (nowMilliseconds: number) => number;
    /** Number of hosts that callers connect to, the first ones. */
    readonly usedHosts: (nowMilliseconds: number) => number;
    /** When the quota becomes this part of it, and which. */
    readonly lowered?: { readonly atMilliseconds: number; readonly part: number; } | undefined;
}

export interface QuotaFleetOptions {
    readonly seed: number;
    readonly hostCount: number;
    readonly durationMilliseconds: number;
    /** Part of the messages that are lost. */
    readonly loss: number;
    readonly accounts: readonly AccountLoad[];
    readonly faults: readonly QuotaFault[];
}

/** What came of an account's requests, by step. */
export interface PlayedAccount {
    readonly offered: Float64Array;
    readonly admitted: Float64Array;
    /** What an exact token bucket would have admitted. */
    readonly exact: Float64Array;
    readonly retryMilliseconds: number[];
}

interface Heard {
    readonly use: ReadonlyMap<string, AccountUse>;
    readonly hosts: number;
    readonly at: number;
}

interface Host {
    readonly index: number;
    quotas: AccountQuotas;
    nextDigest: number;
    isCut: boolean;
    isFrozen: boolean;
    isDown: boolean;
    readonly mates: Map<number, Heard>;
    readonly cells: Map<number, Heard>;
    readonly held: (() => void)[];
}

function addUp(parts: readonly Heard[]): { use: Map<string, AccountUse>; hosts: number; } {
    const use = new Map<string, AccountUse>();
    let hosts = 0;
    for (const part of parts) {
        hosts += part.hosts;
        for (const [account, { admitted, offered }] of part.use) {
            const known = use.get(account);
            use.set(account, {
                account,
                admitted: admitted + (known?.admitted ?? 0),
                offered: offered + (known?.offered ?? 0),
            });
        }
    }
    return { use, hosts };
}

function addAt(values: Float64Array, index: number, tokens: number): void {
    values[index] = (values[index] ?? 0) + tokens;
}

/** Plays a fleet: digests within cells, aggregates between them one round later. */
export class QuotaFleet {
    readonly #options: QuotaFleetOptions;
    readonly #random: RandomSource;
    readonly #hosts: Host[];
    readonly #cells: Host[][];
    #now = 0;

    constructor(options: QuotaFleetOptions) {
        this.#options = options;
        this.#random = createSeededRandom(options.seed);
        this.#hosts = Array.from({ length: options.hostCount }, (_, index) => ({
            index,
            quotas: this.#createQuotas(index),
            nextDigest: this.#random() * 470,
            isCut: false,
            isFrozen: false,
            isDown: false,
            mates: new Map(),
            cells: new Map(),
            held: [],
        }));
        const cellCount = Math.ceil(options.hostCount / CELL_HOSTS);
        const bound = (cell: number): number => Math.floor(cell * options.hostCount / cellCount);
        this.#cells = Array.from({ length: cellCount }, (_, cell) => this.#hosts.slice(bound(cell), bound(cell + 1)));
    }

    run(): Map<string, PlayedAccount> {
        const { accounts, durationMilliseconds, faults } = this.#options;
        const steps = Math.ceil(durationMilliseconds / STEP_MILLISECONDS);
        const played = new Map(accounts.map(({ name }) => [name, {
            offered: new Float64Array(steps),
            admitted: new Float64Array(steps),
            exact: new Float64Array(steps),
            retryMilliseconds: [],
        }]));
        const levels = new Map(accounts.map(({ name, quota }) => [name, quota.burstTokens]));
        const cellOf = new Map(this.#cells.flatMap((cell, index) => cell.map(host => [host, index] as const)));
        for (let step = 0; step < steps; step += 1) {
            this.#now = step * STEP_MILLISECONDS;
            faults.forEach(fault => this.#apply(fault));
            for (const host of this.#hosts) {
                if (this.#now >= host.nextDigest && !host.isDown && !host.isFrozen) {
                    host.nextDigest = this.#now + 400 + this.#random() * 140;
                    this.#publish(host, cellOf.get(host) ?? 0);
                }
            }
            for (const load of accounts) {
                const of = played.get(load.name);
                if (of !== undefined) {
                    this.#request(load, of, step, levels);
                }
            }
            accounts.forEach(load => this.#lower(load));
        }
        return played;
    }

    #createQuotas(index: number): AccountQuotas {
        const quotas = new AccountQuotas({
            random: createSeededRandom(this.#options.seed * 7_919 + index + this.#now),
            hostCount: () => this.#options.hostCount,
            hearsPeers: () => true,
            slackTokensPerSecond: SLACK_TOKENS / WINDOW_SECONDS,
        });
        this.#configure(quotas);
        return quotas;
    }

    #configure(quotas: AccountQuotas): void {
        const accounts = this.#options.accounts.map(({ lowered, name, quota }) => {
            const part = lowered !== undefined && this.#now >= lowered.atMilliseconds ? lowered.part : 1;
            return {
                name,
                keyDigests: [],
                priority: undefined,
                plainTokens: 200,
                quota: { tokensPerSecond: quota.tokensPerSecond * part, burstTokens: quota.burstTokens * part },
            };
        });
        quotas.setAccounts(accounts, this.#now);
    }

    #lower({ lowered }: AccountLoad): void {
        if (
            lowered !== undefined && this.#now >= lowered.atMilliseconds
            && this.#now < lowered.atMilliseconds + STEP_MILLISECONDS
        ) {
            this.#hosts.forEach(host => this.#deliver(host, () => this.#configure(host.quotas)));
        }
    }

    #apply({ beginMilliseconds, endMilliseconds, hosts, type }: QuotaFault): void {
        const begins = this.#now >= beginMilliseconds && this.#now < beginMilliseconds + STEP_MILLISECONDS;
        const ends = this.#now >= endMilliseconds && this.#now < endMilliseconds + STEP_MILLISECONDS;
        if (!begins && !ends) {
            return;
        }
        for (const index of hosts) {
            const host = this.#hosts[index];
            if (host === undefined) {
                continue;
            }
            if (type === "cut") {
                host.isCut = begins;
            }
            else if (type === "freeze") {
                host.isFrozen = begins;
                if (ends) {
                    host.held.splice(0).forEach(act => act());
                }
            }
            else {
                host.isDown = begins;
                host.mates.clear();
                host.cells.clear();
                host.quotas = this.#createQuotas(index);
            }
        }
    }

    #deliver(host: Host, act: () => void): void {
        if (host.isFrozen) {
            host.held.push(act);
        }
        else if (!host.isDown) {
            act();
        }
    }

    #send(from: Host, to: Host, act: () => void): void {
        if (!from.isCut && !to.isCut && !to.isDown && this.#random() >= this.#options.loss) {
            this.#deliver(to, act);
        }
    }

    #publish(host: Host, cellIndex: number): void {
        const now = this.#now;
        const cell = this.#cells[cellIndex] ?? [];
        const use = host.quotas.ownUse(now) ?? [];
        const heard: Heard = { use: new Map(use.map(entry => [entry.account, entry])), hosts: 1, at: now };
        for (const mate of cell) {
            if (mate !== host) {
                this.#send(host, mate, () => {
                    mate.mates.set(host.index, { ...heard, at: this.#now });
                    mate.quotas.recordUse(`host-${host.index}`, use, this.#now);
                });
            }
        }
        if (this.#cells.length > 1 && this.#representative(cell) === host) {
            this.#publishAggregates(host, cellIndex, heard);
        }
    }

    #representative(cell: readonly Host[]): Host | undefined {
        return cell.find(({ isCut, isDown, isFrozen }) => !isCut && !isDown && !isFrozen);
    }

    #publishAggregates(host: Host, cellIndex: number, own: Heard): void {
        const now = this.#now;
        const isRecent = ({ at }: Heard): boolean => now - at <= AGGREGATE_MILLISECONDS;
        const sum = { ...addUp([own, ...[...host.mates.values()].filter(isRecent)]), at: now };
        this.#cells.forEach((cell, index) => {
            const receivers = [this.#representative(cell), cell[Math.floor(this.#random() * cell.length)]];
            for (const receiver of index === cellIndex ? [] : new Set(receivers)) {
                if (receiver !== undefined) {
                    this.#send(host, receiver, () => receiver.cells.set(cellIndex, { ...sum, at: this.#now }));
                }
            }
        });
        const cells = [...host.cells.values()].filter(isRecent);
        if (cells.length > 0) {
            const { hosts, use } = addUp(cells);
            const report = [...use.values()];
            const record = (to: Host): void => to.quotas.recordUse("(rest)", report, this.#now, { hosts });
            record(host);
            (this.#cells[cellIndex] ?? []).forEach(mate => mate !== host && this.#send(host, mate, () => record(mate)));
        }
    }

    #request(load: AccountLoad, played: PlayedAccount, step: number, levels: Map<string, number>): void {
        const { lowered, name, quota } = load;
        const part = lowered !== undefined && this.#now >= lowered.atMilliseconds ? lowered.part : 1;
        const seconds = STEP_MILLISECONDS / 1_000;
        const burst = quota.burstTokens * part;
        let level = Math.min(burst, (levels.get(name) ?? 0) + quota.tokensPerSecond * part * seconds);
        const mean = load.offered(this.#now) * quota.tokensPerSecond * seconds / MEAN_TOKENS;
        const usedHosts = load.usedHosts(this.#now);
        for (let left = this.#draw(mean); left > 0; left -= 1) {
            const tokens = Math.round(MINIMUM_TOKENS + this.#random() * (MAXIMUM_TOKENS - MINIMUM_TOKENS));
            const host = this.#hosts[Math.floor(this.#random() * usedHosts)];
            if (host === undefined || host.isDown) {
                continue;
            }
            addAt(played.offered, step, tokens);
            if (level >= Math.min(tokens, burst)) {
                level -= tokens;
                addAt(played.exact, step, tokens);
            }
            this.#deliver(host, () => {
                const decision = host.quotas.admit(name, tokens, this.#now);
                if (decision.type === "admitted") {
                    addAt(played.admitted, Math.floor(this.#now / STEP_MILLISECONDS), tokens);
                }
                else if (played.retryMilliseconds.length < 1_000) {
                    played.retryMilliseconds.push(decision.retryAfterMilliseconds);
                }
            });
        }
        levels.set(name, level);
    }

    /** Draws the number of requests in a step (Poisson). */
    #draw(mean: number): number {
        const limit = Math.exp(-mean);
        let count = 0;
        for (let product = this.#random(); product > limit; product *= this.#random()) {
            count += 1;
        }
        return count;
    }
}
