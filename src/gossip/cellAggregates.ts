/**
 * Aggregates of host digests, published to hosts of other cells.
 *
 * @module
 */
import {
    type CrashReport,
    type EngineMemory,
    type FleetSummary,
    type HostDigest,
    type IssuerVotes,
    type LimitReport,
} from "../generated/gossip.js";
import { sumAccountUse, type UseSelection } from "./accountUse.js";
import { type HostWithZone } from "./cells.js";

/** Digests and aggregates are dropped after this time as out of date. */
const MESSAGE_LIFETIME_MILLISECONDS = 2_000;

/** Receivers of an aggregate in another cell: its representative, and one more in case that one has stopped. */
const RECEIVERS_PER_CELL = 2;

/** Engines per aggregate; fewer in scope `rest`, which is sent to all hosts of a cell at once, over narrow links. */
const MAXIMUM_ENGINES: Readonly<Record<FleetSummary["scope"], number>> = { cell: 64, rest: 16 };

/** Limit of each other list of an aggregate. */
const MAXIMUM_LIST_ENTRIES = 256;

/** Rate limits per aggregate, each with the votes for its issuers. */
const MAXIMUM_LIMITS: Readonly<Record<FleetSummary["scope"], number>> = { cell: 64, rest: 16 };

/** Limit of the votes for issuers of permits in an aggregate. */
const MAXIMUM_VOTES = 1_024;

/** The host that sends an aggregate, and its cell. */
export interface AggregateSender {
    readonly host: string;
    /** The first host of the sender's cell. */
    readonly cell: string;
    /** What the host knows of crashes, its own and what others have reported; `undefined` for nothing. */
    readonly crashes?: CrashReport | undefined;
    /** Chooses the accounts whose use an aggregate has room for; by default, all of them. */
    readonly selectUse?: UseSelection;
}

/** The fields of a digest or an aggregate that are added up. */
type AggregatePart = Omit<FleetSummary, "type" | "scope" | "cell" | "host">;

interface Received<Message> {
    readonly message: Message;
    readonly atMilliseconds: number;
}

/** Converts a digest; its host is listed only where it is ready for callers and not leaving. */
function toAggregatePart(digest: HostDigest): AggregatePart {
    const { accountUse, addresses, host, leaving, limits = [], partitioned, ready } = digest;
    return {
        ...digest,
        ...accountUse === undefined ? {} : { accountUseHosts: 1 },
        partitionedHosts: partitioned === true ? [host] : [],
        state: addresses.state,
        hosts: ready && !leaving ? [host] : [],
        limits: limits.map(({ report }) => report),
        issuerVotes: limits.flatMap(({ issuer, report: { upstream } }) =>
            issuer === undefined ? [] : [{ upstream, issuer, votes: 1 }]
        ),
    };
}

/** Adds the time since a message was received to the ages in its reports. */
function withPresentAges(
    { atMilliseconds, message }: Received<AggregatePart>,
    nowMilliseconds: number,
): AggregatePart {
    const heldMilliseconds = Math.round(nowMilliseconds - atMilliseconds);
    const limits = message.limits?.map(report => ({
        ...report,
        sentAgeMilliseconds: report.sentAgeMilliseconds + heldMilliseconds,
        receivedAgeMilliseconds: report.receivedAgeMilliseconds + heldMilliseconds,
    }));
    return { ...message, limits };
}

/** Returns the latest report of each upstream's limit. */
function latestLimits(parts: readonly AggregatePart[]): LimitReport[] {
    const latest = new Map<string, LimitReport>();
    for (const report of parts.flatMap(({ limits = [] }) => limits)) {
        const known = latest.get(report.upstream);
        if (known === undefined || report.sentAgeMilliseconds < known.sentAgeMilliseconds) {
            latest.set(report.upstream, report);
        }
    }
    return [...latest.values()];
}

/** Adds up the votes for the issuers of some limits. */
function sumVotes(parts: readonly AggregatePart[], limits: readonly LimitReport[]): IssuerVotes[] {
    const upstreams = new Set(limits.map(({ upstream }) => upstream));
    const totals = new Map<string, IssuerVotes>();
    for (const { issuer, upstream, votes } of parts.flatMap(({ issuerVotes = [] }) => issuerVotes)) {
        const key = JSON.stringify([upstream, issuer]);
        if (upstreams.has(upstream)) {
            totals.set(key, { upstream, issuer, votes: votes + (totals.get(key)?.votes ?? 0) });
        }
    }
    return [...totals.values()].slice(0, MAXIMUM_VOTES);
}

function sumByKey(parts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
    const totals: Record<string, number> = {};
    for (const part of parts) {
        for (const [name, amount] of Object.entries(part)) {
            totals[name] = (totals[name] ?? 0) + amount;
        }
    }
    return totals;
}

function partWithNewestConfiguration(parts: readonly AggregatePart[]): AggregatePart | undefined {
    let newest = parts[0];
    for (const part of parts) {
        newest = part.configurationVersion > (newest?.configurationVersion ?? 0) ? part : newest;
    }
    return newest;
}

/** Returns the latest memory record of each engine, by its order count. */
function latestEngineMemories(parts: readonly AggregatePart[]): EngineMemory[] {
    const memories = new Map<string, EngineMemory>();
    for (const memory of parts.flatMap(({ engines }) => engines)) {
        const known = memories.get(memory.engine);
        if (known === undefined || memory.orderCount >= known.orderCount) {
            memories.set(memory.engine, memory);
        }
    }
    return [...memories.values()];
}

/** Returns a page of the entries where they exceed the limit of one message; each round returns the next page. */
function pageOf<Entry>(entries: readonly Entry[], maximumEntries: number, round: number): Entry[] {
    const pages = Math.max(1, Math.ceil(entries.length / maximumEntries));
    const first = (round % pages) * maximumEntries;
    return entries.slice(first, first + maximumEntries);
}

