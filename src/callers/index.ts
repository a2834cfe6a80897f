/**
 * HTTP API for callers and operators: chat completions, orders, addresses, health, status.
 *
 * Use `startCallersServer` to listen on a port, or `createCallersApplication` to answer requests from another server.
 *
 * @example
 * ```ts
 * import { startCallersServer } from "./index.js";
 *
 * const server = await startCallersServer({ address: "127.0.0.1", port: 0 }, { handlers, limits });
 * await server.close();
 * ```
 *
 * @module
 */
export { createCallersApplication } from "./application.js";
export { type CallersServer, startCallersServer } from "./callersServer.js";
export { parseChatRequest, type ParsedChatRequest } from "./chatRequest.js";
export { createRefusal, type RefusalOptions, renderRefusal } from "./refusals.js";
export { type AnswerSink, type CallerHandlers, type CallerOrder, type Cancellable } from "./types.js";
