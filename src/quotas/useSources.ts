/**
 * The use that other hosts report.
 *
 * @module
 */
import { ADMITTED_TIME_CONSTANT_MILLISECONDS } from "./bucketReplica.js";
import { type AccountUse } from "./types.js";

/** A source's report counts for this long while others are heard: some lost messages do not end it. */
const SOURCE_LIFETIME_MILLISECONDS = 2_200;

/**
 * All reports expire this long after the last one of any source: this host is then cut off. Reports come every 400 to
 * 540 ms, so that a host with few sources loses two in a row of each, and one with many loses one of each.
 */
const SILENCE_MILLISECONDS = 1_300;
const SILENCE_OF_MANY_MILLISECONDS = 700;
const MANY_SOURCES = 4;

/** A change of the rates that the sources together report of an account. */
export interface ReportedChange {
    readonly account: string;
    /** Change of the admitted rate in tokens a second. */
    readonly admitted: number;
    /** The part of it that stands for tokens not yet counted. */
    readonly counted: number;
    /** Change of the offered rate in tokens a second. */
    readonly offered: number;
}

interface Source {
    use: ReadonlyMap<string, AccountUse>;
    hosts: number;
    atMilliseconds: number;
}

/** Adds the accounts that a report had no room for, with what is left of their averages without further use. */
function holdUse(
    { atMilliseconds, use }: Source,
    reported: Map<string, AccountUse>,
    nowMilliseconds: number,
): void {
    const decay = Math.exp((atMilliseconds - nowMilliseconds) / ADMITTED_TIME_CONSTANT_MILLISECONDS);
    for (const { account, admitted, offered } of use.values()) {
        if (!reported.has(account) && offered * decay >= 1) {
            reported.set(account, { account, admitted: admitted * decay, offered: offered * decay });
        }
    }
}

/** The reports of an account before and after a message. */
interface ChangedUse {
    readonly before: AccountUse | undefined;
    readonly after: AccountUse | undefined;
    /** Number of hosts that the report adds up, relative to the one before; `undefined` where there was none. */
    readonly growth: number | undefined;
    /** Part of the rate before that is left of a moving average without further requests. */
    readonly decayed: number;
}

/**
 * Returns the part of a change that stands for tokens. A rate that falls faster than a moving average can is that of a
 * host which was restarted, and has not taken its tokens back.
 */
function countChange(after: number, before: number, decayed: number): number {
    return Math.max(after, before * decayed) - before;
}

/** Options of {@linkcode UseSources.record}. */
export interface ReportOptions {
    /** Number of hosts that the report adds up. */
    readonly hosts: number;
    /** True where the report leaves accounts out for want of space. */
    readonly isPartial: boolean;
    readonly nowMilliseconds: number;
}

/**
 * Keeps the latest report of each source, and tells how it changes the sums.
 *
 * @example
 * ```ts
 * const sources = new UseSources(change => replicas.get(change.account)?.apply(change));
 * sources.record("entry-2", use, { hosts: 1, isPartial: false, nowMilliseconds: now });
 * sources.hosts; // 1
 * ```
 */
export class UseSources {
    readonly #onChange: (change: ReportedChange, nowMilliseconds: number) => void;
    readonly #sources = new Map<string, Source>();
    #hosts = 0;
    #heardAtMilliseconds = Number.NEGATIVE_INFINITY;
    #checksAtMilliseconds = Number.POSITIVE_INFINITY;

    constructor(onChange: (change: ReportedChange, nowMilliseconds: number) => void) {
        this.#onChange = onChange;
    }

    /** Number of hosts whose use the latest reports hold. */
    get hosts(): number {
        return this.#hosts;
    }

