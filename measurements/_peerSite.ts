/**
 * What the peers of a host say, and the site that they and the host know: a cell of 11 hosts in a fleet of 6 cells, with
 * engines that the others hold.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type EngineMemory, type HostDigest } from "../src/generated/gossip.js";
import { CellAggregates, type GossipMessage } from "../src/gossip/index.js";
import { type PlatformStoreStandIn } from "../standins/platform/store.js";
import { type RepeatedMessages } from "../tests/support/busyMessages.js";
import { createDigest } from "../tests/support/digests.js";
import { callAuxiliaryServer } from "../tests/support/entrySite.js";

const MILLISECONDS_PER_SECOND = 1_000;
/** Of `/proc/<id>/stat`. */
const MILLISECONDS_PER_TICK = 10;

const CELL_PEERS = 10;
const OTHER_CELLS = 5;
const HOSTS_PER_CELL = 11;
const MODELS = 40;
/** Hosts of the cell that forward each change. */
const WATCHERS = 3;

export const MODEL_NAMES = Array.from({ length: MODELS }, (_, index) => `model-${index}a7f3`);
const BORN = 1_777_820_567_195;

/** The cell's hosts; the measured host, `entry-1`, comes after the three that watch the service. */
export const PEERS = Array.from(
    { length: CELL_PEERS },
    (_, index) => `${index < WATCHERS ? "core" : "front"}-${index}`,
);

/** The engines of the site, and where each is reached. */
export interface SiteEngines {
    readonly count: number;
    readonly addressOf: (index: number) => string;
}

/** Messages a second that a host receives, by type. */
export interface MessageRates {
    readonly digests: number;
    readonly summaries: number;
    readonly news: number;
    readonly changes: number;
}

export function engineName(index: number): string {
    return `i-${index}f48a9c01`;
}

export function modelsOf(index: number): string[] {
    return [0, 1].map(offset => MODEL_NAMES[(index + offset) % MODELS] ?? "");
}

/** Returns the announcement of an engine, for the first ones with another number of models each time. */
function announcementOf(engines: SiteEngines, index: number, round: number): object {
    return {
        service: "llm",
        address: engines.addressOf(index),
        zone: "zone-a",
        version: "v1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 40 + round,
        born: BORN,
        models: modelsOf(index).slice(0, 1 + round % 2).map(name => ({ name, adapters: [] })),
    };
}

/** Returns the memory of an engine after some orders; every second order loads another adapter. */
function memoryOf(index: number, round: number): EngineMemory {
    return {
        engine: engineName(index),
        startedAtMilliseconds: BORN,
        orderCount: 10 + round,
        models: modelsOf(index).map(name => ({
            name,
            adapters: [0, 1, 2].map(adapter => `a${(adapter + Math.floor(round / 2)) % 4}`),
        })),
    };
}

function enginesOf({ count }: SiteEngines, hostIndex: number): number[] {
    return Array.from({ length: count }, (_, index) => index).filter(index => index % CELL_PEERS === hostIndex);
}

/** Returns a host's digest, of about 1.7 KB; the engines that it holds change rarely. */
function digestOf(engines: SiteEngines, hostIndex: number, round: number, base: Partial<HostDigest>): HostDigest {
    const host = base.host ?? PEERS[hostIndex] ?? "";
    const inFlight = Object.fromEntries(
        Array.from({ length: 12 }, (_, index) => [engineName((hostIndex + index * 5) % engines.count), 1 + round % 4]),
    );
    const adaptersInUse = Object.fromEntries(
        Object.keys(inFlight).slice(0, 4).map(engine => [engine, [`${MODEL_NAMES[0] ?? ""}/a1`]]),
    );
    return createDigest(host, {
        zone: "zone-a",
        sequence: round + 1,
        configurationVersion: 1,
        inFlight,
        adaptersInUse,
        engines: enginesOf(engines, hostIndex).slice(0, 3).map(index => memoryOf(index, Math.floor(round / 10))),
        hearsUpstreams: true,
        build: "measured",
        crashes: {
            suspects: [],
            sound: [0, 1, 2].map(index => ({ attribute: `6f1e0a92c${index}`, ageMilliseconds: 200 + round })),
            convictions: [],
            trials: [],
        },
        ...base,
    });
}

/** Returns the aggregate of one other cell, or of all others, of about 6 KB. */
function summaryOf(engines: SiteEngines, cell: number, scope: "cell" | "rest", round: number): GossipMessage {
    const demand = Object.fromEntries(MODEL_NAMES.map((model, index) => [model, 0.1234 * (index + round)]));
    const aggregates = new CellAggregates();
    const cells = scope === "cell" ? [cell] : Array.from({ length: OTHER_CELLS }, (_, index) => index + 1);
    for (const each of cells) {
        const partDemand = { demand, adapterDemand: demand, readingDemand: {} };
        const digests = Array.from(
            { length: HOSTS_PER_CELL },
            (_, index) =>
                digestOf(engines, index, round, { host: `far-${each}-${index}`, zone: `zone-${each}`, ...partDemand }),
        );
        const [own = digestOf(engines, 0, round, {}), ...others] = digests;
        others.forEach(digest => aggregates.recordDigest(digest, 0));
        const sender = { host: own.host, cell: own.host, crashes: own.crashes };
        const summary = aggregates.aggregateOfCell(sender, own, 0);
        if (scope === "cell") {
            return summary;
        }
        aggregates.recordAggregate(summary, 0);
    }
    const sender = { host: PEERS[0] ?? "", cell: PEERS[0] ?? "" };
    return aggregates.aggregateOfOtherCells(sender, 0) ?? digestOf(engines, 0, round, {});
}

