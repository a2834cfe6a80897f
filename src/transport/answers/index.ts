/**
 * What all readers of HTTP answers decide alike: how an answer ends, and whether it is broken.
 *
 * @example
 * ```ts
 * import { framingOf } from "./index.js";
 * ```
 *
 * @module
 */
export { type AnswerFault } from "./answerFault.js";
export { type AnswerFraming, type FramingHead, framingOf } from "./answerFraming.js";
export { confirmConnectionEnd } from "./confirmConnectionEnd.js";
export { hasBody } from "./hasBody.js";
