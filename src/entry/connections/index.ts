/**
 * Callers' connections and the requests that arrive on them.
 *
 * @module
 */
export { type Arrival, type CloseDecisionOptions, type RequestProblem } from "./arrival.js";
export { type CallerConnection } from "./callerConnection.js";
export { CallerConnections, type RequestHandler } from "./callerConnections.js";
export { type CallerMessages, hasCallerLeft } from "./callerPresence.js";
export { HeaderLimit } from "./headerLimit.js";
export { ParserFeeds, type ParserFeedsOptions } from "./parserFeeds.js";
export { renderRawAnswer } from "./rawAnswer.js";
export { isValidTarget, readTarget, type RequestTarget } from "./requestTarget.js";
export { answerUnreadableRequests } from "./unreadableRequests.js";
