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
export { type GossipLink, type GossipLinkOptions, type GossipMessage, openGossipLink } from "./gossipLink.js";
export { type AdvertisedHost, type Peer, PeerTable } from "./peerTable.js";
export { rankAddresses } from "./rankAddresses.js";
