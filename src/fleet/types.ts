/**
 * Upstreams as they announce themselves.
 *
 * @module
 */

/** A model in an engine's memory. */
export interface HeldModel {
    readonly name: string;
    readonly adapters: readonly string[];
}

/** What one upstream announces of itself. */
export interface UpstreamAnnouncement {
    /** Names one run of an upstream's process, together with `startedAtMilliseconds`. */
    readonly id: string;
    /** Time of day at which the process started, where it is told. */
    readonly startedAtMilliseconds: number | undefined;
    readonly service: string;
    /** IP number and port. */
    readonly address: string;
    readonly zone: string;
    readonly slots: number;
    readonly leaving: boolean;
    /** Time until the upstream is gone whatever it runs, where it leaves at short notice. */
    readonly remainingMilliseconds: number | undefined;
    /** Rises with each announcement of one run. */
    readonly announcementNumber: number;
    readonly models: readonly HeldModel[];
    /** Models whose weights the engine keeps in memory or on disk beside those it holds. */
    readonly localWeights: LocalWeights;
}

/** Weights that load without the weight store. */
export interface LocalWeights {
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
}