/** Removes expired messages and returns those that remain. */
function removeExpired<Message>(
    received: Map<string, Received<Message>>,
    nowMilliseconds: number,
): Received<Message>[] {
    for (const [name, { atMilliseconds }] of received) {
        if (nowMilliseconds - atMilliseconds > MESSAGE_LIFETIME_MILLISECONDS) {
            received.delete(name);
        }
    }
    return [...received.values()];
}

/**
 * Adds up the digests of a cell for the other cells, and the aggregates of the other cells for the hosts of its own.
 *
 * @example
 * ```ts
 * const aggregates = new CellAggregates();
 * aggregates.recordDigest(digestOfCellPeer, now);
 * send(aggregates.aggregateOfCell(sender, ownDigest, now), receivers);
 * aggregates.recordAggregate(aggregateOfAnotherCell, now);
 * send(aggregates.aggregateOfOtherCells(sender, now), cellPeers);
 * ```
 */
export class CellAggregates {
    readonly #digests = new Map<string, Received<HostDigest>>();
    readonly #aggregates = new Map<string, Received<FleetSummary>>();
    /** Number of aggregates built so far, by scope. */
    readonly #rounds = { cell: 0, rest: 0 };

    /** Records the digest of a host of the own cell. */
    recordDigest(digest: HostDigest, nowMilliseconds: number): void {
        this.#digests.set(digest.host, { message: digest, atMilliseconds: nowMilliseconds });
    }

    /** Records the aggregate of another cell. */
    recordAggregate(summary: FleetSummary, nowMilliseconds: number): void {
        this.#aggregates.set(summary.cell, { message: summary, atMilliseconds: nowMilliseconds });
    }

    /** Returns the aggregate of the own cell. */
    aggregateOfCell(sender: AggregateSender, ownDigest: HostDigest, nowMilliseconds: number): FleetSummary {
        const peers = removeExpired(this.#digests, nowMilliseconds)
            .filter(({ message }) => message.host !== ownDigest.host)
            .map(({ atMilliseconds, message }) => ({ atMilliseconds, message: toAggregatePart(message) }));
        const parts = peers.map(part => withPresentAges(part, nowMilliseconds));
        return this.#aggregate(sender, "cell", [toAggregatePart(ownDigest), ...parts]);
    }

    /** Returns the aggregate of all other cells; `undefined` where none was received recently. */
    aggregateOfOtherCells(sender: AggregateSender, nowMilliseconds: number): FleetSummary | undefined {
        const others = removeExpired(this.#aggregates, nowMilliseconds)
            .filter(({ message }) => message.cell !== sender.cell)
            .map(part => withPresentAges(part, nowMilliseconds));
        return others.length === 0 ? undefined : this.#aggregate(sender, "rest", others);
    }

    /** Returns the receivers in another cell: the host that last sent its aggregate, and other hosts in rotation. */
    receiversOf(cell: readonly HostWithZone[]): string[] {
        const names = cell.map(({ host }) => host);
        const lastSender = this.#aggregates.get(names[0] ?? "")?.message.host;
        const rotated = names.map((_, index) => names[(this.#rounds.cell + index) % names.length] ?? "");
        const preferred = lastSender !== undefined && names.includes(lastSender) ? [lastSender] : [];
        return [...new Set([...preferred, ...rotated])].slice(0, RECEIVERS_PER_CELL);
    }

    #aggregate(
        sender: AggregateSender,
        scope: FleetSummary["scope"],
        parts: readonly AggregatePart[],
    ): FleetSummary {
        this.#rounds[scope] += 1;
        const newest = partWithNewestConfiguration(parts);
        const limits = pageOf(latestLimits(parts), MAXIMUM_LIMITS[scope], this.#rounds[scope]);
        const issuerVotes = sumVotes(parts, limits);
        const partitionedHosts = parts.flatMap(part => part.partitionedHosts ?? []);
        return {
            type: "summary",
            scope,
            cell: sender.cell,
            host: sender.host,
            hosts: parts.flatMap(({ hosts }) => hosts),
            state: newest?.state ?? "",
            configurationVersion: newest?.configurationVersion ?? 0,
            storeRevision: Math.max(0, ...parts.map(({ storeRevision }) => storeRevision)),
            inFlight: sumByKey(parts.map(({ inFlight }) => inFlight)),
            unreachable: [...new Set(parts.flatMap(({ unreachable }) => unreachable))].slice(0, MAXIMUM_LIST_ENTRIES),
            leavingRuns: parts.flatMap(({ leavingRuns }) => leavingRuns).slice(0, MAXIMUM_LIST_ENTRIES),
            ...limits.length === 0 ? {} : { limits },
            ...issuerVotes.length === 0 ? {} : { issuerVotes },
            demand: sumByKey(parts.map(({ demand }) => demand)),
            adapterDemand: sumByKey(parts.map(({ adapterDemand }) => adapterDemand)),
            readingDemand: sumByKey(parts.map(({ readingDemand }) => readingDemand)),
            engines: pageOf(latestEngineMemories(parts), MAXIMUM_ENGINES[scope], this.#rounds[scope]),
            relinquished: parts.flatMap(({ relinquished }) => relinquished).slice(0, MAXIMUM_LIST_ENTRIES),
            suspects: [],
            hearsUpstreams: parts.some(({ hearsUpstreams }) => hearsUpstreams === true),
            ...sumAccountUse(parts, sender.selectUse ?? (use => use)),
            ...partitionedHosts.length === 0 ? {} : { partitionedHosts },
            ...sender.crashes === undefined ? {} : { crashes: sender.crashes },
        };
    }
}
