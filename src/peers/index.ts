/**
 * Calls between hosts, by tRPC over HTTP.
 *
 * Call `startPeerServer` once per host and `createPeerClient` once per peer.
 *
 * @example
 * ```ts
 * import { createPeerClient, startPeerServer } from "./index.js";
 *
 * const server = await startPeerServer({ address: "127.0.0.1", port: 0 }, handlers);
 * const client = createPeerClient(`http://127.0.0.1:${server.port}`);
 * ```
 *
 * @module
 */
export { createPeerClient, type PeerClient, type PeerError } from "./peerClient.js";
export { type PeerServer, startPeerServer } from "./peerServer.js";
export { type AdapterRequest, createPeerRouter, type PeerHandlers, type PeerRouter } from "./router.js";
