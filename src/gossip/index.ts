/**
 * What entry hosts tell each other: digests several times a second, and news and wishes at once.
 *
 * @example
 * ```ts
 * import { openGossipLink, PeerTable, rankAddresses } from "./index.js";
 * ```
 *
 * @module
 */
export { type AggregateSender, CellAggregates } from "./cellAggregates.js";
export { divideIntoCells, MOST_HOSTS_OF_CELL, type PlacedHost } from "./cells.js";
export { type GossipLink, type GossipLinkOptions, type GossipMessage, openGossipLink } from "./gossipLink.js";
export { PacedSends, type QueuedDatagram } from "./pacedSends.js";
export { type AdvertisedHost, type FleetDivision, hasRecentDigest, type Peer, PeerTable } from "./peerTable.js";
export { rankAddresses } from "./rankAddresses.js";
