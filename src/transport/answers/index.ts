/**
 * What all readers of HTTP answers decide alike: how an answer ends, and whether it is broken.
 *
 * @example
 * ```ts
 * import { findHeadFault, framingOf } from "./index.js";
 * ```
 *
 * @module
 */
export { type AnswerFault } from "./answerFault.js";
export { type AnswerFraming, type FramingHead, framingOf } from "./answerFraming.js";
export { ChunkJoiner } from "./chunkJoiner.js";
export { confirmConnectionEnd } from "./confirmConnectionEnd.js";
export { findHeadFault, type ReceivedHead } from "./findHeadFault.js";
export { hasBody } from "./hasBody.js";
export { isNetworkError } from "./isNetworkError.js";
export { type AnswerHead, receiveAnswer, type ReceiveAnswerOptions } from "./receiveAnswer.js";
export { refuseBrokenResponse, type ResponseHead } from "./refuseBrokenResponse.js";
