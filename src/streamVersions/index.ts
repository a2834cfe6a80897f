/**
 * Decides at which software version of an upstream a stream may go on. Streams of two versions do not fit together.
 *
 * Within one answer, the host knows which version sent the first event. When a caller resumes a stream at another host,
 * that host asks the keepers of the stream, and the key-value service. All decisions here are free of sockets and
 * clocks.
 *
 * @example
 * ```ts
 * import { BegunStreams, identifyStream, ServiceVersions } from "./index.js";
 * ```
 *
 * @module
 */
export { BegunStreams } from "./begunStreams.js";
export { decideResumption, type Resumption, type ResumptionInput } from "./decideResumption.js";
export { identifyStream } from "./identifyStream.js";
export { type NextRecordInput, ServiceVersions, UNPROVEN_VERSION } from "./serviceVersions.js";
export { type DueEntry, type JournalEntry, readJournalEntry, StreamJournal } from "./streamJournal.js";
export { StreamKeepers } from "./streamKeepers.js";
export { findOwnStream, type FoundStream, isOnRecord, ownerMark } from "./streamOwner.js";
