/**
 * What hosts tell each other: a host's digests, the messages that it sends and receives, and gossip between cells.
 *
 * @example
 * ```ts
 * import { DigestPublisher, DigestRounds } from "./index.js";
 *
 * const digests = new DigestPublisher(options);
 * const rounds = new DigestRounds({ peers, readClock, onRound: () => digests.publishToAllCells() });
 * rounds.start();
 * ```
 *
 * @module
 */
export { DigestPublisher, type DigestPublisherOptions } from "./digestPublisher.js";
export { DigestRounds, type DigestRoundsOptions } from "./digestRounds.js";
export { gossipBytesPerSecond } from "./gossipBytesPerSecond.js";
export { HostGossip, type HostGossipOptions } from "./hostGossip.js";
export { hostsNeedingDemand } from "./hostsNeedingDemand.js";
export { InterCellGossip, type InterCellGossipOptions } from "./interCellGossip.js";
export { PacedDigests, type PacedDigestsOptions } from "./pacedDigests.js";
export { type MessageReceivers, receiveMessage } from "./receiveMessage.js";
export { ReportedState, type ReportedStateOptions } from "./reportedState.js";
export { UrgentDigests, type UrgentDigestsOptions } from "./urgentDigests.js";
