/**
 * What all parts of a host share: its name, settings, clients, logs, metrics and clocks.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type ClockReading } from "../duties/index.js";
import { type HostAddresses } from "../generated/gossip.js";
import { type openGossipLink } from "../gossip/index.js";
import { MemoryBudget, MemoryWatch } from "../memory/index.js";
import { type EntryMetrics, type Logger, TimeSpent } from "../observability/index.js";
import { type ChangeReader, type KeyValueService } from "../platform/index.js";
import { ReadTimes } from "../staleness/index.js";
import { HostLifecycle } from "./hostLifecycle.js";
import { type EntrySettings } from "./settings.js";
import { type EngineControl, type SiteProtocol } from "./siteProtocol.js";

const UNNAMED_BUILD = "unnamed";

/** Options of an entry host. */
export interface EntryHostOptions {
    readonly settings: EntrySettings;
    readonly protocol: SiteProtocol;
    readonly keyValue: KeyValueService & ChangeReader;
    readonly control: EngineControl;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClocks: () => ClockReading;
    /** Returns the processor time that this process has used, in microseconds. */
    readonly readProcessorMicroseconds: () => number;
    /** Returns the resident memory of this process. */
    readonly readResidentBytes: () => number;
    /** Names the build of this program; `unnamed` by default. */
    readonly build?: string;
    /** Opens the link to the other hosts; {@linkcode openGossipLink} by default. */
    readonly openLink?: typeof openGossipLink;
}

/** What the parts of one host share. */
export interface HostContext extends Omit<EntryHostOptions, "settings" | "build"> {
    readonly host: string;
    readonly build: string;
    readonly zone: string;
    readonly lifecycle: HostLifecycle;
    /** When this host last read what had arrived. */
    readonly reads: ReadTimes;
    readonly timeSpent: TimeSpent;
    /** The memory that all parts of this host draw on. */
    readonly memory: MemoryBudget;
    readonly memoryWatch: MemoryWatch;
    /** Returns the settings now in force. */
    readonly settings: () => EntrySettings;
    /** Returns the steady clock's reading, in milliseconds. */
    readonly readClock: () => number;
    readonly isLeaving: () => boolean;
}

/**
 * Creates the context of a host.
 *
 * @param options The host's options.
 * @param settings Returns the settings now in force.
 *
 * @example
 * ```ts
 * const context = createHostContext(options, () => settings);
 * const gossip = new HostGossip({ ...context, peers, hostsNeedingDemand, onMessage });
 * ```
 */
export function createHostContext(options: EntryHostOptions, settings: () => EntrySettings): HostContext {
    const { host, zone } = options.settings;
    const { logger, metrics, readProcessorMicroseconds, readResidentBytes } = options;
    const lifecycle = new HostLifecycle();
    const readClock = (): number => options.readClocks().steadyMilliseconds;
    const memory = new MemoryBudget({ machineBytes: options.settings.memoryBytes });
    return {
        ...options,
        build: options.build ?? UNNAMED_BUILD,
        host,
        zone,
        lifecycle,
        reads: new ReadTimes(readClock()),
        timeSpent: new TimeSpent({ logger, metrics, readClock, readProcessorMicroseconds }),
        memory,
        memoryWatch: new MemoryWatch({ logger, memory, readResidentBytes }),
        settings,
        readClock,
        isLeaving: () => lifecycle.isLeaving,
    };
}

/** Returns the addresses under which peers and callers reach a host. */
export function addressesOf({ callers, gossip, state }: EntrySettings): HostAddresses {
    return {
        callers: `${callers.address}:${callers.port}`,
        gossip: `${gossip.address}:${gossip.port}`,
        state: `${state.address}:${state.port}`,
    };
}
