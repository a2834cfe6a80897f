/**
 * Gossip between entry hosts: digests several times a second, and engine updates and adapter requests immediately.
 *
 * @example
 * ```ts
 * import { openGossipLink, PeerTable, selectAddresses } from "./index.js";
 * ```
 *
 * @module
 */
export { decodeAccountUse, encodeAccountUse, type UseSelection } from "./accountUse.js";
export { type AggregateSender, CellAggregates } from "./cellAggregates.js";
export { divideIntoCells, type HostWithZone, MAXIMUM_HOSTS_PER_CELL } from "./cells.js";
export {
    type GossipLink,
    type GossipLinkOptions,
    type GossipMessage,
    type GossipProblem,
    type GossipProblemReason,
    type HandledDatagram,
    openGossipLink,
} from "./gossipLink.js";
export { PacedSender, type PacedSenderOptions, type QueuedDatagram } from "./pacedSender.js";
export { type AdvertisedHost, type FleetDivision, type Peer, PeerTable } from "./peerTable.js";
export { type DropReason } from "./receiveQueue.js";
export { selectAddresses } from "./selectAddresses.js";