/** Writes a few announcements each time and returns the changes as a watcher forwards them. */
export class ForwardedChanges {
    readonly #store: PlatformStoreStandIn;
    readonly #engines: SiteEngines;
    #forwarded: number;
    #latest: GossipMessage | undefined;

    constructor(store: PlatformStoreStandIn, engines: SiteEngines) {
        this.#store = store;
        this.#engines = engines;
        this.#forwarded = store.revision;
    }

    next(round: number): GossipMessage {
        if (round % WATCHERS !== 0 && this.#latest !== undefined) {
            return this.#latest;
        }
        const changes = Array.from({ length: 8 }, (_, index) => {
            const engine = (round + index) % this.#engines.count;
            const value = announcementOf(this.#engines, engine, round);
            const key = `servers/${engineName(engine)}`;
            this.#store.put(key, value);
            return { key, revision: this.#store.revision, value: JSON.stringify(value) };
        });
        const afterRevision = this.#forwarded;
        this.#forwarded = this.#store.revision;
        const host = PEERS[0] ?? "";
        this.#latest = { type: "changes", host, afterRevision, revision: this.#forwarded, changes };
        return this.#latest;
    }

    get revision(): number {
        return this.#forwarded;
    }
}

/** Registers the fleet's hosts, the engines and their holders. */
export function fillStore(
    store: PlatformStoreStandIn,
    engines: SiteEngines,
    configuration: object,
    gossipOf: (host: string) => string,
): void {
    const register = (host: string, zone: string): void => {
        const addresses = { callers: gossipOf(host), gossip: gossipOf(host), state: gossipOf(host) };
        store.put(`hosts/${host}`, { host, session: `s-${host}`, zone, addresses });
    };
    PEERS.forEach(host => register(host, "zone-a"));
    for (let cell = 1; cell <= OTHER_CELLS; cell += 1) {
        for (let index = 0; index < HOSTS_PER_CELL; index += 1) {
            register(`far-${cell}-${index}`, `zone-${cell}`);
        }
    }
    for (let index = 0; index < engines.count; index += 1) {
        const host = PEERS[index % CELL_PEERS] ?? "";
        store.put(`servers/${engineName(index)}`, announcementOf(engines, index, 1));
        store.put(`holders/${engineName(index)}`, { host, session: `s-${host}`, released: false, settled: true });
    }
    store.put("op/config", configuration);
}

/** Returns what the peers of the host send. */
export function trafficOf(
    engines: SiteEngines,
    changes: ForwardedChanges,
    rates: MessageRates,
    gossipOf: (host: string) => string,
): RepeatedMessages[] {
    const digests = PEERS.map((host, index) => {
        const addresses = { callers: gossipOf(host), gossip: gossipOf(host), state: gossipOf(host) };
        const feeds = index < WATCHERS;
        return {
            perSecond: rates.digests / CELL_PEERS,
            next: (round: number) =>
                digestOf(engines, index, round, { host, feeds, storeRevision: changes.revision, addresses }),
        };
    });
    return [
        ...digests,
        { perSecond: rates.summaries / 2, next: round => summaryOf(engines, 1 + round % OTHER_CELLS, "cell", round) },
        { perSecond: rates.summaries / 2, next: round => summaryOf(engines, 1, "rest", round) },
        { perSecond: rates.changes, next: round => changes.next(round) },
        {
            perSecond: rates.news,
            next: round => ({
                type: "news",
                host: PEERS[0] ?? "",
                engine: memoryOf(round % engines.count, 10 + round),
            }),
        },
    ];
}

/** Returns the processor time that a process has used. */
export function readProcessorMilliseconds(processId: number): number {
    const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK;
}

export type Figures = ReadonlyMap<string, number>;

/** Returns the counts and the time spent that a host's metrics tell of the messages, by type and part. */
export async function readFigures(port: number, processId: number): Promise<Figures> {
    const { body } = await callAuxiliaryServer({ address: "127.0.0.1", port }, "/metrics");
    const figures = new Map([["process", readProcessorMilliseconds(processId)]]);
    for (const [, subject = "", value] of body.matchAll(/spent_seconds_total\{subject="([^"]+)"\} (\S+)/g)) {
        figures.set(subject, Number(value) * MILLISECONDS_PER_SECOND);
    }
    for (const [, type = "", value] of body.matchAll(/received_datagrams_total\{type="([^"]+)"\} (\S+)/g)) {
        figures.set(`count-${type}`, Number(value));
    }
    return figures;
}

/** Returns by how much figures have grown. */
export function difference(after: Figures, before: Figures): Figures {
    return new Map([...after].map(([name, value]) => [name, value - (before.get(name) ?? 0)]));
}
