/**
 * One caller's request from its arrival to its final answer: its waiting, its attempts at upstreams, and its end.
 *
 * @example
 * ```ts
 * import { Exchange } from "./index.js";
 *
 * const exchange = new Exchange(context, request, { onEnded, onPrefillWait });
 * exchange.start();
 * ```
 *
 * @module
 */
export { dispatchInOrder } from "./dispatchInOrder.js";
export { Exchange, type ExchangeListener } from "./exchange.js";
export { OTHER_HOST_MILLISECONDS } from "./expectedCapacity.js";
export { AUTHENTICATE_HEADERS } from "./requestEnding.js";
export { type CallerRequest } from "./requestFacts.js";
