/**
 * What is known of the versions that began streams.
 *
 * @module
 */

/** A stream, and the software version of the upstream that sent its first event. */
export interface BegunStream {
    /** Identifies the stream; see {@linkcode identifyStream}. */
    readonly stream: string;
    readonly version: string;
}

/** The versions of one service at which streams may have begun that callers may still resume. */
export interface VersionsOfService {
    readonly service: string;
    readonly versions: readonly string[];
}

/** The versions of all services, as recorded in the key-value service. */
export interface VersionRecord {
    /** How often the key-value service had been restored when the record was written. */
    readonly restores: number;
    readonly services: readonly VersionsOfService[];
}
