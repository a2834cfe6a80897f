/**
 * Clients of model engines and plain services.
 *
 * Use them to run completions, orders and calls on upstreams. Streams are checked token by token. Each error shows
 * whether the upstream may have started the request.
 *
 * @example
 * ```ts
 * import { createEngineClient } from "./index.js";
 *
 * const engine = createEngineClient({ name: "bag-llm-1", url: "http://127.0.0.1:8001" });
 * ```
 *
 * @module
 */
export { createEngineClient, type EngineClientOptions } from "./engineClient.js";
export { createPlainServiceClient, type PlainServiceClientOptions } from "./plainServiceClient.js";
export { createPrefixKeys, type PrefixMessage } from "./prefixKeys.js";
export {
    type Completion,
    type CompletionEvent,
    type CompletionOptions,
    type EngineClient,
    type PlainCallOptions,
    type PlainServiceClient,
    type UpstreamError,
} from "./types.js";