    /** Time of the oldest report in use; `undefined` where there is none. */
    get oldestAtMilliseconds(): number | undefined {
        const times = [...this.#sources.values()].map(({ atMilliseconds }) => atMilliseconds);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** Returns the sum of the reports of an account. */
    sum(account: string): Pick<AccountUse, "admitted" | "offered"> {
        let admitted = 0;
        let offered = 0;
        for (const { use } of this.#sources.values()) {
            admitted += use.get(account)?.admitted ?? 0;
            offered += use.get(account)?.offered ?? 0;
        }
        return { admitted, offered };
    }

    /** Replaces a source's report. */
    record(name: string, use: readonly AccountUse[], { hosts, isPartial, nowMilliseconds }: ReportOptions): void {
        this.expire(nowMilliseconds);
        const known = this.#sources.get(name);
        const reported = new Map(use.map(entry => [entry.account, entry]));
        if (known !== undefined && isPartial) {
            holdUse(known, reported, nowMilliseconds);
        }
        const decayed = known === undefined
            ? 0
            : Math.exp((known.atMilliseconds - nowMilliseconds) / ADMITTED_TIME_CONSTANT_MILLISECONDS);
        // A host that joins or leaves the sum has counted its use elsewhere, so only the rest of a change counts here.
        const growth = known === undefined || known.hosts === 0 ? undefined : hosts / known.hosts;
        for (const [account, before] of known?.use ?? []) {
            if (!reported.has(account)) {
                this.#change(account, { before, after: undefined, growth, decayed }, nowMilliseconds);
            }
        }
        for (const entry of reported.values()) {
            const before = known?.use.get(entry.account);
            this.#change(entry.account, { before, after: entry, growth, decayed }, nowMilliseconds);
        }
        this.#hosts += hosts - (known?.hosts ?? 0);
        this.#sources.set(name, { use: reported, hosts, atMilliseconds: nowMilliseconds });
        this.#heardAtMilliseconds = nowMilliseconds;
        this.#checksAtMilliseconds = Math.min(this.#checksAtMilliseconds, nowMilliseconds + this.#silenceMilliseconds);
    }

    /** Drops the reports that are too old; returns whether there were any. */
    expire(nowMilliseconds: number): boolean {
        if (nowMilliseconds <= this.#checksAtMilliseconds) {
            return false;
        }
        const before = this.#sources.size;
        const silentAt = this.#heardAtMilliseconds + this.#silenceMilliseconds;
        const isSilent = nowMilliseconds > silentAt;
        let nextAt = silentAt;
        for (const [name, { atMilliseconds, hosts, use }] of this.#sources) {
            const expiresAt = atMilliseconds + SOURCE_LIFETIME_MILLISECONDS;
            if (isSilent || nowMilliseconds > expiresAt) {
                this.#sources.delete(name);
                this.#hosts -= hosts;
                const gone = { after: undefined, growth: undefined, decayed: 0 };
                use.forEach(before => this.#change(before.account, { before, ...gone }, nowMilliseconds));
            }
            else {
                nextAt = Math.min(nextAt, expiresAt);
            }
        }
        this.#checksAtMilliseconds = this.#sources.size === 0 ? Number.POSITIVE_INFINITY : nextAt;
        return this.#sources.size < before;
    }

    get #silenceMilliseconds(): number {
        return this.#sources.size < MANY_SOURCES ? SILENCE_MILLISECONDS : SILENCE_OF_MANY_MILLISECONDS;
    }

    /** Drops all reports. */
    clear(nowMilliseconds: number): void {
        this.#heardAtMilliseconds = Number.NEGATIVE_INFINITY;
        this.#checksAtMilliseconds = Number.NEGATIVE_INFINITY;
        this.expire(nowMilliseconds);
    }

    #change(account: string, { after, before, decayed, growth }: ChangedUse, nowMilliseconds: number): void {
        const admitted = (after?.admitted ?? 0) - (before?.admitted ?? 0);
        const offered = (after?.offered ?? 0) - (before?.offered ?? 0);
        const counted = growth === undefined
            ? 0
            : countChange(after?.admitted ?? 0, (before?.admitted ?? 0) * growth, decayed);
        this.#onChange({ account, admitted, counted, offered }, nowMilliseconds);
    }
}
