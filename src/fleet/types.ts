/**
 * Announcements that upstreams publish of themselves.
 *
 * @module
 */

/** A model in an engine's accelerator memory, with its adapters there. */
export interface HeldModel {
    readonly name: string;
    readonly adapters: readonly string[];
}

/** The announcement of one upstream. */
export interface UpstreamAnnouncement {
    /** Identifies an incarnation of the upstream's process, together with `startedAtMilliseconds`. */
    readonly id: string;
    /** Time of day at which the process started, where announced. */
    readonly startedAtMilliseconds: number | undefined;
    readonly service: string;
    /** IP number and port. */
    readonly address: string;
    readonly zone: string;
    /** Version of the upstream's software, not of the weights that it holds. */
    readonly softwareVersion: string;
    readonly slots: number;
    readonly leaving: boolean;
    /** Time until the upstream stops even with requests in progress, where it leaves at short notice. */
    readonly remainingMilliseconds: number | undefined;
    /** Increases with each announcement of an incarnation. */
    readonly announcementNumber: number;
    readonly models: readonly HeldModel[];
    /** Models that the engine does not hold but whose weights it keeps in host memory or on disk. */
    readonly localWeights: LocalWeights;
}

/** Models whose weights can be loaded without the weight store. */
export interface LocalWeights {
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
}
