/**
 * Sums of what hosts tell, for those that are not in their cell.
 *
 * @module
 */
import { type CrashSuspect, type EngineMemory, type FleetSummary, type HostDigest } from "../generated/gossip.js";
import { type PlacedHost } from "./cells.js";

/** A digest or a sum says little after this time. */
const LIFETIME_MILLISECONDS = 2_000;

/** Hosts of another cell that get a sum: the one that speaks for it, and one that follows when that one is gone. */
const RECEIVERS_OF_CELL = 2;

/** Engines that one sum describes at most; the sum of the rest goes to all hosts of a cell at once, over narrow links. */
const MOST_ENGINES_TOLD: Readonly<Record<FleetSummary["scope"], number>> = { cell: 64, rest: 16 };

/** Most entries of the other lists. */
const MOST_TOLD = 256;

/** Who sends a sum. */
export interface AggregateSender {
    readonly host: string;
    /** The first host of the sender's cell. */
    readonly cell: string;
}

/** What a digest and a sum have in common. */
type Told = Omit<FleetSummary, "type" | "scope" | "cell" | "host">;

interface Heard<Message> {
    readonly message: Message;
    readonly atMilliseconds: number;
}

function toldBy(digest: HostDigest): Told {
    const { addresses, host, leaving, ready } = digest;
    return { ...digest, state: addresses.state, hosts: ready && !leaving ? [host] : [] };
}

function addUp(parts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const part of parts) {
        for (const [name, amount] of Object.entries(part)) {
            sums[name] = (sums[name] ?? 0) + amount;
        }
    }
    return sums;
}

function newestOf(parts: readonly Told[]): Told | undefined {
    let newest = parts[0];
    for (const part of parts) {
        newest = part.configurationVersion > (newest?.configurationVersion ?? 0) ? part : newest;
    }
    return newest;
}

function latestMemories(parts: readonly Told[]): EngineMemory[] {
    const memories = new Map<string, EngineMemory>();
    for (const memory of parts.flatMap(({ engines }) => engines)) {
        const known = memories.get(memory.engine);
        if (known === undefined || memory.orderCount >= known.orderCount) {
            memories.set(memory.engine, memory);
        }
    }
    return [...memories.values()];
}

/** Gives a part of the engines where they are too many for one message; the next turn has the next part. */
function partOf(memories: readonly EngineMemory[], most: number, turn: number): EngineMemory[] {
    const parts = Math.max(1, Math.ceil(memories.length / most));
    const first = (turn % parts) * most;
    return memories.slice(first, first + most);
}

function freshOf<Message>(heard: Map<string, Heard<Message>>, nowMilliseconds: number): Message[] {
    for (const [name, { atMilliseconds }] of heard) {
        if (nowMilliseconds - atMilliseconds > LIFETIME_MILLISECONDS) {
            heard.delete(name);
        }
    }
    return [...heard.values()].map(({ message }) => message);
}

/**
 * Adds up the digests of a cell for the other cells, and the sums of the other cells for the hosts of its own.
 *
 * @example
 * ```ts
 * const summaries = new CellSummaries();
 * summaries.hearDigest(digestOfMate, now);
 * send(summaries.sumOfCell(sender, ownDigest, now), receivers);
 * summaries.hear(sumOfAnotherCell, now);
 * send(summaries.sumOfRest(sender, now), mates);
 * ```
 */
export class CellAggregates {
    readonly #digests = new Map<string, Heard<HostDigest>>();
    readonly #cells = new Map<string, Heard<FleetSummary>>();
    /** Suspects yet to be passed on: each host tells its own once. */
    readonly #suspectsOfCell: CrashSuspect[] = [];
    readonly #suspectsOfRest: CrashSuspect[] = [];
    /** Sums given so far, of each scope. */
    readonly #turns = { cell: 0, rest: 0 };

    /** Takes the digest of a host of the own cell. */
    recordDigest(digest: HostDigest, nowMilliseconds: number): void {
        this.#digests.set(digest.host, { message: digest, atMilliseconds: nowMilliseconds });
        this.#suspectsOfCell.push(...digest.suspects);
    }

    /** Takes the sum of another cell. */
    recordAggregate(summary: FleetSummary, nowMilliseconds: number): void {
        this.#cells.set(summary.cell, { message: summary, atMilliseconds: nowMilliseconds });
        this.#suspectsOfRest.push(...summary.suspects);
    }

    /** Gives the sum of the own cell. */
    aggregateOfCell(sender: AggregateSender, own: HostDigest, nowMilliseconds: number): FleetSummary {
        const mates = freshOf(this.#digests, nowMilliseconds).filter(({ host }) => host !== own.host);
        const suspects = [...own.suspects, ...this.#suspectsOfCell.splice(0)];
        return this.#sum(sender, "cell", [own, ...mates].map(toldBy), suspects);
    }

    /** Gives the sum of all other cells; `undefined` where none was heard. */
    aggregateOfOtherCells(sender: AggregateSender, nowMilliseconds: number): FleetSummary | undefined {
        const others = freshOf(this.#cells, nowMilliseconds).filter(({ cell }) => cell !== sender.cell);
        const suspects = this.#suspectsOfRest.splice(0);
        return others.length === 0 ? undefined : this.#sum(sender, "rest", others, suspects);
    }

    /** Gives the hosts of another cell that get the sum: the one that spoke for it last, and others by turns. */
    receiversOf(cell: readonly PlacedHost[]): string[] {
        const names = cell.map(({ host }) => host);
        const spoke = this.#cells.get(names[0] ?? "")?.message.host;
        const byTurns = names.map((_, index) => names[(this.#turns.cell + index) % names.length] ?? "");
        const first = spoke !== undefined && names.includes(spoke) ? [spoke] : [];
        return [...new Set([...first, ...byTurns])].slice(0, RECEIVERS_OF_CELL);
    }

    #sum(
        sender: AggregateSender,
        scope: FleetSummary["scope"],
        parts: readonly Told[],
        suspects: readonly CrashSuspect[],
    ): FleetSummary {
        this.#turns[scope] += 1;
        const newest = newestOf(parts);
        return {
            type: "summary",
            scope,
            cell: sender.cell,
            host: sender.host,
            hosts: parts.flatMap(({ hosts }) => hosts),
            state: newest?.state ?? "",
            configurationVersion: newest?.configurationVersion ?? 0,
            storeRevision: Math.max(0, ...parts.map(({ storeRevision }) => storeRevision)),
            inFlight: addUp(parts.map(({ inFlight }) => inFlight)),
            unreachable: [...new Set(parts.flatMap(({ unreachable }) => unreachable))].slice(0, MOST_TOLD),
            leavingRuns: parts.flatMap(({ leavingRuns }) => leavingRuns).slice(0, MOST_TOLD),
            demand: addUp(parts.map(({ demand }) => demand)),
            adapterDemand: addUp(parts.map(({ adapterDemand }) => adapterDemand)),
            readingDemand: addUp(parts.map(({ readingDemand }) => readingDemand)),
            engines: partOf(latestMemories(parts), MOST_ENGINES_TOLD[scope], this.#turns[scope]),
            relinquished: parts.flatMap(({ relinquished }) => relinquished).slice(0, MOST_TOLD),
            suspects: suspects.slice(-MOST_TOLD),
        };
    }
}
